//! Orders for VMs that may still be carried out.

use std::cell::Cell;
use std::time::Duration;

/// Orders for VMs that are in flight, or that got no reply and may still be carried out.
#[derive(Default)]
pub(super) struct OpenVmOrders {
    in_flight: Cell<usize>,
    /// Time until which an order that got no reply may still be carried out.
    settled_at: Cell<Duration>,
}

impl OpenVmOrders {
    /// Records that an order is sent.
    pub(super) fn record_sent(&self) {
        self.in_flight.update(|count| count + 1);
    }

    /// Records that an order is no longer in flight, as it got a reply.
    pub(super) fn record_reply(&self) {
        self.in_flight.update(|count| count - 1);
    }

    /// Records that an order is no longer in flight, but may be carried out until `settled_at`.
    pub(super) fn record_no_reply(&self, settled_at: Duration) {
        self.in_flight.update(|count| count - 1);
        self.settled_at.set(settled_at);
    }

    /// Returns whether an order may still be carried out.
    pub(super) fn any(&self, now: Duration) -> bool {
        self.in_flight.get() > 0 || now < self.settled_at.get()
    }
}
