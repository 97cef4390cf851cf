//! State of one team in the fair queue.

use std::collections::BTreeSet;
use std::time::Instant;

use super::queue::WaitKey;
use super::ranking::Rank;

/// Number of urgencies.
pub(super) const URGENCY_COUNT: usize = 3;

/// A team's waiting requests and its recent slot usage.
///
/// Usage is in seconds of slot time. Instead of decaying past usage, the queue scales new usage by
/// a factor that grows with time.
#[derive(Clone, Debug)]
pub(super) struct TeamState {
    /// Weight of the team, at least 1.
    pub(super) weight: u32,
    /// Scaled usage, including the expected usage of running requests.
    pub(super) usage: f64,
    /// Scaled expected usage of running requests, which is part of `usage`.
    pub(super) expected_usage: f64,
    /// Number of running requests that `expected_usage` covers.
    pub(super) running: u32,
    /// Average slot time of one request, in seconds.
    pub(super) mean_seconds: f64,
    /// Waiting requests of each urgency, in order of their latest start time.
    pub(super) waiting: [BTreeSet<(Instant, u64, WaitKey)>; URGENCY_COUNT],
    /// Rank of the team in the ranking of each urgency, if it is in that ranking.
    pub(super) ranks: [Option<Rank>; URGENCY_COUNT],
    /// Sequence number of the team's last start among the starts of all teams.
    pub(super) last_start_seq: u64,
    /// Time until which the team is skipped because it couldn't start a request.
    pub(super) skipped_until: Option<Instant>,
}

/// Weight of the newest request in the moving average of the slot time.
const AVERAGE_WEIGHT: f64 = 0.125;
/// Expected slot time of a team's first requests, in seconds.
const INITIAL_MEAN_SECONDS: f64 = 1.0;

impl TeamState {
    pub(super) fn new() -> Self {
        Self {
            weight: 1,
            usage: 0.0,
            expected_usage: 0.0,
            running: 0,
            mean_seconds: INITIAL_MEAN_SECONDS,
            waiting: Default::default(),
            ranks: [None; URGENCY_COUNT],
            last_start_seq: 0,
            skipped_until: None,
        }
    }

    /// Returns the number of waiting requests.
    pub(super) fn len(&self) -> usize {
        self.waiting.iter().map(BTreeSet::len).sum()
    }

    /// Returns whether the team has neither waiting nor running requests.
    pub(super) fn is_idle(&self) -> bool {
        self.running == 0 && self.waiting.iter().all(BTreeSet::is_empty)
    }

    /// Charges the expected usage of a request that starts.
    pub(super) fn start(&mut self, scale: f64) {
        let expected_usage = self.mean_seconds * scale;
        self.usage += expected_usage;
        self.expected_usage += expected_usage;
        self.running += 1;
    }

    /// Replaces the expected usage of one request with its actual usage.
    pub(super) fn finish(&mut self, seconds: f64, scale: f64) {
        if self.running > 0 {
            let expected_usage = self.expected_usage / f64::from(self.running);
            self.usage -= expected_usage;
            self.expected_usage -= expected_usage;
            self.running -= 1;
        }
        self.usage = (self.usage + seconds * scale).max(0.0);
        self.mean_seconds += (seconds - self.mean_seconds) * AVERAGE_WEIGHT;
    }

    /// Scales all usage by a factor.
    pub(super) fn rescale(&mut self, factor: f64) {
        self.usage *= factor;
        self.expected_usage *= factor;
    }

    /// Returns the usage per weight.
    pub(super) fn normalized_usage(&self) -> f64 {
        self.usage / f64::from(self.weight)
    }
}
