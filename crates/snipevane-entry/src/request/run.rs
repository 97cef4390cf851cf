//! Runs a request: places it, sends it to a backend server or peer, and retries where that is safe.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Request, StatusCode, header};
use http_body_util::Full;
use slotmap::Key;
use snipevane_core::clock::Clock;
use snipevane_core::members::HealthSignal;
use snipevane_core::routing::RequestOutcome;
use snipevane_proto::headers::{DEADLINE_MS, EXCHANGE, IDEMPOTENCY_KEY, Outcome, QUEUE, TEAM};
use snipevane_proto::manifest::Urgency;
use snipevane_proto::peer::{Forward, Purpose};
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;
use uuid::Uuid;

use super::place::{PeerPlacement, Placement, place};
use super::response::remove_hop_by_hop;
use super::{Grant, Head, Refusal, Reply, UpstreamResponse};
use crate::backend::{BufferedResponse, ConnectionPool, ExchangeError};
use crate::journal::kinds;
use crate::node::Node;

/// Header that carries the head of a forwarded request.
pub(crate) const FORWARD_HEADER: &str = "snipevane-forward";
/// Maximum number of forwards of one request to peers that may turn out to have no room.
const MAX_FORWARDS: u32 = 3;
/// Number of interrupted exchanges after which a request isn't retried, as it may be the cause.
const MAX_INTERRUPTIONS: u32 = 2;

/// Retry delay that callers are told if the queue gives no estimate.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// A request that is ready to run.
#[derive(Debug)]
pub(crate) struct PreparedRequest {
    /// Head, with names resolved.
    pub(crate) head: Head,
    /// Urgency, which orders requests in the queue.
    pub(crate) urgency: Urgency,
    /// Headers that are forwarded to the backend server.
    pub(crate) headers: HeaderMap,
    /// Body.
    pub(crate) body: Bytes,
    /// Identifier of the exchange, which the backend server's response may name.
    pub(crate) exchange: Uuid,
    /// Time by which the caller gets a reply.
    pub(crate) deadline: Instant,
    /// Time by which the request starts or is refused.
    pub(crate) start_by: Instant,
    /// Whether the request may be forwarded to a peer.
    pub(crate) may_forward: bool,
    /// Whether the peer that forwarded the request holds the unit.
    pub(crate) unit_held: bool,
    /// Whether a backend server or peer may have received some of the request.
    pub(crate) sent: AtomicBool,
}

impl PreparedRequest {
    /// Returns whether this entry VM has to acquire a unit of the team's limit.
    pub(crate) fn needs_unit(&self) -> bool {
        !self.unit_held && !self.head.identity.team.is_null()
    }

    /// Returns the refusal of a request that wasn't placed in time.
    pub(crate) fn refuse_busy<C: Clock>(&self, node: &Node<C>) -> Refusal {
        let state = node.state();
        let team = self.head.identity.team;
        let queue = state.waiting.get(self.head.service);
        let retry_after = queue.map_or(DEFAULT_RETRY_AFTER, |queue| {
            queue.retry_after(team, node.now())
        });
        Refusal::busy("no unit or slot was free in time", retry_after)
    }

    /// Returns the refusal of a request that was cancelled because the caller disconnected.
    pub(crate) fn refuse_cancelled(&self) -> Refusal {
        Refusal::not_run(StatusCode::REQUEST_TIMEOUT, "the caller went away")
    }

    /// Returns the time left until the deadline.
    pub(crate) fn remaining<C: Clock>(&self, node: &Node<C>) -> Duration {
        self.deadline.saturating_duration_since(node.now())
    }
}

