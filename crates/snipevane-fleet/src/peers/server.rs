//! Server for the other entry VMs: answers as the scheduler, and relays calls to the store.

use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONNECTION, HeaderValue};
use http::{Response, StatusCode};
use http_body_util::{Either, Full};
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde::Serialize;
use snipevane_adapter::{Method, Request, config, rows as store_rows};
use tokio::net::TcpStream;

use crate::caller::{JobWriter, Outcome};
use crate::client::{CallError, RelayedBody};
use crate::clock::Clock;
use crate::listeners::{Connection, Gate, Recorder, Shares, serve_until_closed};
use crate::metrics;
use crate::node::Node;
use crate::rows;
use crate::scheduling::Leader;
use crate::senders::messages::{STARTS_PATH, StartsRequest};
use crate::senders::{self, OutcomeStream};

use super::messages::{
    ACCEPT_PATH, AdmissionReport, Heartbeat, NOT_SCHEDULING, RELAY_BUSY, STATE_PATH, StateRequest,
    StateResponse, SubmitRequest, WATCH_PATH, WatchRequest, message_kind,
};

/// Timeout for a relayed call, long enough for a long poll for changes.
const RELAY_TIMEOUT: Duration = Duration::from_millis(7_000);

/// Largest request body that is accepted, in bytes.
const MAX_REQUEST_BYTES: usize = 2 << 20;

/// Largest head of a request that is accepted, in bytes.
const MAX_HEAD_BYTES: usize = 16 << 10;

/// Longest time that a watch request waits for another version.
const WATCH_WAIT: Duration = Duration::from_millis(250);

/// Time after which a sender that doesn't know [`Outcome::Unheld`] is told to come back.
const UNHELD_RETRY_AFTER_MS: u64 = 5_000;

/// A response with a body that is known, that is passed on as it arrives from the store, or that is sent as
/// the outcomes of orders become known.
type Reply = Response<ReplyBody>;

type ReplyBody = Either<Full<Bytes>, Either<RelayedBody, OutcomeStream>>;

/// Serves the other entry VMs until the process ends.
///
/// # Errors
///
/// Returns an error if the address isn't one, or can't be bound.
pub async fn serve<C: Clock>(
    node: Rc<Node<C>>,
    job_writer: Rc<JobWriter<C>>,
) -> std::io::Result<()> {
    let gate = Gate::new("peers", Shares::of(&node.settings.limits).peers, Recorder);
    let address = super::own_address(&node).parse();
    let listener = gate.bind(address.map_err(std::io::Error::other)?)?;
    loop {
        let (stream, connection) = gate.accept(&listener, || MAX_HEAD_BYTES).await;
        let (node, job_writer) = (node.clone(), job_writer.clone());
        tokio::task::spawn_local(serve_connection(node, job_writer, stream, connection));
    }
}

/// Serves one connection until the other entry VM closes it, or it is closed for another one.
async fn serve_connection<C: Clock>(
    node: Rc<Node<C>>,
    job_writer: Rc<JobWriter<C>>,
    stream: TcpStream,
    connection: Arc<Connection>,
) {
    let place = connection.clone();
    let service = service_fn(move |request| {
        let (node, job_writer, place) = (node.clone(), job_writer.clone(), place.clone());
        async move {
            place.on_request();
            let reply = handle(&node, &job_writer, &place, request).await;
            place.on_response();
            Ok::<_, Infallible>(reply)
        }
    });
    let served = http1::Builder::new()
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    serve_until_closed(&connection, served, "from another entry VM").await;
}

