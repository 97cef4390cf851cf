//! Runs that fall behind, and the minions that slow them down.
//!
//! Answers a load in which some minions turn several times slower, or let tasks stand still, while
//! all that they report of themselves stays good. A minion most of whose runs are behind gets no
//! work for a while, then one task at a time until that keeps up. Its runs start elsewhere: as a
//! copy where the step allows one, otherwise after they were stopped, if that still pays.

use std::time::Duration;

use super::job::TaskRef;
use super::minion::MinionKey;
use super::note::{Note, StopReason};
use super::queue::StepRef;
use super::run::{Run, RunKey, RunPhase};
use super::scheduler::Scheduler;

/// Part of a run's expected time after which its progress is judged.
const MIN_EXPECTED_PROGRESS: f64 = 0.4;

/// Shortest time after which progress is judged, since times are rough.
const MIN_ELAPSED: Duration = Duration::from_millis(250);

/// Part of the usual progress below which a run is behind. Minions are compared with others of
/// their pool, since estimates may be far off.
const STRAGGLER_RATIO: f64 = 0.4;

/// The same for a run that is alone on its minion, which may just be an unusually long one.
const SINGLE_RUN_STRAGGLER_RATIO: f64 = 0.2;

/// Time for which a slow minion gets no work; it doubles each time that a trial fails.
const SLOW_BACKOFF: Duration = Duration::from_millis(2_500);
const MAX_SLOW_BACKOFF_DOUBLINGS: u32 = 2;

/// Times its expected time within which a run must end to show that its minion keeps up.
const ON_TIME_FACTOR: u32 = 2;

/// Age up to which a minion's speed counts for what is usual in its pool.
const SPEED_MAX_AGE: Duration = Duration::from_millis(3_000);

/// Minions whose speed must be known before one is told from the others.
const MIN_PEERS: usize = 3;

/// How much longer the rest of a run must take than a new one before the run is stopped.
const MIN_RESTART_GAIN: f64 = 1.5;

impl Scheduler {
    /// Judges a minion by the progress of its runs, just after it has listed them.
    pub(super) fn detect_stragglers(&mut self, key: MinionKey, now: Duration) {
        let measured = self.measured_runs(key, now);
        if measured.is_empty() {
            return;
        }
        let mean = measured.iter().map(|(_, speed)| speed).sum::<f64>() / measured.len() as f64;
        let Some(minion) = self.minions.get_mut(key) else {
            return;
        };
        minion.speed = Some((mean, now));
        let Some(usual) = self.median_pool_speed(key, now) else {
            return;
        };
        let ratio = if measured.len() == 1 {
            SINGLE_RUN_STRAGGLER_RATIO
        } else {
            STRAGGLER_RATIO
        };
        let limit = ratio * usual;
        let stragglers: Vec<RunKey> = measured
            .iter()
            .filter(|(_, speed)| *speed < limit)
            .map(|(run, _)| *run)
            .collect();
        if stragglers.len() * 2 <= measured.len() {
            return;
        }
        self.put_on_probation(key, mean, usual, now);
        for run in stragglers {
            self.replace_straggler(run, now);
        }
    }

    /// Gives a minion no work for a while, and then one task at a time.
    fn put_on_probation(&mut self, key: MinionKey, speed: f64, usual: f64, now: Duration) {
        let Some(minion) = self.minions.get_mut(key) else {
            return;
        };
        if now >= minion.slow_until {
            minion.times_slow += 1;
            self.notes.push(Note::MinionSlow {
                minion: minion.entry.id.clone(),
                speed,
                usual,
            });
        }
        let doublings = minion
            .times_slow
            .saturating_sub(1)
            .min(MAX_SLOW_BACKOFF_DOUBLINGS);
        minion.slow_until = now + SLOW_BACKOFF * 2_u32.pow(doublings);
        minion.on_trial = true;
    }

