//! Metrics of the process, served in the Prometheus text format.
//!
//! Label values come from small fixed sets or are the names of pools in the configuration.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Response;
use http::header::{CONTENT_TYPE, HeaderValue};
use http_body_util::Full;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use metrics::{counter, gauge, histogram};
use metrics_exporter_prometheus::{BuildError, PrometheusBuilder, PrometheusHandle};
use smol_str::SmolStr;
use snipevane_core::jobs::PoolStats;
use snipevane_core::reach::ReachCounts;
use snipevane_listeners::Limits;
use thiserror::Error;
use tokio::net::TcpStream;

use crate::listeners::{Connection, Gate, Recorder, serve_until_closed};
use crate::store::{CallKind, Purpose};

/// Upper bounds of the histogram buckets, in seconds. They range from a call within a zone to a job
/// whose caller has stopped waiting.
const BUCKETS_S: [f64; 14] = [
    0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 4.0, 8.0, 16.0, 32.0,
];

/// Largest head of a request for metrics, in bytes.
const MAX_HEAD_BYTES: usize = 8_192;

const MILLIS_PER_CORE: f64 = 1_000.0;

const TEXT_FORMAT: HeaderValue = HeaderValue::from_static("text/plain; version=0.0.4");

/// Error that prevents metrics from being collected.
#[derive(Debug, Error)]
pub enum MetricsError {
    /// The recorder rejected the buckets.
    #[error(transparent)]
    Build(#[from] BuildError),
    /// Another recorder is already installed.
    #[error("another metrics recorder is already installed")]
    AlreadySet,
}

/// Handle that renders and serves the recorded metrics.
#[derive(Clone)]
pub struct Metrics {
    handle: PrometheusHandle,
}

impl Metrics {
    /// Installs the global recorder.
    ///
    /// # Errors
    ///
    /// Returns an error if the process already has a recorder, or if the recorder can't be built.
    pub fn start() -> Result<Self, MetricsError> {
        let recorder = PrometheusBuilder::new()
            .set_buckets(&BUCKETS_S)?
            .build_recorder();
        let handle = recorder.handle();
        metrics::set_global_recorder(recorder).map_err(|_| MetricsError::AlreadySet)?;
        Ok(Self { handle })
    }

    /// Serves the metrics at an address, for every path.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub async fn serve(self, address: SocketAddr, limits: Limits) -> std::io::Result<()> {
        let gate = Gate::new("metrics", limits, Recorder);
        let listener = gate.bind(address)?;
        loop {
            let (stream, connection) = gate.accept(&listener, || MAX_HEAD_BYTES).await;
            tokio::task::spawn_local(self.clone().serve_connection(stream, connection));
        }
    }

    async fn serve_connection(self, stream: TcpStream, connection: Arc<Connection>) {
        let place = connection.clone();
        let service = service_fn(move |_| {
            let response = self.render();
            place.on_response();
            async move { Ok::<_, Infallible>(response) }
        });
        let served = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .serve_connection(TokioIo::new(stream), service);
        serve_until_closed(&connection, served, "of a metrics client").await;
    }

    fn render(&self) -> Response<Full<Bytes>> {
        self.handle.run_upkeep();
        let mut response = Response::new(Full::new(Bytes::from(self.handle.render())));
        response.headers_mut().insert(CONTENT_TYPE, TEXT_FORMAT);
        response
    }
}

/// Counts something that the limits of a listener made happen, or that went wrong with it.
pub(crate) fn record_listener_incident(listener: &'static str, what: &'static str) {
    counter!("snipevane_listener_incidents_total", "listener" => listener, "what" => what)
        .increment(1);
}

/// Records how many entry VMs reach the scheduler and how many report that they don't.
pub(crate) fn set_reach(counts: ReachCounts) {
    gauge!("snipevane_entry_vms_reached").set(counts.reached as f64);
    gauge!("snipevane_entry_vms_unreached").set(counts.unreached as f64);
}

