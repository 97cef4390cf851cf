//! CPU shares of best-effort runs, by what is known of their effects.

use std::time::Duration;

use smol_str::SmolStr;

use super::effect::Effect;
use super::observation::LatencySensitiveRun;
use crate::jobs::model::keys::{MinionKey, RunKey};
use crate::jobs::model::run::RunPhase;
use crate::jobs::running::best_effort::{
    CPU_SHARE_STEP, FULL_CPU_SHARE, HIGH_TAIL_RATIO, MIN_CPU_SHARE, decrease_cpu_share,
};
use crate::jobs::scheduler::Scheduler;

/// Time for which a tail latency may stay high before all best-effort tasks are throttled, and faster.
///
/// Run lists come every 540 ms. All shares are then 0 after 2.2 s, so that together with the delays
/// of shares and figures no task is over its target for 4 s.
const ESCALATION_TIME: Duration = Duration::from_millis(1_000);

/// Factor by which all shares are divided once [`ESCALATION_TIME`] has passed.
const ESCALATION_DIVISOR: u32 = 4;

/// Ratio of tail latency to target that a decrease aims at, and up to which shares are raised.
const AIMED_TAIL_RATIO: f64 = 0.8;

/// Most of its share that an image keeps when it is throttled.
const MAX_KEPT_FRACTION: f64 = 0.5;

/// Effect that an unknown image may have, as a fraction of the target. It decides which of several
/// unknown images is throttled first: the one with the most shares.
const UNKNOWN_EFFECT_RATIO: f64 = 0.5;

/// Most by which the shares of an unknown image are raised at once, as a sum over its runs in percentage
/// points. With more, the tail latency turns high before the effect has been measured, and the shares
/// swing between 0 and too much.
const MAX_UNKNOWN_RAISE: u32 = 60;

/// Time until the run lists show a start in their tail latencies.
const MEASUREMENT_TIME: Duration = Duration::from_millis(1_100);

/// Best-effort run with its image and its CPU share in percent.
#[derive(Clone, Debug)]
struct BestEffortRun {
    key: RunKey,
    image: SmolStr,
    share: u32,
}

impl Scheduler {
    /// Returns the lower shares of those best-effort runs of a minion that are to be throttled, as its
    /// tail latency has been high for a time.
    ///
    /// The images that are kept apart from a task that is near its target come first, as far as they
    /// have to be throttled; without them the image that may disturb most. The others follow if that
    /// doesn't suffice in time.
    pub(in crate::jobs) fn decreased_shares(
        &self,
        minion: MinionKey,
        runs: &[(RunKey, u32)],
        high_for: Duration,
    ) -> Vec<(RunKey, u32)> {
        let halved = |&(run, share): &(RunKey, u32)| (run, decrease_cpu_share(share));
        if !self.settings.separates_interfering_tasks {
            return runs.iter().map(halved).collect();
        }
        if high_for >= ESCALATION_TIME {
            let lower = |share: u32| at_least_useful(share / ESCALATION_DIVISOR);
            return runs
                .iter()
                .map(|&(run, share)| (run, lower(share)))
                .collect();
        }
        let working = self.with_images(runs);
        let working: Vec<BestEffortRun> = working.into_iter().filter(|run| run.share > 0).collect();
        let mut disturbed = self.latency_sensitive_runs(minion);
        disturbed.retain(|run| run.tail_ms > HIGH_TAIL_RATIO * run.target_ms);
        let is_apart = |run: &&BestEffortRun| {
            let mut disturbed = disturbed.iter();
            disturbed.any(|task| self.interference.is_apart(&task.image, &run.image))
        };
        let culprits: Vec<&BestEffortRun> = working.iter().filter(is_apart).collect();
        if !culprits.is_empty() {
            let kept = self.kept_fraction(&disturbed, &culprits);
            let lower = |share: u32| at_least_useful((f64::from(share) * kept) as u32);
            let lowered = culprits.iter().map(|run| (run.key, lower(run.share)));
            return lowered.collect();
        }
        let Some(suspect) = self.prime_suspect(&disturbed, &working) else {
            return runs.iter().map(halved).collect();
        };
        let suspects = working.iter().filter(|run| run.image == suspect);
        suspects
            .map(|run| (run.key, decrease_cpu_share(run.share)))
            .collect()
    }

    /// Returns the fraction of their shares that images may keep so that the tail latencies come down.
    fn kept_fraction(&self, disturbed: &[LatencySensitiveRun], culprits: &[&BestEffortRun]) -> f64 {
        let kept = disturbed.iter().filter_map(|task| {
            let added = culprits.iter().filter_map(|run| {
                let effect = self.interference.effect(&task.image, &run.image)?;
                Some(effect.mean_ms().max(0.0) * f64::from(run.share) / f64::from(FULL_CPU_SHARE))
            });
            let added: f64 = added.sum();
            let excess = task.tail_ms - AIMED_TAIL_RATIO * task.target_ms;
            (added > 0.0).then(|| 1.0 - excess / added)
        });
        kept.fold(MAX_KEPT_FRACTION, f64::min).max(0.0)
    }

