//! The body of a response that is passed on while it arrives.

use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tokio::time::{Sleep, sleep};

use super::incoming::{IncomingResponse, MAX_BODY_TIME};
use super::{ArrivalGuard, CallError, Client};

/// Body of a response of another process, which is read as fast as it is passed on.
pub struct RelayedBody {
    response: IncomingResponse,
    /// Client and address to whose idle connections the response's connection returns.
    client: Client,
    address: SocketAddr,
    timeout: Pin<Box<Sleep>>,
    /// Counts the response until its body is dropped.
    guard: Option<ArrivalGuard>,
}

impl RelayedBody {
    pub(super) fn new(response: IncomingResponse, client: Client, address: SocketAddr) -> Self {
        Self {
            response,
            client,
            address,
            timeout: Box::pin(sleep(MAX_BODY_TIME)),
            guard: None,
        }
    }

    /// Keeps a guard that counts the response until its body is dropped.
    pub(crate) fn hold(&mut self, guard: Option<ArrivalGuard>) {
        self.guard = guard;
    }
}

impl Body for RelayedBody {
    type Data = Bytes;
    type Error = CallError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, CallError>>> {
        if self.timeout.as_mut().poll(cx).is_ready() {
            return Poll::Ready(Some(Err(CallError::NoAnswer)));
        }
        let frame = ready!(self.response.poll_part(cx));
        if self.response.is_complete()
            && let Some(connection) = self.response.take_connection()
        {
            self.client.return_to_pool(self.address, connection);
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.response.is_complete()
    }

    fn size_hint(&self) -> SizeHint {
        self.response.rest()
    }
}