/// Records the number of availability zones that are evacuated.
pub(crate) fn set_evacuated_zones(zones: usize) {
    gauge!("snipevane_evacuated_zones").set(zones as f64);
}

/// Records a call to the store.
pub(crate) fn record_store_call(kind: CallKind, outcome: &'static str, elapsed: Duration) {
    let call = kind.name();
    counter!("snipevane_store_calls_total", "call" => call, "outcome" => outcome).increment(1);
    histogram!("snipevane_store_call_seconds", "call" => call).record(elapsed.as_secs_f64());
}

/// Records one attempt of a call to the store, by a route: `direct`, or `relayed` by another entry VM.
///
/// A call may take several attempts. A relayed one also counts at the entry VM that relays it.
pub(crate) fn record_store_attempt(purpose: Purpose, route: &'static str, outcome: &'static str) {
    let purpose = purpose.name();
    counter!("snipevane_store_attempts_total", "purpose" => purpose, "route" => route, "outcome" => outcome)
        .increment(1);
}

/// Records a transaction of the scheduler's process, by the kind of changes that it was written for: its
/// number of entries, and the time for which they waited for their turn.
pub(crate) fn record_transaction(kind: &'static str, entries: usize, waited: Duration) {
    counter!("snipevane_transactions_total", "kind" => kind).increment(1);
    counter!("snipevane_transaction_entries_total", "kind" => kind).increment(entries as u64);
    histogram!("snipevane_transaction_turn_seconds", "kind" => kind).record(waited.as_secs_f64());
}

/// Records a request of a caller.
pub(crate) fn record_request(method: &http::Method, status: u16, elapsed: Duration) {
    let method = match *method {
        http::Method::GET => "GET",
        http::Method::POST => "POST",
        http::Method::DELETE => "DELETE",
        _ => "other",
    };
    if matches!(status, 429 | 503) {
        counter!("snipevane_requests_refused_total", "method" => method).increment(1);
    }
    counter!("snipevane_requests_total", "method" => method, "status" => status.to_string())
        .increment(1);
    histogram!("snipevane_request_seconds", "method" => method).record(elapsed.as_secs_f64());
}

/// Records an order to a minion.
pub(crate) fn record_minion_call(order: &'static str, outcome: &'static str) {
    counter!("snipevane_minion_calls_total", "order" => order, "outcome" => outcome).increment(1);
}

/// Records that an order to a minion was sent again before its timeout.
pub(crate) fn record_order_repeat(order: &'static str) {
    counter!("snipevane_order_repeats_total", "order" => order).increment(1);
}

/// Length of the start line of a request or response without its path, with the line breaks of the head.
const START_LINE_BYTES: usize = 20;

/// Length of the separators of a header line.
const HEADER_SEPARATOR_BYTES: usize = 4;

/// Returns the approximate length of the head of a request or response, in bytes.
pub(crate) fn head_bytes(path_bytes: usize, headers: &http::HeaderMap) -> usize {
    let lines = headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len() + HEADER_SEPARATOR_BYTES);
    START_LINE_BYTES + path_bytes + lines.sum::<usize>()
}

/// Role of this process in a call.
#[derive(Clone, Copy)]
enum Role {
    Client,
    Server,
}

impl Role {
    fn name(self) -> &'static str {
        match self {
            Self::Client => "client",
            Self::Server => "server",
        }
    }
}

/// Records a request of this process to another one.
pub(crate) fn record_sent_request(kind: &'static str, bytes: usize) {
    count_message(kind, Role::Client);
    add_sent_bytes(kind, Role::Client, bytes);
}

/// Records a response to a request of this process.
pub(crate) fn record_received_response(kind: &'static str, bytes: usize) {
    add_received_bytes(kind, Role::Client, bytes);
}

/// Records a response to a request of this process that was given up while its body was arriving.
pub(crate) fn record_abandoned_response(kind: &'static str, received_bytes: usize) {
    counter!("snipevane_abandoned_bytes_total", "kind" => kind).increment(received_bytes as u64);
}

