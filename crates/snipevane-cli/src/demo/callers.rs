//! Callers of the demo's two teams, which send idempotent and non-idempotent requests until they
//! are stopped.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use http::{Method, Request, header};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use snipevane_proto::headers::{DEADLINE_MS, IDEMPOTENCY_KEY, OUTCOME, Outcome};
use tokio::task::JoinSet;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;
use uuid::Uuid;

/// Number of concurrent callers per team.
const CALLERS_PER_TEAM: usize = 24;
/// Pause of a caller between two requests.
const REQUEST_PAUSE: Duration = Duration::from_millis(5);
/// Maximum number of attempts for one identifier, each at the next entry VM.
const MAX_ATTEMPTS: usize = 3;

/// Outcomes of the requests that a team's callers sent.
#[derive(Clone, Debug, Default)]
pub(super) struct CallerStats {
    /// Requests that were sent, not counting retries with the same identifier.
    pub(super) sent: u64,
    /// Requests that were answered.
    pub(super) answered: u64,
    /// Requests that were refused as not run at every attempt.
    pub(super) not_run: u64,
    /// Requests whose outcome isn't known.
    pub(super) unknown: u64,
    /// Identifiers of the requests counted in `not_run`.
    pub(super) refused_ids: BTreeSet<String>,
    /// Identifiers of non-idempotent requests that were answered.
    pub(super) answered_non_idempotent_ids: BTreeSet<String>,
    /// Time at which the last answer arrived, in microseconds since the Unix epoch.
    pub(super) last_response_us: u64,
}

impl CallerStats {
    /// Adds the outcomes that other callers recorded.
    pub(super) fn add(&mut self, other: Self) {
        self.sent += other.sent;
        self.answered += other.answered;
        self.not_run += other.not_run;
        self.unknown += other.unknown;
        self.refused_ids.extend(other.refused_ids);
        self.answered_non_idempotent_ids
            .extend(other.answered_non_idempotent_ids);
        self.last_response_us = self.last_response_us.max(other.last_response_us);
    }
}

/// Callers of one team.
pub(super) struct Callers {
    tasks: JoinSet<CallerStats>,
    stop: CancellationToken,
}

impl Callers {
    /// Starts callers that authenticate with `key` and spread their requests over the entry VMs.
    pub(super) fn start(entries: &[SocketAddr], key: &str) -> Self {
        let stop = CancellationToken::new();
        let client = Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .build(HttpConnector::new());
        let mut tasks = JoinSet::new();
        for number in 0..CALLERS_PER_TEAM {
            let caller = Caller {
                client: client.clone(),
                entries: entries.into(),
                authorization: format!("Bearer {key}").into(),
                number,
            };
            tasks.spawn(caller.call_until(stop.clone()));
        }
        Self { tasks, stop }
    }

    /// Stops the callers and returns the sum of their statistics.
    pub(super) async fn stop(mut self) -> CallerStats {
        self.stop.cancel();
        let mut stats = CallerStats::default();
        while let Some(part) = self.tasks.join_next().await {
            stats.add(part.unwrap_or_default());
        }
        stats
    }
}

struct Caller {
    client: Client<HttpConnector, Full<Bytes>>,
    entries: Arc<[SocketAddr]>,
    authorization: Arc<str>,
    number: usize,
}

impl Caller {
    async fn call_until(self, stop: CancellationToken) -> CallerStats {
        let mut stats = CallerStats::default();
        let mut request_number = self.number;
        while !stop.is_cancelled() {
            request_number += 1;
            self.call(request_number, &mut stats).await;
            sleep(REQUEST_PAUSE).await;
        }
        stats
    }

    /// Sends one request, retrying it with the same identifier until it is answered, for at most
    /// [`MAX_ATTEMPTS`] attempts.
    ///
    /// Requests with an even number are idempotent, the others aren't.
    async fn call(&self, request_number: usize, stats: &mut CallerStats) {
        stats.sent += 1;
        let id = Uuid::now_v7().to_string();
        let idempotent = request_number.is_multiple_of(2);
        let mut last = Outcome::NotRun;
        let mut all_not_run = true;
        for attempt in 0..MAX_ATTEMPTS {
            let entry = self.entries[(request_number + attempt) % self.entries.len()];
            last = self.attempt(entry, idempotent, &id).await;
            all_not_run &= last == Outcome::NotRun;
            if last == Outcome::Answered {
                break;
            }
        }
        match last {
            Outcome::Answered => {
                stats.answered += 1;
                stats.last_response_us = now_us();
                if !idempotent {
                    stats.answered_non_idempotent_ids.insert(id);
                }
            }
            Outcome::NotRun if all_not_run => {
                stats.not_run += 1;
                stats.refused_ids.insert(id);
            }
            Outcome::NotRun | Outcome::Unknown => stats.unknown += 1,
        }
    }

    async fn attempt(&self, entry: SocketAddr, idempotent: bool, id: &str) -> Outcome {
        let queue = if idempotent { "ticks" } else { "rollups" };
        let req = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{entry}/v1/queues/{queue}/demo"))
            .header(header::AUTHORIZATION, &*self.authorization)
            .header(IDEMPOTENCY_KEY, id)
            .header(DEADLINE_MS, "2000")
            .header("x-test-run-ms", "10")
            .body(Full::new(Bytes::copy_from_slice(id.as_bytes())));
        let Ok(req) = req else {
            return Outcome::NotRun;
        };
        let Ok(response) = self.client.request(req).await else {
            return Outcome::Unknown;
        };
        let outcome = response
            .headers()
            .get(OUTCOME)
            .and_then(|value| value.to_str().ok());
        let outcome = outcome.and_then(Outcome::parse).unwrap_or(Outcome::Unknown);
        match response.into_body().collect().await {
            Ok(_) => outcome,
            Err(_) => Outcome::Unknown,
        }
    }
}

/// Returns the time in microseconds since the Unix epoch.
pub(super) fn now_us() -> u64 {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since_epoch.as_micros()).unwrap_or(u64::MAX)
}
