//! HTTP client of the platform.

use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use http::{Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use parking_lot::Mutex;
use serde::Serialize;
use serde::de::DeserializeOwned;
use smol_str::{SmolStr, ToSmolStr, format_smolstr};
use snipevane_core::clock::{Clock, SystemClock};
use snipevane_proto::platform::{
    self as message, CLIENT_HEADER, COMMIT_PATH, LEASE_PATH, OBJECTS_PATH, READ_PATH, REBOOT_PATH,
    SCAN_PATH, TASK_PATH, VMS_PATH, WORKERS_PATH,
};
use tokio::sync::{Semaphore, SemaphorePermit};
use tokio::time::timeout;
use uuid::Uuid;

use crate::error::{CommitError, PlatformError};
use crate::object_store::ObjectStore;
use crate::retry::RetryBudget;
use crate::settings::PlatformSettings;
use crate::table::{Committed, Row, Table, Transaction};
use crate::vm_list::{VmEntry, VmList};
use crate::workers::{LeaseRequest, TaskCommand, WorkerError, WorkerReport, Workers};

/// Retry delay if a response with status 429 has no usable `Retry-After` header.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Client of the platform's table, object store, VM list and workers.
///
/// Each call has a deadline. Reads and the other idempotent calls are retried within a
/// [`RetryBudget`]. A commit, a lease and a task command are sent once per call.
pub struct PlatformClient<C = SystemClock> {
    settings: PlatformSettings,
    clock: C,
    http: Client<HttpConnector, Full<Bytes>>,
    in_flight: Semaphore,
    retries: Mutex<RetryBudget>,
}

/// A request to the platform, kept so that it can be sent again.
struct Call {
    method: Method,
    path: SmolStr,
    body: Bytes,
}

impl Call {
    fn get(path: impl Into<SmolStr>) -> Self {
        Self {
            method: Method::GET,
            path: path.into(),
            body: Bytes::new(),
        }
    }

    fn post<T: Serialize>(path: &str, message: &T) -> Result<Self, PlatformError> {
        let body = serde_json::to_vec(message).map_err(malformed)?;
        Ok(Self {
            method: Method::POST,
            path: path.into(),
            body: body.into(),
        })
    }
}

/// A response whose body was received in full.
struct BufferedResponse {
    status: StatusCode,
    retry_after: Duration,
    body: Bytes,
}

impl BufferedResponse {
    fn parse<T: DeserializeOwned>(&self) -> Result<T, PlatformError> {
        serde_json::from_slice(&self.body).map_err(malformed)
    }

    fn to_error(&self) -> PlatformError {
        if self.status == StatusCode::TOO_MANY_REQUESTS {
            return PlatformError::RateLimited {
                retry_after: self.retry_after,
            };
        }
        PlatformError::Refused(self.status.as_u16())
    }
}

impl<C: Clock> PlatformClient<C> {
    /// Creates a client. Connections are opened when calls need them.
    pub fn new(settings: PlatformSettings, clock: C) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(settings.connect_timeout));
        let http = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_max_idle_per_host(settings.max_in_flight)
            .build(connector);
        // Clients that start together need different seeds, or their retries would coincide.
        let seed = settings
            .seed
            .unwrap_or_else(|| Uuid::now_v7().as_u64_pair().1);
        let retries = RetryBudget::new(settings.retry, seed, clock.now());
        Self {
            clock,
            http,
            in_flight: Semaphore::new(settings.max_in_flight),
            retries: Mutex::new(retries),
            settings,
        }
    }

    /// Returns the settings that the client was created with.
    pub fn settings(&self) -> &PlatformSettings {
        &self.settings
    }

    /// Sends an idempotent call and retries it after transient errors.
    ///
    /// Stops once the next retry would start at or after the deadline of the call, or if the retry
    /// budget allows none. A status of 404 counts as a response.
    async fn call_with_retries(&self, call: Call) -> Result<BufferedResponse, PlatformError> {
        let deadline = self.clock.now() + self.settings.request_timeout;
        self.retries.lock().record_call();
        let mut attempts = 0;
        loop {
            let result = self
                .attempt_while_arriving(&call, self.next_attempt_timeout(deadline))
                .await;
            attempts += 1;
            let error = match result {
                Ok(response) if response.status.is_success() => return Ok(response),
                Ok(response) if response.status == StatusCode::NOT_FOUND => return Ok(response),
                Ok(response) => response.to_error(),
                Err(error) => error,
            };
            // An attempt that timed out may be retried within the deadline of the whole call.
            if !error.is_transient() && error != PlatformError::DeadlineExceeded {
                return Err(error);
            }
            let Some(delay) = self.retries.lock().next_delay(attempts, self.clock.now()) else {
                return Err(error);
            };
            let delay = match &error {
                PlatformError::RateLimited { retry_after } => delay + *retry_after,
                _ => delay,
            };
            if self.clock.now() + delay >= deadline {
                return Err(error);
            }
            tokio::time::sleep(delay).await;
        }
    }

    /// Sends a lease request or a command to a worker, without retries.
    async fn call_worker<T: Serialize>(&self, path: &str, message: &T) -> Result<(), WorkerError> {
        let call = Call::post(path, message).map_err(WorkerError::NotApplied)?;
        let result = self.attempt(&call, self.settings.request_timeout).await;
        let result = result.and_then(|response| match response.status {
            StatusCode::OK => Ok(Ok(())),
            StatusCode::CONFLICT => response.parse().map(Err),
            _ => Err(response.to_error()),
        });
        match result {
            Ok(Ok(())) => Ok(()),
            Ok(Err(refusal)) => Err(WorkerError::Declined(refusal)),
            Err(error) if error.is_without_effect() => Err(WorkerError::NotApplied(error)),
            Err(error) => Err(WorkerError::Unknown(error)),
        }
    }

    fn next_attempt_timeout(&self, deadline: Instant) -> Duration {
        let remaining = deadline.saturating_duration_since(self.clock.now());
        remaining.min(self.settings.attempt_timeout)
    }

    /// Sends a call once; `time` covers the whole response, and the wait caused by the limit of calls in
    /// flight.
    async fn attempt(
        &self,
        call: &Call,
        time: Duration,
    ) -> Result<BufferedResponse, PlatformError> {
        let (_permit, remaining) = self.acquire_permit(time).await?;
        let exchange = async {
            let response = self.send(call).await?;
            self.collect(response).await
        };
        let result = timeout(remaining, exchange).await;
        result.unwrap_or(Err(PlatformError::DeadlineExceeded))
    }

    /// Sends a call once, as [`Self::attempt`] does, but a body may take longer as long as its parts keep
    /// arriving: if the network is too slow for it, another attempt would be no faster.
    async fn attempt_while_arriving(
        &self,
        call: &Call,
        time: Duration,
    ) -> Result<BufferedResponse, PlatformError> {
        let (_permit, remaining) = self.acquire_permit(time).await?;
        let response = timeout(remaining, self.send(call)).await;
        let response = response.unwrap_or(Err(PlatformError::DeadlineExceeded))?;
        let body = timeout(self.settings.transfer_timeout, self.collect(response)).await;
        body.unwrap_or(Err(PlatformError::DeadlineExceeded))
    }

    /// Waits up to `time` until another call may be in flight; returns what is left of that time.
    async fn acquire_permit(
        &self,
        time: Duration,
    ) -> Result<(SemaphorePermit<'_>, Duration), PlatformError> {
        let started = self.clock.now();
        let Ok(permit) = timeout(time, self.in_flight.acquire()).await else {
            return Err(PlatformError::TooManyInFlight);
        };
        let permit = permit.map_err(|_| PlatformError::TooManyInFlight)?;
        let waited = self.clock.now().saturating_duration_since(started);
        let remaining = time.saturating_sub(waited);
        if remaining.is_zero() {
            return Err(PlatformError::TooManyInFlight);
        }
        Ok((permit, remaining))
    }

    /// Sends a call; returns the response once its head has arrived.
    async fn send(&self, call: &Call) -> Result<Response<Incoming>, PlatformError> {
        let uri = format!("http://{}{}", self.settings.address, call.path);
        let req = Request::builder()
            .method(&call.method)
            .uri(uri)
            .header(CLIENT_HEADER, self.settings.client.as_str())
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(call.body.clone()))
            .map_err(malformed)?;
        self.http.request(req).await.map_err(|error| {
            if error.is_connect() {
                return PlatformError::Unreachable(error.to_smolstr());
            }
            PlatformError::ConnectionLost(error.to_smolstr())
        })
    }

    /// Receives the body of a response, each part of which may take [`PlatformSettings::attempt_timeout`].
    async fn collect(
        &self,
        response: Response<Incoming>,
    ) -> Result<BufferedResponse, PlatformError> {
        let (parts, mut body) = response.into_parts();
        let seconds = parts.headers.get(header::RETRY_AFTER);
        let retry_after = seconds
            .and_then(|value| value.to_str().ok()?.parse().ok())
            .map_or(DEFAULT_RETRY_AFTER, Duration::from_secs);
        let mut received = BytesMut::new();
        while let Some(part) = self.next_part(&mut body).await? {
            if received.len() + part.len() > self.settings.max_response_bytes {
                let error = "the response is too large".into();
                return Err(PlatformError::ConnectionLost(error));
            }
            received.extend_from_slice(&part);
        }
        Ok(BufferedResponse {
            status: parts.status,
            retry_after,
            body: received.freeze(),
        })
    }

    /// Receives the next part of a body; returns `None` if the body is complete.
    async fn next_part(&self, body: &mut Incoming) -> Result<Option<Bytes>, PlatformError> {
        let frame = timeout(self.settings.attempt_timeout, body.frame()).await;
        let Some(frame) = frame.map_err(|_| PlatformError::DeadlineExceeded)? else {
            return Ok(None);
        };
        let frame = frame.map_err(|error| PlatformError::ConnectionLost(error.to_smolstr()))?;
        // Trailers carry no part of the body.
        Ok(Some(frame.into_data().unwrap_or_default()))
    }
}

