//! HTTP listener for operators and metrics: authenticates and routes requests.

use std::convert::Infallible;
use std::sync::Arc;

use http::{HeaderMap, Method, Request, StatusCode, header};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use serde::de::DeserializeOwned;
use snipevane_core::clock::Clock;
use snipevane_listeners::BodyError;
use snipevane_proto::peer::Verb;
use subtle::ConstantTimeEq;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio_io_timeout::TimeoutStream;

use super::reply::{json, no_room, problem, problem_response, text};
use crate::control::{Control, Platform};
use crate::listeners::{Client, read_body};
use crate::metrics::Metrics;
use crate::request::Response;

/// Maximum size of the body of an operator's request, in bytes.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// Serves one connection of an operator.
pub(crate) async fn serve_connection<P: Platform, C: Clock>(
    control: Arc<Control<P, C>>,
    metrics: Arc<Metrics>,
    stream: impl AsyncRead + AsyncWrite + Unpin + Send + 'static,
    client: Arc<Client>,
) {
    let settings = &control.node.settings;
    let mut stream = TimeoutStream::new(stream);
    stream.set_write_timeout(Some(settings.timings.caller_write_timeout));
    let service = service_fn({
        let (control, client) = (control.clone(), client.clone());
        move |req| {
            let (control, metrics) = (control.clone(), metrics.clone());
            let client = client.clone();
            async move {
                client.on_request();
                let response = handle(control, &metrics, client.clone(), req).await;
                client.on_response();
                Ok::<_, Infallible>(response)
            }
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(settings.timings.caller_read_timeout)
        .max_buf_size(settings.max_header_bytes)
        .serve_connection(TokioIo::new(Box::pin(stream)), service);
    // An error closes the connection, which the operator notices.
    tokio::select! {
        _ = connection => {}
        () = client.closed() => {}
    }
}

async fn handle<P: Platform, C: Clock>(
    control: Arc<Control<P, C>>,
    metrics: &Metrics,
    client: Arc<Client>,
    req: Request<Incoming>,
) -> Response {
    let (parts, body) = req.into_parts();
    let path = parts.uri.path();
    if parts.method == Method::GET && path == "/healthz" {
        return match control.node.unready_reason() {
            None => text("ready\n".to_owned()),
            Some(reason) => problem_response(&problem(
                StatusCode::SERVICE_UNAVAILABLE,
                "not ready",
                reason,
            )),
        };
    }
    if !is_operator(&control.node.settings.operator_key, &parts.headers) {
        let detail = "send `Authorization: Bearer OPERATOR_KEY`";
        return problem_response(&problem(
            StatusCode::UNAUTHORIZED,
            "not an operator",
            detail,
        ));
    }
    let segments: Vec<&str> = path.trim_matches('/').split('/').collect();
    match (&parts.method, segments.as_slice()) {
        (&Method::GET, ["metrics"]) => text(metrics.render(&control.node)),
        (&Method::GET, ["v1", "status"]) => json(&control.status()),
        (&Method::GET, ["v1", "events"]) => {
            json(&control.events(parts.uri.query().unwrap_or_default()))
        }
        (&Method::GET, ["v1", "config"]) => control.config(),
        (&Method::POST, ["v1", "config"]) => match read_json(&client, body).await {
            Ok(req) => control.apply(req).await,
            Err(response) => response,
        },
        (&Method::GET, ["v1", "pools"]) => control.list_pools(),
        (&Method::POST, ["v1", "vms", vm, verb]) => {
            match (parse_verb(verb), read_json(&client, body).await) {
                (Some(verb), Ok(req)) => control.operate_vm(vm, verb, req).await,
                (None, _) => problem_response(&problem(StatusCode::NOT_FOUND, "unknown path", "")),
                (_, Err(response)) => response,
            }
        }
        (&Method::GET, ["v1", "keys"]) => control.list_keys(),
        (&Method::POST, ["v1", "keys"]) => match read_json(&client, body).await {
            Ok(req) => control.issue_key(req).await,
            Err(response) => response,
        },
        (&Method::DELETE, ["v1", "keys", id]) => control.withdraw_key(id).await,
        _ => problem_response(&problem(StatusCode::NOT_FOUND, "unknown path", "")),
    }
}

fn parse_verb(name: &str) -> Option<Verb> {
    match name {
        "drain" => Some(Verb::Drain),
        "cancel" => Some(Verb::Cancel),
        "move" => Some(Verb::Move),
        "reboot" => Some(Verb::Reboot),
        _ => None,
    }
}

async fn read_json<T: DeserializeOwned>(
    client: &Arc<Client>,
    mut body: Incoming,
) -> Result<T, Response> {
    let bad = |detail: String| {
        problem_response(&problem(StatusCode::BAD_REQUEST, "malformed body", detail))
    };
    let body = match read_body(client, &mut body, MAX_BODY_BYTES).await {
        Ok(body) => body,
        Err(BodyError::NoRoom) => return Err(no_room()),
        Err(error) => return Err(bad(error.to_string())),
    };
    serde_json::from_slice(&body).map_err(|error| bad(error.to_string()))
}

/// Checks the operator key with a constant-time comparison, so that response times reveal nothing
/// about the key.
fn is_operator(operator_key: &str, headers: &HeaderMap) -> bool {
    let value = headers
        .get(header::AUTHORIZATION)
        .map_or(&b""[..], |value| value.as_bytes());
    let presented = value.strip_prefix(b"Bearer ").unwrap_or_default();
    presented.ct_eq(operator_key.as_bytes()).into()
}
