//! Leader election of the scheduler: which entry VM schedules, and when another may take over.
//!
//! The scheduler renews its term by conditional writes of one row. It stops sending orders once the
//! term's length has passed since it sent its last successful write. An observer takes over once it
//! has seen the row unchanged for the term's length and a margin. Both measure with their own
//! monotonic clock, which includes time in suspension, so no clocks are compared.
//!
//! While the store is slow, the row asks observers to wait longer. The scheduler itself stops sending
//! orders at the same time as ever, so an observer that doesn't know of the request takes over safely too.

use std::time::Duration;

/// Durations that decide when a term ends and when an observer may take over.
#[derive(Clone, Copy, Debug)]
pub struct TermSettings {
    /// Length of a term, which is the time after its last successful write during which the
    /// scheduler may send orders.
    pub term: Duration,
    /// Time that an observer waits in addition, because clocks may run at different rates.
    pub margin: Duration,
    /// Maximum time between two writes of the scheduler.
    pub renewal_interval: Duration,
    /// Time between two reads of the row after which the observer assumes an outage of the store.
    pub outage_threshold: Duration,
    /// Time that the scheduler has to renew its term after an outage of the store.
    pub outage_grace: Duration,
    /// Time for which a VM leaves a free term to much larger VMs.
    pub smaller_vm_delay: Duration,
    /// Time that may pass until an observer sees a write that was committed, while the store is slow.
    pub observation_delay: Duration,
    /// Longest time, in place of `term`, for which a row may ask observers to wait.
    pub max_observer_wait: Duration,
}

impl Default for TermSettings {
    fn default() -> Self {
        Self {
            term: Duration::from_millis(1_400),
            margin: Duration::from_millis(150),
            renewal_interval: Duration::from_millis(400),
            outage_threshold: Duration::from_millis(1_100),
            outage_grace: Duration::from_millis(900),
            smaller_vm_delay: Duration::from_millis(350),
            // The pause between two heartbeats, or a read of the row that takes 200 ms, with jitter.
            observation_delay: Duration::from_millis(500),
            // A write that the store queues for a second, carries out in 250 ms and answers in 200 ms
            // needs 3.8 s. A holder that was killed is followed that much later at most.
            max_observer_wait: Duration::from_millis(4_000),
        }
    }
}

impl TermSettings {
    /// Returns how long observers have to wait for a change of the row, without the margin, if a write
    /// takes `commit_time` at most.
    ///
    /// Until an observer sees a write, one may have been sent just before it, and another after it.
    pub fn observer_wait(&self, commit_time: Duration) -> Duration {
        let wait = commit_time * 2 + self.renewal_interval + self.observation_delay;
        wait.clamp(self.term, self.max_observer_wait)
    }
}

/// Longest time that the scheduler's writes took lately.
///
/// All times are readings of one monotonic clock.
#[derive(Clone, Copy, Debug, Default)]
pub struct CommitTimes {
    /// Start of the period that `current` covers.
    period_start: Duration,
    current: Duration,
    previous: Duration,
}

impl CommitTimes {
    /// Time after which a slow write no longer counts, at the earliest; at the latest after twice this
    /// time. A store that is slow for some seconds answers several writes within it.
    const PERIOD: Duration = Duration::from_secs(5);

    /// Records a write that was committed at `now` and took `elapsed`.
    pub fn record(&mut self, elapsed: Duration, now: Duration) {
        if now >= self.period_start + Self::PERIOD {
            let has_gap = now >= self.period_start + Self::PERIOD * 2;
            self.previous = if has_gap {
                Duration::ZERO
            } else {
                self.current
            };
            self.current = Duration::ZERO;
            self.period_start = now;
        }
        self.current = self.current.max(elapsed);
    }

    /// Returns the longest time that a write took lately.
    pub fn longest(&self) -> Duration {
        self.current.max(self.previous)
    }
}

/// Term of the scheduler, as known to the scheduler itself.
///
/// All times are readings of its monotonic clock.
#[derive(Clone, Copy, Debug)]
pub struct Term {
    settings: TermSettings,
    renewed_at: Duration,
}