async fn handle<C: Clock>(
    node: &Rc<Node<C>>,
    job_writer: &Rc<JobWriter<C>>,
    connection: &Arc<Connection>,
    request: http::Request<Incoming>,
) -> Reply {
    let method = match *request.method() {
        http::Method::GET => Method::Get,
        _ => Method::Post,
    };
    let path = request
        .uri()
        .path_and_query()
        .map_or_else(String::new, ToString::to_string);
    let kind = message_kind(&path);
    let head_bytes = metrics::head_bytes(path.len(), request.headers());
    let body = connection.read_body(request.into_body(), MAX_REQUEST_BYTES);
    let Ok(body) = body.await else {
        return closing(response(StatusCode::SERVICE_UNAVAILABLE, Bytes::new()));
    };
    metrics::record_served_request(kind, head_bytes + body.len());
    let reply = answer(node, job_writer, method, path, &body).await;
    let head_bytes = metrics::head_bytes(0, reply.headers());
    let body_bytes = reply.body().size_hint().exact().unwrap_or(0);
    metrics::record_served_response(kind, head_bytes + body_bytes as usize);
    reply
}

async fn answer<C: Clock>(
    node: &Rc<Node<C>>,
    job_writer: &Rc<JobWriter<C>>,
    method: Method,
    path: String,
    body: &[u8],
) -> Reply {
    match path.as_str() {
        WATCH_PATH => match rows::decode::<WatchRequest>(WATCH_PATH, body) {
            Some(request) => scheduler_response(heartbeat(node, request).await),
            None => bad_request(),
        },
        ACCEPT_PATH => match rows::decode::<SubmitRequest>(ACCEPT_PATH, body) {
            Some(request) => submit_job(node, job_writer, request).await,
            None => bad_request(),
        },
        STATE_PATH => match rows::decode::<StateRequest>(STATE_PATH, body) {
            Some(request) => job_state(node, job_writer, request),
            None => bad_request(),
        },
        STARTS_PATH => match rows::decode::<StartsRequest>(STARTS_PATH, body) {
            Some(request) => send_starts(node, request),
            None => bad_request(),
        },
        _ => relay(node, method, path, body).await,
    }
}

/// Waits for a version of the scheduler's row that the sender doesn't know, or until
/// [`WATCH_WAIT`] has passed.
///
/// Returns `None` if this process doesn't schedule.
async fn heartbeat<C: Clock>(node: &Node<C>, request: WatchRequest) -> Option<Heartbeat> {
    let leader = node.leader()?;
    leader.record_heard(&request.vm);
    let received_at = node.clock.now();
    if let Some(capacity) = request.capacity {
        leader.record_candidate(&request.vm, capacity);
    }
    leader.record_sender(&request.vm, request.offer);
    let written = leader.wait_for_row_change(request.known);
    // After a timeout the heartbeat repeats the known version.
    let _ = tokio::time::timeout(WATCH_WAIT, written).await;
    node.leader()?;
    let view = node.scheduler_view.borrow();
    let row = view.row.as_ref()?;
    let site = node.site_view.borrow();
    let age = site.confirmation_age(node.clock.now());
    Some(Heartbeat {
        version: view.version(),
        observer_wait_ms: row.observer_wait_ms,
        waiting: row.waiting.clone(),
        config_version: site.version(),
        config_age_ms: age.map(|age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX)),
        largest_candidate: leader.largest_candidate(),
        grant: leader.term_grant(),
        admission: admission_report(&leader, received_at),
    })
}

/// Returns the committed work of loaded pools for a heartbeat whose request arrived at `received_at`.
fn admission_report<C: Clock>(
    leader: &Leader<C>,
    received_at: Duration,
) -> Option<AdmissionReport> {
    let (snapshot, taken_at) = leader.admission_snapshot()?;
    let millis = |duration: Duration| i64::try_from(duration.as_millis()).unwrap_or(i64::MAX);
    Some(AdmissionReport {
        snapshot: (*snapshot).clone(),
        taken_after_ms: millis(taken_at) - millis(received_at),
    })
}

