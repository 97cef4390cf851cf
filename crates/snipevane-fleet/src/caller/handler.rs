//! Handles callers' requests.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use http::{Method, Request, StatusCode};
use hyper::body::Incoming;
use smol_str::SmolStr;
use snipevane_adapter::callers::{self, DEADLINE_HEADER, Submission};
use snipevane_adapter::rows::Transaction;
use snipevane_core::jobs::{JobId, JobSpec, JobState, JobTerms, Queue};
use snipevane_listeners::BodyError;
use tokio::time::timeout;

use crate::clock::Clock;
use crate::events;
use crate::job_rows;
use crate::listeners::Connection;
use crate::metrics;
use crate::node::Node;
use crate::peers::scheduler_client;
use crate::store::TransactionBuilder;

use super::admission;
use super::cancellation::Cancellation;
use super::job_writer::{self, JobWriter};
use super::open_request::OpenRequest;
use super::outcome::Outcome;
use super::reply::{self, Reply};
use super::stored_progress::{StoredJob, read_job};
use super::target::{Rejection, Target};

/// Shortest time after which a caller is told to retry if this process lacks a current
/// configuration, the store or the scheduler.
const RETRY_AFTER_BASE: Duration = Duration::from_secs(1);

/// Time after which a caller is told to retry if the scheduler has no memory for its job: some jobs have ended by then.
const UNHELD_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Largest factor by which the time until the queue of writes is empty is lengthened, so that callers don't
/// all come back at once.
const RETRY_JITTER: f64 = 1.5;

/// Reason given for a job whose progress can't be decoded. Another entry VM may be of a later version.
const UNREADABLE: &str = "the job's progress can't be read here; nothing was done";

/// Time for which a caller is assumed to wait if its request doesn't tell.
const DEFAULT_CALLER_WAIT: Duration = Duration::from_millis(3_000);

/// Time that a response takes to reach the caller, at most. Of a short wait, half is left for it.
const RESPONSE_MARGIN: Duration = Duration::from_millis(300);

/// Maximum age at which the scheduler's counts of waiting jobs are still returned.
const MAX_COUNT_AGE: Duration = Duration::from_millis(1_800);

/// Handles a request, and logs it if the response isn't a success.
pub(crate) async fn handle<C: Clock>(
    node: &Node<C>,
    job_writer: &Rc<JobWriter<C>>,
    connection: &Arc<Connection>,
    request: Request<Incoming>,
) -> Reply {
    let method = request.method().clone();
    let path = request.uri().path().to_owned();
    let received_at = node.clock.now();
    let _open = OpenRequest::new(&node.open_requests);
    let reply = dispatch(node, job_writer, connection, request).await;
    let status = reply.status();
    let elapsed = node.clock.now().saturating_sub(received_at);
    metrics::record_request(&method, status.as_u16(), elapsed);
    if !status.is_success() {
        log_refusal(node, &method, &path, &reply);
    }
    reply
}

/// Logs a response that isn't a success.
fn log_refusal<C: Clock>(node: &Node<C>, method: &Method, path: &str, reply: &Reply) {
    let status = reply.status().as_u16();
    let reason = reply::reason(reply);
    let config_version = node.site_view.borrow().version();
    let store = if node.store.is_unreachable() {
        "away"
    } else {
        "in reach"
    };
    events::record(
        &events::REQUEST_REFUSED,
        &[method, &path, &status, &reason, &config_version, &store],
    );
}

