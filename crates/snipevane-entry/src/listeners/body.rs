//! Reads and discards bodies of requests.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body as _, Incoming};
use snipevane_listeners::{Body, BodyError};
use tokio::time::timeout;

use super::{Client, Counter};

/// Body whose memory is free for others once the last copy is dropped.
struct Held(Body<Counter>);

impl AsRef<[u8]> for Held {
    fn as_ref(&self) -> &[u8] {
        &self.0
    }
}

/// Reads a body of up to `max_bytes` within the memory that its listener has for bodies.
///
/// # Errors
///
/// Returns the reason why the body isn't read; the rest of it is then still unread.
pub(crate) async fn read_body(
    client: &Arc<Client>,
    body: &mut Incoming,
    max_bytes: usize,
) -> Result<Bytes, BodyError> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let body = client.read_body(body, max_bytes).await?;
    Ok(Bytes::from_owner(Held(body)))
}

/// Reads and discards the rest of a refused request's body while the refusal is being sent.
///
/// Closing the connection with unread bytes would reset it, and the caller could lose the refusal.
pub(crate) fn discard_body(body: Incoming, max_bytes: usize, time_limit: Duration) {
    tokio::spawn(async move {
        let mut body = Limited::new(body, max_bytes);
        let read = async { while let Some(Ok(_)) = body.frame().await {} };
        // A caller that sends for longer, or more, is disconnected.
        let _ = timeout(time_limit, read).await;
    });
}
