//! Count of responses that are awaited or arriving.

use std::cell::Cell;
use std::rc::Rc;

/// Counts responses of which something is still to arrive.
#[derive(Clone, Debug, Default)]
pub struct Arrivals {
    count: Rc<Cell<u32>>,
}

impl Arrivals {
    /// Returns whether a response is arriving.
    pub fn any(&self) -> bool {
        self.count.get() > 0
    }

    /// Counts a response until the returned guard is dropped.
    pub fn start(&self) -> ArrivalGuard {
        self.count.set(self.count.get() + 1);
        ArrivalGuard {
            count: self.count.clone(),
        }
    }
}

/// Counts a response in [`Arrivals`] until it is dropped.
#[must_use]
pub struct ArrivalGuard {
    count: Rc<Cell<u32>>,
}

impl Drop for ArrivalGuard {
    fn drop(&mut self) {
        self.count.set(self.count.get() - 1);
    }
}
