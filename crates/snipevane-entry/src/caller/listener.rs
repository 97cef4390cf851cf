//! HTTP server for callers, with limits on the size and time of request headers and bodies.

use std::convert::Infallible;
use std::sync::Arc;

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use snipevane_core::clock::Clock;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::time::timeout;
use tokio_io_timeout::TimeoutStream;
use tokio_util::sync::CancellationToken;
use uuid::Uuid;

use super::head_timeout_io::HeadTimeoutIo;
use super::head_timer::{HeadTimeouts, HeadTimer};
use crate::journal::kinds;
use crate::node::Node;
use crate::request::{Head, Origin, Refusal, Reply, Response, serve};

/// Maximum number of bytes of a refused request's body that are read and discarded.
const MAX_DISCARDED_BYTES: usize = 64 * 1024 * 1024;
/// Path of the load balancer's health check.
const HEALTH_PATH: &str = "/healthz";

/// Serves one caller's connection until it ends.
///
/// Cancelling `shutdown` closes the connection after the request in flight.
pub(crate) async fn serve_connection<C: Clock>(
    node: Arc<Node<C>>,
    stream: impl AsyncRead + AsyncWrite + Unpin + Send + 'static,
    shutdown: CancellationToken,
) {
    let timings = &node.settings.timings;
    let timer = HeadTimer::new(HeadTimeouts {
        read: timings.caller_read_timeout,
        idle: timings.caller_idle_timeout,
    });
    let mut stream = TimeoutStream::new(HeadTimeoutIo::new(stream, timer.clone()));
    // Without a timeout, a caller that stops reading would keep its connection open forever.
    stream.set_write_timeout(Some(timings.caller_write_timeout));
    let service = service_fn({
        let node = node.clone();
        move |req| {
            let (node, timer) = (node.clone(), timer.clone());
            async move {
                timer.on_request();
                let response = handle_request(node, req).await;
                timer.on_response();
                Ok::<_, Infallible>(response)
            }
        }
    });
    let connection = http1::Builder::new()
        .header_read_timeout(None)
        .max_buf_size(node.settings.max_header_bytes)
        .serve_connection(TokioIo::new(Box::pin(stream)), service);
    let mut connection = std::pin::pin!(connection);
    // Errors are ignored: they close the connection, which the caller notices.
    tokio::select! {
        _ = connection.as_mut() => return,
        () = shutdown.cancelled() => connection.as_mut().graceful_shutdown(),
    }
    let _ = connection.await;
}

async fn handle_request<C: Clock>(node: Arc<Node<C>>, req: Request<Incoming>) -> Response {
    if req.uri().path() == HEALTH_PATH {
        return health(&node);
    }
    let reply = serve_request(node.clone(), req).await;
    if let Reply::Refused(refusal) = &reply {
        let status = refusal.status.as_u16();
        node.record(
            &kinds::REQUEST_REFUSED,
            &[&status, &refusal.title, &refusal.detail],
        );
    }
    reply.into_response()
}

async fn serve_request<C: Clock>(node: Arc<Node<C>>, req: Request<Incoming>) -> Reply {
    let (parts, body) = req.into_parts();
    if node.state().site.version == 0 {
        let retry = node.settings.timings.platform_poll_interval;
        return Reply::Refused(Refusal::busy("no configuration yet", retry));
    }
    let head = match Head::resolve(&node, &parts.method, &parts.uri, &parts.headers) {
        Ok(head) => head,
        Err(refusal) if body.is_end_stream() => return Reply::Refused(refusal),
        Err(refusal) => {
            discard_body(&node, body);
            return Reply::Refused(refusal.close());
        }
    };
    let body = match read_body(&node, body, head.max_body_bytes).await {
        Ok(body) => body,
        Err(refusal) => return Reply::Refused(refusal),
    };
    serve(
        node,
        head,
        &parts.headers,
        body,
        Origin::Caller,
        Uuid::now_v7(),
    )
    .await
}

async fn read_body<C: Clock>(
    node: &Node<C>,
    body: Incoming,
    max_bytes: usize,
) -> Result<Bytes, Refusal> {
    let too_large = || {
        Refusal::not_run(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large")
            .detail(format!("the queue takes {max_bytes} bytes at most"))
            .close()
    };
    let declared_length = body.size_hint().lower();
    if declared_length > u64::try_from(max_bytes).unwrap_or(u64::MAX) {
        discard_body(node, body);
        return Err(too_large());
    }
    let mut body = body;
    let read = Limited::new(&mut body, max_bytes).collect();
    match timeout(node.settings.timings.caller_read_timeout, read).await {
        Ok(Ok(read)) => Ok(read.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => {
            discard_body(node, body);
            Err(too_large())
        }
        Ok(Err(error)) => Err(
            Refusal::not_run(StatusCode::BAD_REQUEST, "the body broke off")
                .detail(error.to_string())
                .close(),
        ),
        Err(_) => {
            let title = "the body wasn't received in time";
            Err(Refusal::not_run(StatusCode::REQUEST_TIMEOUT, title).close())
        }
    }
}

/// Reads and discards the rest of a refused request's body while the refusal is being sent.
///
/// Closing the connection with unread bytes would reset it, and the caller could lose the refusal.
fn discard_body<C: Clock>(node: &Node<C>, body: Incoming) {
    let time_limit = node.settings.timings.caller_read_timeout;
    tokio::spawn(async move {
        let mut body = Limited::new(body, MAX_DISCARDED_BYTES);
        let read = async { while let Some(Ok(_)) = body.frame().await {} };
        // A caller that sends for longer than the time limit is disconnected.
        let _ = timeout(time_limit, read).await;
    });
}

fn health<C: Clock>(node: &Node<C>) -> Response {
    match node.unready_reason() {
        None => Response::new(Full::new(Bytes::from_static(b"ready\n"))),
        Some(reason) => {
            let refusal = Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, "not ready");
            refusal.detail(reason).into_response()
        }
    }
}
