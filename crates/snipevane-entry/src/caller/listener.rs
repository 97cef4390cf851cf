//! HTTP server for callers, with limits on the size and time of request headers and bodies.

use std::convert::Infallible;
use std::sync::Arc;

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use snipevane_core::clock::Clock;
use snipevane_listeners::BodyError;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio_io_timeout::TimeoutStream;
use tokio_util::sync::CancellationToken;
use uuid::Uuid;

use super::head_timeout_io::HeadTimeoutIo;
use super::head_timer::{HeadTimeouts, HeadTimer};
use crate::journal::kinds;
use crate::listeners::{Client, discard_body, read_body};
use crate::node::Node;
use crate::request::{Head, Origin, Refusal, Reply, Response, body_refusal, serve};

/// Path of the load balancer's health check.
const HEALTH_PATH: &str = "/healthz";

/// Serves one caller's connection until it ends.
///
/// Cancelling `shutdown` closes the connection after the request in flight.
pub(crate) async fn serve_connection<C: Clock>(
    node: Arc<Node<C>>,
    stream: impl AsyncRead + AsyncWrite + Unpin + Send + 'static,
    client: Arc<Client>,
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
    let unread = CancellationToken::new();
    let service = service_fn({
        let (node, client, unread) = (node.clone(), client.clone(), unread.clone());
        move |req| {
            let (node, client, timer) = (node.clone(), client.clone(), timer.clone());
            let unread = unread.clone();
            async move {
                timer.on_request();
                client.on_request();
                let response = handle_request(node, client.clone(), unread, req).await;
                client.on_response();
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
        () = client.closed() => return,
        () = unread.cancelled() => return,
        () = shutdown.cancelled() => connection.as_mut().graceful_shutdown(),
    }
    tokio::select! {
        _ = connection => {}
        () = client.closed() => {}
        () = unread.cancelled() => {}
    }
}

async fn handle_request<C: Clock>(
    node: Arc<Node<C>>,
    client: Arc<Client>,
    unread: CancellationToken,
    req: Request<Incoming>,
) -> Response {
    if req.uri().path() == HEALTH_PATH {
        return health(&node);
    }
    let reply = serve_request(node.clone(), client, req).await;
    if let Reply::Refused(refusal) = &reply {
        let status = refusal.status.as_u16();
        node.record(
            &kinds::REQUEST_REFUSED,
            &[&status, &refusal.title, &refusal.detail],
        );
    }
    hold_answer(&node, reply, &unread).into_response()
}

/// Counts an answer as unread until it is written. Cancelling `unread` closes its connection.
fn hold_answer<C: Clock>(node: &Node<C>, reply: Reply, unread: &CancellationToken) -> Reply {
    reply.map_body(|body| {
        let (body, closed) = node.caller_answers.hold(body, unread);
        node.incidents.count_unread_answers("callers", closed);
        body
    })
}

async fn serve_request<C: Clock>(
    node: Arc<Node<C>>,
    client: Arc<Client>,
    req: Request<Incoming>,
) -> Reply {
    let (parts, body) = req.into_parts();
    if node.state().site.version == 0 {
        let retry = node.settings.timings.platform_poll_interval;
        return Reply::Refused(Refusal::busy("no configuration yet", retry));
    }
    let head = match Head::resolve(&node, &parts.method, &parts.uri, &parts.headers) {
        Ok(head) => head,
        Err(refusal) if body.is_end_stream() => return Reply::Refused(refusal),
        Err(refusal) => {
            discard(&node, body);
            return Reply::Refused(refusal.close());
        }
    };
    let body = match receive_body(&node, &client, body, head.max_body_bytes).await {
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

async fn receive_body<C: Clock>(
    node: &Node<C>,
    client: &Arc<Client>,
    mut body: Incoming,
    max_bytes: usize,
) -> Result<Bytes, Refusal> {
    let error = match read_body(client, &mut body, max_bytes).await {
        Ok(body) => return Ok(body),
        Err(error) => error,
    };
    if matches!(error, BodyError::TooLarge | BodyError::NoRoom) {
        discard(node, body);
    }
    Err(body_refusal(error, max_bytes).close())
}

fn discard<C: Clock>(node: &Node<C>, body: Incoming) {
    let time_limit = node.settings.timings.caller_read_timeout;
    discard_body(body, node.settings.max_discarded_bytes, time_limit);
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
