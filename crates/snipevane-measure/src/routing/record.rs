//! Outcomes and figures of a simulation.

use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use serde::Serialize;
use snipevane_core::shares::FairQueue;

use super::layout::{SERVERS_PER_SERVICE, SERVICES, SLOTS};
use crate::MeasureError;

const MAX_LATENCY_US: u64 = 60_000_000;
const LATENCY_SIGNIFICANT_DIGITS: u8 = 3;

/// Figures of one routing strategy in one scenario.
#[derive(Clone, Debug, Serialize)]
pub struct Figures {
    /// Name of the scenario.
    pub scenario: &'static str,
    /// Name of the routing strategy.
    #[serde(rename = "way")]
    pub strategy: &'static str,
    /// Number of requests.
    pub requests: u64,
    /// Median time from arrival to response, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of the time from arrival to response, in milliseconds.
    pub p99_ms: f64,
    /// Percentage of requests that were refused without running.
    pub refused_percent: f64,
    /// Percentage of requests that failed or whose outcome is unknown to the caller.
    pub failed_percent: f64,
    /// Attempts declined by a backend server or a peer, per 1,000 requests.
    pub declined_per_1000: f64,
    /// Hops between entry VMs, per request.
    pub hops_per_request: f64,
    /// Time in which a slot of a service was idle while requests of the service waited, as a
    /// percentage of the time in which requests waited.
    pub idle_while_waiting_percent: f64,
    /// Slot time that was idle while requests waited, as a percentage of the slot time in which
    /// requests waited.
    pub lost_slot_time_percent: f64,
    /// Maximum number of requests that one backend server ran at the same time.
    pub most_running: u16,
    /// Messages between entry VMs, without forwarded requests, per second and entry VM.
    pub notices_per_second: f64,
}

/// Counts the outcomes of a simulation, and measures how long requests wait and slots are idle.
pub(super) struct Record {
    latency: Histogram<u64>,
    requests: u64,
    refused: u64,
    failed: u64,
    /// Number of attempts declined by a backend server or a peer.
    pub(super) declined: u64,
    /// Number of hops between entry VMs.
    pub(super) hops: u64,
    /// Number of slot requests and load reports between entry VMs.
    pub(super) load_messages: u64,
    most_running: u16,
    waiting: [u64; SERVICES],
    running: [u64; SERVICES],
    last_event_at: Duration,
    waiting_time: Duration,
    idle_time: Duration,
    lost_slot_time: Duration,
}

impl Record {
    pub(super) fn new() -> Result<Self, MeasureError> {
        let latency = Histogram::new_with_max(MAX_LATENCY_US, LATENCY_SIGNIFICANT_DIGITS)
            .map_err(MeasureError::histogram)?;
        Ok(Self {
            latency,
            requests: 0,
            refused: 0,
            failed: 0,
            declined: 0,
            hops: 0,
            load_messages: 0,
            most_running: 0,
            waiting: [0; SERVICES],
            running: [0; SERVICES],
            last_event_at: Duration::ZERO,
            waiting_time: Duration::ZERO,
            idle_time: Duration::ZERO,
            lost_slot_time: Duration::ZERO,
        })
    }

    /// Records the time that passed since the last event.
    pub(super) fn advance(&mut self, now: Duration) {
        let elapsed = now - self.last_event_at;
        self.last_event_at = now;
        let slots = SERVERS_PER_SERVICE as u64 * u64::from(SLOTS);
        for service in 0..SERVICES {
            let waiting = self.waiting[service];
            if waiting == 0 {
                continue;
            }
            let idle = slots.saturating_sub(self.running[service]);
            self.waiting_time += elapsed;
            if idle > 0 {
                self.idle_time += elapsed;
                self.lost_slot_time += elapsed.mul_f64(waiting.min(idle) as f64);
            }
        }
    }

    /// Records an arrival.
    pub(super) fn arrived(&mut self) {
        self.requests += 1;
    }

    /// Updates the number of waiting requests by the change in the length of one queue.
    pub(super) fn update_waiting(&mut self, service: usize, before: usize, after: usize) {
        self.waiting[service] += after as u64;
        self.waiting[service] -= before as u64;
    }

    /// Records that a backend server starts a request.
    pub(super) fn started(&mut self, service: usize, running_on_server: u16) {
        self.running[service] += 1;
        self.most_running = self.most_running.max(running_on_server);
    }

    /// Records that a backend server ends a request.
    pub(super) fn ended(&mut self, service: usize) {
        self.running[service] -= 1;
    }

    /// Records a response that reached its caller.
    pub(super) fn answered(&mut self, latency: Duration) {
        let us = u64::try_from(latency.as_micros()).unwrap_or(MAX_LATENCY_US);
        self.latency.saturating_record(us);
    }

    /// Removes expired requests from the queue of a service at one entry VM, and records them as
    /// refused.
    ///
    /// If the entry VM is lost, all of its waiting requests are removed and recorded as failed.
    pub(super) fn expire_waiting<T>(
        &mut self,
        service: usize,
        queue: &mut FairQueue<T>,
        is_lost: bool,
        now: Instant,
    ) {
        let before = queue.len();
        while is_lost && queue.pop(now, |_| true).is_some() {
            self.failed();
        }
        let expired = queue.expire(now).len();
        self.refused(expired);
        self.update_waiting(service, before, queue.len());
    }

    /// Records refused requests.
    pub(super) fn refused(&mut self, count: usize) {
        self.refused += count as u64;
    }

    /// Records a request that failed or whose outcome is unknown.
    pub(super) fn failed(&mut self) {
        self.failed += 1;
    }

    pub(super) fn figures(
        &self,
        scenario: &'static str,
        strategy: &'static str,
        entry_vms: usize,
    ) -> Figures {
        let percent = |part: u64| 100.0 * part as f64 / self.requests.max(1) as f64;
        let ratio = |part: Duration, whole: Duration| {
            100.0 * part.as_secs_f64() / whole.as_secs_f64().max(f64::EPSILON)
        };
        let slots = SERVERS_PER_SERVICE as f64 * f64::from(SLOTS);
        let seconds = self.last_event_at.as_secs_f64().max(f64::EPSILON);
        Figures {
            scenario,
            strategy,
            requests: self.requests,
            p50_ms: self.latency.value_at_quantile(0.5) as f64 / 1000.0,
            p99_ms: self.latency.value_at_quantile(0.99) as f64 / 1000.0,
            refused_percent: percent(self.refused),
            failed_percent: percent(self.failed),
            declined_per_1000: 10.0 * percent(self.declined),
            hops_per_request: percent(self.hops) / 100.0,
            idle_while_waiting_percent: ratio(self.idle_time, self.waiting_time),
            lost_slot_time_percent: ratio(self.lost_slot_time, self.waiting_time.mul_f64(slots)),
            most_running: self.most_running,
            notices_per_second: self.load_messages as f64 / seconds / entry_vms as f64,
        }
    }
}
