//! The one HTTP client: pooled connections, each call with a timeout.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use rustc_hash::FxHashMap;
use snipevane_adapter::{Method, Request};
use socket2::SockRef;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::timeout;

/// Largest body of an answer, in bytes.
const MAX_RESPONSE_BYTES: usize = 8 << 20;

/// Time after which a connection without acknowledgements from the peer's system is given up.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Idle connections kept for each address.
const MAX_IDLE_PER_ADDRESS: usize = 4;

/// An answer.
#[derive(Clone, Debug)]
pub struct Response {
    /// Status.
    pub status: u16,
    /// Body.
    pub body: Bytes,
}

/// A call that has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum CallError {
    /// No connection was made, so nothing was sent.
    #[error("no connection")]
    NotSent,
    /// The request may have been carried out, or may be later.
    #[error("no answer")]
    NoAnswer,
}

/// A connection; it is reset when it is dropped.
struct Connection {
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Connections to other processes.
#[derive(Clone, Default)]
pub struct Client {
    idle: Rc<RefCell<FxHashMap<SocketAddr, Vec<Connection>>>>,
}

impl Client {
    /// Sends a request and waits for the whole answer.
    ///
    /// # Errors
    ///
    /// Returns an error if no answer comes in time; the connection is then reset.
    pub async fn call(
        &self,
        address: SocketAddr,
        request: Request,
        limit: Duration,
    ) -> Result<Response, CallError> {
        let sent = Cell::new(false);
        match timeout(limit, self.exchange(address, request, &sent)).await {
            Ok(answer) => answer,
            Err(_) => Err(timeout_error(sent.get())),
        }
    }

    /// Sends a request and waits for the whole answer; leaves a request that was sent under way for
    /// `max_duration` if no answer comes in time.
    ///
    /// For requests that may be carried out late without harm: a slow peer then still does them.
    ///
    /// # Errors
    ///
    /// Returns an error if no answer comes in time.
    pub async fn call_detached(
        &self,
        address: SocketAddr,
        request: Request,
        limit: Duration,
        max_duration: Duration,
    ) -> Result<Response, CallError> {
        let sent = Rc::new(Cell::new(false));
        let (client, sent_flag) = (self.clone(), sent.clone());
        let exchange = tokio::task::spawn_local(async move {
            let exchange = client.exchange(address, request, &sent_flag);
            timeout(max_duration, exchange)
                .await
                .unwrap_or(Err(CallError::NoAnswer))
        });
        let abort = exchange.abort_handle();
        match timeout(limit, exchange).await {
            Ok(result) => result.unwrap_or(Err(CallError::NoAnswer)),
            Err(_) => {
                if !sent.get() {
                    abort.abort();
                }
                Err(timeout_error(sent.get()))
            }
        }
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        request: Request,
        sent: &Cell<bool>,
    ) -> Result<Response, CallError> {
        let mut connection = self.connection(address).await?;
        let request = to_http(address, request).ok_or(CallError::NotSent)?;
        sent.set(true);
        let response = connection.sender.send_request(request).await;
        let response = response.map_err(classify_error)?;
        let status = response.status().as_u16();
        let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES)
            .collect()
            .await;
        let body = body.map_err(|_| CallError::NoAnswer)?.to_bytes();
        self.return_to_pool(address, connection);
        Ok(Response { status, body })
    }

    async fn connection(&self, address: SocketAddr) -> Result<Connection, CallError> {
        while let Some(mut connection) = self.take_idle(address) {
            if connection.sender.ready().await.is_ok() {
                return Ok(connection);
            }
        }
        connect(address).await.map_err(|error| {
            log::debug!("no connection to {address}: {error}");
            CallError::NotSent
        })
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Connection> {
        self.idle.borrow_mut().get_mut(&address)?.pop()
    }

    fn return_to_pool(&self, address: SocketAddr, connection: Connection) {
        if connection.sender.is_closed() {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        let idle = idle.entry(address).or_default();
        if idle.len() < MAX_IDLE_PER_ADDRESS {
            idle.push(connection);
        }
    }

    /// Closes the idle connections to an address.
    pub fn close_idle(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }

    /// Closes all idle connections.
    pub fn close_all_idle(&self) {
        self.idle.borrow_mut().clear();
    }
}

#[derive(Debug, Error)]
enum ConnectError {
    #[error(transparent)]
    Io(#[from] std::io::Error),
    #[error(transparent)]
    Http(#[from] hyper::Error),
}

async fn connect(address: SocketAddr) -> Result<Connection, ConnectError> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let socket = SockRef::from(&stream);
    socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))?;
    // Bytes of a call that was given up must not be delivered once a partition heals.
    socket.set_linger(Some(Duration::ZERO))?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    let task = tokio::task::spawn_local(async move {
        if let Err(error) = connection.await {
            log::debug!("connection to {address} ended: {error}");
        }
    });
    Ok(Connection {
        sender,
        task: task.abort_handle(),
    })
}

/// Returns what is known of a call that took too long.
fn timeout_error(sent: bool) -> CallError {
    if sent {
        CallError::NoAnswer
    } else {
        CallError::NotSent
    }
}

/// Tells an error before the request was written from one after.
fn classify_error(error: hyper::Error) -> CallError {
    if error.is_canceled() {
        CallError::NotSent
    } else {
        CallError::NoAnswer
    }
}

fn to_http(address: SocketAddr, request: Request) -> Option<http::Request<Full<Bytes>>> {
    let method = match request.method {
        Method::Get => http::Method::GET,
        Method::Post => http::Method::POST,
    };
    let mut builder = http::Request::builder()
        .method(method)
        .uri(request.path)
        .header(http::header::HOST, address.to_string());
    if !request.body.is_empty() {
        builder = builder.header(http::header::CONTENT_TYPE, "application/json");
    }
    for (name, value) in request.headers {
        builder = builder.header(name, value);
    }
    builder.body(Full::new(Bytes::from(request.body))).ok()
}
