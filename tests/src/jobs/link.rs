//! Network link of limited bandwidth, which all calls of the scheduler share.

use std::collections::VecDeque;

use super::job_site::TICK;

/// Number of a call that crosses a link.
pub(super) type CallNumber = u64;

/// One direction of a link. Messages cross it one after another, at a fixed rate.
#[derive(Clone, Debug)]
pub(super) struct Link {
    bytes_per_tick: f64,
    queue: VecDeque<(CallNumber, f64)>,
}

impl Link {
    /// Creates an idle link with a bandwidth in bytes per second.
    pub(super) fn new(bytes_per_s: f64) -> Self {
        Self {
            bytes_per_tick: bytes_per_s * TICK.as_secs_f64(),
            queue: VecDeque::new(),
        }
    }

    /// Queues a message of this size, in bytes.
    pub(super) fn send(&mut self, call: CallNumber, bytes: usize) {
        self.queue.push_back((call, bytes as f64));
    }

    /// Transmits for one tick, and returns the calls whose message has arrived.
    ///
    /// A message that no byte was sent of is dropped if its call isn't `open` any more.
    pub(super) fn advance(&mut self, open: impl Fn(CallNumber) -> bool) -> Vec<CallNumber> {
        let mut budget = self.bytes_per_tick;
        let mut arrived = Vec::new();
        while let Some((call, bytes)) = self.queue.front_mut() {
            if !open(*call) {
                self.queue.pop_front();
                continue;
            }
            if *bytes > budget {
                *bytes -= budget;
                break;
            }
            budget -= *bytes;
            arrived.push(*call);
            self.queue.pop_front();
        }
        arrived
    }
}
