//! Requests of callers.

use std::rc::Rc;
use std::time::Duration;

use http::header::HOST;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use smol_str::SmolStr;
use snipevane_adapter::callers::{self, KEY_HEADER};
use snipevane_core::jobs::{JobId, JobSpec, JobState, Progress, Queue, Site};

use crate::clock::Clock;
use crate::events;
use crate::metrics;
use crate::node::Node;
use crate::peers::scheduler_client;
use crate::rows::{self, PROGRESS_TABLE};
use crate::store::StoreError;

use super::acceptor::{Acceptor, Outcome};
use super::reply::{self, Reply};

/// Time after which a caller may try again where the process has no configuration or no store.
const COME_BACK: Duration = Duration::from_secs(1);

/// Age up to which the scheduler's counts of waiting jobs are told.
const COUNTS_KEPT: Duration = Duration::from_millis(1_800);

/// Times that a read of the store is tried.
const READ_TRIES: u32 = 2;

/// Where a request goes.
struct Target {
    queue: Queue,
    team: Option<SmolStr>,
    /// The path behind the queue's prefix.
    rest: String,
    max_body_bytes: usize,
}

/// Answers a request and logs it if it isn't served.
pub(crate) async fn handle<C: Clock>(
    node: &Node<C>,
    acceptor: &Rc<Acceptor<C>>,
    request: Request<Incoming>,
) -> Reply {
    let method = request.method().clone();
    let path = request.uri().path().to_owned();
    let came_at = node.clock.now();
    let reply = answer(node, acceptor, request).await;
    let status = reply.status();
    let took = node.clock.now().saturating_sub(came_at);
    metrics::request_answered(&method, status.as_u16(), took);
    if !status.is_success() {
        let reason = reply::reason(&reply);
        let version = node.site.borrow().version();
        let store = if node.store.is_unreachable() {
            "away"
        } else {
            "in reach"
        };
        events::record(
            &events::REFUSED,
            &[&method, &path, &status.as_u16(), &reason, &version, &store],
        );
    }
    reply
}

async fn answer<C: Clock>(
    node: &Node<C>,
    acceptor: &Rc<Acceptor<C>>,
    request: Request<Incoming>,
) -> Reply {
    let target = match find_target(node, &request) {
        Ok(target) => target,
        Err(rejection) => return rejection.reply(node),
    };
    if target.rest.is_empty() {
        return match *request.method() {
            Method::GET => waiting_jobs(node, &target.queue),
            _ => reply::error(StatusCode::METHOD_NOT_ALLOWED, "only GET for a whole queue"),
        };
    }
    let Ok(id) = target.rest.parse::<JobId>() else {
        return reply::error(StatusCode::NOT_FOUND, "not a job's identifier");
    };
    match *request.method() {
        Method::POST => submit(node, acceptor, id, target, request).await,
        Method::GET => state(node, id).await,
        Method::DELETE => cancel(node, acceptor, id).await,
        _ => reply::error(StatusCode::METHOD_NOT_ALLOWED, "only POST, GET and DELETE"),
    }
}

/// Why a request goes nowhere.
#[derive(Clone, Copy)]
enum Rejection {
    /// There is no configuration, or it may be out of date.
    Unconfirmed,
    /// No queue has this host and path.
    NoSuchQueue,
    /// The key belongs to no team.
    UnknownKey,
}

impl Rejection {
    fn reply<C: Clock>(self, node: &Node<C>) -> Reply {
        match self {
            Self::Unconfirmed => not_run_reply(node, "the configuration may be out of date"),
            Self::NoSuchQueue => reply::error(StatusCode::NOT_FOUND, "no such queue"),
            Self::UnknownKey => reply::error(StatusCode::UNAUTHORIZED, "unknown key"),
        }
    }
}

fn find_target<C: Clock>(node: &Node<C>, request: &Request<Incoming>) -> Result<Target, Rejection> {
    let view = node.site.borrow();
    let site = view.site.clone().ok_or(Rejection::Unconfirmed)?;
    let confirmed = view.is_confirmed(node.clock.now(), &node.settings.bounds);
    drop(view);
    let path = request.uri().path();
    let Some(queue) = site.route(host(request), path) else {
        let known = confirmed.then_some(Rejection::NoSuchQueue);
        return Err(known.unwrap_or(Rejection::Unconfirmed));
    };
    if !confirmed && !queue.open {
        return Err(Rejection::Unconfirmed);
    }
    let team = find_team(&site, queue, request)?;
    Ok(Target {
        rest: path[queue.path_prefix.len()..].to_owned(),
        queue: queue.clone(),
        team,
        max_body_bytes: site.max_body_bytes(),
    })
}

