//! What came of the requests of a run.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use super::layout::{SERVERS_PER_SERVICE, SERVICES, SLOTS};
use crate::MeasureError;

const HIGHEST_LATENCY_US: u64 = 60_000_000;
const LATENCY_DIGITS: u8 = 3;

/// Figures of one way of routing in one scenario.
#[derive(Clone, Debug, Serialize)]
pub struct Figures {
    /// Scenario of the run.
    pub scenario: &'static str,
    /// Way of routing.
    #[serde(rename = "way")]
    pub strategy: &'static str,
    /// Requests in all.
    pub requests: u64,
    /// Median time from arrival to answer, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of the same, in milliseconds.
    pub p99_ms: f64,
    /// Requests refused as not run, in percent.
    pub refused_percent: f64,
    /// Requests that failed or whose outcome is unknown to the caller, in percent.
    pub failed_percent: f64,
    /// Tries that a backend server or a peer declined, for each 1,000 requests.
    pub declined_per_1000: f64,
    /// Hops between entry VMs for each request.
    pub hops_per_request: f64,
    /// Time in which a slot of a service was idle while its requests waited, in percent of the
    /// time in which its requests waited.
    pub idle_while_waiting_percent: f64,
    /// Slot time lost that way, in percent of all slot time while requests waited.
    pub lost_slot_time_percent: f64,
    /// Most requests that one backend server ran at once.
    pub most_running: u16,
    /// Messages between entry VMs a second and entry VM, forwarded requests left out.
    pub notices_per_second: f64,
}

/// Books what happens in a run.
pub(super) struct Record {
    latency: Histogram<u64>,
    requests: u64,
    refused: u64,
    failed: u64,
    /// Tries that a backend server or a peer declined.
    pub(super) declined: u64,
    /// Hops between entry VMs.
    pub(super) hops: u64,
    /// Messages between entry VMs about free slots.
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
        let latency = Histogram::new_with_max(HIGHEST_LATENCY_US, LATENCY_DIGITS)
            .map_err(|err| MeasureError::Histogram(err.to_string()))?;
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

    /// Books the time up to an event.
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

    /// Books an arrival.
    pub(super) fn arrived(&mut self) {
        self.requests += 1;
    }

    /// Sets the change of a service's waiting requests.
    pub(super) fn update_waiting(&mut self, service: usize, before: usize, after: usize) {
        self.waiting[service] += after as u64;
        self.waiting[service] -= before as u64;
    }

    /// Books that a backend server starts a request.
    pub(super) fn started(&mut self, service: usize, running_on_server: u16) {
        self.running[service] += 1;
        self.most_running = self.most_running.max(running_on_server);
    }

    /// Books that a backend server ends a request.
    pub(super) fn ended(&mut self, service: usize) {
        self.running[service] -= 1;
    }

    /// Books an answer that reached its caller.
    pub(super) fn answered(&mut self, latency: Duration) {
        let us = u64::try_from(latency.as_micros()).unwrap_or(HIGHEST_LATENCY_US);
        self.latency.saturating_record(us);
    }

    /// Books refusals.
    pub(super) fn refused(&mut self, count: usize) {
        self.refused += count as u64;
    }

    /// Books a request that failed or whose outcome is unknown.
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
