//! Times at which a backend server's state changes without an event.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Instant;

use crate::ids::ServerKey;

/// What happens when a timer is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// A slot in quarantine is free again.
    QuarantineEnds,
    /// A back-off or an ejection may end.
    PauseEnds,
    /// The failure rate halves.
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

    /// Takes the next timer that is due.
    pub(super) fn pop_due(&mut self, now: Instant) -> Option<(Timer, ServerKey)> {
        let &Reverse((at, timer, server)) = self.heap.peek()?;
        if at > now {
            return None;
        }
        self.heap.pop();
        Some((timer, server))
    }
}
