//! Runs a request: finds a place, exchanges it there, retries where that is safe.

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

use super::answer::remove_hop_by_hop;
use super::place::{PeerPlace, Placement, place};
use super::{Answer, Grant, Head, Refusal, Reply};
use crate::backend::{ExchangeError, WholeResponse};
use crate::journal::kinds;
use crate::node::Node;

/// Header that carries the head of a forwarded request.
pub(crate) const FORWARD: &str = "snipevane-forward";
/// Forwards to peers that turn out to have no room, for one request.
const MAX_FORWARDS: u32 = 3;
/// Time after which a caller asks again if nothing better is known.
const DEFAULT_RETRY: Duration = Duration::from_secs(1);

/// A request that is ready to run.
#[derive(Debug)]
pub(crate) struct Work {
    /// Head, with names resolved.
    pub(crate) head: Head,
    /// Order in which the request is taken.
    pub(crate) urgency: Urgency,
    /// Headers for the backend server.
    pub(crate) headers: HeaderMap,
    /// Body.
    pub(crate) body: Bytes,
    /// Identifier of the exchange.
    pub(crate) exchange: Uuid,
    /// Time at which the caller stops waiting.
    pub(crate) deadline: Instant,
    /// Time by which the request starts or is refused.
    pub(crate) start_by: Instant,
    /// Whether the request may go on to a peer.
    pub(crate) may_forward: bool,
    /// Whether the sender of a forwarded request holds the unit.
    pub(crate) unit_held: bool,
    /// Whether a byte of the request may have left.
    pub(crate) sent: AtomicBool,
}

impl Work {
    /// Tells whether a unit of the team's limit is needed here.
    pub(crate) fn needs_unit(&self) -> bool {
        !self.unit_held && !self.head.identity.team.is_null()
    }

    /// Returns the refusal of a request that found no place in time.
    pub(crate) fn refuse_busy<C: Clock>(&self, node: &Node<C>) -> Refusal {
        let state = node.state();
        let team = self.head.identity.team;
        let queue = state.waiting.get(self.head.service);
        let retry_after = queue.map_or(DEFAULT_RETRY, |queue| queue.retry_after(team, node.now()));
        Refusal::busy("no unit or slot was free in time", retry_after)
    }

    /// Returns the refusal of a request whose caller went away.
    pub(crate) fn refuse_cancelled(&self) -> Refusal {
        Refusal::not_run(StatusCode::REQUEST_TIMEOUT, "the caller went away")
    }

    fn remaining<C: Clock>(&self, node: &Node<C>) -> Duration {
        self.deadline.saturating_duration_since(node.now())
    }
}

/// Runs a request to its end, also after the caller went away once it was sent.
pub(crate) async fn run<C: Clock>(
    node: Arc<Node<C>>,
    work: Arc<Work>,
    cancel: CancellationToken,
) -> Reply {
    let mut forwards = 0;
    node.state().retries.on_request(work.head.identity.team);
    loop {
        let may_choose = forwards < MAX_FORWARDS;
        let placement = match place(&node, &work, may_choose, &cancel).await {
            Ok(placement) => placement,
            Err(refusal) => return Reply::Refused(refusal),
        };
        let step = match placement {
            Placement::Here(grant) => run_here(&node, &work, grant).await,
            Placement::Peer(peer) => {
                forwards += 1;
                run_at_peer(&node, &work, peer).await
            }
        };
        match step {
            Step::Done(reply) => return reply,
            Step::Elsewhere => {}
            Step::Retry if may_retry(&node, &work) => {}
            Step::Retry => return Reply::Refused(work.refuse_busy(&node)),
            Step::RetryUnknown if work.head.idempotent && may_retry(&node, &work) => {}
            Step::RetryUnknown => return Reply::Refused(interrupted()),
        }
    }
}

enum Step {
    /// The reply is final.
    Done(Reply),
    /// A peer had no room; nothing was tried at a backend server.
    Elsewhere,
    /// The request surely didn't run.
    Retry,
    /// The request may have run.
    RetryUnknown,
}

fn may_retry<C: Clock>(node: &Node<C>, work: &Work) -> bool {
    let now = node.now();
    now < work.start_by && node.state().retries.try_retry(work.head.identity.team, now)
}

fn interrupted() -> Refusal {
    Refusal::unknown(StatusCode::BAD_GATEWAY, "the exchange was interrupted")
        .detail("a backend server may have run the request")
}

