//! The platform's object store.

use std::future::Future;

use bytes::Bytes;

use crate::error::PlatformError;

/// A store of named objects.
pub trait ObjectStore: Send + Sync + 'static {
    /// Stores an object. A repeated call with the same name and body has no further effect.
    ///
    /// # Errors
    ///
    /// Returns an error if the store didn't confirm the write.
    fn put(
        &self,
        name: &str,
        body: Bytes,
    ) -> impl Future<Output = Result<(), PlatformError>> + Send;

    /// Fetches an object, or `None` if there is no object of this name.
    ///
    /// # Errors
    ///
    /// Returns an error if the whole object wasn't received.
    fn get(&self, name: &str) -> impl Future<Output = Result<Option<Bytes>, PlatformError>> + Send;
}
