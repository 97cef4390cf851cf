//! Serves a request: claims its identifier if needed, runs it and replies by the deadline.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, StatusCode};
use snipevane_core::claims::{ClaimOutcome, ClaimTicket, RunOutcome};
use snipevane_core::clock::Clock;
use snipevane_core::shards::ShardName;
use snipevane_proto::headers::Outcome;
use snipevane_proto::manifest::Urgency;
use snipevane_proto::peer::Purpose;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;
use uuid::Uuid;

use super::run::{forward_request, forwardable_headers};
use super::{Head, PreparedRequest, Refusal, Reply, UpstreamResponse, run};
use crate::backend::ExchangeError;
use crate::node::Node;
use crate::state::CachedResponse;

/// Retry delay that callers are told for a request that is still running.
const RUNNING_RETRY: Duration = Duration::from_secs(1);
/// Maximum wait for an identifier whose time is ahead; beyond it, the request is rejected for good.
const MAX_CLOCK_LEAD: Duration = Duration::from_secs(60);
/// Retry delay that callers are told while a shard has no reachable holder.
const SHARD_RETRY: Duration = Duration::from_secs(2);
/// Minimum time for which a forwarded request waits for a unit and a slot here; about the age of
/// the counts on which the peer's choice was based.
const MIN_FORWARDED_WAIT: Duration = Duration::from_millis(20);

/// How a request reached this entry VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Origin {
    /// From a caller.
    Caller,
    /// From a peer, to be claimed by this entry VM as holder of the shard.
    Claim,
    /// From a peer, to be run with a slot of this entry VM.
    Place {
        /// Whether the peer holds the unit of the team's limit.
        unit_held: bool,
        /// Maximum wait for a unit and a slot.
        wait: Duration,
    },
}

/// Serves a request whose head is resolved and whose body is read.
pub(crate) async fn serve<C: Clock>(
    node: Arc<Node<C>>,
    head: Head,
    headers: &HeaderMap,
    body: Bytes,
    origin: Origin,
    exchange: Uuid,
) -> Reply {
    let _in_flight = node.count_in_flight();
    let needs_claim =
        !head.idempotent && head.id.is_some() && !matches!(origin, Origin::Place { .. });
    let request = Arc::new(prepare(&node, head, headers, body, origin, exchange));
    let reply = if needs_claim {
        serve_claimed(&node, &request, origin).await
    } else {
        serve_unclaimed(&node, &request).await
    };
    withhold_late_response(&node, &request, reply)
}

async fn serve_unclaimed<C: Clock>(node: &Arc<Node<C>>, request: &Arc<PreparedRequest>) -> Reply {
    let cancel = CancellationToken::new();
    let task = tokio::spawn(run(node.clone(), request.clone(), cancel.clone()));
    reply_by_deadline(node, request, task, cancel).await
}

/// Replaces a backend server's response by an error if the deadline has passed.
///
/// The timer of the deadline may fire after a response that arrived late is ready, so only the
/// clock tells whether the response is in time. A refusal states what is known and is kept.
fn withhold_late_response<C: Clock>(
    node: &Node<C>,
    request: &PreparedRequest,
    reply: Reply,
) -> Reply {
    if reply.is_answered() && request.remaining(node).is_zero() {
        return Reply::Refused(deadline_exceeded());
    }
    reply
}

fn prepare<C: Clock>(
    node: &Node<C>,
    head: Head,
    headers: &HeaderMap,
    body: Bytes,
    origin: Origin,
    exchange: Uuid,
) -> PreparedRequest {
    let now = node.now();
    let deadline = now + head.deadline;
    let (unit_held, start_by) = match origin {
        Origin::Place { unit_held, wait } => {
            (unit_held, deadline.min(now + wait.max(MIN_FORWARDED_WAIT)))
        }
        Origin::Caller | Origin::Claim => (false, deadline),
    };
    let urgency = node
        .state()
        .site
        .queues
        .get(head.queue)
        .map(|queue| queue.urgency);
    PreparedRequest {
        urgency: urgency.unwrap_or(Urgency::Normal),
        headers: forwardable_headers(headers),
        body,
        exchange,
        deadline,
        start_by,
        may_forward: !matches!(origin, Origin::Place { .. }),
        unit_held,
        sent: AtomicBool::new(false),
        head,
    }
}

