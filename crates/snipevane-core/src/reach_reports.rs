//! Pacing of the reports with which entry VMs tell the store that they get no heartbeats of a term.
//!
//! The load: a holder that is slow or cut off, so that hundreds of entry VMs find out within a moment that they don't
//! hear it. Its renewals wait in the store behind their reports. 300 of them take 1.5 s, longer than a term lasts, and
//! the next holder would be unheard for the same reason.

use std::time::Duration;

/// Largest number of times that the delay of a repeat is doubled.
const MAX_DOUBLINGS: u32 = 8;

/// Share of the transactions of the store's part for the reports of all entry VMs together.
const RATE_SHARE: f64 = 0.25;

/// Settings of [`ReportPacing`].
#[derive(Clone, Copy, Debug)]
pub struct ReportSettings {
    /// Least time between two reports of an entry VM.
    pub min_interval: Duration,
    /// Number of reports that all entry VMs together send per second.
    pub max_reports_per_s: f64,
    /// Shortest time after which a report that wasn't stored is repeated. It doubles with each further one.
    pub retry_delay: Duration,
    /// Longest time after which a report that wasn't stored is repeated.
    pub max_retry_delay: Duration,
}

impl ReportSettings {
    /// Creates settings for a store that carries out this many transactions of one part per second.
    pub fn for_rate(part_transactions_per_s: f64) -> Self {
        Self {
            max_reports_per_s: part_transactions_per_s * RATE_SHARE,
            ..Self::default()
        }
    }

    /// Returns the time between two reports of an entry VM that is one of `vms`.
    pub fn interval(&self, vms: usize) -> Duration {
        self.spread(vms).max(self.min_interval)
    }

    /// Returns the time over which the first reports of all entry VMs are spread.
    fn spread(&self, vms: usize) -> Duration {
        Duration::from_secs_f64(vms as f64 / self.max_reports_per_s)
    }
}

impl Default for ReportSettings {
    fn default() -> Self {
        Self {
            min_interval: Duration::from_millis(1_500),
            max_reports_per_s: 50.0,
            retry_delay: Duration::from_millis(500),
            max_retry_delay: Duration::from_secs(4),
        }
    }
}

/// Decides when an entry VM reports that it gets no heartbeats of a term.
///
/// All times are readings of one monotonic clock.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReportPacing {
    settings: ReportSettings,
    /// Fencing token of the unheard term, and the time of its next report.
    next: Option<(u64, Duration)>,
    /// Number of reports in a row that weren't stored.
    failures: u32,
}

impl ReportPacing {
    /// Creates the pacing of an entry VM that hears the scheduler.
    pub fn new(settings: ReportSettings) -> Self {
        Self {
            settings,
            next: None,
            failures: 0,
        }
    }

    /// Returns whether a report is due on a term; `unheard` is the fencing token of the term that isn't heard, `vms`
    /// the number of entry VMs, and `random` a number from 0 to 1.
    pub fn is_due(&mut self, unheard: Option<u64>, vms: usize, random: f64, now: Duration) -> bool {
        let Some(fence) = unheard else {
            self.next = None;
            self.failures = 0;
            return false;
        };
        let planned = self.next.filter(|(planned, _)| *planned == fence);
        let first = || (fence, now + self.settings.spread(vms).mul_f64(random));
        let (_, at) = *self.next.insert(planned.unwrap_or_else(first));
        now >= at
    }

    /// Records that the store has taken a report of an entry VM that is one of `vms`.
    pub fn record_stored(&mut self, vms: usize, now: Duration) {
        self.failures = 0;
        self.postpone(now + self.settings.interval(vms));
    }

    /// Records that a report wasn't stored, or that its outcome is unknown; `random` is a number from 0 to 1.
    pub fn record_failed(&mut self, vms: usize, random: f64, now: Duration) {
        let doublings = self.failures.min(MAX_DOUBLINGS);
        self.failures += 1;
        let delay = self.settings.retry_delay * (1 << doublings);
        let delay = delay.min(self.settings.max_retry_delay);
        let delay = delay.max(self.settings.interval(vms));
        self.postpone(now + delay.mul_f64(1.0 + random));
    }

    fn postpone(&mut self, to: Duration) {
        if let Some((_, at)) = &mut self.next {
            *at = to;
        }
    }
}
