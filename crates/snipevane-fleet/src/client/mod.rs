//! HTTP client of the daemon, with pooled connections and a timeout for each call.

mod arrivals;
mod call_error;
mod connection;
mod idle_connections;
mod incoming;
mod relayed;

use std::cell::Cell;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use snipevane_adapter::{Method, Request};
use tokio::sync::oneshot;
use tokio::time::{Instant, timeout, timeout_at};

use crate::metrics;

pub use arrivals::{ArrivalGuard, Arrivals};
pub use call_error::CallError;
use connection::Connection;
use idle_connections::IdleConnections;
use incoming::IncomingResponse;
pub use relayed::RelayedBody;

/// A response with its whole body.
#[derive(Clone, Debug)]
pub struct Response {
    /// HTTP status code.
    pub status: u16,
    /// Response body.
    pub body: Bytes,
}

/// HTTP client with a pool of idle connections.
#[derive(Clone, Default)]
pub struct Client {
    idle: Rc<IdleConnections>,
}

impl Client {
    /// Sends a request and waits up to `limit` for the whole response.
    ///
    /// # Errors
    ///
    /// Returns an error if no response arrives in time; the connection is then reset.
    pub async fn call(
        &self,
        address: SocketAddr,
        request: Request,
        limit: Duration,
    ) -> Result<Response, CallError> {
        self.call_if(address, request, limit, || true).await
    }

    /// Sends a request, if `may_send` returns true once there is a connection, and waits up to `limit`
    /// for the whole response.
    ///
    /// Connecting may take a while, in which a permission to send the request may end.
    ///
    /// # Errors
    ///
    /// Returns an error if the request may not be sent, or if no response arrives in time; the connection
    /// is then reset.
    pub async fn call_if(
        &self,
        address: SocketAddr,
        request: Request,
        limit: Duration,
        may_send: impl Fn() -> bool,
    ) -> Result<Response, CallError> {
        let sent = Cell::new(false);
        let exchange = self.exchange(address, |_| request, &sent, may_send);
        let answer = timeout(limit, exchange).await;
        answer.unwrap_or_else(|_| Err(CallError::timed_out(sent.get())))
    }

    /// Sends a request as [`Self::call_if`] does, which `request` makes for a connection that was opened at the
    /// given time. After `limit`, calls `on_timeout` and, if the request was sent, waits for a late response for up
    /// to `grace` more.
    ///
    /// # Errors
    ///
    /// Returns an error if no response arrives in that time; the connection is then reset.
    pub async fn call_with_late_response(
        &self,
        address: SocketAddr,
        request: impl FnOnce(Instant) -> Request,
        limit: Duration,
        grace: Duration,
        may_send: impl Fn() -> bool,
        on_timeout: impl FnOnce(),
    ) -> Result<Response, CallError> {
        let sent = Cell::new(false);
        let mut exchange = pin!(self.exchange(address, request, &sent, may_send));
        if let Ok(answer) = timeout(limit, exchange.as_mut()).await {
            return answer;
        }
        on_timeout();
        if !sent.get() {
            return Err(CallError::NotSent);
        }
        let late = timeout(grace, exchange).await;
        late.unwrap_or(Err(CallError::NoAnswer))
    }

    /// Sends a request as [`Self::call_if`] does, waits up to `head_limit` for the head of the response,
    /// and up to `limit` in all for its body, whose parts are passed to `on_part` as they arrive. Returns the
    /// status of the response.
    ///
    /// # Errors
    ///
    /// Returns an error if the request may not be sent, or if the response isn't complete in time; the
    /// connection is then reset.
    pub async fn call_in_parts(
        &self,
        address: SocketAddr,
        request: Request,
        head_limit: Duration,
        limit: Duration,
        may_send: impl Fn() -> bool,
        on_part: impl FnMut(u16, &[u8]),
    ) -> Result<u16, CallError> {
        let deadline = Instant::now() + limit;
        let head = self.receive_head(address, request, head_limit, may_send);
        let incoming = head.await?;
        let status = incoming.status;
        let body = timeout_at(deadline, incoming.receive_in_parts(on_part)).await;
        let connection = body.unwrap_or(Err(CallError::NoAnswer))?;
        self.return_to_pool(address, connection);
        Ok(status)
    }

    /// Sends a request and waits up to `limit` for the head of the response, which counts among
    /// `arrivals` until its body is complete. A body may take longer as long as its parts keep arriving.
    ///
    /// A response that is large for the network in between would otherwise never be received, however
    /// often it is requested.
    ///
    /// # Errors
    ///
    /// Returns an error if the head doesn't arrive in time or the body stops arriving; the connection is
    /// then reset.
    pub async fn call_while_arriving(
        &self,
        address: SocketAddr,
        request: Request,
        limit: Duration,
        arrivals: &Arrivals,
    ) -> Result<Response, CallError> {
        let head = self.receive_head(address, request, limit, || true);
        let incoming = head.await?;
        self.receive_while_arriving(address, incoming, arrivals)
            .await
    }

    /// Sends a request as [`Self::call_while_arriving`] does, but leaves one that was sent in flight until
    /// the head of its response arrives, for up to `max_duration`.
    ///
    /// This is for requests that are harmless if they are executed late: a slow peer can still
    /// complete them. `on_response` is called when the head arrives, also if that is late.
    ///
    /// # Errors
    ///
    /// As for [`Self::call_while_arriving`].
    pub async fn call_detached(
        &self,
        address: SocketAddr,
        request: Request,
        limit: Duration,
        max_duration: Duration,
        on_response: impl FnOnce() + 'static,
        arrivals: &Arrivals,
    ) -> Result<Response, CallError> {
        let head = self.send_detached(address, request, limit, max_duration, on_response);
        let incoming = head.await?;
        self.receive_while_arriving(address, incoming, arrivals)
            .await
    }