async fn dispatch<C: Clock>(
    node: &Node<C>,
    job_writer: &Rc<JobWriter<C>>,
    connection: &Arc<Connection>,
    request: Request<Incoming>,
) -> Reply {
    let target = match Target::resolve(node, &request) {
        Ok(target) => target,
        Err(rejection) => return rejection_reply(node, rejection),
    };
    if target.path_suffix.is_empty() {
        return match *request.method() {
            Method::GET => waiting_jobs(node, &target.queue),
            _ => reply::error(StatusCode::METHOD_NOT_ALLOWED, "only GET for a whole queue"),
        };
    }
    let Ok(id) = target.path_suffix.parse::<JobId>() else {
        return reply::error(StatusCode::NOT_FOUND, "not a job's identifier");
    };
    let method = request.method().clone();
    let wait = caller_wait(&request);
    if wait.is_zero() {
        return retry_later(
            node,
            "the caller doesn't wait for a response; nothing was done",
        );
    }
    let limit = wait.saturating_sub(RESPONSE_MARGIN.min(wait / 2));
    let answer = async {
        match method {
            Method::POST => {
                let body = request.into_body();
                match read_submission(node, connection, body, target.max_body_bytes).await {
                    Ok(submission) => submit(node, job_writer, id, target, submission).await,
                    Err(refusal) => refusal,
                }
            }
            Method::GET => get_state(node, job_writer, id).await,
            Method::DELETE => cancel(node, job_writer, id, target.team.as_ref()).await,
            _ => reply::error(StatusCode::METHOD_NOT_ALLOWED, "only POST, GET and DELETE"),
        }
    };
    let answered = tokio::select! {
        answered = timeout(limit, answer) => answered.ok(),
        () = node.ending.notified() => None,
    };
    match answered {
        Some(reply) => reply,
        None if method == Method::GET => retry_later(node, "the store is away"),
        None => not_stored_reply(node, Outcome::Unknown),
    }
}

/// Returns the time for which the caller of a request waits for the response.
fn caller_wait(request: &Request<Incoming>) -> Duration {
    let header = request.headers().get(DEADLINE_HEADER);
    let wait_ms = header.and_then(|wait| wait.to_str().ok()?.parse().ok());
    wait_ms.map_or(DEFAULT_CALLER_WAIT, Duration::from_millis)
}

/// Returns the response to a request that is rejected before it reaches its queue.
fn rejection_reply<C: Clock>(node: &Node<C>, rejection: Rejection) -> Reply {
    match rejection {
        Rejection::ConfigUnconfirmed => retry_later(node, "the configuration may be out of date"),
        Rejection::UnknownQueue => reply::error(StatusCode::NOT_FOUND, "no such queue"),
        Rejection::UnknownKey => reply::error(StatusCode::UNAUTHORIZED, "unknown key"),
    }
}

/// Reads and decodes a submission. Its body is dropped by then, so that others have its memory.
///
/// # Errors
///
/// Returns the response if that fails; nothing was done.
async fn read_submission<C: Clock>(
    node: &Node<C>,
    connection: &Arc<Connection>,
    body: Incoming,
    max_bytes: usize,
) -> Result<Submission, Reply> {
    let body = match connection.read_body(body, max_bytes).await {
        Ok(body) => body,
        Err(error) => return Err(reply::closing(body_refusal(node, error))),
    };
    callers::decode_submission(&body)
        .map_err(|error| reply::error(StatusCode::BAD_REQUEST, &error.to_string()))
}

/// Returns the response to a request whose body isn't read.
fn body_refusal<C: Clock>(node: &Node<C>, error: BodyError) -> Reply {
    match error {
        BodyError::TooLarge | BodyError::Broken => reply::error(
            StatusCode::PAYLOAD_TOO_LARGE,
            "the body can't be read, or is too large",
        ),
        BodyError::Late => reply::error(
            StatusCode::REQUEST_TIMEOUT,
            "the body wasn't complete in time; nothing was done",
        ),
        BodyError::NoRoom => retry_later(node, "too many bodies at once; nothing was done"),
    }
}

async fn submit<C: Clock>(
    node: &Node<C>,
    job_writer: &Rc<JobWriter<C>>,
    id: JobId,
    target: Target,
    submission: Submission,
) -> Reply {
    let queue = target.queue;
    let spec = JobSpec {
        queue: queue.name.clone(),
        pool: queue.pool.clone(),
        team: target.team,
        payload: submission.payload,
        steps: submission.steps,
        accepted_unix_ms: node.clock.unix_ms(),
        schedule: submission.schedule,
        terms: Some(JobTerms::from(&queue)),
    };
    if let Some(rejection) = reject_too_large(node, id, &spec) {
        return rejection;
    }
    if let Some(rejection) = admission::reject(node, job_writer, id, &spec, &queue).await {
        return rejection;
    }
    let submitted_at = node.clock.now();
    match job_writer.accept(id, &spec).await {
        Outcome::Stored => {
            log_acceptance(node, id, &spec, submitted_at);
            reply::json(StatusCode::OK, callers::encode_state(JobState::Queued))
        }
        Outcome::Cancelled => {
            let elapsed = node.clock.now().saturating_sub(submitted_at).as_millis();
            metrics::record_rejected_job(&spec.pool, "cancelled");
            events::record(
                &events::SUBMISSION_CANCELLED,
                &[&id, &spec.queue, &receiver_role(node), &elapsed],
            );
            not_stored_reply(node, Outcome::Cancelled)
        }
        outcome => not_stored_reply(node, outcome),
    }
}

