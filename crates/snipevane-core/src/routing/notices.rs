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

/// Settings of [`Notices`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NoticeLimits {
    /// Time between two regular notices.
    pub every: Duration,
    /// Shortest time between two messages that this entry VM wants slots of a service.
    pub want_every: Duration,
    /// Time for which a peer that wants slots is told of idle ones.
    pub want_term: Duration,
}

impl Default for NoticeLimits {
    fn default() -> Self {
        Self {
            every: Duration::from_secs(1),
            want_every: Duration::from_millis(100),
            want_term: Duration::from_millis(150),
        }
    }
}

/// What goes on between this entry VM and its peers about one service.
#[derive(Clone, Debug, Default)]
struct Exchange {
    wanted_at: Option<Instant>,
    /// Peers that want slots and until when, the one that was told longest ago first.
    wanting: VecDeque<(SmolStr, Instant)>,
}

/// Decides when the peers hear of this entry VM's load.
#[derive(Clone, Debug, Default)]
pub struct Notices {
    limits: NoticeLimits,
    regular_at: Option<Instant>,
    exchanges: FxHashMap<ServiceKey, Exchange>,
}

impl Notices {
    /// Creates the decision with settings of its own.
    pub fn new(limits: NoticeLimits) -> Self {
        Self {
            limits,
            ..Self::default()
        }
    }

    /// Returns whether the regular notice of all services is due; if so it counts as sent.
    pub fn regular_due(&mut self, now: Instant) -> bool {
        let due = is_due(self.regular_at, self.limits.every, now);
        if due {
            self.regular_at = Some(now);
        }
        due
    }

    /// Returns whether the peers should hear that this entry VM wants slots of a service; if so it
    /// counts as sent.
    pub fn want_due(&mut self, service: ServiceKey, own: Load, now: Instant) -> bool {
        if own.waiting == 0 || own.free > 0 {
            return false;
        }
        let exchange = self.exchanges.entry(service).or_default();
        let due = is_due(exchange.wanted_at, self.limits.want_every, now);
        if due {
            exchange.wanted_at = Some(now);
        }
        due
    }

    /// Takes over that a peer wants slots of a service.
    pub fn on_want(&mut self, vm: &str, service: ServiceKey, now: Instant) {
        let until = now + self.limits.want_term;
        let wanting = &mut self.exchanges.entry(service).or_default().wanting;
        match wanting.iter_mut().find(|(known, _)| known == vm) {
            Some((_, known_until)) => *known_until = until,
            None => wanting.push_back((vm.into(), until)),
        }
    }

    /// Returns the peer to tell of a slot that became free, if nothing waits for it here.
    pub fn on_idle(&mut self, service: ServiceKey, own: Load, now: Instant) -> Option<SmolStr> {
        if own.waiting > 0 || own.free == 0 {
            return None;
        }
        let wanting = &mut self.exchanges.get_mut(&service)?.wanting;
        wanting.retain(|&(_, until)| until > now);
        let (vm, until) = wanting.pop_front()?;
        // The others come first next time.
        wanting.push_back((vm.clone(), until));
        Some(vm)
    }
}

fn is_due(last: Option<Instant>, every: Duration, now: Instant) -> bool {
    last.is_none_or(|at| now.saturating_duration_since(at) >= every)
}