/// Waits for the reply of a request's task, and replies with an error when the deadline passes.
///
/// If the request wasn't sent by then, it is cancelled and refused as not run.
async fn reply_by_deadline<C: Clock>(
    node: &Node<C>,
    request: &PreparedRequest,
    mut task: JoinHandle<Reply>,
    cancel: CancellationToken,
) -> Reply {
    let _cancel_when_dropped = cancel.clone().drop_guard();
    let remaining = request.remaining(node);
    tokio::select! {
        biased;
        reply = &mut task => return task_reply(reply),
        () = sleep(remaining) => {}
    }
    if request.sent.load(Ordering::SeqCst) {
        return Reply::Refused(deadline_exceeded());
    }
    cancel.cancel();
    // The retry delay also bounds the wait for the cancelled request's task to end.
    match timeout(RUNNING_RETRY, task).await {
        Ok(reply) => match task_reply(reply) {
            Reply::Refused(refusal) if refusal.outcome == Outcome::NotRun => {
                Reply::Refused(request.refuse_busy(node))
            }
            reply => reply,
        },
        Err(_) => Reply::Refused(deadline_exceeded()),
    }
}

fn task_reply(reply: Result<Reply, tokio::task::JoinError>) -> Reply {
    reply.unwrap_or_else(|_| {
        let refusal = Refusal::unknown(
            StatusCode::INTERNAL_SERVER_ERROR,
            "the request's task failed",
        );
        Reply::Refused(refusal)
    })
}

fn deadline_exceeded() -> Refusal {
    Refusal::unknown(StatusCode::GATEWAY_TIMEOUT, "no answer before the deadline")
        .detail("a backend server may still run the request")
}

async fn serve_claimed<C: Clock>(
    node: &Arc<Node<C>>,
    request: &Arc<PreparedRequest>,
    origin: Origin,
) -> Reply {
    let Some(id) = request.head.id else {
        return Reply::Refused(no_shard_holder());
    };
    let shard = {
        let state = node.state();
        state
            .shards
            .owner(id)
            .map(|index| state.shards.names()[index].clone())
    };
    let Some(shard) = shard else {
        return Reply::Refused(no_shard_holder());
    };
    let body_hash = hash_request(request);
    let claim = node
        .state()
        .claim(&shard, id, body_hash, node.clock.unix_ms());
    match claim {
        Some(ClaimOutcome::Run(ticket)) => run_claimed(node, request, shard, ticket).await,
        Some(claim) => duplicate_reply(claim),
        None if origin == Origin::Caller => forward_claim(node, request, &shard).await,
        None => Reply::Refused(no_shard_holder()),
    }
}

/// Hashes what identifies a request: queue, team, method, path and body.
fn hash_request(request: &PreparedRequest) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new();
    for part in [
        request.head.queue_name.as_bytes(),
        request.head.identity.name.as_bytes(),
        request.head.method.as_str().as_bytes(),
        request.head.path.as_bytes(),
        &request.body,
    ] {
        // The length prefix keeps requests distinct that differ only in where a part ends.
        hasher.update(&part.len().to_le_bytes());
        hasher.update(part);
    }
    *hasher.finalize().as_bytes()
}

