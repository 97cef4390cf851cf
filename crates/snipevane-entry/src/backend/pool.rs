//! Connections that are kept between exchanges; each carries one exchange at a time.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode, header};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use rustc_hash::FxHashMap;
use smol_str::{SmolStr, format_smolstr};
use snipevane_proto::digest;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::time::timeout;

/// Longest time for a connection's task to end once the connection has.
const LONGEST_END: Duration = Duration::from_millis(100);

/// Why an exchange gave no whole answer.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub(crate) enum ExchangeError {
    /// No byte of the request left.
    #[error("not sent: {0}")]
    NotSent(SmolStr),
    /// The request, or a part of it, may have reached the server.
    #[error("interrupted: {0}")]
    Interrupted(SmolStr),
    /// The answer is larger than allowed.
    #[error("the answer is larger than {0} bytes")]
    TooLarge(usize),
}

/// An answer that was read to its end.
#[derive(Debug)]
pub(crate) struct WholeResponse {
    /// Status code.
    pub(crate) status: StatusCode,
    /// Headers.
    pub(crate) headers: HeaderMap,
    /// Body.
    pub(crate) body: Bytes,
    /// Whether the server closes the connection after this answer.
    pub(crate) closes: bool,
}

/// Bounds of a pool of connections.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PoolSettings {
    /// Longest wait for a connection.
    pub(crate) connect_timeout: Duration,
    /// Longest time that a connection is kept without use.
    pub(crate) longest_idle: Duration,
    /// Largest answer, in bytes.
    pub(crate) max_answer_bytes: usize,
}

impl Default for PoolSettings {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_millis(500),
            longest_idle: Duration::from_secs(5),
            max_answer_bytes: 8 * 1024 * 1024,
        }
    }
}

/// A connection that carries one exchange at a time.
struct Connection {
    sender: SendRequest<Full<Bytes>>,
    /// Tells, when the connection has ended, whether the server broke the protocol.
    ended: oneshot::Receiver<bool>,
}

struct Idle {
    connection: Connection,
    since: Instant,
}

/// Connections by server.
///
/// A connection is used for one exchange at a time and kept only after the answer was read to
/// its end, so an answer never reaches another exchange.
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

    /// Sends a request and reads the whole answer.
    ///
    /// A kept connection that the server closed in the meantime is replaced as long as no byte of
    /// the request left.
    ///
    /// # Errors
    ///
    /// Says whether the request may have reached the server.
    pub(crate) async fn exchange(
        &self,
        address: SocketAddr,
        mut req: Request<Full<Bytes>>,
    ) -> Result<WholeResponse, ExchangeError> {
        while let Some(connection) = self.take(address) {
            match self.send(address, connection, req).await {
                Err(Attempt::Unsent(unsent, _)) => req = *unsent,
                Err(Attempt::Failed(error)) => return Err(error),
                Ok(response) => return Ok(response),
            }
        }
        self.exchange_once(address, req).await
    }

    /// Sends a request on a new connection and reads the whole answer.
    ///
    /// # Errors
    ///
    /// Says whether the request may have reached the server.
    pub(crate) async fn exchange_once(
        &self,
        address: SocketAddr,
        req: Request<Full<Bytes>>,
    ) -> Result<WholeResponse, ExchangeError> {
        let connection = self.connect(address).await?;
        self.send(address, connection, req)
            .await
            .map_err(|attempt| match attempt {
                Attempt::Unsent(_, reason) => ExchangeError::NotSent(reason),
                Attempt::Failed(error) => error,
            })
    }

    fn take(&self, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.lock();
        let kept = idle.get_mut(&address)?;
        while let Some(idle) = kept.pop() {
            let fresh = idle.since.elapsed() < self.settings.longest_idle;
            if fresh && !idle.connection.sender.is_closed() {
                return Some(idle.connection);
            }
        }
        None
    }

    fn keep(&self, address: SocketAddr, connection: Connection) {
        let since = Instant::now();
        let idle = Idle { connection, since };
        self.idle.lock().entry(address).or_default().push(idle);
    }

    async fn connect(&self, address: SocketAddr) -> Result<Connection, ExchangeError> {
        let not_sent = |reason: SmolStr| ExchangeError::NotSent(reason);
        let stream = timeout(self.settings.connect_timeout, TcpStream::connect(address))
            .await
            .map_err(|_| not_sent("no connection in time".into()))?
            .map_err(|error| not_sent(format_smolstr!("{error}")))?;
        // Without this, small requests wait for the acknowledgement of the former segment.
        let _ = stream.set_nodelay(true);
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|error| not_sent(format_smolstr!("{error}")))?;
        let (tx, ended) = oneshot::channel();
        tokio::spawn(async move {
            // Nobody waits for the end of a connection that is kept or was closed.
            let _ = tx.send(connection.await.is_err());
        });
        Ok(Connection { sender, ended })
    }

    async fn send(
        &self,
        address: SocketAddr,
        mut connection: Connection,
        req: Request<Full<Bytes>>,
    ) -> Result<WholeResponse, Attempt> {
        if let Err(error) = connection.sender.ready().await {
            return Err(Attempt::Unsent(Box::new(req), format_smolstr!("{error}")));
        }
        let response = match connection.sender.try_send_request(req).await {
            Ok(response) => response,
            Err(mut error) => {
                let reason = format_smolstr!("{}", error.error());
                return Err(match error.take_message() {
                    Some(req) => Attempt::Unsent(Box::new(req), reason),
                    None => Attempt::Failed(ExchangeError::Interrupted(reason)),
                });
            }
        };
        let whole = self.read(response).await.map_err(Attempt::Failed)?;
        if whole.closes {
            return Ok(whole);
        }
        if connection.sender.ready().await.is_ok() {
            self.keep(address, connection);
            return Ok(whole);
        }
        // Bytes after the answer's stated end mean that the end was wrong.
        let broken = timeout(LONGEST_END, connection.ended).await;
        if matches!(broken, Ok(Ok(false))) {
            return Ok(whole);
        }
        let reason = SmolStr::new_static("bytes follow the stated end of the answer");
        Err(Attempt::Failed(ExchangeError::Interrupted(reason)))
    }

    async fn read(
        &self,
        response: http::Response<Incoming>,
    ) -> Result<WholeResponse, ExchangeError> {
        let (parts, body) = response.into_parts();
        let closes = parts
            .headers
            .get(header::CONNECTION)
            .is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close"));
        let max = self.settings.max_answer_bytes;
        let body = Limited::new(body, max).collect().await.map_err(|error| {
            if error.is::<LengthLimitError>() {
                return ExchangeError::TooLarge(max);
            }
            ExchangeError::Interrupted(format_smolstr!("{error}"))
        })?;
        let body = body.to_bytes();
        // A backend server that states a wrong length can only be told by the body's digest.
        let digest = parts.headers.get(digest::CONTENT_DIGEST);
        let digest = digest.and_then(|value| value.to_str().ok());
        if digest.is_some_and(|value| !digest::matches(value, &body)) {
            let reason = SmolStr::new_static("the body doesn't have the stated digest");
            return Err(ExchangeError::Interrupted(reason));
        }
        Ok(WholeResponse {
            status: parts.status,
            headers: parts.headers,
            body,
            closes,
        })
    }
}

enum Attempt {
    Unsent(Box<Request<Full<Bytes>>>, SmolStr),
    Failed(ExchangeError),
}