    /// Sends a request as [`Self::call_detached`] does, for another process; returns the status of the
    /// response and its body, which may still be arriving.
    ///
    /// # Errors
    ///
    /// Returns an error if the head of the response doesn't arrive within `limit`.
    pub async fn relay_detached(
        &self,
        address: SocketAddr,
        request: Request,
        limit: Duration,
        max_duration: Duration,
    ) -> Result<(u16, RelayedBody), CallError> {
        let head = self.send_detached(address, request, limit, max_duration, || {});
        let incoming = head.await?;
        let status = incoming.status;
        Ok((status, RelayedBody::new(incoming, self.clone(), address)))
    }

    /// Sends a request as [`Self::send`] does, and waits up to `limit` for the head of the response.
    async fn receive_head(
        &self,
        address: SocketAddr,
        request: Request,
        limit: Duration,
        may_send: impl Fn() -> bool,
    ) -> Result<IncomingResponse, CallError> {
        let sent = Cell::new(false);
        let head = self.send(address, |_| request, &sent, may_send);
        let head = timeout(limit, head).await;
        head.unwrap_or_else(|_| Err(CallError::timed_out(sent.get())))
    }

    /// Sends a request in a task of its own, which waits for the head of the response for up to
    /// `max_duration`; returns the response if its head arrives within `limit`.
    async fn send_detached(
        &self,
        address: SocketAddr,
        request: Request,
        limit: Duration,
        max_duration: Duration,
        on_response: impl FnOnce() + 'static,
    ) -> Result<IncomingResponse, CallError> {
        let sent = Rc::new(Cell::new(false));
        let (tx, mut rx) = oneshot::channel();
        let (client, sent_flag) = (self.clone(), sent.clone());
        let sending = tokio::task::spawn_local(async move {
            let head = client.send(address, |_| request, &sent_flag, || true);
            let head = timeout(max_duration, head).await;
            let head = head.unwrap_or(Err(CallError::NoAnswer));
            if head.is_ok() {
                on_response();
            }
            // If the call was given up, this drops the response, whose body isn't needed.
            let _ = tx.send(head);
        });
        match timeout(limit, &mut rx).await {
            Ok(head) => head.unwrap_or(Err(CallError::NoAnswer)),
            Err(_) => {
                if !sent.get() {
                    sending.abort();
                }
                Err(CallError::timed_out(sent.get()))
            }
        }
    }

    /// Receives the body of a response as long as its parts keep arriving.
    async fn receive_while_arriving(
        &self,
        address: SocketAddr,
        incoming: IncomingResponse,
        arrivals: &Arrivals,
    ) -> Result<Response, CallError> {
        let _arriving = arrivals.start();
        let (response, connection) = incoming.receive_while_arriving().await?;
        self.return_to_pool(address, connection);
        Ok(response)
    }

    /// Sends a request as [`Self::send`] does, and receives the whole response.
    async fn exchange(
        &self,
        address: SocketAddr,
        request: impl FnOnce(Instant) -> Request,
        sent: &Cell<bool>,
        may_send: impl Fn() -> bool,
    ) -> Result<Response, CallError> {
        let incoming = self.send(address, request, sent, may_send).await?;
        let (response, connection) = incoming.receive().await?;
        self.return_to_pool(address, connection);
        Ok(response)
    }

    /// Sends the request that `request` makes for a pooled or new connection, if `may_send` allows it then, and
    /// receives the head of the response. Sets `sent` before the request is handed to the connection.
    async fn send(
        &self,
        address: SocketAddr,
        request: impl FnOnce(Instant) -> Request,
        sent: &Cell<bool>,
        may_send: impl Fn() -> bool,
    ) -> Result<IncomingResponse, CallError> {
        let mut connection = self.connection(address).await?;
        let request = request(connection.opened_at);
        let kind = request.kind;
        let body_bytes = request.body.len();
        let request = to_http(address, request).ok_or(CallError::NotSent)?;
        let head_bytes = metrics::head_bytes(request.uri().path().len(), request.headers());
        if !may_send() {
            self.return_to_pool(address, connection);
            return Err(CallError::NotSent);
        }
        sent.set(true);
        metrics::record_sent_request(kind, head_bytes + body_bytes);
        let response = connection.sender.send_request(request).await;
        let response = response.map_err(|error| CallError::from_http(&error))?;
        Ok(IncomingResponse::new(kind, response, connection))
    }

    /// Returns an idle connection that is still open, or a new one.
    async fn connection(&self, address: SocketAddr) -> Result<Connection, CallError> {
        while let Some(mut connection) = self.idle.take(address) {
            if connection.sender.ready().await.is_ok() {
                return Ok(connection);
            }
        }
        Connection::open(address).await.map_err(|error| {
            log::debug!("connecting to {address} failed: {error}");
            CallError::NotSent
        })
    }

    /// Returns a connection to the pool, unless it is closed or the pool is full.
    fn return_to_pool(&self, address: SocketAddr, connection: Connection) {
        self.idle.keep(address, connection);
    }

    /// Closes all idle connections to an address.
    pub fn close_idle(&self, address: SocketAddr) {
        self.idle.close(address);
    }

    /// Closes all idle connections.
    pub fn close_all_idle(&self) {
        self.idle.close_all();
    }
}

/// Converts a request to its HTTP form; none if it has an invalid path or header.
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
