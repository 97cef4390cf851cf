//! Event queue of a simulation.

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
        // The heap is a max-heap, and the earliest event comes first.
        (other.at, other.sequence).cmp(&(self.at, self.sequence))
    }
}

/// Queue of future events, ordered by time; events at the same time keep their order.
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

    /// Removes the earliest event.
    pub(super) fn pop(&mut self) -> Option<(Duration, E)> {
        let scheduled = self.heap.pop()?;
        Some((scheduled.at, scheduled.event))
    }
}
