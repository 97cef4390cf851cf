//! A connection that can send extra bytes after a response.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Buf;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use super::trailing_bytes::SharedTrailingBytes;

/// A connection that sends the trailing bytes at the next flush.
#[derive(Debug)]
pub(crate) struct TrailingIo {
    stream: TcpStream,
    trailing_bytes: SharedTrailingBytes,
}

impl TrailingIo {
    /// Wraps a connection.
    pub(crate) fn new(stream: TcpStream, trailing_bytes: SharedTrailingBytes) -> Self {
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
        let before = buf.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(cx, buf);
        if buf.filled().len() > before {
            self.trailing_bytes.lock().on_request();
        }
        result
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
        let due = &mut trailing_bytes.after_response;
        while !due.is_empty() {
            let written = ready!(Pin::new(&mut this.stream).poll_write(cx, due))?;
            due.advance(written);
        }
        Pin::new(&mut this.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
