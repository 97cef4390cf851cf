//! HTTP request handlers of the backend server stand-in.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderValue, Method, Request, Response, StatusCode, header};
use http_body_util::Full;
use hyper::body::Incoming;
use parking_lot::Mutex;
use snipevane_core::clock::{Clock, SystemClock};
use snipevane_proto::digest;
use snipevane_proto::headers::{
    DEADLINE_MS, EXCHANGE, IDEMPOTENCY_KEY, OUTCOME, Outcome, QUEUE, SERVER_STATE, TEAM,
};
use snipevane_proto::platform::{
    Answer, BackendFaults, BackendRecord, FAULTS_PATH, RECORD_PATH, RunEntry,
};
use tokio::sync::{oneshot, watch};

use super::body::ResponseBody;
use super::record::{Record, RunId};
use super::settings::BackendStandinSettings;
use super::test_headers::TestHeaders;
use super::trailing_bytes::{SharedTrailingBytes, TrailingBytes};
use crate::http::{
    Handler, NoResponse, Tasks, header_text, json, read_body, read_json, text, unix_us,
};

/// Path of the health check.
const HEALTH_PATH: &str = "/healthz";
/// Path that clears the record.
const RESET_PATH: &str = "/record/reset";
/// A response that belongs to no request, sent after the regular one.
const UNSOLICITED_RESPONSE: &[u8] =
    b"HTTP/1.1 200 OK\r\nsnipevane-exchange: foreign\r\ncontent-length: 7\r\n\r\nforeign";

/// State shared by all connections of a stand-in.
pub(crate) struct BackendState {
    settings: BackendStandinSettings,
    tasks: Tasks,
    record: Mutex<Record>,
    faults: watch::Sender<BackendFaults>,
}

impl BackendState {
    /// Creates the state of a new stand-in with an empty record.
    pub(crate) fn new(settings: BackendStandinSettings, tasks: Tasks) -> Self {
        Self {
            settings,
            tasks,
            record: Mutex::default(),
            faults: watch::Sender::new(BackendFaults::default()),
        }
    }

    pub(crate) fn set_faults(&self, faults: BackendFaults) {
        self.faults.send_replace(faults);
    }

    pub(crate) fn record(&self) -> BackendRecord {
        self.record.lock().snapshot(&self.settings.name)
    }

    pub(crate) fn reset_record(&self) {
        self.record.lock().reset();
    }

    /// Counts a connection until the returned guard is dropped.
    ///
    /// Returns `None` if the connection limit is reached.
    pub(crate) fn open_connection(self: &Arc<Self>) -> Option<OpenConnection> {
        let opened = self
            .record
            .lock()
            .open_connection(self.settings.connections);
        opened.then(|| OpenConnection(Arc::clone(self)))
    }

    /// Waits until the `refuse_connections` fault has the given value.
    pub(crate) async fn connections_refused(&self, refused: bool) {
        self.wait_for_faults(|faults| faults.refuse_connections == refused)
            .await;
    }

    async fn wait_for_faults(&self, condition: impl FnMut(&BackendFaults) -> bool) {
        // The state owns the sender, so the wait can't fail.
        let _ = self.faults.subscribe().wait_for(condition).await;
    }

    fn start_run(self: &Arc<Self>, entry: RunEntry) -> Option<Run> {
        let team = entry.team.clone();
        let id = self.record.lock().start(entry, self.settings.slots)?;
        let state = Arc::clone(self);
        Some(Run { state, id, team })
    }
}

/// Guard that counts a connection as open until it is dropped.
pub(crate) struct OpenConnection(Arc<BackendState>);

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.record.lock().close_connection();
    }
}

/// Guard of a running request that occupies a slot until it is dropped.
struct Run {
    state: Arc<BackendState>,
    id: RunId,
    team: String,
}

impl Drop for Run {
    fn drop(&mut self) {
        let mut record = self.state.record.lock();
        record.end(self.id, &self.team, unix_us());
    }
}

/// Handles the requests of one connection.
pub(crate) struct RequestHandler {
    state: Arc<BackendState>,
    trailing_bytes: SharedTrailingBytes,
}

