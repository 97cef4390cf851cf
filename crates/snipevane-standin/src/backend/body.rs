//! Response body that can end with an aborted connection.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, SizeHint};

/// A body sent as one frame, after which the response either completes or fails.
#[derive(Debug)]
pub(crate) struct ResponseBody {
    data: Full<Bytes>,
    abort_stage: Option<AbortStage>,
}

/// Next step in ending a truncated body.
#[derive(Clone, Copy, Debug)]
enum AbortStage {
    /// Yield once so that the data already sent is flushed.
    Flush,
    /// Fail the body, which aborts the connection.
    Abort,
}

impl ResponseBody {
    /// Creates a body that is sent completely.
    pub(crate) fn complete(data: Full<Bytes>) -> Self {
        Self {
            data,
            abort_stage: None,
        }
    }

    /// Creates a body that aborts the connection after `data` has been sent.
    pub(crate) fn truncated(data: Bytes) -> Self {
        Self {
            data: Full::new(data),
            abort_stage: Some(AbortStage::Flush),
        }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        if let Some(Ok(frame)) = ready!(Pin::new(&mut self.data).poll_frame(cx)) {
            return Poll::Ready(Some(Ok(frame)));
        }
        match self.abort_stage {
            None => Poll::Ready(None),
            Some(AbortStage::Flush) => {
                self.abort_stage = Some(AbortStage::Abort);
                cx.waker().wake_by_ref();
                Poll::Pending
            }
            Some(AbortStage::Abort) => {
                Poll::Ready(Some(Err(io::ErrorKind::ConnectionAborted.into())))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.abort_stage.is_none() && self.data.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        match self.abort_stage {
            None => self.data.size_hint(),
            Some(_) => SizeHint::default(),
        }
    }
}