impl Term {
    /// Starts a term with a successful write sent at `sent_at`.
    pub fn new(settings: TermSettings, sent_at: Duration) -> Self {
        Self {
            settings,
            renewed_at: sent_at,
        }
    }

    /// Records a successful write that was sent at `sent_at`.
    pub fn record_renewal(&mut self, sent_at: Duration) {
        self.renewed_at = self.renewed_at.max(sent_at);
    }

    /// Returns when the last successful write was sent.
    pub fn renewed_at(&self) -> Duration {
        self.renewed_at
    }

    /// Returns whether the term is still valid at `now`, so that orders may be sent.
    pub fn is_valid(&self, now: Duration) -> bool {
        now < self.renewed_at + self.settings.term
    }

    /// Returns when the next write is due.
    pub fn renewal_due(&self) -> Duration {
        self.renewed_at + self.settings.renewal_interval
    }

    /// Returns when the term ends.
    pub fn end(&self) -> Duration {
        self.renewed_at + self.settings.term
    }
}

/// Term of the scheduler, as known to an observer that reads the scheduler's row.
///
/// All times are readings of the observer's monotonic clock.
#[derive(Clone, Copy, Debug, Default)]
pub struct ObservedTerm {
    version: u64,
    first_seen: Duration,
    last_seen: Duration,
    /// Whether a read of the row has failed since the last one that was answered.
    read_failed: bool,
    /// Version of the row for which the scheduler was last given time to renew.
    grace_version: Option<u64>,
    /// Time before which the scheduler may still be renewing after an outage of the store.
    grace_until: Duration,
    /// Time, in place of the term's length, for which the row asks observers to wait; zero if it asks
    /// for none.
    requested_wait: Duration,
    released: bool,
}

impl ObservedTerm {
    /// Records that a read of the row failed, or was answered only after the outage threshold.
    pub fn record_read_failure(&mut self) {
        self.read_failed = true;
    }

    /// Records the row's version, read at `now`, and whether the scheduler has released the term. The
    /// version is known to have been written by `written_by`, which is `now` if nothing else is known.
    pub fn record_read(
        &mut self,
        settings: &TermSettings,
        version: u64,
        released: bool,
        written_by: Duration,
        now: Duration,
    ) {
        // Observers don't read the row while heartbeats tell its version, so a long time between two reads may
        // only mean that the scheduler runs and can't write. It is given time for that once a version.
        let may_be_outage = self.read_failed || self.grace_version != Some(version);
        if may_be_outage && now > self.last_seen + settings.outage_threshold {
            self.grace_until = now + settings.outage_grace;
            self.grace_version = Some(version);
        }
        self.read_failed = false;
        self.last_seen = now;
        if version != self.version || self.first_seen.is_zero() {
            self.version = version;
            self.first_seen = written_by;
        }
        self.released = released;
    }

    /// Sets the time, in place of the term's length, for which the row asks observers to wait.
    ///
    /// A shorter time than the term's length, or one longer than allowed, has no effect.
    pub fn set_requested_wait(&mut self, wait: Duration) {
        self.requested_wait = wait;
    }

    /// Returns whether an observer may try to take over.
    pub fn is_free(&self, settings: &TermSettings, now: Duration) -> bool {
        self.is_free_for(settings, Duration::ZERO, now)
    }

    /// Returns whether the term has been free for `delay`, so that an observer that leaves it to
    /// others for that long may try to take over.
    pub fn is_free_for(&self, settings: &TermSettings, delay: Duration, now: Duration) -> bool {
        if self.released {
            return now >= self.first_seen + delay;
        }
        let wait = self
            .requested_wait
            .clamp(settings.term, settings.max_observer_wait);
        let unchanged = now >= self.first_seen + wait + settings.margin + delay;
        unchanged && now >= self.grace_until
    }

    /// Returns a time by which the current version of the row was written: when it was first read, or
    /// earlier.
    pub fn first_seen(&self) -> Duration {
        self.first_seen
    }

    /// Returns the version of the row that a takeover must replace.
    pub fn version(&self) -> u64 {
        self.version
    }
}
