//! Rate of the crashes that no task explains.

use std::collections::VecDeque;
use std::time::Duration;

/// Time over which crashes are counted.
const WINDOW: Duration = Duration::from_secs(10);

/// Crashes of the last seconds that no task explains.
#[derive(Debug, Default)]
pub(in crate::jobs) struct CrashRate {
    /// Number of crashes in this term when it was last updated.
    known: usize,
    /// Times at which crashes became known, the latest last.
    times: VecDeque<Duration>,
}

impl CrashRate {
    /// Counts the crashes since the last update, given the number in this term.
    pub(in crate::jobs) fn update(&mut self, crashes: usize, now: Duration) {
        let new = crashes.saturating_sub(self.known);
        self.known = crashes;
        self.times.extend(std::iter::repeat_n(now, new));
        while self.times.pop_front_if(|at| *at + WINDOW < now).is_some() {}
    }

    /// Returns the number of crashes of the last seconds.
    pub(in crate::jobs) fn crashes(&self) -> usize {
        self.times.len()
    }

    /// Returns the probability that one of `minions` minions crashes within `time`, if `own` of the crashes have
    /// another cause.
    pub(in crate::jobs) fn chance(&self, time: Duration, minions: usize, own: usize) -> f64 {
        let crashes = self.times.len().saturating_sub(own);
        let per_minion = crashes as f64 / minions.max(1) as f64;
        (per_minion * time.as_secs_f64() / WINDOW.as_secs_f64()).min(1.0)
    }
}
