//! HTTP listener for peers: RPC calls at `/rpc`, forwarded requests at `/forward`.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response, StatusCode, header};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use jsonrpsee::Methods;
use jsonrpsee::server::{HttpBody, Server, ServerConfig, stop_channel};
use smol_str::SmolStr;
use snipevane_core::clock::Clock;
use snipevane_core::ids::TeamKey;
use snipevane_proto::peer::{Forward, Purpose};
use subtle::ConstantTimeEq;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio_io_timeout::TimeoutStream;
use tower::{BoxError, Service};

use super::counted_io::CountedIo;
use super::rpc::{PeerApiServer, PeerRpc};
use crate::control::{Control, Platform};
use crate::listeners::{Client, read_body};
use crate::node::Node;
use crate::request::{FORWARD_HEADER, Head, Identity, Origin, Refusal, Reply, body_refusal, serve};
use crate::settings::Settings;

/// Number of times the headers of a peer's request may be larger than those of a caller: a
/// forwarded request carries the caller's headers, and its path with escapes, in addition to its
/// own.
const PEER_HEAD_FACTOR: usize = 4;
/// Maximum size of the body of a peer's RPC call, in bytes.
const MAX_CALL_BYTES: usize = 10 * 1024 * 1024;
/// Maximum time for a peer to send a request's headers.
const HEAD_TIMEOUT: Duration = Duration::from_secs(60);

/// Returns the maximum size of the headers of a peer's request, in bytes.
pub(crate) fn max_head_bytes(settings: &Settings) -> usize {
    settings.max_header_bytes * PEER_HEAD_FACTOR
}

/// Serves one connection of a peer.
pub(crate) async fn serve_connection<P: Platform, C: Clock>(
    control: Arc<Control<P, C>>,
    stream: impl AsyncRead + AsyncWrite + Unpin + Send + 'static,
    client: Arc<Client>,
) {
    let node = control.node.clone();
    let max_head_bytes = max_head_bytes(&node.settings);
    let mut stream = TimeoutStream::new(CountedIo::new(stream, node.peer_bytes.clone()));
    stream.set_write_timeout(Some(node.settings.timings.caller_write_timeout));
    let (stop, _server) = stop_channel();
    let methods: Methods = PeerRpc(control).into_rpc().into();
    let config = ServerConfig::builder().max_connections(u32::MAX).build();
    let calls = Server::builder()
        .set_config(config)
        .to_service_builder()
        .build(methods, stop);
    let service = service_fn({
        let client = client.clone();
        move |req| {
            let (node, client, calls) = (node.clone(), client.clone(), calls.clone());
            async move {
                client.on_request();
                let response = handle(node, client.clone(), calls, req).await;
                client.on_response();
                Ok::<_, Infallible>(response)
            }
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(max_head_bytes)
        .serve_connection(TokioIo::new(Box::pin(stream)), service);
    // An error closes the connection; the peer notices and retries.
    tokio::select! {
        _ = connection => {}
        () = client.closed() => {}
    }
}

async fn handle<C, S>(
    node: Arc<Node<C>>,
    client: Arc<Client>,
    calls: S,
    req: Request<Incoming>,
) -> Response<HttpBody>
where
    C: Clock,
    S: Service<Request<HttpBody>, Response = Response<HttpBody>, Error = BoxError>,
{
    if !is_peer(&node.settings.peer_key, req.headers()) {
        let refusal = Refusal::not_run(StatusCode::UNAUTHORIZED, "not an entry VM");
        return respond(Reply::Refused(refusal));
    }
    match req.uri().path() {
        "/forward" => respond(
            serve_forwarded(node, client, req)
                .await
                .unwrap_or_else(Reply::Refused),
        ),
        "/rpc" => serve_call(&client, calls, req)
            .await
            .unwrap_or_else(|refusal| respond(Reply::Refused(refusal))),
        _ => respond(Reply::Refused(Refusal::not_run(
            StatusCode::NOT_FOUND,
            "unknown path",
        ))),
    }
}

async fn serve_call<S>(
    client: &Arc<Client>,
    mut calls: S,
    req: Request<Incoming>,
) -> Result<Response<HttpBody>, Refusal>
where
    S: Service<Request<HttpBody>, Response = Response<HttpBody>, Error = BoxError>,
{
    let (parts, body) = req.into_parts();
    let body = receive_body(client, body, MAX_CALL_BYTES).await?;
    let call = Request::from_parts(parts, HttpBody::new(Full::new(body)));
    calls.call(call).await.map_err(|error| {
        Refusal::not_run(StatusCode::INTERNAL_SERVER_ERROR, "call failed").detail(error.to_string())
    })
}

fn respond(reply: Reply) -> Response<HttpBody> {
    reply.into_response().map(HttpBody::new)
}

/// Checks the peer key with a constant-time comparison, so that response times reveal nothing about
/// the key.
fn is_peer(peer_key: &str, headers: &HeaderMap) -> bool {
    let value = headers
        .get(header::AUTHORIZATION)
        .map_or(&b""[..], |value| value.as_bytes());
    let presented = value.strip_prefix(b"Bearer ").unwrap_or_default();
    presented.ct_eq(peer_key.as_bytes()).into()
}

async fn serve_forwarded<C: Clock>(
    node: Arc<Node<C>>,
    client: Arc<Client>,
    req: Request<Incoming>,
) -> Result<Reply, Refusal> {
    let (parts, body) = req.into_parts();
    let forward = parse_forward(&parts.headers)?;
    let head = resolve(&node, &forward)?;
    let body = receive_body(&client, body, head.max_body_bytes).await?;
    let origin = match forward.purpose {
        Purpose::Claim => Origin::Claim,
        Purpose::Place => Origin::Place {
            unit_held: forward.unit_held,
            wait: Duration::from_millis(forward.wait_ms),
        },
    };
    Ok(serve(node, head, &parts.headers, body, origin, forward.exchange).await)
}

fn parse_forward(headers: &HeaderMap) -> Result<Forward, Refusal> {
    let malformed = || Refusal::not_run(StatusCode::BAD_REQUEST, "malformed forwarded request");
    let value = headers.get(FORWARD_HEADER).ok_or_else(malformed)?;
    serde_json::from_slice(value.as_bytes()).map_err(|error| malformed().detail(error.to_string()))
}

fn resolve<C: Clock>(node: &Node<C>, forward: &Forward) -> Result<Head, Refusal> {
    let malformed = || Refusal::not_run(StatusCode::BAD_REQUEST, "malformed method");
    let state = node.state();
    let mut head = Head::for_queue(&state, &forward.queue)?;
    head.identity = match &forward.team {
        None => Identity {
            team: TeamKey::default(),
            name: SmolStr::default(),
        },
        Some(name) => {
            let unknown = || Refusal::not_run(StatusCode::FORBIDDEN, "unknown team");
            let team = state.site.team(name).ok_or_else(unknown)?;
            Identity {
                team,
                name: name.as_str().into(),
            }
        }
    };
    head.id = forward.id;
    head.deadline = Duration::from_millis(forward.deadline_ms);
    head.path = forward.path.as_str().into();
    head.method = Method::from_bytes(forward.method.as_bytes()).map_err(|_| malformed())?;
    Ok(head)
}

async fn receive_body(
    client: &Arc<Client>,
    mut body: Incoming,
    max_bytes: usize,
) -> Result<Bytes, Refusal> {
    read_body(client, &mut body, max_bytes)
        .await
        .map_err(|error| body_refusal(error, max_bytes).close())
}