impl<C: Clock> Table for PlatformClient<C> {
    async fn read(&self, key: &str) -> Result<Option<Row>, PlatformError> {
        let key = key.to_owned();
        let call = Call::post(READ_PATH, &message::ReadRequest { key })?;
        let response = self.call_with_retries(call).await?;
        if response.status == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        let row: message::Row = response.parse()?;
        Ok(Some(row.into()))
    }

    async fn scan(&self, prefix: &str) -> Result<Vec<Row>, PlatformError> {
        let prefix = prefix.to_owned();
        let call = Call::post(SCAN_PATH, &message::ScanRequest { prefix })?;
        let rows: message::Rows = self.call_with_retries(call).await?.parse()?;
        Ok(rows.rows.into_iter().map(Into::into).collect())
    }

    async fn commit(&self, tx: Transaction) -> Result<Committed, CommitError> {
        let tx = message::Transaction::from(tx);
        let call = Call::post(COMMIT_PATH, &tx).map_err(CommitError::NotApplied)?;
        let result = self.attempt(&call, self.settings.request_timeout).await;
        let response = result.map_err(to_commit_error)?;
        match response.status {
            StatusCode::OK => {
                let committed: message::Committed =
                    response.parse().map_err(CommitError::Unknown)?;
                Ok(committed.into())
            }
            StatusCode::CONFLICT => {
                let conflict: message::Conflict = response.parse().map_err(CommitError::Unknown)?;
                let keys = conflict.keys.into_iter().map(SmolStr::from).collect();
                Err(CommitError::Conflict { keys })
            }
            _ => Err(to_commit_error(response.to_error())),
        }
    }
}

