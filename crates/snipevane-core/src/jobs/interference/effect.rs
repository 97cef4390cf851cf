//! Estimate of the effect that a best-effort image has on a latency-sensitive one.

use crate::jobs::model::keys::MinionKey;
use std::time::Duration;

/// Standard deviation of an effect of which nothing is known, as a fraction of the target: a
/// neighbour that takes up half of the target is common, one that exceeds it is not.
const PRIOR_DEVIATION: f64 = 0.5;

/// Lower bound of the standard deviation, as a fraction of the target, so that an estimate of many
/// changes still follows new ones.
const MIN_DEVIATION: f64 = 0.03;

/// Time in which the variance of an effect grows by that of an unknown one. An effect of a third of
/// the target that was known well is open again after some 4 minutes, and counts as known for 50 s.
const FORGET_TIME: Duration = Duration::from_secs(600);

/// Effect from which an image counts as a disturbance, as a fraction of the target. Smaller ones fit
/// between the bounds at which tail latency is low and high.
const HARMFUL_RATIO: f64 = 0.1;

/// Standard deviation below which an effect counts as known, as a fraction of the target.
const KNOWN_DEVIATION: f64 = 0.15;

/// Confidence from which a pair is kept apart.
const APART_CONFIDENCE: f64 = 0.95;

/// Confidence below which a pair is no longer kept apart. The distance to [`APART_CONFIDENCE`] keeps
/// single figures from changing the decision.
const RELEASE_CONFIDENCE: f64 = 0.75;

/// Confidence below which a known effect counts as harmless.
const HARMLESS_CONFIDENCE: f64 = 0.25;

/// Number of changes after which a pair is kept apart although only one minion has shown it. Once a second
/// minion has shown changes, two must agree: a minion may be slow or report wrong figures.
const MIN_CHANGES_ON_ONE_MINION: u32 = 4;

/// Number of standard deviations from which a change counts as a surprise and is clipped.
const SURPRISE_DEVIATIONS: f64 = 3.0;

/// Number of surprises in a row on one minion after which the effect is learned anew. Two are enough if
/// they are of two minions.
const MAX_SURPRISES_ON_ONE_MINION: u32 = 4;

/// Number of changes from which an effect may count as known.
const MIN_KNOWN_CHANGES: u32 = 2;

/// Slope at which the logistic function approximates the normal distribution.
const LOGISTIC_SLOPE: f64 = 1.702;

/// Change of a tail latency that is put down to one image.
#[derive(Clone, Copy, Debug)]
pub(in crate::jobs) struct AttributedChange {
    /// Minion on which it was seen.
    pub(in crate::jobs) minion: MinionKey,
    /// Target of the latency-sensitive task, in milliseconds.
    pub(in crate::jobs) target_ms: f64,
    /// Change of the sum of the image's CPU shares; 1 is one full share.
    pub(in crate::jobs) shares: f64,
    /// Change of the tail latency, in milliseconds.
    pub(in crate::jobs) tail_ms: f64,
    /// Variance of the change of the tail latency, in square milliseconds.
    pub(in crate::jobs) variance: f64,
}

/// Estimated effect of an image at one full CPU share on the tail latency of another: the mean and
/// variance of a normal distribution.
#[derive(Clone, Debug)]
pub(in crate::jobs) struct Effect {
    /// Mean, in milliseconds.
    mean_ms: f64,
    /// Variance, in square milliseconds.
    variance: f64,
    /// Target of the latency-sensitive tasks when they were last measured, in milliseconds.
    target_ms: f64,
    /// Number of changes that it was learned from.
    changes: u32,
    /// First minion on which a change was seen.
    first_minion: MinionKey,
    /// Whether changes were seen on several minions.
    seen_on_several: bool,
    /// First minion on which a change showed that the image is harmful.
    first_witness: Option<MinionKey>,
    /// Whether several minions have shown that the image is harmful.
    has_several_witnesses: bool,
    /// Number of surprises in a row.
    surprises: u32,
    /// Minion of the last surprise.
    surprised_by: Option<MinionKey>,
    /// Time up to which the variance has grown with age.
    aged_at: Duration,
    /// Whether the pair is kept apart.
    apart: bool,
}

impl Effect {
    /// Creates an effect of which nothing is known.
    pub(in crate::jobs) fn unknown(target_ms: f64, minion: MinionKey, now: Duration) -> Self {
        Self {
            mean_ms: 0.0,
            variance: prior_variance(target_ms),
            target_ms,
            changes: 0,
            first_minion: minion,
            seen_on_several: false,
            first_witness: None,
            has_several_witnesses: false,
            surprises: 0,
            surprised_by: None,
            aged_at: now,
            apart: false,
        }
    }