/// Records a poll of another entry VM that wasn't relayed, as another response was being relayed.
pub(crate) fn record_busy_relay() {
    counter!("snipevane_relays_busy_total").increment(1);
}

/// Counts a job that admission control rejects.
pub(crate) fn record_rejected_job(pool: &SmolStr, reason: &'static str) {
    counter!("snipevane_jobs_rejected_total", "pool" => pool.to_string(), "reason" => reason)
        .increment(1);
}

/// Counts a request to cancel a job by what it met.
pub(crate) fn record_cancellation(met: &'static str) {
    counter!("snipevane_cancellations_total", "met" => met).increment(1);
}

/// Counts a job that admission control would reject, but that may be accepted already.
pub(crate) fn record_waived_rejection(pool: &SmolStr, reason: &'static str) {
    counter!("snipevane_rejections_waived_total", "pool" => pool.to_string(), "reason" => reason)
        .increment(1);
}

/// Counts a minion that has crashed.
pub(crate) fn record_minion_crash() {
    counter!("snipevane_minion_crashes_total").increment(1);
}

/// Records the number of pairs of images that are kept apart.
pub(crate) fn set_pairs_kept_apart(pairs: usize) {
    gauge!("snipevane_pairs_kept_apart").set(pairs as f64);
}

/// Counts a best-effort run that is stopped to start elsewhere, as it can't work beside others.
pub(crate) fn record_relocation() {
    counter!("snipevane_best_effort_relocations_total").increment(1);
}

/// Counts an entry of a minion that is left out, as the configuration doesn't name its pool.
pub(crate) fn record_minion_left_out() {
    counter!("snipevane_minions_left_out_total").increment(1);
}

/// Counts a change that is given up because the store rejects it for good.
pub(crate) fn record_rejected_change(kind: &'static str) {
    counter!("snipevane_changes_rejected_total", "kind" => kind).increment(1);
}

/// Counts a long-running task that isn't started for a while because it crashes minions.
pub(crate) fn record_task_suspended() {
    counter!("snipevane_tasks_suspended_total").increment(1);
}

/// Counts a long-running task that an order stops, and whether its step allows one more unavailable task.
pub(crate) fn record_long_running_stop(reason: &'static str, over_budget: bool) {
    let budget = if over_budget { "exceeded" } else { "kept" };
    counter!("snipevane_long_running_stops_total", "reason" => reason, "budget" => budget)
        .increment(1);
}

/// Counts a task that is given up because it crashes minions.
pub(crate) fn record_task_given_up() {
    counter!("snipevane_tasks_given_up_total").increment(1);
}

/// Records a part of the body of a response to another entry VM that is sent as it becomes known.
pub(crate) fn record_served_part(kind: &'static str, bytes: usize) {
    add_sent_bytes(kind, Role::Server, bytes);
}

/// Counts start orders by the way in which they leave the scheduler: `sender` or `scheduler`.
pub(crate) fn record_starts_sent(by: &'static str, orders: usize) {
    counter!("snipevane_starts_sent_total", "by" => by).increment(orders as u64);
}

/// Counts a batch of start orders that failed.
pub(crate) fn record_failed_batch(reason: &'static str) {
    counter!("snipevane_start_batches_failed_total", "reason" => reason).increment(1);
}

/// Records the number of entry VMs that can send orders for this process.
pub(crate) fn set_usable_senders(senders: usize) {
    gauge!("snipevane_senders").set(senders as f64);
}

/// Records a request of another entry VM.
pub(crate) fn record_served_request(kind: &'static str, bytes: usize) {
    count_message(kind, Role::Server);
    add_received_bytes(kind, Role::Server, bytes);
}

/// Records a response to another entry VM.
pub(crate) fn record_served_response(kind: &'static str, bytes: usize) {
    add_sent_bytes(kind, Role::Server, bytes);
}

