//! HTTP request handler of the platform stand-in.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderValue, Method, Request, Response, StatusCode, header};
use http_body_util::Full;
use hyper::body::Incoming;
use parking_lot::Mutex;
use serde::de::DeserializeOwned;
use snipevane_core::clock::{Clock, SystemClock};
use snipevane_proto::platform::{
    CLIENT_HEADER, COMMIT_PATH, CommitEntry, CommitResult, Committed, Conflict, FAULTS_PATH,
    LEASE_PATH, LeaseRequest, OBJECTS_PATH, PlatformFaults, PlatformRecord, READ_PATH, REBOOT_PATH,
    RECORD_PATH, ReadRequest, Rows, SCAN_PATH, ScanRequest, TASK_PATH, TaskCommand, Transaction,
    VMS_PATH, Vm, Vms, WORKERS_PATH, WorkerRefusal, WorkerReports, WorkerSpec, WorkerSpecs, Write,
};
use tokio::sync::oneshot;

use super::reboots::Reboots;
use super::record::Record;
use super::settings::PlatformStandinSettings;
use super::store::Store;
use super::token_bucket::TokenBucket;
use super::vms::VmListHistory;
use super::workers::WorkerFleet;
use crate::http::{
    Handler, NoResponse, Tasks, header_text, json, new_response, read_body, read_json, text,
    unix_us,
};

type HandlerResult = Result<Response<Full<Bytes>>, NoResponse>;

/// Handles the platform's API and the control API.
pub(crate) struct PlatformHandler {
    settings: PlatformStandinSettings,
    tasks: Tasks,
    state: Mutex<State>,
}

struct State {
    faults: PlatformFaults,
    store: Store,
    vms: VmListHistory,
    workers: WorkerFleet,
    reboots: Reboots,
    record: Record,
    reads: TokenBucket,
    writes: TokenBucket,
}

impl PlatformHandler {
    /// Creates a platform without rows, objects or workers, with the VMs from the settings.
    pub(crate) fn new(settings: PlatformStandinSettings, tasks: Tasks) -> Self {
        let now = SystemClock.now();
        let state = State {
            faults: PlatformFaults::default(),
            store: Store::default(),
            vms: VmListHistory::new(settings.vms.clone()),
            workers: WorkerFleet::default(),
            reboots: Reboots::default(),
            record: Record::default(),
            reads: TokenBucket::new(settings.reads_per_second, now),
            writes: TokenBucket::new(settings.writes_per_second, now),
        };
        Self {
            settings,
            tasks,
            state: Mutex::new(state),
        }
    }

    pub(crate) fn set_faults(&self, faults: PlatformFaults) {
        self.state.lock().faults = faults;
    }

    pub(crate) fn set_vms(&self, vms: Vec<Vm>) {
        self.state.lock().vms.set(vms, SystemClock.now());
    }

    pub(crate) fn record(&self) -> PlatformRecord {
        let state = &mut *self.state.lock();
        PlatformRecord {
            task_runs: state.workers.runs(unix_us()),
            reboots: state.reboots.entries(),
            ..state.record.snapshot()
        }
    }

    pub(crate) fn set_workers(&self, workers: Vec<WorkerSpec>) {
        self.state.lock().workers.set(workers);
    }

    /// Handles the control API (faults, record, VM list and workers), which no fault affects.
    async fn control(&self, req: Request<Incoming>) -> HandlerResult {
        match (req.method(), req.uri().path()) {
            (&Method::GET, RECORD_PATH) => Ok(json(StatusCode::OK, &self.record())),
            (&Method::GET, FAULTS_PATH) => Ok(json(StatusCode::OK, &self.state.lock().faults)),
            (&Method::POST, FAULTS_PATH) => {
                let faults = match read_json(req).await? {
                    Ok(faults) => faults,
                    Err(error_response) => return Ok(error_response),
                };
                self.set_faults(faults);
                Ok(text(StatusCode::OK, ""))
            }
            (&Method::POST, VMS_PATH) => {
                let vms: Vms = match read_json(req).await? {
                    Ok(vms) => vms,
                    Err(error_response) => return Ok(error_response),
                };
                self.set_vms(vms.vms);
                Ok(text(StatusCode::OK, ""))
            }
            (&Method::POST, WORKERS_PATH) => {
                let workers: WorkerSpecs = match read_json(req).await? {
                    Ok(workers) => workers,
                    Err(error_response) => return Ok(error_response),
                };
                self.set_workers(workers.workers);
                Ok(text(StatusCode::OK, ""))
            }
            _ => Ok(text(StatusCode::NOT_FOUND, "no such call")),
        }
    }

