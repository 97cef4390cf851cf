//! Body of a response that reports the outcomes of orders as they become known.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use hyper::body::{Body, Frame};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

use super::messages::{Outcome, STARTS_KIND};
use crate::{metrics, rows};

/// Body that ends once all of its [`OutcomeReporter`]s are dropped.
pub(crate) struct OutcomeStream {
    lines: UnboundedReceiver<Bytes>,
}

/// Adds outcomes to an [`OutcomeStream`]. At most as many are buffered as there are orders in the batch.
#[derive(Clone)]
pub(super) struct OutcomeReporter {
    lines: UnboundedSender<Bytes>,
}

impl OutcomeStream {
    /// Creates a body and a reporter for it.
    pub(super) fn new() -> (OutcomeReporter, Self) {
        let (sender, receiver) = unbounded_channel();
        (OutcomeReporter { lines: sender }, Self { lines: receiver })
    }
}

impl OutcomeReporter {
    /// Reports an outcome, unless the scheduler no longer waits for it.
    pub(super) fn report(&self, outcome: Outcome) {
        let mut line = rows::encode(&outcome);
        line.push(b'\n');
        if self.lines.send(Bytes::from(line)).is_err() {
            log::debug!("the scheduler no longer waits for the outcome of an order");
        }
    }

    /// Returns whether the scheduler still waits for outcomes.
    pub(super) fn is_awaited(&self) -> bool {
        !self.lines.is_closed()
    }
}

impl Body for OutcomeStream {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let line = ready!(self.lines.poll_recv(cx));
        Poll::Ready(line.map(|line| {
            metrics::record_served_part(STARTS_KIND, line.len());
            Ok(Frame::data(line))
        }))
    }
}
