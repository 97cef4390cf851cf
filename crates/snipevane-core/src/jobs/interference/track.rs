//! Tail latency of a latency-sensitive run, by periods in which its neighbours stayed the same.

use std::time::Duration;

use smol_str::SmolStr;

/// Time after a change of the neighbours for which figures aren't used. A figure covers the last 500 ms
/// and a CPU share takes 100 ms to take effect, so that the first figure shows four fifths of a change or
/// more. With 100 ms more, tasks that are throttled step by step would never be measured.
const SETTLE_TIME: Duration = Duration::from_millis(500);

/// Longest time between two periods that are compared. Over a longer one, the load of the run itself
/// changes by more than its neighbours add.
const MAX_GAP: Duration = Duration::from_secs(10);

/// Number of figures after which a period is compared without waiting for its end.
const ENOUGH_FIGURES: u32 = 3;

/// Number of figures over which the mean of a period runs, so that it follows the load of the run.
const MEAN_FIGURES: u32 = 8;

/// Noise of a figure that is assumed at first, as a fraction of the target.
const INITIAL_NOISE: f64 = 0.1;

/// Smallest noise of a figure that is assumed, as a fraction of the target: a minion that reports the same
/// low figure again and again isn't more credible than others.
const MIN_NOISE: f64 = 0.03;

/// Weight of the latest difference of two figures in the average that gives the noise.
const NOISE_WEIGHT: f64 = 0.1;

/// Change of a tail latency in a second that is put down to the load of the run itself, as a fraction
/// of the tail latency. With 0.05, jumps of the load by a fifth passed for changed effects.
const DRIFT_PER_SECOND: f64 = 0.15;

/// Neighbours of a run: what it shares its minion with.
#[derive(Clone, Debug, Default, PartialEq)]
pub(in crate::jobs) struct Neighbours {
    /// Sums of the CPU shares of best-effort images, in percent, by name.
    pub(in crate::jobs) shares: Vec<(SmolStr, u32)>,
    /// Number of best-effort runs.
    pub(in crate::jobs) best_effort: usize,
    /// Number of other latency-sensitive runs.
    pub(in crate::jobs) latency_sensitive: usize,
}

/// Change of a tail latency between two periods with different neighbours.
#[derive(Clone, Debug, PartialEq)]
pub(in crate::jobs) struct TailChange {
    /// Changes of the sums of CPU shares, by image; 1 is one full share.
    pub(in crate::jobs) shares: Vec<(SmolStr, f64)>,
    /// Change of the tail latency, in milliseconds.
    pub(in crate::jobs) tail_ms: f64,
    /// Variance of the change, in square milliseconds.
    pub(in crate::jobs) variance: f64,
}

#[derive(Clone, Debug)]
struct Period {
    neighbours: Neighbours,
    mean_ms: f64,
    figures: u32,
    first_at: Duration,
    last_at: Duration,
}

impl Period {
    fn new(neighbours: Neighbours) -> Self {
        Self {
            neighbours,
            mean_ms: 0.0,
            figures: 0,
            first_at: Duration::ZERO,
            last_at: Duration::ZERO,
        }
    }

    fn add(&mut self, tail_ms: f64, now: Duration) {
        if self.figures == 0 {
            self.first_at = now;
        }
        self.last_at = now;
        self.figures = (self.figures + 1).min(MEAN_FIGURES);
        self.mean_ms += (tail_ms - self.mean_ms) / f64::from(self.figures);
    }
}

/// Measurements of one latency-sensitive run.
#[derive(Clone, Debug)]
pub(in crate::jobs) struct Track {
    /// Variance of a figure, in square milliseconds.
    noise: f64,
    /// Smallest variance that is assumed, in square milliseconds.
    min_noise: f64,
    last_ms: Option<f64>,
    current: Period,
    settled_at: Duration,
    /// Last earlier period with figures, unless too much else has changed since.
    before: Option<Period>,
    compared: bool,
}

