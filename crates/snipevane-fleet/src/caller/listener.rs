//! HTTP listeners for callers and for the platform's readiness probe.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http::{Request, StatusCode};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};

use crate::clock::Clock;
use crate::node::Node;

use super::handler;
use super::job_writer::JobWriter;
use super::reply::{self, Reply};

/// Time within which a caller must send the headers of a request.
const HEADER_READ_TIMEOUT: Duration = Duration::from_secs(20);

/// Time after which a connection is closed if the peer's kernel doesn't acknowledge sent data.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(10);

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
    let listener = TcpListener::bind(node.settings.caller_address).await?;
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!(
                    "caller listener failed to accept a connection: {error}; accepting the next one"
                );
                continue;
            }
        };
        let node = node.clone();
        let job_writer = job_writer.clone();
        tokio::task::spawn_local(handle_connection(node, job_writer, stream));
    }
}

/// Serves one connection until the caller closes it or the process stops.
async fn handle_connection<C: Clock>(
    node: Rc<Node<C>>,
    job_writer: Rc<JobWriter<C>>,
    stream: TcpStream,
) {
    if let Err(error) = configure_socket(&stream) {
        log::debug!("setting socket options of a caller's connection failed: {error}; closing it");
        return;
    }
    let service_node = node.clone();
    let service = service_fn(move |request: Request<Incoming>| {
        let node = service_node.clone();
        let job_writer = job_writer.clone();
        async move { Ok::<Reply, Infallible>(handler::handle(&node, &job_writer, request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_READ_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let result = tokio::select! {
        result = connection.as_mut() => result,
        () = node.shutdown.notified() => {
            connection.as_mut().graceful_shutdown();
            connection.await
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
    let address: SocketAddr = node.settings.readiness_address;
    let listener = TcpListener::bind(address).await?;
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let node = node.clone();
        tokio::task::spawn_local(async move {
            let service = service_fn(move |_| {
                let ready = node.is_ready();
                async move { Ok::<Reply, Infallible>(readiness_reply(ready)) }
            });
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            if let Err(error) = connection.await {
                log::debug!("connection of a readiness probe failed: {error}");
            }
        });
    }
}

fn readiness_reply(ready: bool) -> Reply {
    if ready {
        reply::json(StatusCode::OK, Vec::new())
    } else {
        reply::error(StatusCode::SERVICE_UNAVAILABLE, "not ready")
    }
}
