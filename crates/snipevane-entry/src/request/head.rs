//! Parses the head of a caller's request, authenticates the caller and resolves names.

use std::time::Duration;

use http::{HeaderMap, Method, StatusCode, header};
use smol_str::SmolStr;
use snipevane_core::clock::Clock;
use snipevane_core::ids::{QueueKey, ServiceKey, TeamKey};
use snipevane_core::keys::{CutOffPolicy, KeyError};
use snipevane_proto::headers::{DEADLINE_MS, IDEMPOTENCY_KEY};
use uuid::Uuid;

use super::Refusal;
use crate::node::Node;
use crate::state::State;

/// Path prefix of requests to queues.
pub(crate) const QUEUES_PATH: &str = "/v1/queues/";
/// Maximum deadline of a request; a longer one in the header is reduced to it.
const MAX_DEADLINE: Duration = Duration::from_secs(24 * 60 * 60);
/// Retry delay that callers are told while the entry VM can't check keys.
const KEY_CHECK_RETRY: Duration = Duration::from_secs(2);

/// Team on whose behalf a request runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Identity {
    /// Key of the team; the null key for a request without a key in an open queue.
    pub(crate) team: TeamKey,
    /// Name of the team; empty if there is none.
    pub(crate) name: SmolStr,
}

/// Head of a request, with queue, service and team resolved to their keys.
#[derive(Clone, Debug)]
pub(crate) struct Head {
    /// Key of the queue.
    pub(crate) queue: QueueKey,
    /// Name of the queue.
    pub(crate) queue_name: SmolStr,
    /// Service that runs the request.
    pub(crate) service: ServiceKey,
    /// Name of the service.
    pub(crate) service_name: SmolStr,
    /// Whether the request may safely run more than once.
    pub(crate) idempotent: bool,
    /// Maximum time that the request runs at a backend server.
    pub(crate) max_run_time: Duration,
    /// Maximum size of the body, in bytes.
    pub(crate) max_body_bytes: usize,
    /// Team on whose behalf the request runs.
    pub(crate) identity: Identity,
    /// Idempotency key; a request that isn't idempotent runs at most once under it.
    pub(crate) id: Option<Uuid>,
    /// Total time from the arrival of the request to its reply.
    pub(crate) deadline: Duration,
    /// Path and query that are sent to the backend server.
    pub(crate) path: SmolStr,
    /// Method.
    pub(crate) method: Method,
}

impl Head {
    /// Parses and resolves the head of a caller's request.
    pub(crate) fn resolve<C: Clock>(
        node: &Node<C>,
        method: &Method,
        uri: &http::Uri,
        headers: &HeaderMap,
    ) -> Result<Self, Refusal> {
        let (queue_name, path) = split_path(uri)?;
        let state = node.state();
        let mut head = Self::for_queue(&state, queue_name)?;
        let open = state.site.queues[head.queue].open;
        head.identity = authenticate(node, &state, headers, open)?;
        head.id = parse_id(headers)?;
        head.deadline = parse_deadline(headers, head.deadline)?;
        head.path = path;
        head.method = method.clone();
        Ok(head)
    }

    /// Creates a head with the defaults of a queue, without a team or anything else of the caller.
    pub(crate) fn for_queue(state: &State, name: &str) -> Result<Self, Refusal> {
        let unknown = || {
            let detail = format!("no queue has the name {name:?}");
            Refusal::not_run(StatusCode::NOT_FOUND, "unknown queue").detail(detail)
        };
        let key = state.site.queue(name).ok_or_else(unknown)?;
        let queue = &state.site.queues[key];
        let service = &state.site.services[queue.service];
        Ok(Self {
            queue: key,
            queue_name: queue.name.clone(),
            service: queue.service,
            service_name: service.name.clone(),
            idempotent: queue.idempotent,
            max_run_time: service.longest_run,
            max_body_bytes: usize::try_from(queue.max_body_bytes).unwrap_or(usize::MAX),
            identity: Identity {
                team: TeamKey::default(),
                name: SmolStr::default(),
            },
            id: None,
            deadline: queue.deadline,
            path: SmolStr::default(),
            method: Method::POST,
        })
    }
}