/// Runs a request until there is a reply.
///
/// Once the request was sent, it runs to its end even if the caller disconnects.
pub(crate) async fn run<C: Clock>(
    node: Arc<Node<C>>,
    request: Arc<PreparedRequest>,
    cancel: CancellationToken,
) -> Reply {
    let mut forwards = 0;
    let mut connection = ConnectionChoice::Pooled;
    let mut interruptions = 0;
    node.state().retries.on_request(request.head.identity.team);
    loop {
        let use_peer_capacity = forwards < MAX_FORWARDS;
        let placement = match place(&node, &request, use_peer_capacity, &cancel).await {
            Ok(placement) => placement,
            Err(refusal) => return Reply::Refused(refusal),
        };
        let outcome = match placement {
            Placement::Here(grant) => run_here(&node, &request, grant, connection).await,
            Placement::Peer(peer) => {
                forwards += 1;
                run_at_peer(&node, &request, peer).await
            }
        };
        match outcome {
            AttemptOutcome::Done(reply) => return reply,
            AttemptOutcome::PeerUnavailable => {}
            AttemptOutcome::NotRun if may_retry(&node, &request) => {}
            AttemptOutcome::NotRun => return Reply::Refused(request.refuse_busy(&node)),
            AttemptOutcome::ReusedConnectionFailed
                if request.head.idempotent && node.now() < request.start_by =>
            {
                interruptions += 1;
                connection = ConnectionChoice::New;
            }
            AttemptOutcome::ReusedConnectionFailed => return Reply::Refused(interrupted()),
            AttemptOutcome::Unknown
                if request.head.idempotent
                    && interruptions + 1 < MAX_INTERRUPTIONS
                    && may_retry(&node, &request) =>
            {
                interruptions += 1;
                connection = ConnectionChoice::New;
            }
            AttemptOutcome::Unknown => return Reply::Refused(interrupted()),
        }
    }
}

/// Outcome of one attempt to run a request.
enum AttemptOutcome {
    /// The reply is final.
    Done(Reply),
    /// The peer couldn't be reached, or didn't run a request that may not wait there until its
    /// latest start time; another attempt doesn't use the retry budget.
    PeerUnavailable,
    /// The request certainly didn't run.
    NotRun,
    /// The request may have run, but the failure is due to the reuse of a connection; another
    /// attempt on a new connection doesn't use the retry budget.
    ReusedConnectionFailed,
    /// The request may have run.
    Unknown,
}

/// Connection on which a request is sent to a backend server.
#[derive(Clone, Copy, Debug)]
enum ConnectionChoice {
    /// A pooled connection if there is one.
    Pooled,
    /// A new connection, which can't have been broken by an earlier exchange.
    New,
}

fn may_retry<C: Clock>(node: &Node<C>, request: &PreparedRequest) -> bool {
    let now = node.now();
    now < request.start_by
        && node
            .state()
            .retries
            .try_retry(request.head.identity.team, now)
}

fn interrupted() -> Refusal {
    Refusal::unknown(StatusCode::BAD_GATEWAY, "the exchange was interrupted")
        .detail("a backend server may have run the request")
}

async fn run_here<C: Clock>(
    node: &Arc<Node<C>>,
    request: &PreparedRequest,
    mut grant: Grant<C>,
    connection: ConnectionChoice,
) -> AttemptOutcome {
    let Some(address) = grant.address() else {
        return AttemptOutcome::NotRun;
    };
    // The process may have been suspended since the grant.
    let remaining = request.remaining(node);
    if remaining.is_zero() {
        return AttemptOutcome::Done(Reply::Refused(request.refuse_busy(node)));
    }
    let req = match backend_request(request, remaining, address) {
        Ok(req) => req,
        Err(refusal) => return AttemptOutcome::Done(Reply::Refused(refusal)),
    };
    let sent_at = node.now();
    let ends_by = sent_at + request.head.max_run_time;
    request.sent.store(true, Ordering::SeqCst);
    let exchange = exchange_on(connection, &node.backends, address, req);
    let result = timeout(request.head.max_run_time, exchange).await;
    let latency = node.now().saturating_duration_since(sent_at);
    match result {
        Ok(Ok(response)) => finish_here(node, request, grant, response, latency),
        Ok(Err(ExchangeError::NotSent(_))) => {
            request.sent.store(false, Ordering::SeqCst);
            node.report_health_signal(&grant.vm(), HealthSignal::ConnectionRefused);
            grant.set_outcome(RequestOutcome::ConnectFailed);
            AttemptOutcome::NotRun
        }
        Ok(Err(error)) => {
            let vm = grant.vm();
            let team = &request.head.identity.name;
            node.record(
                &kinds::EXCHANGE_INTERRUPTED,
                &[&vm, team, &request.exchange, &error],
            );
            grant.set_outcome(RequestOutcome::Failed);
            // The backend server may still run the request.
            grant.hold_until(ends_by);
            match error {
                ExchangeError::TooLarge(_) => AttemptOutcome::Done(Reply::Refused(too_large())),
                ExchangeError::ReusedConnection(_) => AttemptOutcome::ReusedConnectionFailed,
                ExchangeError::NotSent(_) | ExchangeError::Interrupted(_) => {
                    AttemptOutcome::Unknown
                }
            }
        }
        Err(_) => {
            let vm = grant.vm();
            let team = &request.head.identity.name;
            node.record(&kinds::RUN_TIME_EXCEEDED, &[&vm, team, &request.exchange]);
            grant.set_outcome(RequestOutcome::Failed);
            AttemptOutcome::Done(Reply::Refused(interrupted()))
        }
    }
}

