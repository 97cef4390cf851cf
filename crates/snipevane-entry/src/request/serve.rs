//! Serves a request: key, claim, limit, share queue, backend server, answer.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

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

use super::run::{forward_request, pass_on};
use super::{Answer, Head, Refusal, Reply, Work, run};
use crate::backend::ExchangeError;
use crate::node::Node;
use crate::state::KeptAnswer;

/// Time after which a caller asks again for a request that is running.
const RUNNING_RETRY: Duration = Duration::from_secs(1);
/// Lead of an identifier's time beyond which waiting for it makes no sense.
const LONGEST_LEAD: Duration = Duration::from_secs(60);
/// Time after which a caller asks again when a shard has no reachable holder.
const SHARD_RETRY: Duration = Duration::from_secs(2);

/// Shortest wait of a forwarded request; peers' hints lag by about as much.
const SHORTEST_WAIT: Duration = Duration::from_millis(20);

/// How a request reached this entry VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Origin {
    /// From a caller.
    Caller,
    /// From a peer, to be claimed here.
    Claim,
    /// From a peer, to be placed here.
    Place {
        /// Whether the peer holds the unit.
        unit_held: bool,
        /// Longest wait for a place.
        wait: Duration,
    },
}

/// Serves a request whose head was resolved and whose body was read.
pub(crate) async fn serve<C: Clock>(
    node: Arc<Node<C>>,
    head: Head,
    headers: &HeaderMap,
    body: Bytes,
    origin: Origin,
    exchange: Uuid,
) -> Reply {
    let _in_flight = node.count_in_flight();
    let claimed = !head.idempotent && head.id.is_some() && !matches!(origin, Origin::Place { .. });
    let work = Arc::new(prepare(&node, head, headers, body, origin, exchange));
    if claimed {
        return serve_claimed(node, work, origin).await;
    }
    let cancel = CancellationToken::new();
    let task = tokio::spawn(run(node.clone(), work.clone(), cancel.clone()));
    answer_in_time(&node, &work, task, cancel).await
}

