//! Connection whose reads fail once the next request's head is overdue.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{Sleep, sleep_until};

use super::head_timer::HeadTimer;

/// Connection that fails a pending read at the deadline of its [`HeadTimer`].
///
/// The HTTP server's own timeout starts as soon as the previous response is written, so it would
/// also close a connection on which the caller merely has nothing to send.
#[derive(Debug)]
pub(crate) struct HeadTimeoutIo<S> {
    stream: S,
    timer: HeadTimer,
    sleep: Option<Pin<Box<Sleep>>>,
}

impl<S> HeadTimeoutIo<S> {
    /// Wraps a connection.
    pub(crate) fn new(stream: S, timer: HeadTimer) -> Self {
        Self {
            stream,
            timer,
            sleep: None,
        }
    }

    /// Completes when the head is overdue.
    fn poll_overdue(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let Some(deadline) = self.timer.deadline() else {
            self.sleep = None;
            return Poll::Pending;
        };
        let sleep = self
            .sleep
            .get_or_insert_with(|| Box::pin(sleep_until(deadline)));
        if sleep.deadline() != deadline {
            sleep.as_mut().reset(deadline);
        }
        sleep.as_mut().poll(cx)
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for HeadTimeoutIo<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        if let Poll::Ready(result) = Pin::new(&mut self.stream).poll_read(cx, buf) {
            if buf.filled().len() > before {
                self.timer.on_read();
            }
            return Poll::Ready(result);
        }
        ready!(self.poll_overdue(cx));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for HeadTimeoutIo<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(cx, buf);
        if let Poll::Ready(Ok(_)) = result {
            self.timer.on_write();
        }
        result
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        if let Poll::Ready(Ok(_)) = result {
            self.timer.on_write();
        }
        result
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