fn duplicate_reply(claim: ClaimOutcome<CachedResponse>) -> Reply {
    let refusal = match claim {
        ClaimOutcome::Completed(kept) => return Reply::Answered(UpstreamResponse::clone(&kept.0)),
        ClaimOutcome::Run(_) | ClaimOutcome::Running => {
            Refusal::unknown(StatusCode::CONFLICT, "the request is running")
                .detail("a request with this identifier was sent and has no answer yet")
                .retry_after(RUNNING_RETRY)
        }
        ClaimOutcome::BodyMismatch => {
            Refusal::not_run(StatusCode::UNPROCESSABLE_ENTITY, "identifier used before")
                .detail("another request was sent with this identifier; mint a new one")
        }
        ClaimOutcome::Unknown => Refusal::unknown(StatusCode::CONFLICT, "outcome unknown")
            .detail("a request with this identifier may have run; check before you send another"),
        ClaimOutcome::RetryLater { retry_after } if retry_after > MAX_CLOCK_LEAD => {
            Refusal::not_run(StatusCode::BAD_REQUEST, "identifier from the future")
                .detail("the time in `Idempotency-Key` lies far ahead; set the clock right")
        }
        ClaimOutcome::RetryLater { retry_after } => {
            Refusal::busy("the identifier can't be accepted yet", retry_after)
                .detail("its time lies ahead, or this shard's holder can't confirm it yet")
        }
        ClaimOutcome::NotUuidV7 => {
            Refusal::not_run(StatusCode::BAD_REQUEST, "identifier without a time")
                .detail("`Idempotency-Key` holds a UUID of version 7")
        }
    };
    Reply::Refused(refusal)
}

fn no_shard_holder() -> Refusal {
    Refusal::busy(
        "no reachable entry VM holds the identifier's shard",
        SHARD_RETRY,
    )
}

async fn run_claimed<C: Clock>(
    node: &Arc<Node<C>>,
    request: &Arc<PreparedRequest>,
    shard: ShardName,
    ticket: ClaimTicket,
) -> Reply {
    let cancel = CancellationToken::new();
    let task = tokio::spawn({
        let (node, request, cancel) = (node.clone(), request.clone(), cancel.clone());
        async move {
            let reply = run(node.clone(), request, cancel).await;
            let outcome = run_outcome(&reply);
            let mut state = node.state();
            let held = state.held.iter_mut().find(|held| held.name == shard);
            if let Some(held) = held {
                held.claims.finish(ticket, outcome);
            }
            drop(state);
            reply
        }
    });
    reply_by_deadline(node, request, task, cancel).await
}

fn run_outcome(reply: &Reply) -> RunOutcome<CachedResponse> {
    match reply {
        Reply::Answered(response) => {
            RunOutcome::Completed(CachedResponse(Arc::new(response.clone())))
        }
        Reply::Refused(refusal) if refusal.outcome == Outcome::NotRun => RunOutcome::NotRun,
        Reply::Refused(_) | Reply::Relayed(_) => RunOutcome::Unknown,
    }
}

async fn forward_claim<C: Clock>(
    node: &Arc<Node<C>>,
    request: &PreparedRequest,
    shard: &ShardName,
) -> Reply {
    let Some((vm, address)) = node.state().peers.holder(shard) else {
        return Reply::Refused(no_shard_holder());
    };
    let req = match forward_request(node, request, Purpose::Claim, false, request.deadline) {
        Ok(req) => req,
        Err(refusal) => return Reply::Refused(refusal),
    };
    let remaining = request.remaining(node);
    match timeout(remaining, node.forwards.exchange(address, req)).await {
        Ok(Ok(response)) => {
            let response = UpstreamResponse::new(response.status, response.headers, response.body);
            Reply::Relayed(response)
        }
        Ok(Err(ExchangeError::NotSent(_))) => {
            node.state().peers.mark_unreachable(&vm);
            Reply::Refused(no_shard_holder())
        }
        Ok(Err(_)) => {
            let refusal = Refusal::unknown(StatusCode::BAD_GATEWAY, "the peer's answer was lost")
                .detail("retry with the same identifier")
                .retry_after(RUNNING_RETRY);
            Reply::Refused(refusal)
        }
        Err(_) => Reply::Refused(deadline_exceeded()),
    }
}