    /// Learns from a change (Kalman filter of one state).
    ///
    /// A surprise counts only as far as [`SURPRISE_DEVIATIONS`], so that a wrong figure does little harm.
    /// Several in a row mean that the effect has changed: what was known is dropped. A neighbour never lowers
    /// a tail latency.
    pub(in crate::jobs) fn learn(&mut self, change: &AttributedChange, now: Duration) {
        self.target_ms = change.target_ms;
        self.age(now);
        let (shares, variance) = (change.shares, change.variance);
        let total = |of: f64| variance + of * shares * shares;
        let mut error = change.tail_ms - self.mean_ms * shares;
        let limit = SURPRISE_DEVIATIONS * total(self.variance).sqrt();
        if error.abs() <= limit {
            self.surprises = 0;
        } else if !self.counts_as_changed(change.minion) {
            error = error.clamp(-limit, limit);
        } else {
            *self = Self {
                apart: self.apart,
                ..Self::unknown(change.target_ms, change.minion, now)
            };
            error = change.tail_ms;
        }
        let gain = self.variance * shares / total(self.variance);
        self.mean_ms = (self.mean_ms + gain * error).max(0.0);
        let floor = (MIN_DEVIATION * self.target_ms).powi(2);
        self.variance = (self.variance * (1.0 - gain * shares)).max(floor);
        self.changes += 1;
        self.seen_on_several |= change.minion != self.first_minion;
        if self.is_harmful(change) {
            let first = *self.first_witness.get_or_insert(change.minion);
            self.has_several_witnesses |= change.minion != first;
        }
    }

    /// Counts a surprise, and returns whether there have been so many that the effect must have changed.
    fn counts_as_changed(&mut self, minion: MinionKey) -> bool {
        self.surprises += 1;
        let of_another = self.surprises > 1 && self.surprised_by != Some(minion);
        self.surprised_by = Some(minion);
        of_another || self.surprises >= MAX_SURPRISES_ON_ONE_MINION
    }

    /// Returns whether a change alone shows that the image is harmful, beyond the usual errors.
    fn is_harmful(&self, change: &AttributedChange) -> bool {
        let error = change.variance.sqrt() / change.shares.abs();
        change.tail_ms / change.shares > HARMFUL_RATIO * self.target_ms + error
    }

    /// Lets the variance grow with the time since it was last called.
    pub(in crate::jobs) fn age(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.aged_at);
        self.aged_at = self.aged_at.max(now);
        let prior = prior_variance(self.target_ms);
        let growth = prior * elapsed.as_secs_f64() / FORGET_TIME.as_secs_f64();
        self.variance = (self.variance + growth).min(prior);
    }

    /// Decides anew whether the pair is kept apart, and returns whether this has changed.
    pub(in crate::jobs) fn decide(&mut self) -> bool {
        let before = self.apart;
        let confidence = self.confidence();
        let has_evidence = if self.seen_on_several {
            self.has_several_witnesses
        } else {
            self.changes >= MIN_CHANGES_ON_ONE_MINION
        };
        self.apart = if before {
            confidence >= RELEASE_CONFIDENCE
        } else {
            confidence >= APART_CONFIDENCE && has_evidence
        };
        self.apart != before
    }

    /// Returns whether the pair is kept apart.
    pub(in crate::jobs) fn is_apart(&self) -> bool {
        self.apart
    }

    /// Returns the probability that the image is harmful at a full CPU share.
    pub(in crate::jobs) fn confidence(&self) -> f64 {
        let margin = self.mean_ms - HARMFUL_RATIO * self.target_ms;
        let deviations = margin / self.variance.sqrt();
        1.0 / (1.0 + (-LOGISTIC_SLOPE * deviations).exp())
    }

    /// Returns whether the effect is known well enough to subtract it from what others add.
    pub(in crate::jobs) fn is_known(&self) -> bool {
        self.changes >= MIN_KNOWN_CHANGES && self.variance.sqrt() < KNOWN_DEVIATION * self.target_ms
    }

    /// Returns whether the image is known to do no harm.
    pub(in crate::jobs) fn is_harmless(&self) -> bool {
        self.is_known() && self.confidence() < HARMLESS_CONFIDENCE
    }

    /// Returns the mean effect, in milliseconds.
    pub(in crate::jobs) fn mean_ms(&self) -> f64 {
        self.mean_ms
    }

    /// Returns the variance, in square milliseconds.
    pub(in crate::jobs) fn variance(&self) -> f64 {
        self.variance
    }

    /// Returns the target of the latency-sensitive tasks when they were last measured, in
    /// milliseconds.
    pub(in crate::jobs) fn target_ms(&self) -> f64 {
        self.target_ms
    }

    /// Returns the number of changes that it was learned from.
    pub(in crate::jobs) fn changes(&self) -> u32 {
        self.changes
    }

    /// Returns the time of the last change or decision.
    pub(in crate::jobs) fn aged_at(&self) -> Duration {
        self.aged_at
    }
}

fn prior_variance(target_ms: f64) -> f64 {
    (PRIOR_DEVIATION * target_ms).powi(2)
}
