//! Effects of best-effort images on latency-sensitive ones, by pairs.

use std::time::Duration;

use rustc_hash::FxHashMap;
use smol_str::SmolStr;

use super::effect::{AttributedChange, Effect};
use super::track::{TailChange, Track};
use crate::jobs::event::SchedulerEvent;
use crate::jobs::model::id::TaskId;
use crate::jobs::model::keys::{MinionKey, RunKey};

/// Largest number of pairs that are kept; about 150 KB. The target scale has some 50 pools with a few
/// images each, of which pairs arise only within a pool.
const MAX_PAIRS: usize = 1_024;

/// Smallest change of the sum of an image's CPU shares that is learned from; smaller ones are lost in
/// the noise of the figures.
const MIN_SHARE_CHANGE: f64 = 0.1;

/// Interval at which what is known of the pairs ages.
const AGE_INTERVAL: Duration = Duration::from_secs(1);

/// Names of two images, of which the second may raise the tail latency of the first.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(in crate::jobs) struct Pair {
    /// Image of the latency-sensitive tasks.
    pub(in crate::jobs) latency_sensitive: SmolStr,
    /// Image of the best-effort tasks.
    pub(in crate::jobs) best_effort: SmolStr,
}

/// What a term has learned about interference, and the state of the measurements and relocations.
#[derive(Debug, Default)]
pub(in crate::jobs) struct Interference {
    effects: FxHashMap<Pair, Effect>,
    /// Pairs that are kept apart.
    apart: Vec<Pair>,
    aged_at: Duration,
    /// Measurements of the latency-sensitive runs.
    pub(super) tracks: FxHashMap<RunKey, Track>,
    /// Time before which a task isn't relocated again.
    pub(super) task_pauses: FxHashMap<TaskId, Duration>,
    /// Time before which no task of a minion is relocated.
    pub(super) minion_pauses: FxHashMap<MinionKey, Duration>,
}

impl Interference {
    /// Returns the known effect of a best-effort image on a latency-sensitive one.
    pub(in crate::jobs) fn effect(
        &self,
        latency_sensitive: &SmolStr,
        best_effort: &SmolStr,
    ) -> Option<&Effect> {
        self.effects.get(&pair(latency_sensitive, best_effort))
    }

    /// Returns the pairs that are kept apart.
    pub(in crate::jobs) fn pairs_apart(&self) -> &[Pair] {
        &self.apart
    }

    /// Returns whether two images are kept apart.
    pub(in crate::jobs) fn is_apart(
        &self,
        latency_sensitive: &SmolStr,
        best_effort: &SmolStr,
    ) -> bool {
        self.apart.iter().any(|pair| {
            pair.latency_sensitive == *latency_sensitive && pair.best_effort == *best_effort
        })
    }

    /// Learns from a change of the tail latency of a latency-sensitive image.
    ///
    /// A change is put down to one image: the only one whose effect isn't known yet, or the one whose
    /// shares changed most if all are known. The known effects of the others are subtracted. Nothing is
    /// learned if several unknown images changed at once.
    pub(in crate::jobs) fn learn(
        &mut self,
        latency_sensitive: &SmolStr,
        target_ms: f64,
        minion: MinionKey,
        change: &TailChange,
        now: Duration,
    ) -> Option<SchedulerEvent> {
        let effect = |image: &SmolStr| self.effect(latency_sensitive, image);
        let is_known = |image: &SmolStr| effect(image).is_some_and(Effect::is_known);
        let mut unknown = change.shares.iter().filter(|(image, _)| !is_known(image));
        let by_size =
            |one: &&(SmolStr, f64), other: &&(SmolStr, f64)| one.1.abs().total_cmp(&other.1.abs());
        let (image, shares) = match (unknown.next(), unknown.next()) {
            (Some(only), None) => only,
            (None, _) => change.shares.iter().max_by(by_size)?,
            (Some(_), Some(_)) => return None,
        };
        if shares.abs() < MIN_SHARE_CHANGE {
            return None;
        }
        let (mut tail_ms, mut variance) = (change.tail_ms, change.variance);
        for (other, shares) in change.shares.iter().filter(|(other, _)| other != image) {
            if let Some(effect) = effect(other) {
                tail_ms -= effect.mean_ms() * shares;
                variance += effect.variance() * shares * shares;
            }
        }
        let attributed = AttributedChange {
            minion,
            target_ms,
            shares: *shares,
            tail_ms,
            variance,
        };
        let pair = pair(latency_sensitive, image);
        if !self.effects.contains_key(&pair) {
            self.evict_oldest();
        }
        let unknown = || Effect::unknown(target_ms, minion, now);
        let effect = self.effects.entry(pair.clone()).or_insert_with(unknown);
        effect.learn(&attributed, now);
        effect.decide().then(|| self.pair_changed(&pair))
    }

    /// Lets what is known of the pairs age, and returns the pairs that are no longer kept apart.
    pub(in crate::jobs) fn age(&mut self, now: Duration) -> Vec<SchedulerEvent> {
        if self.apart.is_empty() || now < self.aged_at + AGE_INTERVAL {
            return Vec::new();
        }
        self.aged_at = now;
        let mut released = Vec::new();
        for pair in self.apart.clone() {
            let Some(effect) = self.effects.get_mut(&pair) else {
                continue;
            };
            effect.age(now);
            if effect.decide() {
                released.push(self.pair_changed(&pair));
            }
        }
        released
    }

    /// Updates the list of the pairs that are kept apart, and returns the event that tells of it.
    fn pair_changed(&mut self, pair: &Pair) -> SchedulerEvent {
        let effect = &self.effects[pair];
        self.apart.retain(|other| other != pair);
        if effect.is_apart() {
            self.apart.push(pair.clone());
        }
        SchedulerEvent::PairSeparation {
            latency_sensitive: pair.latency_sensitive.clone(),
            best_effort: pair.best_effort.clone(),
            apart: effect.is_apart(),
            added_ms: effect.mean_ms(),
            target_ms: effect.target_ms(),
            confidence: effect.confidence(),
            changes: effect.changes(),
            pairs_apart: self.apart.len(),
        }
    }

    /// Makes room for another pair by dropping the one that was updated longest ago.
    fn evict_oldest(&mut self) {
        if self.effects.len() < MAX_PAIRS {
            return;
        }
        let by_age = |(_, effect): &(&Pair, &Effect)| effect.aged_at();
        let oldest = self.effects.iter().min_by_key(by_age);
        if let Some(oldest) = oldest.map(|(pair, _)| pair.clone()) {
            self.effects.remove(&oldest);
            self.apart.retain(|pair| *pair != oldest);
        }
    }
}

fn pair(latency_sensitive: &SmolStr, best_effort: &SmolStr) -> Pair {
    Pair {
        latency_sensitive: latency_sensitive.clone(),
        best_effort: best_effort.clone(),
    }
}
