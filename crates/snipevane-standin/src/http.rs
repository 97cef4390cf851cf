//! HTTP server and helpers shared by both stand-ins.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::UNIX_EPOCH;

use ::http::{Request, Response, StatusCode, header};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use serde::Serialize;
use serde::de::DeserializeOwned;
use snipevane_core::clock::{Clock, SystemClock};
use thiserror::Error;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// Error that closes the connection without sending a response.
#[derive(Clone, Copy, Debug, Error)]
#[error("connection closed without a response")]
pub(crate) struct NoResponse;

/// Handles the requests of a listener.
pub(crate) trait Handler: Send + Sync + 'static {
    /// Body type of the responses.
    type Body: Body<Data = Bytes, Error: Into<Box<dyn std::error::Error + Send + Sync>>>
        + Send
        + 'static;

    /// Handles one request.
    fn handle(
        self: Arc<Self>,
        req: Request<Incoming>,
    ) -> impl Future<Output = Result<Response<Self::Body>, NoResponse>> + Send;
}

/// Background tasks of a running stand-in.
#[derive(Clone, Debug, Default)]
pub(crate) struct Tasks {
    pub(crate) token: CancellationToken,
    pub(crate) tracker: TaskTracker,
}

impl Tasks {
    /// Cancels all tasks and waits until they have ended.
    pub(crate) async fn stop(&self) {
        self.token.cancel();
        self.tracker.close();
        self.tracker.wait().await;
    }

    /// Spawns a task that is cancelled when the stand-in stops.
    pub(crate) fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        let token = self.token.clone();
        self.tracker.spawn(async move {
            tokio::select! {
                () = token.cancelled() => {}
                () = task => {}
            }
        });
    }
}

/// Binds a listener and returns it with its actual address.
pub(crate) async fn bind(address: SocketAddr) -> io::Result<(TcpListener, SocketAddr)> {
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    Ok((listener, address))
}

/// Accepts connections and serves each one with `handler`, until the task is cancelled.
pub(crate) async fn accept_all<H: Handler>(listener: TcpListener, handler: Arc<H>, tasks: Tasks) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        // A failure only delays small responses.
        let _ = stream.set_nodelay(true);
        tasks.spawn(serve(stream, Arc::clone(&handler)));
    }
}

/// Serves one connection until it closes.
pub(crate) async fn serve<I, H>(io: I, handler: Arc<H>)
where
    I: AsyncRead + AsyncWrite + Send + Unpin + 'static,
    H: Handler,
{
    let service = service_fn(move |req| Arc::clone(&handler).handle(req));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .serve_connection(TokioIo::new(io), service);
    if let Err(error) = connection.await {
        log::debug!("stand-in HTTP connection ended with an error: {error}");
    }
}

/// Reads the whole body of a request.
pub(crate) async fn read_body(req: Request<Incoming>) -> Result<Bytes, NoResponse> {
    let body = req.into_body().collect().await.map_err(|_| NoResponse)?;
    Ok(body.to_bytes())
}

/// Parses the JSON body of a request.
///
/// The inner error is the 400 response to send if the body is invalid.
pub(crate) async fn read_json<T: DeserializeOwned>(
    req: Request<Incoming>,
) -> Result<Result<T, Response<Full<Bytes>>>, NoResponse> {
    let body = read_body(req).await?;
    let message = serde_json::from_slice(&body);
    Ok(message.map_err(|error| text(StatusCode::BAD_REQUEST, error.to_string())))
}

/// Creates a response with a JSON body.
pub(crate) fn json<T: Serialize>(status: StatusCode, message: &T) -> Response<Full<Bytes>> {
    match serde_json::to_vec(message) {
        Ok(body) => new_response(status, "application/json", body.into()),
        Err(error) => text(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    }
}

/// Creates a response with a plain text body.
pub(crate) fn text(status: StatusCode, text: impl Into<String>) -> Response<Full<Bytes>> {
    new_response(status, "text/plain", Bytes::from(text.into()))
}

/// Creates a response with a body of the given content type.
pub(crate) fn new_response(
    status: StatusCode,
    content_type: &'static str,
    body: Bytes,
) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    let value = header::HeaderValue::from_static(content_type);
    response.headers_mut().insert(header::CONTENT_TYPE, value);
    response
}

/// Returns the value of a header, or an empty string if it is absent or not visible ASCII.
pub(crate) fn header_text<'a, B>(req: &'a Request<B>, name: &str) -> &'a str {
    let value = req.headers().get(name);
    value
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
}

/// Returns the wall-clock time in microseconds since the Unix epoch.
pub(crate) fn unix_us() -> u64 {
    let since_epoch = SystemClock.wall().duration_since(UNIX_EPOCH);
    let micros = since_epoch.unwrap_or_default().as_micros();
    u64::try_from(micros).unwrap_or(u64::MAX)
}
