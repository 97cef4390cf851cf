//! Responses that are stored for retries.

use std::sync::Arc;

/// A response that is stored for retries with the same identifier.
///
/// Cloning has to be cheap, as it is for an [`Arc`].
pub trait StoredResponse: Clone {
    /// Returns the memory that the response takes, in bytes.
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
