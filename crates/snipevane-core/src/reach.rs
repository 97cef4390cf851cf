//! Reach of the scheduler: how many entry VMs it serves.
//!
//! A cut may separate the holder of the scheduler's term from most other entry VMs while all of them,
//! the holder included, reach the store. The holder then renews its term although most submissions reach
//! it late, through the store. The entry VMs that read fresh renewals but get no heartbeats report that in the
//! store, and a holder that a clear majority can't reach releases its term to them.

use std::time::Duration;

use rustc_hash::FxHashMap;
use smol_str::SmolStr;

/// Limits from which a holder releases its term.
#[derive(Clone, Copy, Debug)]
pub struct ReachSettings {
    /// Time after its last request for a heartbeat for which an entry VM counts as reached.
    pub heard_validity: Duration,
    /// Time beyond the interval of its reports for which an entry VM counts as not reached after its last one.
    pub report_margin: Duration,
    /// Least share of the entry VMs, in percent, that can't reach a holder that releases its term. The rest
    /// would be worse off, so a bare majority isn't enough.
    pub min_unreached_percent: usize,
    /// Least number of entry VMs that can't reach a holder that releases its term.
    pub min_unreached: usize,
    /// Time for which the majority must have lasted.
    pub settling_time: Duration,
    /// Time after which nothing that an entry VM did without the scheduler, such as writing a submission to the
    /// store by itself, is still under way.
    pub settled_after: Duration,
    /// Age of a term from which it may be released.
    pub min_term_age: Duration,
    /// The same for a term that followed such a release, so that the term doesn't go to and fro while a cut
    /// comes and goes.
    pub min_age_after_release: Duration,
}

impl Default for ReachSettings {
    fn default() -> Self {
        Self {
            heard_validity: Duration::from_millis(1_200),
            report_margin: Duration::from_millis(2_500),
            min_unreached_percent: 60,
            min_unreached: 3,
            settling_time: Duration::from_millis(500),
            settled_after: Duration::from_secs(10),
            min_term_age: Duration::from_secs(3),
            min_age_after_release: Duration::from_secs(15),
        }
    }
}

/// Numbers of entry VMs, the holder's own included among those that are reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReachCounts {
    /// Number of entry VMs that reach the holder.
    pub reached: usize,
    /// Number of entry VMs that have reported that they don't.
    pub unreached: usize,
}

/// What the holder of a term knows about who reaches it.
#[derive(Clone, Debug)]
pub struct Reach {
    settings: ReachSettings,
    won_at: Duration,
    /// Time from which the term may be released.
    may_release_at: Duration,
    heard_at: FxHashMap<SmolStr, Duration>,
    /// Times until which entry VMs count as not reached by their last reports.
    unreached_until: FxHashMap<SmolStr, Duration>,
    /// Time since which a majority can't reach the holder.
    unreached_since: Option<Duration>,
}

impl Reach {
    /// Creates the state of a term that was won at `won_at`; `after_release` tells whether the term before was
    /// released for its reach.
    pub fn new(settings: ReachSettings, won_at: Duration, after_release: bool) -> Self {
        let min_age = if after_release {
            settings.min_age_after_release
        } else {
            settings.min_term_age
        };
        Self {
            settings,
            won_at,
            may_release_at: won_at + min_age,
            heard_at: FxHashMap::default(),
            unreached_until: FxHashMap::default(),
            unreached_since: None,
        }
    }

    /// Records a request for a heartbeat.
    pub fn record_heard(&mut self, vm: &SmolStr, now: Duration) {
        self.heard_at.insert(vm.clone(), now);
    }

    /// Records a report of an entry VM that it gets no heartbeats of this term, which it repeats at this interval.
    ///
    /// A request of the same VM may still arrive if a cut stops only the responses, so the report counts.
    pub fn record_report(&mut self, vm: &SmolStr, interval: Duration, now: Duration) {
        let until = now + interval + self.settings.report_margin;
        self.unreached_until.insert(vm.clone(), until);
    }

    /// Returns how many entry VMs reach the holder and how many don't.
    pub fn counts(&self, now: Duration) -> ReachCounts {
        let is_unreached = |vm: &SmolStr| {
            let until = self.unreached_until.get(vm);
            until.is_some_and(|&until| now < until)
        };
        let heard = self
            .heard_at
            .iter()
            .filter(|&(vm, &at)| now < at + self.settings.heard_validity && !is_unreached(vm));
        ReachCounts {
            reached: 1 + heard.count(),
            unreached: self
                .unreached_until
                .keys()
                .filter(|vm| is_unreached(vm))
                .count(),
        }
    }

    /// Returns whether every entry VM that may still be writing a submission by itself is reached.
    ///
    /// One that was heard and has fallen silent may be cut off or frozen with a submission that it stores later.
    /// Its caller may repeat the submission elsewhere, where nothing is known of the first one.
    pub fn is_complete(&self, now: Duration) -> bool {
        let is_settled = |at: Duration| now >= at + self.settings.settled_after;
        let mut heard = self.heard_at.values();
        let silent = heard.any(|&at| now >= at + self.settings.heard_validity && !is_settled(at));
        is_settled(self.won_at) && !silent && self.counts(now).unreached == 0
    }

    /// Returns whether the holder should release its term, and records since when a majority can't reach it.
    pub fn should_release(&mut self, now: Duration) -> bool {
        let ReachCounts { reached, unreached } = self.counts(now);
        let percent = unreached * 100 / (reached + unreached);
        let is_majority = unreached >= self.settings.min_unreached
            && percent >= self.settings.min_unreached_percent;
        if !is_majority {
            self.unreached_since = None;
            return false;
        }
        let since = *self.unreached_since.get_or_insert(now);
        now >= self.may_release_at && now >= since + self.settings.settling_time
    }
}
