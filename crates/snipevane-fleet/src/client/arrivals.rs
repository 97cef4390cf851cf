//! Count of responses that are arriving.

use std::cell::Cell;
use std::rc::Rc;

/// Counts the responses whose head has arrived, but not yet their whole body.
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
    pub(super) fn start(&self) -> ArrivalGuard {
        self.count.set(self.count.get() + 1);
        ArrivalGuard {
            count: self.count.clone(),
        }
    }
}

/// Counts a response in [`Arrivals`] until it is dropped.
pub(super) struct ArrivalGuard {
    count: Rc<Cell<u32>>,
}

impl Drop for ArrivalGuard {
    fn drop(&mut self) {
        self.count.set(self.count.get() - 1);
    }
}