    /// Returns the image that may add most to the tail latency of these tasks; `None` if all images
    /// are known to be harmless.
    fn prime_suspect(
        &self,
        disturbed: &[LatencySensitiveRun],
        working: &[BestEffortRun],
    ) -> Option<SmolStr> {
        let may_add = |run: &BestEffortRun| {
            let effects = disturbed.iter().map(|task| {
                match self.interference.effect(&task.image, &run.image) {
                    Some(effect) if effect.is_harmless() => 0.0,
                    Some(effect) => effect.mean_ms().max(0.0) + effect.variance().sqrt(),
                    None => UNKNOWN_EFFECT_RATIO * task.target_ms,
                }
            });
            effects.fold(0.0, f64::max) * f64::from(run.share)
        };
        let mut added: Vec<(&SmolStr, f64)> = Vec::new();
        for run in working {
            let by_run = may_add(run);
            match added.iter_mut().find(|(image, _)| *image == &run.image) {
                Some((_, sum)) => *sum += by_run,
                None => added.push((&run.image, by_run)),
            }
        }
        let possible = added.into_iter().filter(|(_, sum)| *sum > 0.0);
        let worst = possible.max_by(|(image, sum), (other, other_sum)| {
            sum.total_cmp(other_sum).then_with(|| image.cmp(other))
        });
        worst.map(|(image, _)| image.clone())
    }

    /// Returns the higher shares of those best-effort runs of a minion that may be raised.
    ///
    /// Harmless images come first, and are raised unless the tail latency is high. Known effects must fit
    /// below the targets, and of the unknown images one is raised at a time, so that its effect shows.
    pub(in crate::jobs) fn raised_shares(
        &self,
        minion: MinionKey,
        runs: &[(RunKey, u32)],
        tail_is_low: bool,
    ) -> Vec<(RunKey, u32)> {
        let raised = |share: u32| (share + CPU_SHARE_STEP).min(FULL_CPU_SHARE);
        let tasks = self.latency_sensitive_runs(minion);
        if !self.settings.separates_interfering_tasks || tasks.is_empty() {
            let all = runs.iter().filter(|_| tail_is_low);
            return all.map(|&(run, share)| (run, raised(share))).collect();
        }
        let mut throttled = self.with_images(runs);
        throttled.retain(|run| run.share < FULL_CPU_SHARE);
        throttled.sort_by(|run, other| {
            let added = self.largest_mean(&tasks, &run.image);
            let other_added = self.largest_mean(&tasks, &other.image);
            added
                .total_cmp(&other_added)
                .then_with(|| run.image.cmp(&other.image))
                .then_with(|| (run.share, run.key).cmp(&(other.share, other.key)))
        });
        let mut added_ms = vec![0.0; tasks.len()];
        let mut unknown: Option<SmolStr> = None;
        let mut unknown_raise = 0;
        let mut shares = Vec::new();
        for run in throttled {
            if !tail_is_low && !self.is_harmless_to_all(&tasks, &run.image) {
                continue;
            }
            let is_known = tasks.iter().all(|task| {
                let effect = self.interference.effect(&task.image, &run.image);
                effect.is_some_and(Effect::is_known)
            });
            if !is_known && *unknown.get_or_insert_with(|| run.image.clone()) != run.image {
                continue;
            }
            let share = raised(run.share);
            if !is_known {
                unknown_raise += share - run.share;
                if unknown_raise > MAX_UNKNOWN_RAISE {
                    continue;
                }
            }
            let step = f64::from(share - run.share) / f64::from(FULL_CPU_SHARE);
            let adds = tasks.iter().map(|task| {
                let effect = self.interference.effect(&task.image, &run.image);
                effect.map_or(0.0, |effect| effect.mean_ms().max(0.0) * step)
            });
            let adds: Vec<f64> = adds.collect();
            let mut fitting = tasks.iter().zip(&added_ms).zip(&adds);
            let fits = fitting.all(|((task, added), adds)| {
                task.tail_ms + added + adds <= AIMED_TAIL_RATIO * task.target_ms || *adds == 0.0
            });
            if fits {
                for (sum, adds) in added_ms.iter_mut().zip(&adds) {
                    *sum += adds;
                }
                shares.push((run.key, share));
            }
        }
        shares
    }