async fn exchange_on(
    connection: ConnectionChoice,
    pool: &ConnectionPool,
    address: SocketAddr,
    req: Request<Full<Bytes>>,
) -> Result<BufferedResponse, ExchangeError> {
    match connection {
        ConnectionChoice::Pooled => pool.exchange(address, req).await,
        ConnectionChoice::New => pool.exchange_once(address, req).await,
    }
}

fn too_large() -> Refusal {
    Refusal::unknown(StatusCode::BAD_GATEWAY, "the answer is too large")
        .detail("a backend server ran the request, and its answer can't be passed on")
}

fn finish_here<C: Clock>(
    node: &Node<C>,
    request: &PreparedRequest,
    mut grant: Grant<C>,
    response: BufferedResponse,
    latency: Duration,
) -> AttemptOutcome {
    node.report_response_signal(&grant.vm(), &response);
    let response = UpstreamResponse::new(response.status, response.headers, response.body);
    if response.is_declined() {
        request.sent.store(false, Ordering::SeqCst);
        grant.set_outcome(RequestOutcome::Declined);
        return AttemptOutcome::NotRun;
    }
    let failed = response.status.is_server_error();
    grant.set_outcome(if failed {
        RequestOutcome::Failed
    } else {
        RequestOutcome::Answered { latency }
    });
    AttemptOutcome::Done(Reply::Answered(response))
}

async fn run_at_peer<C: Clock>(
    node: &Arc<Node<C>>,
    request: &PreparedRequest,
    mut peer: PeerPlacement<C>,
) -> AttemptOutcome {
    let purpose = Purpose::Place;
    let unit = peer.unit.take();
    let wait_until = if peer.may_wait {
        request.start_by
    } else {
        node.now()
    };
    let req = match forward_request(node, request, purpose, unit.is_some(), wait_until) {
        Ok(req) => req,
        Err(refusal) => return AttemptOutcome::Done(Reply::Refused(refusal)),
    };
    request.sent.store(true, Ordering::SeqCst);
    let time_limit = request.remaining(node) + request.head.max_run_time;
    let ends_by = node.now() + time_limit;
    match timeout(time_limit, node.forwards.exchange(peer.address, req)).await {
        Ok(Ok(response)) => {
            let response = UpstreamResponse::new(response.status, response.headers, response.body);
            let outcome = finish_at_peer(node, request, &peer, response);
            if let (Some(unit), true) = (unit, may_still_run(&outcome)) {
                unit.hold_until(ends_by);
            }
            outcome
        }
        Ok(Err(ExchangeError::NotSent(_))) => {
            request.sent.store(false, Ordering::SeqCst);
            node.state().peers.mark_unreachable(&peer.vm);
            AttemptOutcome::PeerUnavailable
        }
        Ok(Err(_)) | Err(_) => {
            if let Some(unit) = unit {
                unit.hold_until(ends_by);
            }
            AttemptOutcome::Unknown
        }
    }
}

fn may_still_run(outcome: &AttemptOutcome) -> bool {
    match outcome {
        AttemptOutcome::Done(Reply::Answered(_))
        | AttemptOutcome::PeerUnavailable
        | AttemptOutcome::NotRun => false,
        AttemptOutcome::Done(_)
        | AttemptOutcome::ReusedConnectionFailed
        | AttemptOutcome::Unknown => true,
    }
}

