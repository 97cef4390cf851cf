//! Pool of reusable HTTP/1 connections, each of which carries one exchange at a time.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, HeaderValue, Request, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use rustc_hash::FxHashMap;
use smol_str::{SmolStr, format_smolstr};
use snipevane_proto::digest;
use snipevane_proto::headers::EXCHANGE;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::time::timeout;

/// Maximum time to wait for a connection's task to end after the connection has closed.
const MAX_CLOSE_WAIT: Duration = Duration::from_millis(100);

/// Reason why an exchange returned no complete response.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub(crate) enum ExchangeError {
    /// No byte of the request was sent.
    #[error("not sent: {0}")]
    NotSent(SmolStr),
    /// The request may have reached the server, at least in part.
    #[error("interrupted: {0}")]
    Interrupted(SmolStr),
    /// A reused connection failed before a response to the request began. The request may have
    /// reached the server.
    #[error("reused connection failed: {0}")]
    ReusedConnection(SmolStr),
    /// The response body is larger than allowed.
    #[error("the response is larger than {0} bytes")]
    TooLarge(usize),
}

/// A response that was read completely.
#[derive(Debug)]
pub(crate) struct BufferedResponse {
    /// Status code.
    pub(crate) status: StatusCode,
    /// Headers.
    pub(crate) headers: HeaderMap,
    /// Body.
    pub(crate) body: Bytes,
    /// Whether the server closes the connection after this response.
    pub(crate) closes: bool,
}

/// Settings of a connection pool.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PoolSettings {
    /// Maximum time to establish a connection.
    pub(crate) connect_timeout: Duration,
    /// Maximum time that an idle connection is kept for reuse.
    pub(crate) max_idle: Duration,
    /// Maximum size of a response body, in bytes.
    pub(crate) max_response_bytes: usize,
}

impl Default for PoolSettings {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_millis(500),
            max_idle: Duration::from_secs(5),
            max_response_bytes: 8 * 1024 * 1024,
        }
    }
}

/// A connection that carries one exchange at a time.
struct Connection {
    sender: SendRequest<Full<Bytes>>,
    /// Resolves when the connection has ended, to whether it ended with an error, which is taken as
    /// a violation of the protocol by the server.
    protocol_error: oneshot::Receiver<bool>,
}

struct Idle {
    connection: Connection,
    since: Instant,
}

/// Pool of idle connections by server address.
///
/// A connection carries one exchange at a time and is reused only after the response was read
/// completely and doesn't name another exchange.
pub(crate) struct ConnectionPool {
    settings: PoolSettings,
    idle: Mutex<FxHashMap<SocketAddr, Vec<Idle>>>,
}

impl ConnectionPool {
    /// Creates an empty pool.
    pub(crate) fn new(settings: PoolSettings) -> Self {
        Self {
            settings,
            idle: Mutex::default(),
        }
    }

    /// Sends a request on a pooled or new connection and reads the whole response.
    ///
    /// If the server closed a pooled connection in the meantime, another connection is used, as
    /// long as no byte of the request was sent.
    ///
    /// # Errors
    ///
    /// Returns an [`ExchangeError`] that tells whether the request may have reached the server.
    pub(crate) async fn exchange(
        &self,
        address: SocketAddr,
        mut req: Request<Full<Bytes>>,
    ) -> Result<BufferedResponse, ExchangeError> {
        while let Some(connection) = self.take_idle(address) {
            match self.send(address, connection, req).await {
                Err(SendError::NotSent(unsent, _)) => req = *unsent,
                Err(SendError::NoResponse(reason)) => {
                    return Err(ExchangeError::ReusedConnection(reason));
                }
                Err(SendError::Failed(error)) => return Err(error),
                Ok(response) => return Ok(response),
            }
        }
        self.exchange_once(address, req).await
    }

    /// Sends a request on a new connection and reads the whole response.
    ///
    /// # Errors
    ///
    /// Returns an [`ExchangeError`] that tells whether the request may have reached the server.
    pub(crate) async fn exchange_once(
        &self,
        address: SocketAddr,
        req: Request<Full<Bytes>>,
    ) -> Result<BufferedResponse, ExchangeError> {
        let connection = self.connect(address).await?;
        self.send(address, connection, req)
            .await
            .map_err(|attempt| match attempt {
                SendError::NotSent(_, reason) => ExchangeError::NotSent(reason),
                SendError::NoResponse(reason) => ExchangeError::Interrupted(reason),
                SendError::Failed(error) => error,
            })
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.lock();
        let idle_connections = idle.get_mut(&address)?;
        while let Some(idle) = idle_connections.pop() {
            let fresh = idle.since.elapsed() < self.settings.max_idle;
            if fresh && !idle.connection.sender.is_closed() {
                return Some(idle.connection);
            }
        }
        None
    }

    fn put_idle(&self, address: SocketAddr, connection: Connection) {
        let since = Instant::now();
        let idle = Idle { connection, since };
        self.idle.lock().entry(address).or_default().push(idle);
    }

