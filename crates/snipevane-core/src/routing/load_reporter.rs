//! When an entry VM tells its peers of its load, and which of them.
//!
//! Regular notices are rare. Between them, an entry VM whose requests wait tells its peers that it
//! wants slots of a service; a peer with a slot that became idle tells one that wants it. Answers
//! to forwarded requests carry the load without a message of their own.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use rustc_hash::FxHashMap;
use smol_str::SmolStr;

use super::peers::Load;
use crate::ids::ServiceKey;

/// Settings of [`LoadReporter`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadReporterSettings {
    /// Time between two regular notices.
    pub report_interval: Duration,
    /// Shortest time between two messages that this entry VM wants slots of a service.
    pub slot_request_interval: Duration,
    /// Time for which a peer that wants slots is told of idle ones.
    pub slot_request_validity: Duration,
}

impl Default for LoadReporterSettings {
    fn default() -> Self {
        Self {
            report_interval: Duration::from_secs(1),
            slot_request_interval: Duration::from_millis(100),
            slot_request_validity: Duration::from_millis(150),
        }
    }
}

/// What goes on between this entry VM and its peers about one service.
#[derive(Clone, Debug, Default)]
struct SlotRequests {
    requested_at: Option<Instant>,
    /// Peers that want slots and until when, the one that was told longest ago first.
    requesters: VecDeque<(SmolStr, Instant)>,
}

/// Decides when the peers hear of this entry VM's load.
#[derive(Clone, Debug, Default)]
pub struct LoadReporter {
    settings: LoadReporterSettings,
    reported_at: Option<Instant>,
    slot_requests: FxHashMap<ServiceKey, SlotRequests>,
}

impl LoadReporter {
    /// Creates the decision with settings of its own.
    pub fn new(settings: LoadReporterSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Returns whether the regular notice of all services is due; if so it counts as sent.
    pub fn report_due(&mut self, now: Instant) -> bool {
        let due = is_due(self.reported_at, self.settings.report_interval, now);
        if due {
            self.reported_at = Some(now);
        }
        due
    }

    /// Returns whether the peers should hear that this entry VM wants slots of a service; if so it
    /// counts as sent.
    pub fn slot_request_due(&mut self, service: ServiceKey, own: Load, now: Instant) -> bool {
        if own.waiting == 0 || own.free > 0 {
            return false;
        }
        let requests = self.slot_requests.entry(service).or_default();
        let due = is_due(
            requests.requested_at,
            self.settings.slot_request_interval,
            now,
        );
        if due {
            requests.requested_at = Some(now);
        }
        due
    }

    /// Takes over that a peer wants slots of a service.
    pub fn on_slot_request(&mut self, vm: &str, service: ServiceKey, now: Instant) {
        let until = now + self.settings.slot_request_validity;
        let requesters = &mut self.slot_requests.entry(service).or_default().requesters;
        match requesters.iter_mut().find(|(known, _)| known == vm) {
            Some((_, known_until)) => *known_until = until,
            None => requesters.push_back((vm.into(), until)),
        }
    }

    /// Returns the peer to tell of a slot that became free, if nothing waits for it here.
    pub fn on_idle(&mut self, service: ServiceKey, own: Load, now: Instant) -> Option<SmolStr> {
        if own.waiting > 0 || own.free == 0 {
            return None;
        }
        let requesters = &mut self.slot_requests.get_mut(&service)?.requesters;
        requesters.retain(|&(_, until)| until > now);
        let (vm, until) = requesters.pop_front()?;
        // The others come first next time.
        requesters.push_back((vm.clone(), until));
        Some(vm)
    }
}

fn is_due(last: Option<Instant>, interval: Duration, now: Instant) -> bool {
    last.is_none_or(|at| now.saturating_duration_since(at) >= interval)
}
