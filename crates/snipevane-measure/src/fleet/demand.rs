//! Seeded demand: bursts in turn.

/// Length of the interval between two bursts of a queue, in seconds.
const INTERVAL_SECS: f64 = 50.0;

/// Length of a burst, in seconds.
const BURST_SECS: f64 = 10.0;

/// Demand within a burst and between bursts, as a multiple of the mean.
const IN_BURST: f64 = 5.0;
const BETWEEN: f64 = 0.05;

/// Returns the demand of queue `index` of `queues` at a time, as a multiple of its mean.
///
/// The queues burst in turn. The factor brings the mean over an interval to 1.
pub(super) fn burst(secs: f64, index: usize, queues: usize) -> f64 {
    let offset = INTERVAL_SECS * index as f64 / queues as f64;
    let bursting = (secs + offset) % INTERVAL_SECS < BURST_SECS;
    let mean = (IN_BURST * BURST_SECS + BETWEEN * (INTERVAL_SECS - BURST_SECS)) / INTERVAL_SECS;
    let level = if bursting { IN_BURST } else { BETWEEN };
    level / mean
}
