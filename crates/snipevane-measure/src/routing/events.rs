//! Events of a run in order of their time.

use std::cmp::Ordering;
use std::collections::BinaryHeap;
use std::time::Duration;

struct Scheduled<E> {
    at: Duration,
    sequence: u64,
    event: E,
}

impl<E> PartialEq for Scheduled<E> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl<E> Eq for Scheduled<E> {}

impl<E> PartialOrd for Scheduled<E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Scheduled<E> {
    fn cmp(&self, other: &Self) -> Ordering {
        // The heap gives the largest first, the run needs the earliest.
        (other.at, other.sequence).cmp(&(self.at, self.sequence))
    }
}

/// Events that are due later; those of the same time keep their order.
pub(super) struct EventQueue<E> {
    heap: BinaryHeap<Scheduled<E>>,
    sequence: u64,
}

impl<E> Default for EventQueue<E> {
    fn default() -> Self {
        Self {
            heap: BinaryHeap::new(),
            sequence: 0,
        }
    }
}

impl<E> EventQueue<E> {
    /// Adds an event.
    pub(super) fn push(&mut self, at: Duration, event: E) {
        let sequence = self.sequence;
        self.sequence += 1;
        self.heap.push(Scheduled {
            at,
            sequence,
            event,
        });
    }

    /// Takes the earliest event.
    pub(super) fn pop(&mut self) -> Option<(Duration, E)> {
        let scheduled = self.heap.pop()?;
        Some((scheduled.at, scheduled.event))
    }
}