fn split_path(uri: &http::Uri) -> Result<(&str, SmolStr), Refusal> {
    let not_found = || {
        Refusal::not_run(StatusCode::NOT_FOUND, "unknown path")
            .detail("requests go to /v1/queues/{queue}/{path}")
    };
    let rest = uri.path().strip_prefix(QUEUES_PATH).ok_or_else(not_found)?;
    let (queue, path) = rest.split_once('/').unwrap_or((rest, ""));
    if queue.is_empty() {
        return Err(not_found());
    }
    let path = match uri.query() {
        Some(query) => format!("/{path}?{query}"),
        None => format!("/{path}"),
    };
    Ok((queue, path.into()))
}

fn authenticate<C: Clock>(
    node: &Node<C>,
    state: &State,
    headers: &HeaderMap,
    open: bool,
) -> Result<Identity, Refusal> {
    let unauthorized =
        |title, detail: &str| Refusal::not_run(StatusCode::UNAUTHORIZED, title).detail(detail);
    let Some(value) = headers.get(header::AUTHORIZATION) else {
        if open {
            return Ok(Identity {
                team: TeamKey::default(),
                name: SmolStr::default(),
            });
        }
        return Err(unauthorized("no key", "send `Authorization: Bearer KEY`"));
    };
    let presented = value
        .to_str()
        .ok()
        .and_then(bearer_token)
        .unwrap_or_default();
    let row = state.keys.verify(presented).map_err(|error| match error {
        KeyError::Malformed => unauthorized("malformed key", "a key starts with `sv1.`"),
        KeyError::Unknown => unauthorized("unknown key", ""),
        KeyError::Withdrawn => unauthorized("withdrawn key", "ask an operator for a new one"),
    })?;
    if !can_check_keys(node, state) {
        return Err(Refusal::busy("keys can't be checked", KEY_CHECK_RETRY)
            .detail("this zone is cut off from the platform and from all other zones"));
    }
    let Some(team) = state.site.team(&row.team) else {
        let detail = format!("the key's team {:?} isn't configured", row.team);
        return Err(Refusal::not_run(StatusCode::FORBIDDEN, "unknown team").detail(detail));
    };
    Ok(Identity {
        team,
        name: row.team.clone(),
    })
}

/// Returns whether key withdrawals can reach this entry VM, or could until a short time ago.
fn can_check_keys<C: Clock>(node: &Node<C>, state: &State) -> bool {
    let policy = CutOffPolicy {
        cut_off_serve: state.site.cut_off_serve,
        ..CutOffPolicy::default()
    };
    policy.accepts(
        node.now(),
        state.platform_last_response,
        state.other_zone_last_heartbeat,
    )
}

fn bearer_token(value: &str) -> Option<&str> {
    let (scheme, token) = value.split_once(' ')?;
    scheme
        .eq_ignore_ascii_case("bearer")
        .then_some(token.trim())
}

fn parse_id(headers: &HeaderMap) -> Result<Option<Uuid>, Refusal> {
    let Some(value) = headers.get(IDEMPOTENCY_KEY) else {
        return Ok(None);
    };
    let text = value.to_str().unwrap_or_default();
    match Uuid::parse_str(text) {
        Ok(id) => Ok(Some(id)),
        Err(_) => Err(
            Refusal::not_run(StatusCode::BAD_REQUEST, "malformed identifier")
                .detail("`Idempotency-Key` holds a UUID of version 7"),
        ),
    }
}

fn parse_deadline(headers: &HeaderMap, default: Duration) -> Result<Duration, Refusal> {
    let Some(value) = headers.get(DEADLINE_MS) else {
        return Ok(default);
    };
    let ms = value
        .to_str()
        .ok()
        .and_then(|text| text.parse::<u64>().ok());
    match ms.map(Duration::from_millis) {
        Some(deadline) if !deadline.is_zero() => Ok(deadline.min(MAX_DEADLINE)),
        _ => Err(
            Refusal::not_run(StatusCode::BAD_REQUEST, "malformed deadline")
                .detail("`Snipevane-Deadline-Ms` holds a positive number of milliseconds"),
        ),
    }
}