    /// Returns the median speed of the minions of a pool, at most the expected one; none if too
    /// few are known.
    fn median_pool_speed(&self, key: MinionKey, now: Duration) -> Option<f64> {
        let pool = &self.minions.get(key)?.entry.pool;
        let peers = self
            .minions
            .values()
            .filter(|peer| peer.entry.pool == *pool);
        let recent = peers.filter_map(|peer| {
            let (speed, measured_at) = peer.speed?;
            (now < measured_at + SPEED_MAX_AGE).then_some(speed)
        });
        let mut speeds: Vec<f64> = recent.collect();
        if speeds.len() < MIN_PEERS {
            return None;
        }
        speeds.sort_by(f64::total_cmp);
        Some(speeds[speeds.len() / 2].min(1.0))
    }

    /// Judges a minion on trial by a run that is done.
    pub(super) fn end_probation_if_on_time(&mut self, key: RunKey, now: Duration) {
        let Some(run) = self.runs.get(key) else {
            return;
        };
        let is_on_time = now.saturating_sub(run.since) <= run.expected * ON_TIME_FACTOR;
        if is_on_time && let Some(minion) = self.minions.get_mut(run.minion) {
            minion.on_trial = false;
            minion.times_slow = 0;
        }
    }

    /// Returns the runs that are old enough to be judged, with their speed: progress as a part of
    /// the expected one.
    fn measured_runs(&self, key: MinionKey, now: Duration) -> Vec<(RunKey, f64)> {
        let runs = self.minions.get(key).map(|minion| &minion.runs);
        let runs = runs.into_iter().flatten();
        let measured = runs.filter_map(|&key| {
            let run = self.runs.get(key)?;
            let spec = self.step_of(key)?;
            let is_short = !spec.long_running && !spec.best_effort;
            if run.phase != RunPhase::Live || !is_short || run.expected.is_zero() {
                return None;
            }
            let elapsed = now.saturating_sub(run.since);
            let expected = elapsed.as_secs_f64() / run.expected.as_secs_f64();
            if expected < MIN_EXPECTED_PROGRESS || elapsed < MIN_ELAPSED {
                return None;
            }
            Some((key, progress(run) / expected.min(1.0)))
        });
        measured.collect()
    }

    /// Lets the task of a run that is behind start elsewhere, if that pays.
    fn replace_straggler(&mut self, key: RunKey, now: Duration) {
        let Some(run) = self.runs.get(key) else {
            return;
        };
        let (step_ref, task) = (run.step(), run.at);
        let elapsed = now.saturating_sub(run.since);
        let remaining = remaining_time(run, elapsed);
        let Some(step) = self.step_of(key) else {
            return;
        };
        if step.gang {
            return;
        }
        if step.speculative {
            self.request_speculative_run(step_ref, task);
            return;
        }
        let restart_time = if step.checkpoints {
            run.expected.mul_f64(1.0 - progress(run))
        } else {
            run.expected
        };
        let stop_timeout = self.settings.stop_timeout;
        if remaining > (restart_time + stop_timeout).mul_f64(MIN_RESTART_GAIN) {
            self.stop_run(key, StopReason::Behind);
        }
    }

    /// Takes note that a second run of a task may start.
    fn request_speculative_run(&mut self, step_ref: StepRef, task: TaskRef) {
        let Some(job) = self.jobs.get(step_ref.job) else {
            return;
        };
        let has_single_run = job.task(task).is_some_and(|task| task.runs.len() == 1);
        if has_single_run {
            self.speculation_candidates.insert((step_ref, task.index));
        }
    }
}

/// Returns the part of a run's work that is done.
fn progress(run: &Run) -> f64 {
    f64::from(run.percent) / 100.0
}

/// Returns how long the rest of a run takes at its present speed.
fn remaining_time(run: &Run, elapsed: Duration) -> Duration {
    let done = progress(run).max(0.01);
    elapsed.mul_f64((1.0 - done) / done)
}
