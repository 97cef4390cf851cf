//! Bodies of requests, within the memory that a listener has for them.

use std::future::Future;
use std::ops::Deref;
use std::sync::Arc;

use bytes::{Buf, Bytes};
use http_body::Body as HttpBody;
use http_body_util::BodyExt;
use thiserror::Error;
use tokio::time::timeout;

use crate::connection::Connection;
use crate::incident::{Incident, Observer};
use crate::table::Room;

/// First size of the buffer of a body whose length isn't declared, in bytes.
const FIRST_BYTES: usize = 1_024;

/// Factor by which the buffer of such a body grows.
const GROWTH: usize = 2;

/// Reason why a body isn't read. The request may then be refused as not run; the connection must be closed after
/// the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum BodyError {
    /// The body is larger than the caller of [`Connection::read_body`] allows.
    #[error("the body is too large")]
    TooLarge,
    /// The client went away, or sent what isn't a body.
    #[error("the body can't be read")]
    Broken,
    /// The body wasn't complete in time.
    #[error("the body wasn't complete in time")]
    Late,
    /// The memory for bodies is used up.
    #[error("too many bodies are being received")]
    NoRoom,
}

/// Complete body of a request. Its memory is free for others once it is dropped.
#[derive(Debug)]
pub struct Body<O> {
    bytes: Vec<u8>,
    connection: Arc<Connection<O>>,
}

impl<O> Deref for Body<O> {
    type Target = [u8];

    fn deref(&self) -> &[u8] {
        &self.bytes
    }
}

impl<O> Drop for Body<O> {
    fn drop(&mut self) {
        self.bytes = Vec::new();
        let gate = &self.connection.gate;
        gate.table.lock().release(self.connection.key);
    }
}

impl<O: Observer> Connection<O> {
    /// Reads the body of a request, of `max_bytes` at most.
    ///
    /// Its bytes are copied to a buffer of their own, as the parts that arrive keep larger ones alive.
    ///
    /// # Errors
    ///
    /// Returns the reason why the body isn't read; the request hasn't been handled then.
    pub async fn read_body<B>(
        self: &Arc<Self>,
        body: B,
        max_bytes: usize,
    ) -> Result<Body<O>, BodyError>
    where
        B: HttpBody<Data = Bytes> + Unpin,
    {
        let read = self.collect(body, max_bytes);
        let read = self.in_time(read).await;
        match read {
            Err(BodyError::Late) => self.gate.record(Incident::BodyLate),
            Err(BodyError::NoRoom) => self.gate.record(Incident::BodyRefused),
            Ok(_) | Err(BodyError::TooLarge | BodyError::Broken) => {}
        }
        read
    }

    async fn in_time(
        &self,
        read: impl Future<Output = Result<Body<O>, BodyError>>,
    ) -> Result<Body<O>, BodyError> {
        let limit = self.gate.limits().body_time;
        timeout(limit, read).await.unwrap_or(Err(BodyError::Late))
    }

    async fn collect<B>(
        self: &Arc<Self>,
        mut from: B,
        max_bytes: usize,
    ) -> Result<Body<O>, BodyError>
    where
        B: HttpBody<Data = Bytes> + Unpin,
    {
        let mut body = Body {
            bytes: Vec::new(),
            connection: self.clone(),
        };
        let hint = from.size_hint();
        if hint.lower() > u64::try_from(max_bytes).unwrap_or(u64::MAX) {
            return Err(BodyError::TooLarge);
        }
        self.gate.table.lock().await_body(self.key);
        let declared = hint.exact().and_then(|bytes| usize::try_from(bytes).ok());
        if let Some(bytes) = declared {
            body.grow_to(bytes)?;
        }
        while let Some(frame) = from.frame().await {
            let frame = frame.map_err(|_| BodyError::Broken)?;
            // Trailers aren't kept.
            if let Ok(data) = frame.into_data() {
                body.append(&data, max_bytes)?;
            }
        }
        self.end_body()?;
        Ok(body)
    }

    /// Notes that a body is complete, unless the connection is being closed.
    fn end_body(&self) -> Result<(), BodyError> {
        let mut table = self.gate.table.lock();
        if table.is_closing(self.key) {
            return Err(BodyError::NoRoom);
        }
        table.handle(self.key);
        Ok(())
    }
}

impl<O: Observer> Body<O> {
    fn append(&mut self, data: &Bytes, max_bytes: usize) -> Result<(), BodyError> {
        let bytes = self.bytes.len() + data.remaining();
        if bytes > max_bytes {
            return Err(BodyError::TooLarge);
        }
        if bytes > self.bytes.capacity() {
            let grown = (self.bytes.capacity() * GROWTH).max(FIRST_BYTES);
            self.grow_to(bytes.max(grown.min(max_bytes)))?;
        }
        self.bytes.extend_from_slice(data);
        Ok(())
    }

    /// Makes the buffer hold this many bytes, if the memory for bodies allows it.
    fn grow_to(&mut self, bytes: usize) -> Result<(), BodyError> {
        let gate = &self.connection.gate;
        let more = bytes - self.bytes.capacity();
        let max_bytes = gate.limits().body_bytes;
        let room = gate.table.lock().hold(self.connection.key, more, max_bytes);
        match room {
            Room::Free => {}
            Room::Made(count) => (0..count).for_each(|_| gate.record(Incident::BodyDisplaced)),
            Room::None => return Err(BodyError::NoRoom),
        }
        self.bytes.reserve_exact(bytes - self.bytes.len());
        Ok(())
    }
}