fn count_message(kind: &'static str, role: Role) {
    counter!("snipevane_messages_total", "kind" => kind, "role" => role.name()).increment(1);
}

fn add_sent_bytes(kind: &'static str, role: Role, bytes: usize) {
    counter!("snipevane_sent_bytes_total", "kind" => kind, "role" => role.name())
        .increment(bytes as u64);
}

fn add_received_bytes(kind: &'static str, role: Role, bytes: usize) {
    counter!("snipevane_received_bytes_total", "kind" => kind, "role" => role.name())
        .increment(bytes as u64);
}

/// Records that this process won a term with the fencing token `fence`.
pub(crate) fn record_term_won(fence: u64) {
    counter!("snipevane_terms_won_total").increment(1);
    gauge!("snipevane_term_fence").set(fence as f64);
    gauge!("snipevane_term_held").set(1.0);
}

/// Records that this process's term ended.
pub(crate) fn record_term_ended() {
    gauge!("snipevane_term_held").set(0.0);
    gauge!("snipevane_pairs_kept_apart").set(0.0);
}

/// Records the version of the configuration in force.
pub(crate) fn set_config_version(version: u64) {
    gauge!("snipevane_config_version").set(version as f64);
}

/// Records placed tasks of a job, with the time since the job was accepted.
pub(crate) fn record_placement(tasks: u32, age: Duration) {
    counter!("snipevane_tasks_placed_total").increment(u64::from(tasks));
    histogram!("snipevane_queue_seconds").record(age.as_secs_f64());
}

/// Records whether the store is reachable.
pub(crate) fn set_store_reachable(reachable: bool) {
    gauge!("snipevane_store_reached").set(f64::from(u8::from(reachable)));
}

/// Records the time since the scheduler's last successful write.
pub(crate) fn set_term_age(age: Duration) {
    gauge!("snipevane_term_age_seconds").set(age.as_secs_f64());
}

/// Records the longest time that a write of the term took lately.
pub(crate) fn set_longest_commit_time(time: Duration) {
    gauge!("snipevane_longest_commit_seconds").set(time.as_secs_f64());
}

/// Records the time that observers wait for a change of the scheduler's row before they take over.
pub(crate) fn set_observer_wait(wait: Duration) {
    gauge!("snipevane_observer_wait_seconds").set(wait.as_secs_f64());
}

/// Records the smoothed time that minions take to reply to orders.
pub(crate) fn set_order_reply_time(reply_time: Duration) {
    gauge!("snipevane_order_reply_seconds").set(reply_time.as_secs_f64());
}

/// Records what the scheduler holds of jobs: the memory, its limit, and the occurrences that are due and haven't begun.
pub(crate) fn set_held_jobs(bytes: usize, max_bytes: usize, due_occurrences: u64) {
    gauge!("snipevane_held_job_bytes").set(bytes as f64);
    gauge!("snipevane_max_held_job_bytes").set(max_bytes as f64);
    gauge!("snipevane_due_occurrences_waiting").set(due_occurrences as f64);
}

/// Records the backlog and the capacity of a pool.
pub(crate) fn set_pool_stats(pool: &SmolStr, stats: &PoolStats) {
    let pool = pool.to_string();
    gauge!("snipevane_tasks_waiting", "pool" => pool.clone()).set(stats.waiting as f64);
    gauge!("snipevane_oldest_waiting_seconds", "pool" => pool.clone())
        .set(stats.oldest_age.as_secs_f64());
    gauge!("snipevane_long_running_waiting", "pool" => pool.clone())
        .set(stats.long_running_waiting as f64);
    gauge!("snipevane_runs", "pool" => pool.clone()).set(stats.runs as f64);
    gauge!("snipevane_minions", "pool" => pool.clone()).set(stats.minions as f64);
    gauge!("snipevane_free_cores", "pool" => pool)
        .set(stats.free_cpu_millis as f64 / MILLIS_PER_CORE);
}
