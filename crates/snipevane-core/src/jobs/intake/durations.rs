//! Estimation of run times from completed tasks, since declared estimates are often far off.

use std::time::Duration;

use rustc_hash::FxHashMap;
use smol_str::SmolStr;

/// Weight of the latest run in the exponentially weighted moving average.
const EWMA_WEIGHT: f64 = 0.15;

/// Number of runs of an image from which its average is used.
const MIN_RUNS: u32 = 4;

/// Bounds to which the ratio of a run time to its estimate is clamped before it is learned.
const RATIO_BOUNDS: (f64, f64) = (0.05, 20.0);

#[derive(Clone, Copy, Debug)]
struct RatioAverage {
    ratio: f64,
    runs: u32,
}

/// Estimator of run times, which learns the ratio of run times to declared estimates by image.
#[derive(Clone, Debug, Default)]
pub(in crate::jobs) struct DurationEstimator {
    by_image: FxHashMap<SmolStr, RatioAverage>,
}

impl DurationEstimator {
    /// Learns from a completed task: its declared estimate and the time that it took.
    pub(in crate::jobs) fn learn(&mut self, image: &SmolStr, estimate: Duration, took: Duration) {
        if estimate.is_zero() {
            return;
        }
        let ratio = took.as_secs_f64() / estimate.as_secs_f64();
        let ratio = ratio.clamp(RATIO_BOUNDS.0, RATIO_BOUNDS.1);
        let average = self
            .by_image
            .entry(image.clone())
            .or_insert(RatioAverage { ratio, runs: 0 });
        average.runs = average.runs.saturating_add(1);
        average.ratio += (ratio - average.ratio) * EWMA_WEIGHT;
    }

    /// Returns the expected run time of a task with a declared estimate.
    pub(in crate::jobs) fn expected(&self, image: &SmolStr, estimate: Duration) -> Duration {
        let average = self.by_image.get(image);
        let trusted = average.filter(|average| average.runs >= MIN_RUNS);
        trusted.map_or(estimate, |average| estimate.mul_f64(average.ratio))
    }

    /// Returns whether the expected run times of an image are learned.
    pub(in crate::jobs) fn has_learned(&self, image: &SmolStr) -> bool {
        let average = self.by_image.get(image);
        average.is_some_and(|average| average.runs >= MIN_RUNS)
    }
}
