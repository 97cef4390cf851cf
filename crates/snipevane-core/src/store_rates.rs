//! Rates of the store, and how much of them the entry VMs may use for calls that each of them makes.

use std::time::Duration;

/// Share of the store's reads for one kind of periodic read, such as those of the scheduler's row. The rest is
/// for the scheduler, the configuration, callers and bursts.
const PERIODIC_READ_SHARE: f64 = 0.25;

/// Longest interval between periodic reads. Observers take a longer one for an outage of the store.
const MAX_READ_INTERVAL: Duration = Duration::from_millis(1_000);

/// Time over which a write of each VM is spread, as a multiple of the time that the store takes for them. The
/// renewals of a term, which wait behind these writes, find at least half of the time free.
const WRITE_SPREAD: f64 = 2.0;

/// Rates at which the store serves all entry VMs together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StoreRates {
    /// Number of reads a second.
    pub reads_per_s: f64,
    /// Number of transactions a second that one part of the store carries out, one after another.
    pub part_transactions_per_s: f64,
    /// Time that a transaction takes.
    pub transaction_time: Duration,
}

impl Default for StoreRates {
    fn default() -> Self {
        Self {
            reads_per_s: 2_000.0,
            part_transactions_per_s: 200.0,
            transaction_time: Duration::from_millis(5),
        }
    }
}

impl StoreRates {
    /// Returns the least interval between periodic reads of an entry VM, of which there are `vms`.
    pub fn min_read_interval(&self, vms: usize) -> Duration {
        let interval_s = vms as f64 / (self.reads_per_s * PERIODIC_READ_SHARE);
        bounded_secs(interval_s, MAX_READ_INTERVAL)
    }

    /// Returns the time over which a write that each of `vms` entry VMs makes at the same time is to be spread,
    /// at most `max`.
    pub fn write_spread(&self, vms: usize, max: Duration) -> Duration {
        let rate_limit_s = 1.0 / self.part_transactions_per_s;
        let transaction_s = self.transaction_time.as_secs_f64().max(rate_limit_s);
        bounded_secs(vms as f64 * transaction_s * WRITE_SPREAD, max)
    }
}

/// Returns a time in seconds as a duration; `max` if it is longer, infinite or unknown.
fn bounded_secs(secs: f64, max: Duration) -> Duration {
    Duration::try_from_secs_f64(secs).map_or(max, |time| time.min(max))
}