async fn run_here<C: Clock>(node: &Arc<Node<C>>, work: &Work, mut grant: Grant<C>) -> Step {
    let Some(address) = grant.address() else {
        return Step::Retry;
    };
    // The process may have been frozen between the grant and here.
    let remaining = work.remaining(node);
    if remaining.is_zero() {
        return Step::Done(Reply::Refused(work.refuse_busy(node)));
    }
    let req = match backend_request(work, remaining, address) {
        Ok(req) => req,
        Err(refusal) => return Step::Done(Reply::Refused(refusal)),
    };
    let sent_at = node.now();
    let ends_by = sent_at + work.head.longest_run;
    work.sent.store(true, Ordering::SeqCst);
    let result = timeout(work.head.longest_run, node.backends.exchange(address, req)).await;
    let latency = node.now().saturating_duration_since(sent_at);
    match result {
        Ok(Ok(response)) => finish_here(node, work, grant, response, latency),
        Ok(Err(ExchangeError::NotSent(_))) => {
            work.sent.store(false, Ordering::SeqCst);
            node.note_sign(&grant.vm(), HealthSignal::ConnectionRefused);
            grant.report(RequestOutcome::ConnectFailed);
            Step::Retry
        }
        Ok(Err(error)) => {
            let vm = grant.vm();
            let team = &work.head.identity.name;
            node.record(
                &kinds::EXCHANGE_INTERRUPTED,
                &[&vm, team, &work.exchange, &error],
            );
            grant.report(RequestOutcome::Failed);
            let known = matches!(error, ExchangeError::TooLarge(_));
            // The backend server may still run the request.
            grant.hold_until(ends_by);
            if known {
                Step::Done(Reply::Refused(too_large()))
            } else {
                Step::RetryUnknown
            }
        }
        Err(_) => {
            let vm = grant.vm();
            let team = &work.head.identity.name;
            node.record(&kinds::RUN_TIME_EXCEEDED, &[&vm, team, &work.exchange]);
            grant.report(RequestOutcome::Failed);
            Step::Done(Reply::Refused(interrupted()))
        }
    }
}

fn too_large() -> Refusal {
    Refusal::unknown(StatusCode::BAD_GATEWAY, "the answer is too large")
        .detail("a backend server ran the request, and its answer can't be passed on")
}

fn finish_here<C: Clock>(
    node: &Node<C>,
    work: &Work,
    mut grant: Grant<C>,
    response: WholeResponse,
    latency: Duration,
) -> Step {
    node.note_server_signs(&grant.vm(), &response);
    let answer = Answer::new(response.status, response.headers, response.body);
    if answer.is_declined() {
        work.sent.store(false, Ordering::SeqCst);
        grant.report(RequestOutcome::Declined);
        return Step::Retry;
    }
    if !answer.belongs_to(work.exchange) {
        // The bytes belong to another exchange, so nothing is known of this one.
        grant.report(RequestOutcome::Failed);
        return Step::RetryUnknown;
    }
    let failed = answer.status.is_server_error();
    grant.report(if failed {
        RequestOutcome::Failed
    } else {
        RequestOutcome::Answered { latency }
    });
    Step::Done(Reply::Answered(answer))
}

async fn run_at_peer<C: Clock>(node: &Arc<Node<C>>, work: &Work, mut peer: PeerPlace<C>) -> Step {
    let purpose = Purpose::Place;
    let unit = peer.unit.take();
    let wait = if peer.waits {
        work.start_by
    } else {
        node.now()
    };
    let req = match forward_request(node, work, purpose, unit.is_some(), wait) {
        Ok(req) => req,
        Err(refusal) => return Step::Done(Reply::Refused(refusal)),
    };
    work.sent.store(true, Ordering::SeqCst);
    let longest = work.remaining(node) + work.head.longest_run;
    let ends_by = node.now() + longest;
    match timeout(longest, node.forwards.exchange(peer.address, req)).await {
        Ok(Ok(response)) => {
            let answer = Answer::new(response.status, response.headers, response.body);
            let step = finish_at_peer(node, work, &peer, answer);
            if let (Some(unit), true) = (unit, may_still_run(&step)) {
                unit.hold_until(ends_by);
            }
            step
        }
        Ok(Err(ExchangeError::NotSent(_))) => {
            work.sent.store(false, Ordering::SeqCst);
            node.state().peers.mark_unreachable(&peer.vm);
            Step::Elsewhere
        }
        Ok(Err(_)) | Err(_) => {
            if let Some(unit) = unit {
                unit.hold_until(ends_by);
            }
            Step::RetryUnknown
        }
    }
}