    /// Handles the platform's own API, subject to the injected faults.
    async fn call(self: Arc<Self>, req: Request<Incoming>) -> HandlerResult {
        let client = header_text(&req, CLIENT_HEADER).to_owned();
        let delay = {
            let mut state = self.state.lock();
            if state.faults.down || state.faults.cut.contains(&client) {
                return Err(NoResponse);
            }
            if state.faults.unavailable {
                state.record.second(SystemClock.unix_ms() / 1000).refused += 1;
                return Ok(text(StatusCode::SERVICE_UNAVAILABLE, "unavailable"));
            }
            Duration::from_millis(state.faults.slow_ms) / 2
        };
        let path = req.uri().path().to_owned();
        let method = req.method().clone();
        let body = read_body(req).await?;
        // The call continues if its caller gives up, as it would at a real service.
        let (tx, rx) = oneshot::channel();
        let handler = Arc::clone(&self);
        self.tasks.spawn(async move {
            pause(delay).await;
            let result = handler.apply(&method, &path, body, client);
            pause(delay).await;
            // The receiver is gone if the caller gave up.
            let _ = tx.send(result);
        });
        rx.await.map_err(|_| NoResponse)?
    }

    fn apply(&self, method: &Method, path: &str, body: Bytes, client: String) -> HandlerResult {
        let state = &mut *self.state.lock();
        let now = SystemClock.now();
        if let Some(name) = path.strip_prefix(OBJECTS_PATH) {
            return Ok(state.object(method, name, body, now));
        }
        match (method, path) {
            (&Method::POST, READ_PATH) => Ok(state.read(&body, now)),
            (&Method::POST, SCAN_PATH) => Ok(state.scan(&body, now)),
            (&Method::POST, COMMIT_PATH) => {
                state.commit(&body, client, self.settings.rows_per_write, now)
            }
            (&Method::GET, VMS_PATH) => {
                let lag = state.faults.list_lag_ms;
                let lag = lag.unwrap_or_else(|| self.settings.list_lag_ms.into());
                let vms = state.vms.at(Duration::from_millis(lag), now).to_vec();
                Ok(json(StatusCode::OK, &Vms { vms }))
            }
            (&Method::GET, WORKERS_PATH) => {
                let lag_us = u64::from(self.settings.report_lag_ms) * 1000;
                let now_us = unix_us();
                let workers = state.workers.reports(now_us.saturating_sub(lag_us), now_us);
                Ok(json(StatusCode::OK, &WorkerReports { workers }))
            }
            (&Method::POST, REBOOT_PATH) => Ok(state.reboot(&body)),
            (&Method::POST, LEASE_PATH) => state.lease(&body),
            (&Method::POST, TASK_PATH) => state.command(&body),
            _ => Ok(text(StatusCode::NOT_FOUND, "no such call")),
        }
    }
}

impl State {
    fn reboot(&mut self, body: &[u8]) -> Response<Full<Bytes>> {
        match serde_json::from_slice(body) {
            Ok(req) => json(StatusCode::OK, &self.reboots.start_or_poll(req, unix_us())),
            Err(error) => text(StatusCode::BAD_REQUEST, error.to_string()),
        }
    }

    fn lease(&mut self, body: &[u8]) -> HandlerResult {
        let req: LeaseRequest = match parse(body) {
            Ok(req) => req,
            Err(error_response) => return Ok(*error_response),
        };
        if self.faults.frozen_workers.contains(&req.worker) {
            return Err(NoResponse);
        }
        Ok(worker_response(self.workers.lease(req, unix_us())))
    }

    fn command(&mut self, body: &[u8]) -> HandlerResult {
        let command: TaskCommand = match parse(body) {
            Ok(command) => command,
            Err(error_response) => return Ok(*error_response),
        };
        if self.faults.frozen_workers.contains(&command.worker) {
            return Err(NoResponse);
        }
        let fails = self.faults.failing_workers.contains(&command.worker);
        Ok(worker_response(self.workers.command(
            command,
            fails,
            unix_us(),
        )))
    }

    fn admit_read(&mut self, now: Instant) -> bool {
        let second = self.record.second(SystemClock.unix_ms() / 1000);
        if self.reads.try_take(1, now) {
            second.reads += 1;
            return true;
        }
        second.refused += 1;
        false
    }

    fn admit_write(&mut self, cost: u32, now: Instant) -> bool {
        let second = self.record.second(SystemClock.unix_ms() / 1000);
        if self.writes.try_take(cost, now) {
            second.writes += u64::from(cost);
            return true;
        }
        second.refused += 1;
        false
    }