impl RequestHandler {
    /// Creates the handler of one connection.
    pub(crate) fn new(state: Arc<BackendState>, trailing_bytes: SharedTrailingBytes) -> Self {
        Self {
            state,
            trailing_bytes,
        }
    }

    async fn run(&self, req: Request<Incoming>) -> Result<Response<ResponseBody>, NoResponse> {
        let arrived_at = SystemClock.now();
        let deadline = deadline_of(&req, arrived_at);
        let test = TestHeaders::read(&req);
        let mut entry = new_entry(&req, &self.state.settings.name);
        let body = read_body(req).await?;
        entry.body_hash = blake3::hash(&body).to_hex().to_string();
        self.state.wait_for_faults(|faults| !faults.freeze).await;
        // A request whose deadline passed during the freeze is rejected instead of being run late.
        if deadline.is_some_and(|deadline| SystemClock.now() >= deadline) {
            self.state.record.lock().count_refused();
            return Ok(self.not_run("the deadline has passed"));
        }
        let answer = Answer {
            exchange: entry.exchange.clone(),
            queue: entry.queue.clone(),
            body_hash: entry.body_hash.clone(),
            padding: "x".repeat(test.padding_bytes),
        };
        entry.start_us = unix_us();
        let Some(run) = self.state.start_run(entry) else {
            return Ok(self.not_run("all slots are taken"));
        };
        self.finish(run, test.run_time).await?;
        Ok(self.respond(test, &answer))
    }

    /// Runs a request to completion, even if its caller disconnects.
    async fn finish(&self, run: Run, time: Duration) -> Result<(), NoResponse> {
        let faults = self.state.faults.borrow().clone();
        let time = time + Duration::from_millis(faults.slow_ms);
        // There is nothing to wait for, so the run can't be interrupted and needs no own task.
        if faults.fail_all || (time.is_zero() && !faults.freeze) {
            return Ok(());
        }
        let (tx, rx) = oneshot::channel();
        let state = Arc::clone(&self.state);
        self.state.tasks.spawn(async move {
            tokio::time::sleep(time).await;
            state.wait_for_faults(|faults| !faults.freeze).await;
            drop(run);
            // The receiver is gone if the connection was closed.
            let _ = tx.send(());
        });
        rx.await.map_err(|_| NoResponse)
    }

    fn respond(&self, test: TestHeaders, answer: &Answer) -> Response<ResponseBody> {
        let faults = self.state.faults.borrow().clone();
        let status = if faults.fail_all {
            StatusCode::INTERNAL_SERVER_ERROR
        } else {
            test.status
        };
        let payload = serde_json::to_vec(answer).unwrap_or_default();
        let digest = digest::header_value(&payload);
        let mut payload = Bytes::from(payload);
        let length = payload.len() - test.understated_bytes.min(payload.len());
        let trailing_bytes = payload.split_off(length);
        let body = if test.cut_body || faults.cut_bodies {
            ResponseBody::truncated(payload.slice(..length / 2))
        } else {
            ResponseBody::complete(Full::new(payload))
        };
        let mut response = Response::new(body);
        *response.status_mut() = status;
        let headers = response.headers_mut();
        headers.insert(header::CONTENT_LENGTH, HeaderValue::from(length));
        headers.insert(
            header::CONTENT_TYPE,
            HeaderValue::from_static("application/json"),
        );
        if let Ok(digest) = HeaderValue::from_str(&digest) {
            headers.insert(digest::CONTENT_DIGEST, digest);
        }
        let exchange = if test.foreign_exchange {
            "foreign"
        } else {
            &answer.exchange
        };
        if let Ok(exchange) = HeaderValue::from_str(exchange) {
            headers.insert(EXCHANGE, exchange);
        }
        mark_leaving(&mut response, &faults);
        if test.close_connection {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
        }
        let unsolicited = Bytes::from_static(UNSOLICITED_RESPONSE);
        *self.trailing_bytes.lock() = TrailingBytes {
            after_response: if test.two_responses {
                unsolicited.clone()
            } else {
                trailing_bytes
            },
            after_next_request: if test.late_second_response {
                unsolicited
            } else {
                Bytes::new()
            },
        };
        response
    }

