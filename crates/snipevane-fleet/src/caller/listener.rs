//! HTTP listeners for callers and for the platform's readiness probe.

use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use http::{Request, StatusCode};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use snipevane_listeners::Limits;
use socket2::SockRef;
use tokio::net::TcpStream;

use crate::clock::Clock;
use crate::listeners::{Connection, Gate, Recorder, Shares, serve_until_closed};
use crate::node::Node;

use super::handler;
use super::job_writer::JobWriter;
use super::reply::{self, Reply};

/// Time within which a caller must send the headers of a request.
const HEADER_READ_TIMEOUT: Duration = Duration::from_secs(20);

/// Time after which a connection is closed if the peer's kernel doesn't acknowledge sent data.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(10);

/// Largest head of a request before a configuration is known, in bytes.
const DEFAULT_MAX_HEAD_BYTES: usize = 16 << 10;

/// Largest head of a readiness probe, in bytes.
const MAX_PROBE_HEAD_BYTES: usize = 8 << 10;

/// Serves callers. Open connections are shut down gracefully once the process stops: requests that
/// were read are finished.
///
/// # Errors
///
/// Returns an error if the address can't be bound.
pub async fn serve_callers<C: Clock>(
    node: Rc<Node<C>>,
    job_writer: Rc<JobWriter<C>>,
) -> std::io::Result<()> {
    let limits = Shares::of(&node.settings.limits).callers;
    let gate = Gate::new("callers", limits, Recorder);
    let listener = gate.bind(node.settings.caller_address)?;
    loop {
        let (stream, connection) = gate.accept(&listener, || max_head_bytes(&node)).await;
        let (node, job_writer) = (node.clone(), job_writer.clone());
        tokio::task::spawn_local(handle_connection(node, job_writer, stream, connection));
    }
}

/// Returns the largest head of a request by the configuration in force, in bytes.
fn max_head_bytes<C: Clock>(node: &Node<C>) -> usize {
    let view = node.site_view.borrow();
    let site = view.site.as_ref();
    site.map_or(DEFAULT_MAX_HEAD_BYTES, |site| site.max_header_bytes())
}

/// Serves one connection until the caller closes it, the process stops, or it is closed for another one.
async fn handle_connection<C: Clock>(
    node: Rc<Node<C>>,
    job_writer: Rc<JobWriter<C>>,
    stream: TcpStream,
    connection: Arc<Connection>,
) {
    if let Err(error) = configure_socket(&stream) {
        log::debug!("setting socket options of a caller's connection failed: {error}; closing it");
        return;
    }
    let (service_node, place) = (node.clone(), connection.clone());
    let service = service_fn(move |request: Request<Incoming>| {
        let (node, job_writer, place) = (service_node.clone(), job_writer.clone(), place.clone());
        async move {
            place.on_request();
            let reply = handler::handle(&node, &job_writer, &place, request).await;
            place.on_response();
            Ok::<Reply, Infallible>(reply)
        }
    });
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_READ_TIMEOUT)
        .max_buf_size(Limits::head_bytes(max_head_bytes(&node)))
        .serve_connection(TokioIo::new(stream), service);
    let mut served = std::pin::pin!(served);
    let result = tokio::select! {
        biased;
        () = connection.closed() => return,
        result = served.as_mut() => result,
        () = node.shutdown.notified() => {
            served.as_mut().graceful_shutdown();
            served.await
        }
    };
    if let Err(error) = result {
        log::debug!("connection of a caller failed: {error}");
    }
}

fn configure_socket(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    SockRef::from(stream).set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))
}

/// Answers the platform's readiness probes.
///
/// # Errors
///
/// Returns an error if the address can't be bound.
pub async fn serve_readiness<C: Clock>(node: Rc<Node<C>>) -> std::io::Result<()> {
    let limits = Shares::of(&node.settings.limits).readiness;
    let gate = Gate::new("readiness", limits, Recorder);
    let listener = gate.bind(node.settings.readiness_address)?;
    loop {
        let (stream, connection) = gate.accept(&listener, || MAX_PROBE_HEAD_BYTES).await;
        tokio::task::spawn_local(handle_probes(node.clone(), stream, connection));
    }
}

/// Serves one connection of readiness probes until it is closed.
async fn handle_probes<C: Clock>(
    node: Rc<Node<C>>,
    stream: TcpStream,
    connection: Arc<Connection>,
) {
    let place = connection.clone();
    let service = service_fn(move |_| {
        place.on_response();
        let ready = node.is_ready();
        async move { Ok::<Reply, Infallible>(readiness_reply(ready)) }
    });
    let served = http1::Builder::new()
        .max_buf_size(MAX_PROBE_HEAD_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    serve_until_closed(&connection, served, "of a readiness probe").await;
}

fn readiness_reply(ready: bool) -> Reply {
    if ready {
        reply::json(StatusCode::OK, Vec::new())
    } else {
        reply::error(StatusCode::SERVICE_UNAVAILABLE, "not ready")
    }
}
