//! Extra bytes that a connection sends besides its responses.

use std::sync::Arc;

use bytes::Bytes;
use parking_lot::Mutex;

/// Extra bytes of one connection, set by its handler and sent by its I/O.
pub(crate) type SharedTrailingBytes = Arc<Mutex<TrailingBytes>>;

/// Bytes to send after a response.
#[derive(Debug, Default)]
pub(crate) struct TrailingBytes {
    /// Bytes that directly follow the response that is being written.
    pub(crate) after_response: Bytes,
    /// Bytes that are sent once the next request arrives, ahead of its response.
    pub(crate) after_next_request: Bytes,
}

impl TrailingBytes {
    /// Makes the bytes that waited for the next request due.
    pub(crate) fn on_request(&mut self) {
        if !self.after_next_request.is_empty() {
            self.after_response = std::mem::take(&mut self.after_next_request);
        }
    }
}
