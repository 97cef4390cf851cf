//! What the share queue knows of one team.

use std::collections::BTreeSet;
use std::time::Instant;

use super::order::Rank;
use super::queue::WaitKey;

/// Number of urgencies.
pub(super) const CLASSES: usize = 3;

/// A team's waiting requests and its recent use of slots.
///
/// Uses are in seconds of slot use, scaled by the queue's growing factor in place of letting each
/// use decay.
#[derive(Clone, Debug)]
pub(super) struct TeamState {
    /// Share of the team, at least 1.
    pub(super) weight: u32,
    /// Scaled use, the expected use of running requests included.
    pub(super) usage: f64,
    /// Scaled expected use of running requests that is part of `usage`.
    pub(super) expected_usage: f64,
    /// Running requests that `expected_usage` stands for.
    pub(super) running: u32,
    /// Average use of one request, in seconds.
    pub(super) mean_seconds: f64,
    /// Waiting requests in order of their latest start for each urgency.
    pub(super) waiting: [BTreeSet<(Instant, u64, WaitKey)>; CLASSES],
    /// Position of the team for each urgency in which it has waiting requests.
    pub(super) ranks: [Option<Rank>; CLASSES],
    /// Number of the team's last start among all starts.
    pub(super) last_start_seq: u64,
    /// Time until which the team is left out because it couldn't start anything.
    pub(super) skipped_until: Option<Instant>,
}

/// Weight of the newest request in the average use.
const AVERAGE_WEIGHT: f64 = 0.125;
/// Use that a team's first requests are expected to have, in seconds.
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
            ranks: [None; CLASSES],
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

    /// Charges the expected use of a request that starts.
    pub(super) fn start(&mut self, scale: f64) {
        let expected_usage = self.mean_seconds * scale;
        self.usage += expected_usage;
        self.expected_usage += expected_usage;
        self.running += 1;
    }

    /// Replaces the expected use of one request by its true use.
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

    /// Scales all uses by a factor.
    pub(super) fn rescale(&mut self, factor: f64) {
        self.usage *= factor;
        self.expected_usage *= factor;
    }

    /// Returns the use per share.
    pub(super) fn normalized_usage(&self) -> f64 {
        self.usage / f64::from(self.weight)
    }
}
