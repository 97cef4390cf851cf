//! A connection that can send extra bytes after a response.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use bytes::{Buf, Bytes};
use parking_lot::Mutex;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Bytes to send after the response that is being written.
pub(crate) type TrailingBytes = Arc<Mutex<Bytes>>;

/// A connection that sends the trailing bytes at the next flush.
#[derive(Debug)]
pub(crate) struct TrailingIo {
    stream: TcpStream,
    trailing_bytes: TrailingBytes,
}

impl TrailingIo {
    /// Wraps a connection.
    pub(crate) fn new(stream: TcpStream, trailing_bytes: TrailingBytes) -> Self {
        Self {
            stream,
            trailing_bytes,
        }
    }
}

impl AsyncRead for TrailingIo {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for TrailingIo {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let mut trailing_bytes = this.trailing_bytes.lock();
        while !trailing_bytes.is_empty() {
            let written = ready!(Pin::new(&mut this.stream).poll_write(cx, &trailing_bytes))?;
            trailing_bytes.advance(written);
        }
        Pin::new(&mut this.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
