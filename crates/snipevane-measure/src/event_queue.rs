//! Event queue of a simulation.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

struct Scheduled<T, E> {
    at: T,
    sequence: u64,
    event: E,
}

impl<T: Ord, E> PartialEq for Scheduled<T, E> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl<T: Ord, E> Eq for Scheduled<T, E> {}

impl<T: Ord, E> PartialOrd for Scheduled<T, E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<T: Ord, E> Ord for Scheduled<T, E> {
    fn cmp(&self, other: &Self) -> Ordering {
        // The heap is a max-heap, and the earliest event comes first.
        let time = other.at.cmp(&self.at);
        time.then(other.sequence.cmp(&self.sequence))
    }
}

/// Queue of future events, ordered by time; events at the same time keep their order.
///
/// `T` is the simulated time.
pub(crate) struct EventQueue<T, E> {
    heap: BinaryHeap<Scheduled<T, E>>,
    sequence: u64,
}

impl<T: Ord, E> Default for EventQueue<T, E> {
    fn default() -> Self {
        Self {
            heap: BinaryHeap::new(),
            sequence: 0,
        }
    }
}

impl<T: Ord, E> EventQueue<T, E> {
    /// Adds an event.
    pub(crate) fn push(&mut self, at: T, event: E) {
        let sequence = self.sequence;
        self.sequence += 1;
        self.heap.push(Scheduled {
            at,
            sequence,
            event,
        });
    }

    /// Removes the earliest event.
    pub(crate) fn pop(&mut self) -> Option<(T, E)> {
        let scheduled = self.heap.pop()?;
        Some((scheduled.at, scheduled.event))
    }
}