fn host(request: &Request<Incoming>) -> &str {
    let header = request
        .headers()
        .get(HOST)
        .and_then(|host| host.to_str().ok());
    let host = header.or_else(|| request.uri().host()).unwrap_or_default();
    host.split(':').next().unwrap_or_default()
}

/// Returns the team whose key came with a request.
fn find_team(
    site: &Site,
    queue: &Queue,
    request: &Request<Incoming>,
) -> Result<Option<SmolStr>, Rejection> {
    let key = request
        .headers()
        .get(KEY_HEADER)
        .and_then(|key| key.to_str().ok());
    let team = key.and_then(|key| site.team_of_key(key));
    if team.is_none() && !queue.open {
        return Err(Rejection::UnknownKey);
    }
    Ok(team.map(|team| team.name.clone()))
}

async fn submit<C: Clock>(
    node: &Node<C>,
    acceptor: &Rc<Acceptor<C>>,
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
    let spec = JobSpec {
        queue: target.queue.name,
        pool: target.queue.pool,
        team: target.team,
        payload: submission.payload,
        steps: submission.steps,
        accepted_unix_ms: node.clock.unix_ms(),
        schedule: submission.schedule,
    };
    let asked_at = node.clock.now();
    match acceptor.accept(id, &spec).await {
        Outcome::Stored => {
            let by = if node.lead().is_some() {
                "scheduler"
            } else {
                "entry VM"
            };
            let took = node.clock.now().saturating_sub(asked_at).as_millis();
            let version = node.site.borrow().version();
            events::record(&events::ACCEPTED, &[&id, &spec.queue, &version, &by, &took]);
            reply::json(StatusCode::OK, callers::encode_state(JobState::Queued))
        }
        outcome => not_stored(node, outcome),
    }
}

/// Answers that a request has not run, with a spread time after which it may be sent again.
fn not_run_reply<C: Clock>(node: &Node<C>, message: &str) -> Reply {
    let after = COME_BACK.mul_f64(node.random(1.0..2.0));
    reply::come_back(StatusCode::SERVICE_UNAVAILABLE, message, after)
}

fn not_stored<C: Clock>(node: &Node<C>, outcome: Outcome) -> Reply {
    if outcome == Outcome::NotStored {
        return not_run_reply(node, "the store is away; nothing was done");
    }
    reply::error(
        StatusCode::GATEWAY_TIMEOUT,
        "the store did not answer in time",
    )
}

async fn state<C: Clock>(node: &Node<C>, id: JobId) -> Reply {
    let known = match node.lead() {
        Some(lead) => lead.visible_state(id),
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
        Err(_) => not_run_reply(node, "the store is away"),
    }
}

async fn cancel<C: Clock>(node: &Node<C>, acceptor: &Rc<Acceptor<C>>, id: JobId) -> Reply {
    let (progress, version) = match read_progress(node, id).await {
        Ok(Some(found)) => found,
        Ok(None) => return reply::error(StatusCode::GONE, "no such job"),
        Err(_) => return not_stored(node, Outcome::NotStored),
    };
    if progress.state.is_final() {
        return reply::json(StatusCode::OK, callers::encode_state(progress.state));
    }
    match acceptor.cancel(id, version).await {
        Outcome::Stored => {
            let config = node.site.borrow().version();
            events::record(&events::CANCELLED, &[&id, &config]);
            reply::json(StatusCode::OK, callers::encode_state(JobState::Cancelled))
        }
        outcome => not_stored(node, outcome),
    }
}

/// Reads a job's progress and the version of its row.
async fn read_progress<C: Clock>(
    node: &Node<C>,
    id: JobId,
) -> Result<Option<(Progress, u64)>, StoreError> {
    if node.store.is_unreachable() {
        return Err(StoreError::NotApplied);
    }
    let key = rows::job_key(id);
    let mut tries = 0;
    loop {
        tries += 1;
        match node.store.get(PROGRESS_TABLE, &key).await {
            Ok(row) => {
                let found = row.and_then(|row| Some((row.value?, row.version)));
                let decoded = found.and_then(|(value, version)| {
                    rows::decode::<Progress>(&key, &value).map(|progress| (progress, version))
                });
                return Ok(decoded);
            }
            Err(error) if tries >= READ_TRIES => {
                log::debug!("job {id} can't be read: {error}");
                return Err(error);
            }
            Err(_) => {}
        }
    }
}

fn waiting_jobs<C: Clock>(node: &Node<C>, queue: &Queue) -> Reply {
    let view = node.scheduler.borrow();
    let fresh = view.is_fresh(COUNTS_KEPT, node.clock.now());
    match view.waiting_jobs(&queue.name).filter(|_| fresh) {
        Some(jobs) => reply::json(StatusCode::OK, callers::encode_waiting(jobs)),
        None => not_run_reply(node, "the scheduler is away"),
    }
}
