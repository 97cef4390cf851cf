//! Handles callers' requests.

use std::rc::Rc;
use std::time::Duration;

use http::header::HOST;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use smol_str::SmolStr;
use snipevane_adapter::callers::{self, API_KEY_HEADER, DEADLINE_HEADER};
use snipevane_adapter::rows::Transaction;
use snipevane_core::jobs::{JobId, JobSpec, JobState, JobTerms, Progress, Queue, Site};
use tokio::time::timeout;

use crate::clock::Clock;
use crate::events;
use crate::job_rows;
use crate::metrics;
use crate::node::Node;
use crate::peers::scheduler_client;
use crate::rows::{self, PROGRESS_TABLE};
use crate::store::{StoreError, TransactionBuilder};

use super::admission;
use super::job_writer::{self, JobWriter};
use super::outcome::Outcome;
use super::reply::{self, Reply};

/// Shortest time after which a caller is told to retry if this process lacks a current
/// configuration, the store or the scheduler.
const RETRY_AFTER_BASE: Duration = Duration::from_secs(1);

/// Largest factor by which the time until the queue of writes is empty is lengthened, so that callers don't
/// all come back at once.
const RETRY_JITTER: f64 = 1.5;

/// Time for which a caller is assumed to wait if its request doesn't tell.
const DEFAULT_CALLER_WAIT: Duration = Duration::from_millis(3_000);

/// Time that a response takes to reach the caller, at most.
const RESPONSE_MARGIN: Duration = Duration::from_millis(300);

/// Maximum age at which the scheduler's counts of waiting jobs are still returned.
const MAX_COUNT_AGE: Duration = Duration::from_millis(1_800);

/// Maximum number of attempts to read a row from the store.
const MAX_READ_ATTEMPTS: u32 = 2;

/// Destination of a request.
struct Target {
    queue: Queue,
    team: Option<SmolStr>,
    /// Path after the queue's prefix; empty for the queue itself, otherwise a job's identifier.
    path_suffix: String,
    max_body_bytes: usize,
}

/// Handles a request, and logs it if the response isn't a success.
pub(crate) async fn handle<C: Clock>(
    node: &Node<C>,
    job_writer: &Rc<JobWriter<C>>,
    request: Request<Incoming>,
) -> Reply {
    let method = request.method().clone();
    let path = request.uri().path().to_owned();
    let received_at = node.clock.now();
    let reply = dispatch(node, job_writer, request).await;
    let status = reply.status();
    let elapsed = node.clock.now().saturating_sub(received_at);
    metrics::record_request(&method, status.as_u16(), elapsed);
    if !status.is_success() {
        let reason = reply::reason(&reply);
        let config_version = node.site_view.borrow().version();
        let store = if node.store.is_unreachable() {
            "away"
        } else {
            "in reach"
        };
        events::record(
            &events::REQUEST_REFUSED,
            &[
                &method,
                &path,
                &status.as_u16(),
                &reason,
                &config_version,
                &store,
            ],
        );
    }
    reply
}