fn prepare<C: Clock>(
    node: &Node<C>,
    head: Head,
    headers: &HeaderMap,
    body: Bytes,
    origin: Origin,
    exchange: Uuid,
) -> Work {
    let now = node.now();
    let deadline = now + head.deadline;
    let (unit_held, start_by) = match origin {
        Origin::Place { unit_held, wait } => {
            (unit_held, deadline.min(now + wait.max(SHORTEST_WAIT)))
        }
        Origin::Caller | Origin::Claim => (false, deadline),
    };
    let urgency = node
        .state()
        .site
        .queues
        .get(head.queue)
        .map(|queue| queue.urgency);
    Work {
        urgency: urgency.unwrap_or(Urgency::Normal),
        headers: pass_on(headers),
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

/// Waits for the reply until the deadline, and answers at once when it has passed.
async fn answer_in_time<C: Clock>(
    node: &Node<C>,
    work: &Work,
    mut task: JoinHandle<Reply>,
    cancel: CancellationToken,
) -> Reply {
    let _cancel_when_dropped = cancel.clone().drop_guard();
    let remaining = work.deadline.saturating_duration_since(node.now());
    tokio::select! {
        biased;
        reply = &mut task => return joined(reply),
        () = sleep(remaining) => {}
    }
    if work.sent.load(Ordering::SeqCst) {
        return Reply::Refused(late());
    }
    cancel.cancel();
    match timeout(RUNNING_RETRY, task).await {
        Ok(reply) => match joined(reply) {
            Reply::Refused(refusal) if refusal.outcome == Outcome::NotRun => {
                Reply::Refused(work.refuse_busy(node))
            }
            reply => reply,
        },
        Err(_) => Reply::Refused(late()),
    }
}

fn joined(reply: Result<Reply, tokio::task::JoinError>) -> Reply {
    reply.unwrap_or_else(|_| {
        let refusal = Refusal::unknown(
            StatusCode::INTERNAL_SERVER_ERROR,
            "the request's task failed",
        );
        Reply::Refused(refusal)
    })
}

fn late() -> Refusal {
    Refusal::unknown(StatusCode::GATEWAY_TIMEOUT, "no answer before the deadline")
        .detail("a backend server may still run the request")
}

async fn serve_claimed<C: Clock>(node: Arc<Node<C>>, work: Arc<Work>, origin: Origin) -> Reply {
    let Some(id) = work.head.id else {
        return Reply::Refused(no_holder());
    };
    let shard = {
        let state = node.state();
        state
            .shards
            .owner(id)
            .map(|index| state.shards.names()[index].clone())
    };
    let Some(shard) = shard else {
        return Reply::Refused(no_holder());
    };
    let body_hash = hash_request(&work);
    let claim = node
        .state()
        .claim(&shard, id, body_hash, node.clock.unix_ms());
    match claim {
        Some(ClaimOutcome::Run(ticket)) => run_claimed(node, work, shard, ticket).await,
        Some(claim) => repeat(claim),
        None if origin == Origin::Caller => forward_claim(&node, &work, &shard).await,
        None => Reply::Refused(no_holder()),
    }
}

/// Hashes what makes two requests the same: queue, method, path and body.
fn hash_request(work: &Work) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new();
    for part in [
        work.head.queue_name.as_bytes(),
        work.head.identity.name.as_bytes(),
        work.head.method.as_str().as_bytes(),
        work.head.path.as_bytes(),
        &work.body,
    ] {
        // Lengths keep apart parts whose border moved.
        hasher.update(&part.len().to_le_bytes());
        hasher.update(part);
    }
    *hasher.finalize().as_bytes()
}

fn repeat(claim: ClaimOutcome<KeptAnswer>) -> Reply {
    let refusal = match claim {
        ClaimOutcome::Completed(answer) => return Reply::Answered(Answer::clone(&answer.0)),
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
        ClaimOutcome::RetryLater { retry_after } if retry_after > LONGEST_LEAD => {
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

fn no_holder() -> Refusal {
    Refusal::busy(
        "no reachable entry VM holds the identifier's shard",
        SHARD_RETRY,
    )
}

async fn run_claimed<C: Clock>(
    node: Arc<Node<C>>,
    work: Arc<Work>,
    shard: ShardName,
    ticket: ClaimTicket,
) -> Reply {
    let cancel = CancellationToken::new();
    let task = tokio::spawn({
        let (node, work, cancel) = (node.clone(), work.clone(), cancel.clone());
        async move {
            let reply = run(node.clone(), work, cancel).await;
            let finish = finish_of(&reply);
            let mut state = node.state();
            let held = state.held.iter_mut().find(|held| held.name == shard);
            if let Some(held) = held {
                held.claims.finish(ticket, finish);
            }
            drop(state);
            reply
        }
    });
    answer_in_time(&node, &work, task, cancel).await
}

fn finish_of(reply: &Reply) -> RunOutcome<KeptAnswer> {
    match reply {
        Reply::Answered(answer) => RunOutcome::Completed(KeptAnswer(Arc::new(answer.clone()))),
        Reply::Refused(refusal) if refusal.outcome == Outcome::NotRun => RunOutcome::NotRun,
        Reply::Refused(_) | Reply::Relayed(_) => RunOutcome::Unknown,
    }
}

async fn forward_claim<C: Clock>(node: &Arc<Node<C>>, work: &Work, shard: &ShardName) -> Reply {
    let Some((vm, address)) = node.state().peers.holder(shard) else {
        return Reply::Refused(no_holder());
    };
    let req = match forward_request(node, work, Purpose::Claim, false, work.deadline) {
        Ok(req) => req,
        Err(refusal) => return Reply::Refused(refusal),
    };
    let remaining = work.deadline.saturating_duration_since(Instant::now());
    match timeout(remaining, node.forwards.exchange(address, req)).await {
        Ok(Ok(response)) => {
            let answer = Answer::new(response.status, response.headers, response.body);
            Reply::Relayed(answer)
        }
        Ok(Err(ExchangeError::NotSent(_))) => {
            node.state().peers.mark_unreachable(&vm);
            Reply::Refused(no_holder())
        }
        Ok(Err(_)) => {
            let refusal = Refusal::unknown(StatusCode::BAD_GATEWAY, "the peer's answer was lost")
                .detail("retry with the same identifier")
                .retry_after(RUNNING_RETRY);
            Reply::Refused(refusal)
        }
        Err(_) => Reply::Refused(late()),
    }
}