    fn read(&mut self, body: &[u8], now: Instant) -> Response<Full<Bytes>> {
        if !self.admit_read(now) {
            return rate_limited();
        }
        let req: ReadRequest = match parse(body) {
            Ok(req) => req,
            Err(error_response) => return *error_response,
        };
        match self.store.read(&req.key, self.faults.stale_reads) {
            Some(row) => json(StatusCode::OK, &row),
            None => text(StatusCode::NOT_FOUND, "no such row"),
        }
    }

    fn scan(&mut self, body: &[u8], now: Instant) -> Response<Full<Bytes>> {
        if !self.admit_read(now) {
            return rate_limited();
        }
        let req: ScanRequest = match parse(body) {
            Ok(req) => req,
            Err(error_response) => return *error_response,
        };
        let rows = self.store.scan(&req.prefix, self.faults.stale_reads);
        json(StatusCode::OK, &Rows { rows })
    }

    fn object(
        &mut self,
        method: &Method,
        name: &str,
        body: Bytes,
        now: Instant,
    ) -> Response<Full<Bytes>> {
        let admitted = match *method {
            Method::GET => self.admit_read(now),
            Method::PUT => self.admit_write(1, now),
            _ => return text(StatusCode::METHOD_NOT_ALLOWED, "GET or PUT"),
        };
        if !admitted {
            return rate_limited();
        }
        if *method == Method::PUT {
            self.store.objects.insert(name.to_owned(), body);
            return text(StatusCode::OK, "");
        }
        match self.store.objects.get(name) {
            Some(body) => new_response(StatusCode::OK, "application/octet-stream", body.clone()),
            None => text(StatusCode::NOT_FOUND, "no such object"),
        }
    }

    fn commit(
        &mut self,
        body: &[u8],
        client: String,
        rows_per_write: u32,
        now: Instant,
    ) -> HandlerResult {
        let tx: Transaction = match parse(body) {
            Ok(tx) => tx,
            Err(error_response) => return Ok(*error_response),
        };
        let rows = u32::try_from(tx.writes.len()).unwrap_or(u32::MAX);
        let cost = rows.div_ceil(rows_per_write.max(1)).max(1);
        let (response, result) = if self.admit_write(cost, now) {
            self.apply(&tx, u64::from(rows))
        } else {
            (rate_limited(), CommitResult::Limited)
        };
        let answered = result != CommitResult::Applied || self.faults.lose_answers == 0;
        self.record.add_commit(CommitEntry {
            at_us: unix_us(),
            id: tx.id,
            client,
            keys: tx.writes.iter().map(written_key).collect(),
            result,
            answered,
        });
        if answered {
            return Ok(response);
        }
        self.faults.lose_answers -= 1;
        Err(NoResponse)
    }

    fn apply(&mut self, tx: &Transaction, rows: u64) -> (Response<Full<Bytes>>, CommitResult) {
        match self.store.commit(tx) {
            Ok(versions) => {
                self.record.second(SystemClock.unix_ms() / 1000).rows += rows;
                let committed = json(StatusCode::OK, &Committed { versions });
                (committed, CommitResult::Applied)
            }
            Err(keys) => {
                let conflict = json(StatusCode::CONFLICT, &Conflict { keys });
                (conflict, CommitResult::Conflict)
            }
        }
    }
}

impl Handler for PlatformHandler {
    type Body = Full<Bytes>;

    async fn handle(self: Arc<Self>, req: Request<Incoming>) -> HandlerResult {
        let path = req.uri().path();
        let is_list = path == VMS_PATH || path == WORKERS_PATH;
        let sets_list = is_list && req.method() == Method::POST;
        if path == FAULTS_PATH || path == RECORD_PATH || sets_list {
            return self.control(req).await;
        }
        self.call(req).await
    }
}

/// Sleeps for `time`; returns at once if it is zero, without the delay of the timer itself.
async fn pause(time: Duration) {
    if !time.is_zero() {
        tokio::time::sleep(time).await;
    }
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, Box<Response<Full<Bytes>>>> {
    serde_json::from_slice(body)
        .map_err(|error| Box::new(text(StatusCode::BAD_REQUEST, error.to_string())))
}

fn worker_response(result: Result<(), WorkerRefusal>) -> Response<Full<Bytes>> {
    match result {
        Ok(()) => json(StatusCode::OK, &()),
        Err(refusal) => json(StatusCode::CONFLICT, &refusal),
    }
}

fn rate_limited() -> Response<Full<Bytes>> {
    let mut refusal = text(StatusCode::TOO_MANY_REQUESTS, "over the rate");
    let headers = refusal.headers_mut();
    headers.insert(header::RETRY_AFTER, HeaderValue::from_static("1"));
    refusal
}

fn written_key(write: &Write) -> String {
    match write {
        Write::Put(put) => put.key.clone(),
        Write::Delete(delete) => delete.key.clone(),
    }
}