async fn submit_job<C: Clock>(
    node: &Node<C>,
    job_writer: &Rc<JobWriter<C>>,
    request: SubmitRequest,
) -> Reply {
    if node.leader().is_none() {
        return response(NOT_SCHEDULING, Bytes::new());
    }
    let outcome = job_writer.accept_locally(request.id, &request.spec).await;
    let outcome = match outcome {
        Outcome::Busy { .. } if !request.accepts_busy => Outcome::NotStored,
        Outcome::Rejected if !request.accepts_rejected => Outcome::NotStored,
        // Its sender would store the job itself if it were told that nothing is stored.
        Outcome::Unheld if !request.accepts_unheld && request.accepts_busy => Outcome::Busy {
            retry_after_ms: UNHELD_RETRY_AFTER_MS,
        },
        Outcome::Unheld if !request.accepts_unheld => Outcome::NotStored,
        Outcome::Cancelled if !request.accepts_cancelled => Outcome::NotStored,
        outcome => outcome,
    };
    scheduler_response(Some(outcome))
}

fn job_state<C: Clock>(node: &Node<C>, job_writer: &JobWriter<C>, request: StateRequest) -> Reply {
    let state = node.leader().map(|leader| StateResponse {
        state: leader.visible_state(request.id),
        may_be_stored: Some(job_writer.was_submitted_lately(request.id)),
        in_doubt: job_writer.has_submission_in_doubt(request.id),
    });
    scheduler_response(state)
}

/// Sends start orders on behalf of the scheduler; their outcomes are reported as they become known.
fn send_starts<C: Clock>(node: &Rc<Node<C>>, request: StartsRequest) -> Reply {
    match senders::send_starts(node, request) {
        Ok(outcomes) => reply(StatusCode::OK, Either::Right(Either::Right(outcomes))),
        Err(refusal) => response(refusal.status(), Bytes::new()),
    }
}

/// Returns the response to a message that can't be decoded.
fn bad_request() -> Reply {
    response(StatusCode::BAD_REQUEST, Bytes::new())
}

/// Encodes a message of the scheduler; `None` means that this process doesn't schedule.
fn scheduler_response<T: Serialize>(message: Option<T>) -> Reply {
    match message {
        Some(message) => response(StatusCode::OK, Bytes::from(rows::encode(&message))),
        None => response(NOT_SCHEDULING, Bytes::new()),
    }
}

/// Relays a call to the store; refuses it if this VM's last direct call to the store failed.
///
/// Of responses with changes of the configuration, one is passed on at a time, and none is waited for:
/// several large ones at once would fill this VM's link for longer than its own may take to be in force.
async fn relay<C: Clock>(node: &Node<C>, method: Method, path: String, body: &[u8]) -> Reply {
    if !node.store.is_direct() {
        return response(StatusCode::SERVICE_UNAVAILABLE, Bytes::new());
    }
    let config_path = store_rows::changes_path_without_wait(&path, config::TABLE);
    let mut turn = None;
    if config_path.is_some() {
        turn = node.config_relay_turn.try_take(node.clock.now());
        if turn.is_none() {
            metrics::record_busy_relay();
            return response(RELAY_BUSY, Bytes::new());
        }
    }
    let path = config_path.unwrap_or(path);
    let call = Request {
        kind: "relay",
        method,
        path,
        headers: Vec::new(),
        body: body.to_vec(),
    };
    match node.store.relay(call, RELAY_TIMEOUT).await {
        Ok((status, mut body)) => {
            body.hold(turn);
            let status = StatusCode::from_u16(status);
            reply(
                status.unwrap_or(StatusCode::BAD_GATEWAY),
                Either::Right(Either::Left(body)),
            )
        }
        Err(CallError::NotSent) => response(StatusCode::SERVICE_UNAVAILABLE, Bytes::new()),
        Err(CallError::NoAnswer) => response(StatusCode::GATEWAY_TIMEOUT, Bytes::new()),
    }
}

/// Makes a response the last one of its connection, as the rest of the request isn't read.
fn closing(mut reply: Reply) -> Reply {
    let close = HeaderValue::from_static("close");
    reply.headers_mut().insert(CONNECTION, close);
    reply
}

fn response(status: StatusCode, body: Bytes) -> Reply {
    reply(status, Either::Left(Full::new(body)))
}

fn reply(status: StatusCode, body: ReplyBody) -> Reply {
    let mut reply = Response::new(body);
    *reply.status_mut() = status;
    reply
}
