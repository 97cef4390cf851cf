//! An open HTTP connection to another process.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::Instant;

/// Time after which a connection is closed if the peer's kernel doesn't acknowledge sent data.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Error of opening a connection.
#[derive(Debug, Error)]
pub(super) enum ConnectError {
    #[error(transparent)]
    Io(#[from] std::io::Error),
    #[error(transparent)]
    Http(#[from] hyper::Error),
}

/// An open connection, which is reset when it is dropped.
pub(super) struct Connection {
    pub(super) sender: SendRequest<Full<Bytes>>,
    /// Time at which it was open.
    pub(super) opened_at: Instant,
    /// Task that drives the connection.
    task: AbortHandle,
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Returns an error if the peer can't be connected to.
    pub(super) async fn open(address: SocketAddr) -> Result<Self, ConnectError> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let socket = SockRef::from(&stream);
        socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))?;
        // Closing resets the connection, so that unsent bytes of an abandoned call are not delivered
        // once a network partition heals.
        socket.set_linger(Some(Duration::ZERO))?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        let task = tokio::task::spawn_local(async move {
            if let Err(error) = connection.await {
                log::debug!("connection to {address} failed: {error}");
            }
        });
        Ok(Self {
            sender,
            opened_at: Instant::now(),
            task: task.abort_handle(),
        })
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}