impl<C: Clock> ObjectStore for PlatformClient<C> {
    async fn put(&self, name: &str, body: Bytes) -> Result<(), PlatformError> {
        let call = Call {
            method: Method::PUT,
            path: format_smolstr!("{OBJECTS_PATH}{name}"),
            body,
        };
        let response = self.call_with_retries(call).await?;
        if response.status.is_success() {
            return Ok(());
        }
        Err(response.to_error())
    }

    async fn get(&self, name: &str) -> Result<Option<Bytes>, PlatformError> {
        let call = Call::get(format_smolstr!("{OBJECTS_PATH}{name}"));
        let response = self.call_with_retries(call).await?;
        if response.status == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        Ok(Some(response.body))
    }
}

impl<C: Clock> VmList for PlatformClient<C> {
    async fn list(&self) -> Result<Vec<VmEntry>, PlatformError> {
        let vms: message::Vms = self.call_with_retries(Call::get(VMS_PATH)).await?.parse()?;
        vms.vms.into_iter().map(TryInto::try_into).collect()
    }

    async fn reboot(&self, vm: &str, operation: u64) -> Result<bool, PlatformError> {
        let req = message::RebootRequest {
            id: vm.to_owned(),
            operation,
        };
        let response = self
            .call_with_retries(Call::post(REBOOT_PATH, &req)?)
            .await?;
        let state: message::RebootState = response.parse()?;
        Ok(state.booted)
    }
}

impl<C: Clock> Workers for PlatformClient<C> {
    async fn reports(&self) -> Result<Vec<WorkerReport>, PlatformError> {
        let response = self.call_with_retries(Call::get(WORKERS_PATH)).await?;
        let reports: message::WorkerReports = response.parse()?;
        Ok(reports.workers)
    }

    async fn lease(&self, req: LeaseRequest) -> Result<(), WorkerError> {
        self.call_worker(LEASE_PATH, &req).await
    }

    async fn command(&self, command: TaskCommand) -> Result<(), WorkerError> {
        self.call_worker(TASK_PATH, &command).await
    }
}

fn to_commit_error(error: PlatformError) -> CommitError {
    if error.is_without_effect() {
        CommitError::NotApplied(error)
    } else {
        CommitError::Unknown(error)
    }
}

fn malformed(error: impl std::fmt::Display) -> PlatformError {
    PlatformError::Malformed(error.to_smolstr())
}
