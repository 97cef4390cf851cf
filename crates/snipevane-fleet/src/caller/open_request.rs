//! Count of the requests that are being answered.

use std::cell::Cell;

/// A request that is being answered. It is counted until this is dropped.
pub(super) struct OpenRequest<'a> {
    count: &'a Cell<usize>,
}

impl<'a> OpenRequest<'a> {
    /// Counts a request.
    pub(super) fn new(count: &'a Cell<usize>) -> Self {
        count.set(count.get() + 1);
        Self { count }
    }
}

impl Drop for OpenRequest<'_> {
    fn drop(&mut self) {
        self.count.set(self.count.get().saturating_sub(1));
    }
}