impl Track {
    /// Creates the measurements of a run that has just become ready.
    pub(in crate::jobs) fn new(target_ms: f64, neighbours: Neighbours, now: Duration) -> Self {
        Self {
            noise: (INITIAL_NOISE * target_ms).powi(2),
            min_noise: (MIN_NOISE * target_ms).powi(2),
            last_ms: None,
            current: Period::new(neighbours),
            settled_at: now + SETTLE_TIME,
            before: None,
            compared: false,
        }
    }

    /// Adds a figure, and returns the change of the tail latency once a period can be compared with the one
    /// before. The last best-effort run or CPU share took effect at `changed_at`.
    ///
    /// A change of other latency-sensitive neighbours makes the periods incomparable.
    pub(in crate::jobs) fn add(
        &mut self,
        tail_ms: f64,
        neighbours: Neighbours,
        changed_at: Duration,
        now: Duration,
    ) -> Option<TailChange> {
        let mut change = None;
        if neighbours != self.current.neighbours {
            // The time at which a run ended isn't known exactly.
            let has_ended = neighbours.best_effort < self.current.neighbours.best_effort;
            change = self.begin_period(neighbours);
            self.settled_at = SETTLE_TIME + if has_ended { now } else { changed_at };
        }
        if now < self.settled_at {
            return change;
        }
        if let Some(last) = self.last_ms.replace(tail_ms) {
            let difference = (tail_ms - last).powi(2) / 2.0;
            let noise = self.noise + (difference - self.noise) * NOISE_WEIGHT;
            self.noise = noise.max(self.min_noise);
        }
        self.current.add(tail_ms, now);
        if self.current.figures < ENOUGH_FIGURES {
            return change;
        }
        self.compare()
    }

    /// Begins a period, and returns the change of the tail latency in the one that ends, unless it was
    /// returned before.
    fn begin_period(&mut self, neighbours: Neighbours) -> Option<TailChange> {
        let change = self.compare();
        let is_comparable =
            neighbours.latency_sensitive == self.current.neighbours.latency_sensitive;
        let ended = std::mem::replace(&mut self.current, Period::new(neighbours));
        if ended.figures > 0 {
            self.before = Some(ended);
        }
        if !is_comparable {
            self.before = None;
        }
        self.last_ms = None;
        self.compared = false;
        change
    }

    /// Compares the present period with the one before, once.
    fn compare(&mut self) -> Option<TailChange> {
        let before = self.before.as_ref()?;
        if self.compared || self.current.figures == 0 {
            return None;
        }
        self.compared = true;
        let gap = self.current.first_at.saturating_sub(before.last_at);
        if gap > MAX_GAP {
            return None;
        }
        let level = before.mean_ms.max(self.current.mean_ms);
        let drift = (DRIFT_PER_SECOND * level).powi(2) * gap.as_secs_f64();
        let figures = |period: &Period| f64::from(period.figures.min(ENOUGH_FIGURES));
        let noise = self.noise / figures(before) + self.noise / figures(&self.current);
        Some(TailChange {
            shares: share_changes(&before.neighbours.shares, &self.current.neighbours.shares),
            tail_ms: self.current.mean_ms - before.mean_ms,
            variance: drift + noise,
        })
    }
}

/// Returns the changes of the CPU shares from one period to the next, by image; 1 is one full share.
fn share_changes(before: &[(SmolStr, u32)], after: &[(SmolStr, u32)]) -> Vec<(SmolStr, f64)> {
    let of = |shares: &[(SmolStr, u32)], image: &SmolStr| {
        let found = shares.iter().find(|(other, _)| other == image);
        found.map_or(0.0, |(_, percent)| f64::from(*percent) / 100.0)
    };
    let gone = before
        .iter()
        .filter(|(image, _)| !after.iter().any(|(other, _)| other == image));
    let images = after.iter().chain(gone).map(|(image, _)| image);
    let changes = images.map(|image| (image.clone(), of(after, image) - of(before, image)));
    changes.filter(|(_, change)| *change != 0.0).collect()
}