/// Returns the role in which this process receives a submission, for the log.
fn receiver_role<C: Clock>(node: &Node<C>) -> &'static str {
    match node.leader() {
        Some(_) => "scheduler",
        None => "entry VM",
    }
}

/// Logs a job that was submitted at `submitted_at` and is stored now.
fn log_acceptance<C: Clock>(node: &Node<C>, id: JobId, spec: &JobSpec, submitted_at: Duration) {
    let receiver_role = receiver_role(node);
    let elapsed = node.clock.now().saturating_sub(submitted_at).as_millis();
    let config_version = node.site_view.borrow().version();
    events::record(
        &events::JOB_ACCEPTED,
        &[&id, &spec.queue, &config_version, &receiver_role, &elapsed],
    );
}

/// Returns the response to a submission that fits in no transaction; `None` if it does.
fn reject_too_large<C: Clock>(node: &Node<C>, id: JobId, spec: &JobSpec) -> Option<Reply> {
    let max_row_bytes = node.settings.max_row_bytes;
    let writes = job_rows::encode(id, spec, max_row_bytes).writes;
    let bytes: usize = writes.iter().map(|(_, _, value)| value.len()).sum();
    let mut builder = TransactionBuilder::with_room_for_row(max_row_bytes);
    // The condition and the first row of its progress.
    let has_rest = builder.add(job_writer::acceptance(id));
    let entries = Transaction {
        writes,
        ..Transaction::default()
    };
    if has_rest && builder.add(entries) {
        return None;
    }
    events::record(&events::JOB_TOO_LARGE, &[&id, &spec.queue, &bytes]);
    let message = format!("the job takes {bytes} bytes, more than a transaction; it never runs");
    Some(reply::error(StatusCode::PAYLOAD_TOO_LARGE, &message))
}

/// Returns a response to a request that had no effect, with a randomized time after which the
/// caller may retry.
fn retry_later<C: Clock>(node: &Node<C>, message: &str) -> Reply {
    let delay = RETRY_AFTER_BASE.mul_f64(node.random(1.0..2.0));
    reply::with_retry_after(StatusCode::SERVICE_UNAVAILABLE, message, delay)
}

/// Returns the response to a change that isn't stored or whose outcome is unknown.
fn not_stored_reply<C: Clock>(node: &Node<C>, outcome: Outcome) -> Reply {
    match outcome {
        Outcome::NotStored => retry_later(node, "the store is away; nothing was done"),
        Outcome::Busy { retry_after_ms } => {
            let delay = Duration::from_millis(retry_after_ms).max(RETRY_AFTER_BASE);
            let delay = delay.mul_f64(node.random(1.0..RETRY_JITTER));
            let message = "the store is slow; nothing was done";
            reply::with_retry_after(StatusCode::SERVICE_UNAVAILABLE, message, delay)
        }
        Outcome::Cancelled => {
            // The identifier can be used again once the tombstone is removed.
            let delay = node.settings.bounds.status_retention + RETRY_AFTER_BASE;
            let message =
                "the job was cancelled before it was stored; it was not accepted and never runs";
            reply::with_retry_after(StatusCode::SERVICE_UNAVAILABLE, message, delay)
        }
        Outcome::Unheld => {
            let message = "the scheduler holds as many jobs as it has memory for; the job was not accepted and never runs";
            let delay = UNHELD_RETRY_AFTER.mul_f64(node.random(1.0..RETRY_JITTER));
            reply::with_retry_after(StatusCode::SERVICE_UNAVAILABLE, message, delay)
        }
        Outcome::Rejected => reply::error(
            StatusCode::UNPROCESSABLE_ENTITY,
            "the store rejects the change for good; nothing was done",
        ),
        Outcome::Stored | Outcome::Unknown => reply::error(
            StatusCode::GATEWAY_TIMEOUT,
            "the store did not answer in time",
        ),
    }
}

