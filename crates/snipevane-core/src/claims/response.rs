//! Answers that are kept for later retries.

use std::sync::Arc;

/// An answer that is kept for later retries.
///
/// Clones are cheap, such as those of an [`Arc`].
pub trait StoredResponse: Clone {
    /// Returns the memory that the answer takes, in bytes.
    fn bytes(&self) -> usize;
}

impl StoredResponse for Arc<[u8]> {
    fn bytes(&self) -> usize {
        self.len()
    }
}

impl StoredResponse for () {
    fn bytes(&self) -> usize {
        0
    }
}