    async fn connect(&self, address: SocketAddr) -> Result<Connection, ExchangeError> {
        let not_sent = |reason: SmolStr| ExchangeError::NotSent(reason);
        let stream = timeout(self.settings.connect_timeout, TcpStream::connect(address))
            .await
            .map_err(|_| not_sent("the connection attempt timed out".into()))?
            .map_err(|error| not_sent(format_smolstr!("{error}")))?;
        // Disables Nagle's algorithm, which would hold back small requests until the previous
        // segment is acknowledged.
        let _ = stream.set_nodelay(true);
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|error| not_sent(format_smolstr!("{error}")))?;
        let (tx, protocol_error) = oneshot::channel();
        tokio::spawn(async move {
            // The receiver is dropped if nothing waits for the end of this connection.
            let _ = tx.send(connection.await.is_err());
        });
        Ok(Connection {
            sender,
            protocol_error,
        })
    }

    async fn send(
        &self,
        address: SocketAddr,
        mut connection: Connection,
        req: Request<Full<Bytes>>,
    ) -> Result<BufferedResponse, SendError> {
        if let Err(error) = connection.sender.ready().await {
            return Err(SendError::NotSent(
                Box::new(req),
                format_smolstr!("{error}"),
            ));
        }
        let exchange = req.headers().get(EXCHANGE).cloned();
        let response = match connection.sender.try_send_request(req).await {
            Ok(response) => response,
            Err(mut error) => {
                let reason = format_smolstr!("{}", error.error());
                return Err(match error.take_message() {
                    Some(req) => SendError::NotSent(Box::new(req), reason),
                    None => SendError::NoResponse(reason),
                });
            }
        };
        let whole = self.read(response).await.map_err(SendError::Failed)?;
        if !belongs_to(exchange.as_ref(), &whole.headers) {
            // The connection isn't reused, because its next response would belong to this exchange.
            let reason = SmolStr::new_static("the response belongs to another exchange");
            return Err(SendError::NoResponse(reason));
        }
        if whole.closes {
            return Ok(whole);
        }
        if connection.sender.ready().await.is_ok() {
            self.put_idle(address, connection);
            return Ok(whole);
        }
        // Bytes after the end that the response states mean that the stated length was wrong.
        let broken = timeout(MAX_CLOSE_WAIT, connection.protocol_error).await;
        if matches!(broken, Ok(Ok(false))) {
            return Ok(whole);
        }
        let reason =
            SmolStr::new_static("the server sent bytes after the stated end of the response");
        Err(SendError::Failed(ExchangeError::Interrupted(reason)))
    }

    async fn read(
        &self,
        response: http::Response<Incoming>,
    ) -> Result<BufferedResponse, ExchangeError> {
        let (parts, body) = response.into_parts();
        let closes = parts
            .headers
            .get(header::CONNECTION)
            .is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close"));
        let max = self.settings.max_response_bytes;
        let body = read_whole(body, max).await?;
        // A wrong length stated by the backend server can be detected only by the body's digest.
        let digest = parts.headers.get(digest::CONTENT_DIGEST);
        let digest = digest.and_then(|value| value.to_str().ok());
        if digest.is_some_and(|value| !digest::matches(value, &body)) {
            let reason = SmolStr::new_static("the body doesn't match its Content-Digest header");
            return Err(ExchangeError::Interrupted(reason));
        }
        Ok(BufferedResponse {
            status: parts.status,
            headers: parts.headers,
            body,
            closes,
        })
    }
}

/// Reads a body of up to `max` bytes into one buffer.
async fn read_whole(mut body: Incoming, max: usize) -> Result<Bytes, ExchangeError> {
    let declared = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    if declared > max {
        return Err(ExchangeError::TooLarge(max));
    }
    let mut whole = BytesMut::with_capacity(declared);
    while let Some(frame) = body.frame().await {
        let frame =
            frame.map_err(|error| ExchangeError::Interrupted(format_smolstr!("{error}")))?;
        // Trailers aren't forwarded.
        let Ok(part) = frame.into_data() else {
            continue;
        };
        if whole.len() + part.len() > max {
            return Err(ExchangeError::TooLarge(max));
        }
        whole.extend_from_slice(&part);
    }
    Ok(whole.freeze())
}

/// Returns whether a response belongs to the exchange that its request names.
///
/// A response without an exchange header is taken to belong to it. Any other value of the header,
/// valid or not, means that the response belongs to another exchange.
fn belongs_to(requested: Option<&HeaderValue>, response: &HeaderMap) -> bool {
    let (Some(requested), Some(named)) = (requested, response.get(EXCHANGE)) else {
        return true;
    };
    named.as_bytes().eq_ignore_ascii_case(requested.as_bytes())
}

/// Reason why a request failed on one connection.
enum SendError {
    /// No byte was sent; returns the request, so that it can be sent on another connection.
    NotSent(Box<Request<Full<Bytes>>>, SmolStr),
    /// The connection failed, or brought another exchange's response, before the response began.
    NoResponse(SmolStr),
    Failed(ExchangeError),
}