async fn get_state<C: Clock>(node: &Node<C>, job_writer: &Rc<JobWriter<C>>, id: JobId) -> Reply {
    let mut in_doubt = job_writer.has_submission_in_doubt(id);
    let known = match node.leader() {
        Some(leader) => leader.visible_state(id),
        None => {
            let told = scheduler_client::job_state(node, id).await;
            in_doubt |= told.is_some_and(|told| told.in_doubt);
            told.and_then(|told| told.state)
        }
    };
    if let Some(state) = known {
        return reply::json(StatusCode::OK, callers::encode_state(state));
    }
    match read_job(node, id).await {
        Ok(StoredJob::Present { state, .. }) => {
            reply::json(StatusCode::OK, callers::encode_state(state))
        }
        // Its caller would hand it in again under another identifier, and it would run twice.
        Ok(StoredJob::Absent) if in_doubt => {
            retry_later(node, "a submission of the job may still be stored")
        }
        Ok(StoredJob::Absent | StoredJob::Tombstone) => no_such_job(),
        Ok(StoredJob::Unreadable) => retry_later(node, UNREADABLE),
        Err(_) => retry_later(node, "the store is away"),
    }
}

fn no_such_job() -> Reply {
    reply::error(StatusCode::GONE, "no such job")
}

async fn cancel<C: Clock>(
    node: &Node<C>,
    job_writer: &Rc<JobWriter<C>>,
    id: JobId,
    team: Option<&SmolStr>,
) -> Reply {
    let stored = match read_job(node, id).await {
        Ok(StoredJob::Present { state, .. }) if state.is_final() => {
            return reply::json(StatusCode::OK, callers::encode_state(state));
        }
        Ok(stored) => stored,
        Err(_) => return not_stored_reply(node, Outcome::NotStored),
    };
    let in_doubt_here = job_writer.has_submission_in_doubt(id);
    let cancellation = job_writer.cancel(id, stored, team).await;
    let met = match (stored, cancellation) {
        (StoredJob::Present { .. }, _) => "stored job",
        (StoredJob::Tombstone, _) => "tombstone",
        (StoredJob::Unreadable, _) => "unreadable row",
        (StoredJob::Absent, Cancellation::Stored) => "job stored meanwhile",
        (StoredJob::Absent, _) if in_doubt_here => "submission under way here",
        (StoredJob::Absent, _) => "nothing",
    };
    metrics::record_cancellation(met);
    let config_version = node.site_view.borrow().version();
    match cancellation {
        Cancellation::Stored => {
            events::record(&events::CANCELLATION_STORED, &[&id, &config_version, &met]);
            reply::json(StatusCode::OK, callers::encode_state(JobState::Cancelled))
        }
        Cancellation::NoSuchJob => {
            events::record(&events::TOMBSTONE_STORED, &[&id, &config_version, &met]);
            no_such_job()
        }
        Cancellation::Unreadable => retry_later(node, UNREADABLE),
        Cancellation::Failed(outcome) => not_stored_reply(node, outcome),
        Cancellation::OverBudget { retry_after } => {
            let message = "too many cancellations of jobs that aren't stored; nothing was done";
            let delay = retry_after.max(RETRY_AFTER_BASE);
            let delay = delay.mul_f64(node.random(1.0..RETRY_JITTER));
            reply::with_retry_after(StatusCode::TOO_MANY_REQUESTS, message, delay)
        }
    }
}

/// Returns the number of a queue's waiting jobs as the scheduler last reported it.
fn waiting_jobs<C: Clock>(node: &Node<C>, queue: &Queue) -> Reply {
    let view = node.scheduler_view.borrow();
    let fresh = view.is_fresh(MAX_COUNT_AGE, node.clock.now());
    match view.waiting_jobs(&queue.name).filter(|_| fresh) {
        Some(jobs) => reply::json(StatusCode::OK, callers::encode_pending_jobs(jobs)),
        None => retry_later(node, "the scheduler is away"),
    }
}