    fn not_run(&self, reason: &str) -> Response<ResponseBody> {
        let mut response =
            text(StatusCode::SERVICE_UNAVAILABLE, reason).map(ResponseBody::complete);
        let headers = response.headers_mut();
        let outcome = HeaderValue::from_static(Outcome::NotRun.as_str());
        headers.insert(OUTCOME, outcome);
        headers.insert(header::RETRY_AFTER, HeaderValue::from_static("1"));
        mark_leaving(&mut response, &self.state.faults.borrow());
        response
    }

    async fn health(&self) -> Response<ResponseBody> {
        self.state.wait_for_faults(|faults| !faults.freeze).await;
        let faults = self.state.faults.borrow().clone();
        let (status, reason) = if faults.leaving || faults.decline_health {
            (StatusCode::SERVICE_UNAVAILABLE, "leaving")
        } else {
            (StatusCode::OK, "ok")
        };
        let mut response = text(status, reason).map(ResponseBody::complete);
        mark_leaving(&mut response, &faults);
        response
    }
}

impl Handler for RequestHandler {
    type Body = ResponseBody;

    async fn handle(
        self: Arc<Self>,
        req: Request<Incoming>,
    ) -> Result<Response<ResponseBody>, NoResponse> {
        match req.uri().path() {
            HEALTH_PATH => Ok(self.health().await),
            FAULTS_PATH | RECORD_PATH | RESET_PATH => {
                let response = control(&self.state, req).await?;
                Ok(response.map(ResponseBody::complete))
            }
            _ => self.run(req).await,
        }
    }
}

/// Handles the control API: reading and setting faults, reading and clearing the record.
pub(crate) struct ControlHandler {
    state: Arc<BackendState>,
}

impl ControlHandler {
    /// Creates the handler.
    pub(crate) fn new(state: Arc<BackendState>) -> Self {
        Self { state }
    }
}

impl Handler for ControlHandler {
    type Body = Full<Bytes>;

    async fn handle(
        self: Arc<Self>,
        req: Request<Incoming>,
    ) -> Result<Response<Full<Bytes>>, NoResponse> {
        control(&self.state, req).await
    }
}

async fn control(
    state: &BackendState,
    req: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, NoResponse> {
    match (req.method(), req.uri().path()) {
        (&Method::GET, RECORD_PATH) => Ok(json(StatusCode::OK, &state.record())),
        (&Method::POST, RESET_PATH) => {
            state.reset_record();
            Ok(text(StatusCode::OK, ""))
        }
        (&Method::GET, FAULTS_PATH) => Ok(json(StatusCode::OK, &*state.faults.borrow())),
        (&Method::POST, FAULTS_PATH) => match read_json(req).await? {
            Ok(faults) => {
                state.set_faults(faults);
                Ok(text(StatusCode::OK, ""))
            }
            Err(error_response) => Ok(error_response),
        },
        _ => Ok(text(StatusCode::NOT_FOUND, "no such call")),
    }
}

fn new_entry<B>(req: &Request<B>, server: &str) -> RunEntry {
    RunEntry {
        server: server.to_owned(),
        exchange: header_text(req, EXCHANGE).to_owned(),
        idempotency_key: header_text(req, IDEMPOTENCY_KEY).to_owned(),
        team: header_text(req, TEAM).to_owned(),
        queue: header_text(req, QUEUE).to_owned(),
        body_hash: String::new(),
        start_us: 0,
        end_us: 0,
        running_server: 0,
        running_team: 0,
    }
}

fn deadline_of<B>(req: &Request<B>, arrived_at: Instant) -> Option<Instant> {
    let remaining_ms: u64 = header_text(req, DEADLINE_MS).parse().ok()?;
    arrived_at.checked_add(Duration::from_millis(remaining_ms))
}

fn mark_leaving(response: &mut Response<ResponseBody>, faults: &BackendFaults) {
    if !faults.leaving {
        return;
    }
    let headers = response.headers_mut();
    headers.insert(SERVER_STATE, HeaderValue::from_static("leaving"));
    headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
}
