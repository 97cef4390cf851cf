//! When an entry VM tells its peers of its load.

use std::time::{Duration, Instant};

use rustc_hash::FxHashMap;

use super::peers::Load;
use crate::ids::ServiceKey;

/// Settings of [`Notices`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NoticeLimits {
    /// Time between two regular notices.
    pub every: Duration,
    /// Shortest time between two notices of one service that an idle slot causes.
    pub shortest_gap: Duration,
    /// Free slots up to which a newly free one is worth a notice.
    pub few_slots: u32,
}

impl Default for NoticeLimits {
    fn default() -> Self {
        Self {
            every: Duration::from_millis(100),
            shortest_gap: Duration::from_millis(5),
            few_slots: 2,
        }
    }
}

/// Decides when the peers hear of this entry VM's free slots.
#[derive(Clone, Debug, Default)]
pub struct Notices {
    limits: NoticeLimits,
    regular_at: Option<Instant>,
    idle_at: FxHashMap<ServiceKey, Instant>,
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
        let due = self
            .regular_at
            .is_none_or(|at| now.saturating_duration_since(at) >= self.limits.every);
        if due {
            self.regular_at = Some(now);
        }
        due
    }

    /// Returns whether a slot that became free calls for a notice of its service at once.
    ///
    /// It does if nothing waits here and the peers may not know of a free slot. If so the notice
    /// counts as sent.
    pub fn idle_due(&mut self, service: ServiceKey, load: Load, now: Instant) -> bool {
        if load.waiting > 0 || load.free == 0 || load.free > self.limits.few_slots {
            return false;
        }
        let last = self.idle_at.get(&service);
        let gap = self.limits.shortest_gap;
        if last.is_some_and(|&at| now.saturating_duration_since(at) < gap) {
            return false;
        }
        self.idle_at.insert(service, now);
        true
    }
}
