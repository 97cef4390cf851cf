//! Decides when an entry VM reports its load to its peers, and to which of them.
//!
//! Periodic load reports are infrequent. Between them, an entry VM that has requests waiting sends
//! its peers a slot request for the service, and a peer where a slot becomes idle reports its load
//! to one of the requesters. Responses to forwarded requests carry the load as well, without a
//! separate message.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use rustc_hash::FxHashMap;
use smol_str::SmolStr;

use super::peers::Load;
use crate::ids::ServiceKey;

/// Settings of [`LoadReporter`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadReporterSettings {
    /// Time between two periodic load reports.
    pub report_interval: Duration,
    /// Minimum time between two slot requests for the same service.
    pub slot_request_interval: Duration,
    /// Time after a peer's slot request during which idle slots are reported to the peer.
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

/// Slot requests for one service, sent and received.
#[derive(Clone, Debug, Default)]
struct SlotRequests {
    /// Time of this entry VM's last slot request.
    requested_at: Option<Instant>,
    /// Peers that requested slots, with the expiry time of each request. Idle slots are reported to
    /// them in round-robin order, from the front.
    requesters: VecDeque<(SmolStr, Instant)>,
}

/// Decides when this entry VM sends load reports and slot requests to its peers.
#[derive(Clone, Debug, Default)]
pub struct LoadReporter {
    settings: LoadReporterSettings,
    reported_at: Option<Instant>,
    slot_requests: FxHashMap<ServiceKey, SlotRequests>,
}

impl LoadReporter {
    /// Creates a load reporter that has sent and received nothing yet.
    pub fn new(settings: LoadReporterSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Returns whether the periodic load report for all services is due.
    ///
    /// If it is, the report counts as sent at `now`.
    pub fn report_due(&mut self, now: Instant) -> bool {
        let due = is_due(self.reported_at, self.settings.report_interval, now);
        if due {
            self.reported_at = Some(now);
        }
        due
    }

    /// Returns whether a slot request for a service is due.
    ///
    /// Slots are requested only while requests wait and no slot is free here. If a slot request is
    /// due, it counts as sent at `now`.
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

    /// Records a peer's slot request for a service.
    pub fn on_slot_request(&mut self, vm: &str, service: ServiceKey, now: Instant) {
        let until = now + self.settings.slot_request_validity;
        let requesters = &mut self.slot_requests.entry(service).or_default().requesters;
        match requesters.iter_mut().find(|(known, _)| known == vm) {
            Some((_, known_until)) => *known_until = until,
            None => requesters.push_back((vm.into(), until)),
        }
    }

    /// Returns the peer to which an idle slot of a service should be reported.
    ///
    /// Returns `None` if requests wait here, no slot is free or no peer has a valid slot request.
    pub fn on_idle(&mut self, service: ServiceKey, own: Load, now: Instant) -> Option<SmolStr> {
        if own.waiting > 0 || own.free == 0 {
            return None;
        }
        let requesters = &mut self.slot_requests.get_mut(&service)?.requesters;
        requesters.retain(|&(_, until)| until > now);
        let (vm, until) = requesters.pop_front()?;
        // Moves the peer to the back, so that the other requesters come first next time.
        requesters.push_back((vm.clone(), until));
        Some(vm)
    }
}

/// Returns whether `interval` has passed since `last`; without a `last` time, it has.
fn is_due(last: Option<Instant>, interval: Duration, now: Instant) -> bool {
    last.is_none_or(|at| now.saturating_duration_since(at) >= interval)
}
