//! Sizes of the simulated sites and their demand.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

use crate::random::exponential;

/// Mean run time of a request, in milliseconds.
const MEAN_RUN_TIME_MS: f64 = 50.0;
/// Length of a team's burst, in milliseconds.
const BURST_MS: f64 = 5_000.0;
/// Time between the starts of two bursts of a team, in milliseconds.
const BURST_INTERVAL_MS: f64 = 30_000.0;
/// Demand during a burst, as a multiple of the mean.
const BURST_FACTOR: f64 = 5.0;
/// Demand between bursts, as a multiple of the mean.
const QUIET_FACTOR: f64 = 0.05;

/// Size of a simulated site.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(super) enum Size {
    /// 7 entry VMs, 6 teams.
    Today,
    /// 96 entry VMs, 320 teams.
    Target,
}

impl Size {
    pub(super) fn entry_vms(self) -> usize {
        match self {
            Self::Today => 7,
            Self::Target => 96,
        }
    }

    pub(super) fn zones(self) -> usize {
        match self {
            Self::Today => 3,
            Self::Target => 16,
        }
    }

    pub(super) fn name(self) -> &'static str {
        match self {
            Self::Today => "7 entry VMs, 6 teams",
            Self::Target => "96 entry VMs, 320 teams",
        }
    }

    /// Returns the limits of the teams.
    pub(super) fn limits(self) -> Vec<u32> {
        match self {
            Self::Today => vec![1, 2, 3, 20, 60, 120],
            Self::Target => (0..320).map(|team| 1 << (team % 9)).collect(),
        }
    }
}

/// One request of the demand.
#[derive(Clone, Copy, Debug)]
pub(super) struct Arrival {
    /// Arrival time, in milliseconds.
    pub(super) at_ms: f64,
    /// Index of the team.
    pub(super) team: usize,
    /// Entry VM that the load balancer chose.
    pub(super) vm: usize,
    /// Run time of the request, in milliseconds.
    pub(super) run_time_ms: f64,
}

/// Draws the arrivals of all teams, ordered by time.
///
/// A team's demand during a burst is `load` times its limit. The bursts of the teams start one
/// after the other.
pub(super) fn arrivals(size: Size, load: f64, length_ms: f64, seed: u64) -> Vec<Arrival> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let limits = size.limits();
    let mut arrivals = Vec::new();
    for (team, &limit) in limits.iter().enumerate() {
        let phase_ms = BURST_INTERVAL_MS * team as f64 / limits.len() as f64;
        let peak = load * f64::from(limit) / MEAN_RUN_TIME_MS;
        let mut at_ms = exponential(&mut rng) / peak;
        // Arrivals are drawn at the peak rate, and thinned outside bursts.
        while at_ms < length_ms {
            let in_burst = (at_ms + phase_ms) % BURST_INTERVAL_MS < BURST_MS;
            if in_burst || rng.random::<f64>() < QUIET_FACTOR / BURST_FACTOR {
                arrivals.push(Arrival {
                    at_ms,
                    team,
                    vm: rng.random_range(0..size.entry_vms()),
                    run_time_ms: exponential(&mut rng) * MEAN_RUN_TIME_MS,
                });
            }
            at_ms += exponential(&mut rng) / peak;
        }
    }
    arrivals.sort_by(|a, b| a.at_ms.total_cmp(&b.at_ms));
    arrivals
}