fn finish_at_peer<C: Clock>(
    node: &Node<C>,
    request: &PreparedRequest,
    peer: &PeerPlacement<C>,
    response: UpstreamResponse,
) -> AttemptOutcome {
    match response.outcome() {
        Some(Outcome::Answered) => AttemptOutcome::Done(Reply::Answered(response)),
        Some(Outcome::NotRun) => {
            request.sent.store(false, Ordering::SeqCst);
            node.state().record_no_capacity(&peer.vm, request);
            if peer.may_wait {
                AttemptOutcome::NotRun
            } else {
                AttemptOutcome::PeerUnavailable
            }
        }
        Some(Outcome::Unknown) => AttemptOutcome::Done(Reply::Relayed(response)),
        None => AttemptOutcome::Done(Reply::Refused(interrupted())),
    }
}

fn backend_request(
    request: &PreparedRequest,
    remaining: Duration,
    address: SocketAddr,
) -> Result<Request<Full<Bytes>>, Refusal> {
    let mut headers = request.headers.clone();
    let run = remaining.min(request.head.max_run_time);
    headers.insert(
        DEADLINE_MS,
        HeaderValue::from(run.as_millis().max(1) as u64),
    );
    insert_header(&mut headers, EXCHANGE, &request.exchange.to_string());
    insert_header(&mut headers, TEAM, &request.head.identity.name);
    insert_header(&mut headers, QUEUE, &request.head.queue_name);
    if let Some(id) = request.head.id {
        insert_header(&mut headers, IDEMPOTENCY_KEY, &id.to_string());
    }
    insert_header(&mut headers, header::HOST.as_str(), &address.to_string());
    build_request(request, &request.head.path, headers)
}

/// Builds the HTTP request that forwards a request to a peer.
pub(crate) fn forward_request<C: Clock>(
    node: &Node<C>,
    request: &PreparedRequest,
    purpose: Purpose,
    unit_held: bool,
    wait_until: Instant,
) -> Result<Request<Full<Bytes>>, Refusal> {
    let ms = |duration: Duration| u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
    let name = &request.head.identity.name;
    let forward = Forward {
        purpose,
        queue: request.head.queue_name.to_string(),
        team: (!name.is_empty()).then(|| name.to_string()),
        method: request.head.method.to_string(),
        path: request.head.path.to_string(),
        deadline_ms: ms(request.remaining(node)),
        wait_ms: ms(wait_until.saturating_duration_since(node.now())),
        exchange: request.exchange,
        unit_held,
        id: request.head.id,
    };
    let text = serde_json::to_string(&forward).unwrap_or_default();
    let mut headers = request.headers.clone();
    insert_header(&mut headers, FORWARD_HEADER, &text);
    let bearer = format!("Bearer {}", node.settings.peer_key);
    insert_header(&mut headers, header::AUTHORIZATION.as_str(), &bearer);
    insert_header(&mut headers, header::HOST.as_str(), "peer");
    build_request(request, "/forward", headers)
}

fn build_request(
    request: &PreparedRequest,
    path: &str,
    headers: HeaderMap,
) -> Result<Request<Full<Bytes>>, Refusal> {
    let malformed = || Refusal::not_run(StatusCode::BAD_REQUEST, "malformed path");
    let mut req = Request::builder()
        .method(request.head.method.clone())
        .uri(path)
        .body(Full::new(request.body.clone()))
        .map_err(|_| malformed())?;
    *req.headers_mut() = headers;
    Ok(req)
}

fn insert_header(headers: &mut HeaderMap, name: &str, value: &str) {
    let Ok(name) = header::HeaderName::from_bytes(name.as_bytes()) else {
        return;
    };
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}

/// Returns the caller's headers that are forwarded to a backend server.
pub(crate) fn forwardable_headers(headers: &HeaderMap) -> HeaderMap {
    let mut forwarded = headers.clone();
    remove_hop_by_hop(&mut forwarded);
    for name in [
        header::AUTHORIZATION,
        header::HOST,
        header::CONTENT_LENGTH,
        header::EXPECT,
    ] {
        forwarded.remove(name);
    }
    for name in [
        FORWARD_HEADER,
        TEAM,
        QUEUE,
        EXCHANGE,
        DEADLINE_MS,
        IDEMPOTENCY_KEY,
    ] {
        forwarded.remove(name);
    }
    forwarded
}