    /// Returns the shares of a minion's best-effort runs for a short experiment: those of an image whose
    /// effect isn't known are set to 0.
    ///
    /// It is made where runs stay throttled although the tail latency isn't high, and shows which image
    /// has to be. A lower share puts no target at risk.
    pub(in crate::jobs) fn probing_shares(
        &self,
        minion: MinionKey,
        runs: &[(RunKey, u32)],
    ) -> Vec<(RunKey, u32)> {
        let tasks = self.latency_sensitive_runs(minion);
        let is_throttled = runs.iter().any(|(_, share)| *share < FULL_CPU_SHARE);
        if !self.settings.separates_interfering_tasks || tasks.is_empty() || !is_throttled {
            return Vec::new();
        }
        let mut working = self.with_images(runs);
        working.retain(|run| {
            let is_open = |task: &LatencySensitiveRun| {
                let effect = self.interference.effect(&task.image, &run.image);
                effect.is_none_or(|effect| !effect.is_apart() && !effect.is_harmless())
            };
            run.share > 0 && tasks.iter().any(is_open)
        });
        let Some(suspect) = self.prime_suspect(&tasks, &working) else {
            return Vec::new();
        };
        let suspects = working.iter().filter(|run| run.image == suspect);
        suspects.map(|run| (run.key, 0)).collect()
    }

    /// Returns the most throttled of these best-effort runs, with a share that is higher by the
    /// smallest useful one.
    ///
    /// It is tried where the known effects call for no raise although the tail latency is low: the
    /// effect may have ended, which doesn't show while the share stays.
    pub(in crate::jobs) fn trial_share(&self, runs: &[(RunKey, u32)]) -> Option<(RunKey, u32)> {
        let throttled = runs.iter().filter(|(_, share)| *share < FULL_CPU_SHARE);
        let lowest = throttled.min_by_key(|(run, share)| (*share, *run));
        lowest.map(|&(run, share)| (run, (share + MIN_CPU_SHARE).min(FULL_CPU_SHARE)))
    }

    /// Returns the CPU share with which a run that has just started leaves the tasks that its image is kept
    /// apart from under their targets, by their last figures.
    pub(in crate::jobs) fn initial_share(&self, key: RunKey, now: Duration) -> u32 {
        let Some(run) = self.runs.get(key) else {
            return FULL_CPU_SHARE;
        };
        let is_best_effort = self.step_of(key).is_some_and(|step| step.best_effort);
        if !is_best_effort || self.interference.pairs_apart().is_empty() {
            return FULL_CPU_SHARE;
        }
        let image = self.image_of_run(key);
        let fitting = self
            .latency_sensitive_runs(run.minion)
            .into_iter()
            .filter_map(|task| {
                let effect = self.interference.effect(&task.image, &image)?;
                let room = AIMED_TAIL_RATIO * task.target_ms - task.tail_ms;
                effect.is_apart().then(|| room.max(0.0) / effect.mean_ms())
            });
        let fitting = fitting.fold(f64::INFINITY, f64::min);
        if fitting.is_infinite() {
            return FULL_CPU_SHARE;
        }
        let fitting = fitting / f64::from(self.unmeasured_runs(run.minion, &image, now).max(1));
        let percent = (fitting * f64::from(FULL_CPU_SHARE)) as u32;
        at_least_useful(percent.min(FULL_CPU_SHARE))
    }

    /// Returns the number of runs of a best-effort image that have started too lately on a minion for its
    /// figures to show them.
    fn unmeasured_runs(&self, minion: MinionKey, image: &SmolStr, now: Duration) -> u32 {
        let runs = self.minions.get(minion).map(|minion| &minion.runs);
        let unmeasured = runs.into_iter().flatten().filter(|&&key| {
            let is_new = self.runs.get(key).is_some_and(|run| {
                run.phase == RunPhase::Starting || now < run.since + MEASUREMENT_TIME
            });
            is_new && self.image_of_run(key) == *image
        });
        unmeasured.count() as u32
    }

    fn with_images(&self, runs: &[(RunKey, u32)]) -> Vec<BestEffortRun> {
        let runs = runs.iter().map(|&(key, share)| BestEffortRun {
            key,
            image: self.image_of_run(key),
            share,
        });
        runs.collect()
    }

    fn largest_mean(&self, tasks: &[LatencySensitiveRun], image: &SmolStr) -> f64 {
        let effects = tasks.iter().filter_map(|task| {
            let effect = self.interference.effect(&task.image, image)?;
            Some(effect.mean_ms() / task.target_ms)
        });
        effects.fold(0.0, f64::max)
    }

    fn is_harmless_to_all(&self, tasks: &[LatencySensitiveRun], image: &SmolStr) -> bool {
        tasks.iter().all(|task| {
            let effect = self.interference.effect(&task.image, image);
            effect.is_some_and(Effect::is_harmless)
        })
    }
}

/// Returns a CPU share, or 0 if it is below the smallest useful one.
fn at_least_useful(share: u32) -> u32 {
    if share < MIN_CPU_SHARE { 0 } else { share }
}
