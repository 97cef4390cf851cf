//! A response that is arriving.

use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::time::{Instant, timeout};

use crate::{events, metrics};

use super::{CallError, Connection, Response};

/// Maximum size of a response body, in bytes.
const MAX_BODY_BYTES: usize = 8 << 20;

/// Time without a further part of a body after which the response is given up.
const MAX_PART_INTERVAL: Duration = Duration::from_millis(1_000);

/// Maximum time that a body may take whose parts keep arriving. The largest one takes 6.7 s at 10 Mbit/s.
pub(super) const MAX_BODY_TIME: Duration = Duration::from_secs(8);

/// A response whose head has arrived. If it is dropped before its body is complete, its connection is
/// reset, so that the rest isn't transmitted.
pub(super) struct IncomingResponse {
    pub(super) status: u16,
    kind: &'static str,
    head_bytes: usize,
    body: Incoming,
    /// What has been received, unless it is passed on.
    received: BytesMut,
    received_bytes: usize,
    head_received_at: Instant,
    /// Connection of the response; taken once the body is complete.
    connection: Option<Connection>,
}

impl IncomingResponse {
    /// Creates a response of a call of the given kind from its head.
    pub(super) fn new(
        kind: &'static str,
        response: http::Response<Incoming>,
        connection: Connection,
    ) -> Self {
        let head_bytes = metrics::head_bytes(0, response.headers());
        Self {
            status: response.status().as_u16(),
            kind,
            head_bytes,
            body: response.into_body(),
            received: BytesMut::new(),
            received_bytes: 0,
            head_received_at: Instant::now(),
            connection: Some(connection),
        }
    }

    /// Receives the whole body; returns the response and the connection, which can be used again.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails or the body is too large.
    pub(super) async fn receive(mut self) -> Result<(Response, Connection), CallError> {
        while self.receive_part().await? {}
        self.finish()
    }

    /// Receives the body as [`Self::receive`] does, however long it takes, as long as its parts keep
    /// arriving.
    ///
    /// # Errors
    ///
    /// As for [`Self::receive`]; also returns an error if no part arrives for [`MAX_PART_INTERVAL`], or if
    /// the body isn't complete after [`MAX_BODY_TIME`].
    pub(super) async fn receive_while_arriving(
        mut self,
    ) -> Result<(Response, Connection), CallError> {
        let deadline = self.head_received_at + MAX_BODY_TIME;
        loop {
            let limit = deadline.saturating_duration_since(Instant::now());
            let part = timeout(limit.min(MAX_PART_INTERVAL), self.receive_part()).await;
            if !part.unwrap_or(Err(CallError::NoAnswer))? {
                return self.finish();
            }
        }
    }

    /// Receives the body and passes its parts, with the status, to `on_part` as they arrive; returns the
    /// connection, which can be used again.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails.
    pub(super) async fn receive_in_parts(
        mut self,
        mut on_part: impl FnMut(u16, &[u8]),
    ) -> Result<Connection, CallError> {
        while let Some(frame) = self.body.frame().await {
            let frame = frame.map_err(|_| CallError::NoAnswer)?;
            if let Some(part) = frame.data_ref() {
                self.received_bytes += part.len();
                on_part(self.status, part);
            }
        }
        self.take_connection().ok_or(CallError::NoAnswer)
    }

    /// Receives a part of the body; returns `false` if the body is complete.
    async fn receive_part(&mut self) -> Result<bool, CallError> {
        let Some(frame) = self.body.frame().await else {
            return Ok(false);
        };
        let frame = frame.map_err(|_| CallError::NoAnswer)?;
        if let Ok(part) = frame.into_data() {
            self.reserve_for(part.len())?;
            self.received.extend_from_slice(&part);
            self.received_bytes += part.len();
        }
        Ok(true)
    }

    /// Makes room for a part and, if the length of the body is known, for the rest of it.
    fn reserve_for(&mut self, part_bytes: usize) -> Result<(), CallError> {
        if self.received.len() + part_bytes > MAX_BODY_BYTES {
            log::warn!("a response of kind {} is too large", self.kind);
            return Err(CallError::NoAnswer);
        }
        let rest = usize::try_from(self.body.size_hint().lower()).unwrap_or(MAX_BODY_BYTES);
        self.received
            .reserve((part_bytes + rest).min(MAX_BODY_BYTES));
        Ok(())
    }

    fn finish(mut self) -> Result<(Response, Connection), CallError> {
        let response = Response {
            status: self.status,
            body: self.received.split().freeze(),
        };
        let connection = self.take_connection().ok_or(CallError::NoAnswer)?;
        Ok((response, connection))
    }

    /// Polls for a part of the body that is passed on.
    pub(super) fn poll_part(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, CallError>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(cx));
        if let Some(Ok(frame)) = &frame {
            self.received_bytes += frame.data_ref().map_or(0, Bytes::len);
        }
        Poll::Ready(frame.map(|frame| frame.map_err(|_| CallError::NoAnswer)))
    }

    /// Returns whether the whole body has been received.
    pub(super) fn is_complete(&self) -> bool {
        self.body.is_end_stream()
    }

    /// Returns how much of the body hasn't been received yet.
    pub(super) fn rest(&self) -> SizeHint {
        self.body.size_hint()
    }

    /// Takes the connection of a complete response, which can be used again, and counts the response.
    pub(super) fn take_connection(&mut self) -> Option<Connection> {
        let connection = self.connection.take()?;
        metrics::record_received_response(self.kind, self.head_bytes + self.received_bytes);
        Some(connection)
    }
}

impl Drop for IncomingResponse {
    fn drop(&mut self) {
        if self.connection.is_none() || self.received_bytes == 0 {
            return;
        }
        let elapsed_ms = self.head_received_at.elapsed().as_millis();
        metrics::record_abandoned_response(self.kind, self.received_bytes);
        events::record(
            &events::RESPONSE_ABANDONED,
            &[&self.kind, &self.received_bytes, &elapsed_ms],
        );
    }
}