async fn dispatch<C: Clock>(
    node: &Node<C>,
    job_writer: &Rc<JobWriter<C>>,
    request: Request<Incoming>,
) -> Reply {
    let target = match resolve_target(node, &request) {
        Ok(target) => target,
        Err(rejection) => return rejection.reply(node),
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
    let limit = caller_wait(&request).saturating_sub(RESPONSE_MARGIN);
    let answer = async {
        match method {
            Method::POST => submit(node, job_writer, id, target, request).await,
            Method::GET => get_state(node, id).await,
            Method::DELETE => cancel(node, job_writer, id).await,
            _ => reply::error(StatusCode::METHOD_NOT_ALLOWED, "only POST, GET and DELETE"),
        }
    };
    match timeout(limit, answer).await {
        Ok(reply) => reply,
        Err(_) if method == Method::GET => retry_later(node, "the store is away"),
        Err(_) => not_stored_reply(node, Outcome::Unknown),
    }
}

/// Returns the time for which the caller of a request waits for the response.
fn caller_wait(request: &Request<Incoming>) -> Duration {
    let header = request.headers().get(DEADLINE_HEADER);
    let wait_ms = header.and_then(|wait| wait.to_str().ok()?.parse().ok());
    wait_ms.map_or(DEFAULT_CALLER_WAIT, Duration::from_millis)
}

/// Reason why a request is rejected before it reaches its queue.
#[derive(Clone, Copy)]
enum Rejection {
    /// There is no configuration, or it may be outdated.
    ConfigUnconfirmed,
    /// No queue matches the host and path.
    UnknownQueue,
    /// The request has no key, or one that belongs to no team.
    UnknownKey,
}

impl Rejection {
    fn reply<C: Clock>(self, node: &Node<C>) -> Reply {
        match self {
            Self::ConfigUnconfirmed => retry_later(node, "the configuration may be out of date"),
            Self::UnknownQueue => reply::error(StatusCode::NOT_FOUND, "no such queue"),
            Self::UnknownKey => reply::error(StatusCode::UNAUTHORIZED, "unknown key"),
        }
    }
}

/// Finds the queue and the team of a request.
///
/// While the configuration is unconfirmed, every request is told to retry: a newer version may have
/// withdrawn its key, or removed or added its queue.
fn resolve_target<C: Clock>(
    node: &Node<C>,
    request: &Request<Incoming>,
) -> Result<Target, Rejection> {
    let view = node.site_view.borrow();
    if !view.is_confirmed(node.clock.now(), &node.settings.bounds) {
        return Err(Rejection::ConfigUnconfirmed);
    }
    let site = view.site.clone().ok_or(Rejection::ConfigUnconfirmed)?;
    drop(view);
    let path = request.uri().path();
    let queue = site.route(host(request), path);
    let queue = queue.ok_or(Rejection::UnknownQueue)?;
    let team = authenticate(&site, queue, request)?;
    Ok(Target {
        path_suffix: path[queue.path_prefix.len()..].to_owned(),
        queue: queue.clone(),
        team,
        max_body_bytes: site.max_body_bytes(),
    })
}

/// Returns the host name of a request, without the port.
fn host(request: &Request<Incoming>) -> &str {
    let header = request
        .headers()
        .get(HOST)
        .and_then(|host| host.to_str().ok());
    let host = header.or_else(|| request.uri().host()).unwrap_or_default();
    host.split(':').next().unwrap_or_default()
}

/// Returns the team whose key the request carries; none if the queue is open and the request has
/// no known key.
fn authenticate(
    site: &Site,
    queue: &Queue,
    request: &Request<Incoming>,
) -> Result<Option<SmolStr>, Rejection> {
    let key = request
        .headers()
        .get(API_KEY_HEADER)
        .and_then(|key| key.to_str().ok());
    let team = key.and_then(|key| site.team_of_key(key));
    if team.is_none() && !queue.open {
        return Err(Rejection::UnknownKey);
    }
    Ok(team.map(|team| team.name.clone()))
}

async fn submit<C: Clock>(
    node: &Node<C>,
    job_writer: &Rc<JobWriter<C>>,
    id: JobId,
    target: Target,
    request: Request<Incoming>,
) -> Reply {
    let body = Limited::new(request.into_body(), target.max_body_bytes);
    let Ok(body) = body.collect().await else {
        return reply::error(
            StatusCode::PAYLOAD_TOO_LARGE,
            "the body can't be read, or is too large",
        );
    };
    let submission = match callers::decode_submission(&body.to_bytes()) {
        Ok(submission) => submission,
        Err(error) => return reply::error(StatusCode::BAD_REQUEST, &error.to_string()),
    };
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
            let receiver_role = if node.leader().is_some() {
                "scheduler"
            } else {
                "entry VM"
            };
            let elapsed = node.clock.now().saturating_sub(submitted_at).as_millis();
            let config_version = node.site_view.borrow().version();
            events::record(
                &events::JOB_ACCEPTED,
                &[&id, &spec.queue, &config_version, &receiver_role, &elapsed],
            );
            reply::json(StatusCode::OK, callers::encode_state(JobState::Queued))
        }
        outcome => not_stored_reply(node, outcome),
    }
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

async fn get_state<C: Clock>(node: &Node<C>, id: JobId) -> Reply {
    let known = match node.leader() {
        Some(leader) => leader.visible_state(id),
        None => scheduler_client::job_state(node, id).await,
    };
    if let Some(state) = known {
        return reply::json(StatusCode::OK, callers::encode_state(state));
    }
    match read_progress(node, id).await {
        Ok(Some((progress, _))) => {
            reply::json(StatusCode::OK, callers::encode_state(progress.state))
        }
        Ok(None) => reply::error(StatusCode::GONE, "no such job"),
        Err(_) => retry_later(node, "the store is away"),
    }
}

async fn cancel<C: Clock>(node: &Node<C>, job_writer: &Rc<JobWriter<C>>, id: JobId) -> Reply {
    let (progress, row_version) = match read_progress(node, id).await {
        Ok(Some(found)) => found,
        Ok(None) => return reply::error(StatusCode::GONE, "no such job"),
        Err(_) => return not_stored_reply(node, Outcome::NotStored),
    };
    if progress.state.is_final() {
        return reply::json(StatusCode::OK, callers::encode_state(progress.state));
    }
    match job_writer.cancel(id, row_version).await {
        Outcome::Stored => {
            let config_version = node.site_view.borrow().version();
            events::record(&events::CANCELLATION_STORED, &[&id, &config_version]);
            reply::json(StatusCode::OK, callers::encode_state(JobState::Cancelled))
        }
        outcome => not_stored_reply(node, outcome),
    }
}

/// Reads a job's progress and its row's version; none if the row is missing or can't be decoded.
async fn read_progress<C: Clock>(
    node: &Node<C>,
    id: JobId,
) -> Result<Option<(Progress, u64)>, StoreError> {
    let found = read_progress_row(node, id).await?;
    let decoded = found.and_then(|(value, row_version)| {
        rows::decode::<Progress>(&rows::job_key(id), &value).map(|progress| (progress, row_version))
    });
    Ok(decoded)
}

/// Reads the value and the version of a job's progress row; none if the row is missing.
pub(super) async fn read_progress_row<C: Clock>(
    node: &Node<C>,
    id: JobId,
) -> Result<Option<(Vec<u8>, u64)>, StoreError> {
    if node.store.is_unreachable() {
        return Err(StoreError::NotApplied);
    }
    let key = rows::job_key(id);
    let mut attempts = 0;
    loop {
        attempts += 1;
        match node.store.get(PROGRESS_TABLE, &key).await {
            Ok(row) => return Ok(row.and_then(|row| Some((row.value?, row.version)))),
            Err(error) if attempts >= MAX_READ_ATTEMPTS => {
                log::debug!(
                    "reading the progress of job {id} failed after {attempts} attempts: {error}"
                );
                return Err(error);
            }
            Err(_) => {}
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
