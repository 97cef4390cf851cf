//! Byte counters for the peer listener's connections.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Bytes received and sent on the peer listener's connections, HTTP headers included.
#[derive(Debug, Default)]
pub(crate) struct PeerBytes {
    received: AtomicU64,
    sent: AtomicU64,
}

impl PeerBytes {
    /// Returns the number of bytes received from peers.
    pub(crate) fn received(&self) -> u64 {
        self.received.load(Ordering::Relaxed)
    }

    /// Returns the number of bytes sent to peers in responses.
    pub(crate) fn sent(&self) -> u64 {
        self.sent.load(Ordering::Relaxed)
    }
}

/// Connection that adds the bytes it transfers to shared counters.
#[derive(Debug)]
pub(crate) struct CountedIo<S> {
    stream: S,
    bytes: Arc<PeerBytes>,
}

impl<S> CountedIo<S> {
    /// Wraps a connection whose bytes are added to `bytes`.
    pub(crate) fn new(stream: S, bytes: Arc<PeerBytes>) -> Self {
        Self { stream, bytes }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for CountedIo<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(cx, buf);
        let read = buf.filled().len() - before;
        self.bytes
            .received
            .fetch_add(read as u64, Ordering::Relaxed);
        result
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for CountedIo<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(cx, buf);
        if let Poll::Ready(Ok(written)) = result {
            self.bytes.sent.fetch_add(written as u64, Ordering::Relaxed);
        }
        result
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