fn may_still_run(step: &Step) -> bool {
    match step {
        Step::Done(Reply::Answered(_)) | Step::Elsewhere | Step::Retry => false,
        Step::Done(_) | Step::RetryUnknown => true,
    }
}

fn finish_at_peer<C: Clock>(
    node: &Node<C>,
    work: &Work,
    peer: &PeerPlace<C>,
    answer: Answer,
) -> Step {
    match answer.outcome() {
        Some(Outcome::Answered) => Step::Done(Reply::Answered(answer)),
        Some(Outcome::NotRun) => {
            work.sent.store(false, Ordering::SeqCst);
            node.state().note_no_room(&peer.vm, work);
            if peer.waits {
                Step::Retry
            } else {
                Step::Elsewhere
            }
        }
        Some(Outcome::Unknown) => Step::Done(Reply::Relayed(answer)),
        None => Step::Done(Reply::Refused(interrupted())),
    }
}

fn backend_request(
    work: &Work,
    remaining: Duration,
    address: std::net::SocketAddr,
) -> Result<Request<Full<Bytes>>, Refusal> {
    let mut headers = work.headers.clone();
    let run = remaining.min(work.head.longest_run);
    headers.insert(
        DEADLINE_MS,
        HeaderValue::from(run.as_millis().max(1) as u64),
    );
    insert_text(&mut headers, EXCHANGE, &work.exchange.to_string());
    insert_text(&mut headers, TEAM, &work.head.identity.name);
    insert_text(&mut headers, QUEUE, &work.head.queue_name);
    if let Some(id) = work.head.id {
        insert_text(&mut headers, IDEMPOTENCY_KEY, &id.to_string());
    }
    insert_text(&mut headers, header::HOST.as_str(), &address.to_string());
    build(work, &work.head.path, headers)
}

/// Builds the request that carries another one to a peer.
pub(crate) fn forward_request<C: Clock>(
    node: &Node<C>,
    work: &Work,
    purpose: Purpose,
    unit_held: bool,
    wait_until: Instant,
) -> Result<Request<Full<Bytes>>, Refusal> {
    let ms = |duration: Duration| u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
    let name = &work.head.identity.name;
    let forward = Forward {
        purpose,
        queue: work.head.queue_name.to_string(),
        team: (!name.is_empty()).then(|| name.to_string()),
        method: work.head.method.to_string(),
        path: work.head.path.to_string(),
        deadline_ms: ms(work.remaining(node)),
        wait_ms: ms(wait_until.saturating_duration_since(node.now())),
        exchange: work.exchange,
        unit_held,
        id: work.head.id,
    };
    let text = serde_json::to_string(&forward).unwrap_or_default();
    let mut headers = work.headers.clone();
    insert_text(&mut headers, FORWARD, &text);
    let bearer = format!("Bearer {}", node.settings.peer_key);
    insert_text(&mut headers, header::AUTHORIZATION.as_str(), &bearer);
    insert_text(&mut headers, header::HOST.as_str(), "peer");
    build(work, "/forward", headers)
}

fn build(work: &Work, path: &str, headers: HeaderMap) -> Result<Request<Full<Bytes>>, Refusal> {
    let malformed = || Refusal::not_run(StatusCode::BAD_REQUEST, "malformed path");
    let mut req = Request::builder()
        .method(work.head.method.clone())
        .uri(path)
        .body(Full::new(work.body.clone()))
        .map_err(|_| malformed())?;
    *req.headers_mut() = headers;
    Ok(req)
}

fn insert_text(headers: &mut HeaderMap, name: &str, value: &str) {
    let Ok(name) = header::HeaderName::from_bytes(name.as_bytes()) else {
        return;
    };
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}

/// Keeps the caller's headers that a backend server gets.
pub(crate) fn pass_on(headers: &HeaderMap) -> HeaderMap {
    let mut passed = headers.clone();
    remove_hop_by_hop(&mut passed);
    for name in [
        header::AUTHORIZATION,
        header::HOST,
        header::CONTENT_LENGTH,
        header::EXPECT,
    ] {
        passed.remove(name);
    }
    for name in [FORWARD, TEAM, QUEUE, EXCHANGE, DEADLINE_MS, IDEMPOTENCY_KEY] {
        passed.remove(name);
    }
    passed
}
