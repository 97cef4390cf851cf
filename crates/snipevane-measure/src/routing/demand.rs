//! Demand of a simulation: the services have bursts in turn.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::layout::{ENTRY_VMS, SERVERS_PER_SERVICE, SERVICES, SLOTS};
use crate::random::exponential;

/// Length of a service's burst.
const BURST_LENGTH: Duration = Duration::from_secs(4);
/// Demand of a service during its burst, as a multiple of its mean.
const BURST_FACTOR: f64 = 5.0;
/// Demand of a service between its bursts, as a multiple of its mean.
const QUIET_FACTOR: f64 = 0.05;
/// Mean run time of a request on a backend server.
const MEAN_RUN_TIME: Duration = Duration::from_millis(100);
/// Maximum run time of a request on a backend server.
pub(super) const MAX_RUN_TIME: Duration = Duration::from_secs(1);

/// One request of the demand.
#[derive(Clone, Copy, Debug)]
pub(super) struct Request {
    /// Arrival time at an entry VM.
    pub(super) at: Duration,
    /// Entry VM that the load balancer chose.
    pub(super) entry_vm: usize,
    /// Service that the request is for.
    pub(super) service: usize,
    /// Run time on a backend server.
    pub(super) run_time: Duration,
}

/// Draws the requests, ordered by arrival time.
///
/// `burst_load` is the demand during a burst, as a multiple of the capacity of the service's slots.
pub(super) fn draw(seed: u64, length: Duration, burst_load: f64) -> Vec<Request> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let slots = SERVERS_PER_SERVICE as f64 * f64::from(SLOTS);
    let burst_rate = burst_load * slots / MEAN_RUN_TIME.as_secs_f64();
    let mut requests = Vec::new();
    for service in 0..SERVICES {
        let mut at = 0.0;
        while at < length.as_secs_f64() {
            let rate = match is_in_burst(service, at) {
                true => burst_rate,
                false => burst_rate * QUIET_FACTOR / BURST_FACTOR,
            };
            let next = at + exponential(&mut rng) / rate;
            // An arrival after the next change of the rate is drawn again from the change on.
            let change =
                ((at / BURST_LENGTH.as_secs_f64()).floor() + 1.0) * BURST_LENGTH.as_secs_f64();
            if next >= change {
                at = change;
                continue;
            }
            at = next;
            let run_time = MEAN_RUN_TIME
                .mul_f64(exponential(&mut rng))
                .min(MAX_RUN_TIME);
            requests.push(Request {
                at: Duration::from_secs_f64(at),
                entry_vm: rng.random_range(0..ENTRY_VMS),
                service,
                run_time,
            });
        }
    }
    requests.sort_by_key(|request| request.at);
    requests
}

fn is_in_burst(service: usize, at: f64) -> bool {
    let burst_index = (at / BURST_LENGTH.as_secs_f64()).floor() as usize;
    burst_index % SERVICES == service
}
