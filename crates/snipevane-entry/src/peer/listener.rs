//! HTTP listener for peers: RPC calls at `/rpc`, forwarded requests at `/forward`.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Limited};
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
use tower::{BoxError, Service};

use super::counted_io::CountedIo;
use super::rpc::{PeerApiServer, PeerRpc};
use crate::control::{Control, Platform};
use crate::node::Node;
use crate::request::{FORWARD_HEADER, Head, Identity, Origin, Refusal, Reply, serve};

/// Maximum size of the headers of a peer's request, in bytes. A forwarded request carries the
/// caller's headers in addition to its own.
const MAX_HEAD_BYTES: usize = 256 * 1024;
/// Maximum time for a peer to send a request's headers.
const HEAD_TIMEOUT: Duration = Duration::from_secs(60);

/// Serves one connection of a peer.
pub(crate) async fn serve_connection<P: Platform, C: Clock>(
    control: Arc<Control<P, C>>,
    stream: impl AsyncRead + AsyncWrite + Unpin + Send + 'static,
) {
    let node = control.node.clone();
    let stream = CountedIo::new(stream, node.peer_bytes.clone());
    let (stop, _server) = stop_channel();
    let methods: Methods = PeerRpc(control).into_rpc().into();
    let config = ServerConfig::builder().max_connections(u32::MAX).build();
    let calls = Server::builder()
        .set_config(config)
        .to_service_builder()
        .build(methods, stop);
    let service = service_fn(move |req| {
        let (node, calls) = (node.clone(), calls.clone());
        async move { Ok::<_, Infallible>(handle(node, calls, req).await) }
    });
    // An error closes the connection; the peer notices and retries.
    let _ = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

async fn handle<C, S>(
    node: Arc<Node<C>>,
    mut calls: S,
    req: Request<Incoming>,
) -> Response<HttpBody>
where
    C: Clock,
    S: Service<Request<Incoming>, Response = Response<HttpBody>, Error = BoxError>,
{
    if !is_peer(&node.settings.peer_key, req.headers()) {
        let refusal = Refusal::not_run(StatusCode::UNAUTHORIZED, "not an entry VM");
        return respond(Reply::Refused(refusal));
    }
    match req.uri().path() {
        "/forward" => respond(
            serve_forwarded(node, req)
                .await
                .unwrap_or_else(Reply::Refused),
        ),
        "/rpc" => calls.call(req).await.unwrap_or_else(|error| {
            let refusal = Refusal::not_run(StatusCode::INTERNAL_SERVER_ERROR, "call failed");
            respond(Reply::Refused(refusal.detail(error.to_string())))
        }),
        _ => respond(Reply::Refused(Refusal::not_run(
            StatusCode::NOT_FOUND,
            "unknown path",
        ))),
    }
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
    req: Request<Incoming>,
) -> Result<Reply, Refusal> {
    let (parts, body) = req.into_parts();
    let forward = parse_forward(&parts.headers)?;
    let head = resolve(&node, &forward)?;
    let body = read_body(body, head.max_body_bytes).await?;
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

async fn read_body(body: Incoming, max_bytes: usize) -> Result<Bytes, Refusal> {
    match Limited::new(body, max_bytes).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) => Err(
            Refusal::not_run(StatusCode::BAD_REQUEST, "the body wasn't received")
                .detail(error.to_string())
                .close(),
        ),
    }
}
