//! Body of a backend server's answer, which may break off.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, SizeHint};

/// A body of one piece that ends well or with an error.
#[derive(Debug)]
pub(crate) struct ResponseBody {
    data: Full<Bytes>,
    abort_stage: Option<AbortStage>,
}

/// How far the end of a cut body has come.
#[derive(Clone, Copy, Debug)]
enum AbortStage {
    /// What was sent is still to be flushed.
    Flush,
    /// The connection is to break.
    Abort,
}

impl ResponseBody {
    /// Creates a whole body.
    pub(crate) fn complete(data: Full<Bytes>) -> Self {
        Self {
            data,
            abort_stage: None,
        }
    }

    /// Creates a body of which only `data` is sent before the connection breaks.
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
