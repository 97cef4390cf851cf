//! The platform's object store.

use std::future::Future;

use bytes::Bytes;

use crate::error::PlatformError;

/// A store of named objects.
pub trait ObjectStore: Send + Sync + 'static {
    /// Stores an object; a second call with the same name and body changes nothing.
    ///
    /// # Errors
    ///
    /// Returns an error if the store didn't confirm the object.
    fn put(
        &self,
        name: &str,
        body: Bytes,
    ) -> impl Future<Output = Result<(), PlatformError>> + Send;

    /// Fetches an object; `None` if it's absent.
    ///
    /// # Errors
    ///
    /// Returns an error if the store didn't answer with the whole object.
    fn get(&self, name: &str) -> impl Future<Output = Result<Option<Bytes>, PlatformError>> + Send;
}
