//! Timers that change the state of a backend server without an external event.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Instant;

use crate::ids::ServerKey;

/// Action when a timer is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// Ends the quarantine of one slot.
    QuarantineEnds,
    /// Ends a back-off or an ejection, unless it was extended in the meantime.
    PauseEnds,
    /// Halves the failure rate.
    FailuresDecay,
}

/// Pending timers, earliest first.
#[derive(Clone, Debug, Default)]
pub(super) struct Timers {
    heap: BinaryHeap<Reverse<(Instant, Timer, ServerKey)>>,
}

impl Timers {
    /// Adds a timer.
    pub(super) fn add(&mut self, at: Instant, timer: Timer, server: ServerKey) {
        self.heap.push(Reverse((at, timer, server)));
    }

    /// Removes and returns the earliest timer that is due.
    pub(super) fn pop_due(&mut self, now: Instant) -> Option<(Timer, ServerKey)> {
        let &Reverse((at, timer, server)) = self.heap.peek()?;
        if at > now {
            return None;
        }
        self.heap.pop();
        Some((timer, server))
    }
}
