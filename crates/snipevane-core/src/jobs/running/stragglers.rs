//! Detection of stragglers, which are runs that progress too slowly, and of slow minions.
//!
//! Some minions become several times slower, or stop making progress, while everything that they
//! report about themselves stays good. A minion most of whose runs are stragglers gets no work for
//! a back-off period and is then on probation: it gets one short task at a time until one of them
//! is on time, or most minions of its pool are on probation. Its stragglers are started elsewhere: as speculative runs where the step allows them,
//! otherwise after they have been stopped, if a restart is still faster.

use std::time::Duration;

use crate::jobs::event::{SchedulerEvent, StopReason};
use crate::jobs::model::keys::{MinionKey, RunKey, StepRef, TaskRef};
use crate::jobs::model::run::{Run, RunPhase};
use crate::jobs::scheduler::Scheduler;

/// Fraction of a run's expected duration after which its progress is evaluated.
const MIN_EXPECTED_PROGRESS: f64 = 0.4;

/// Shortest run time after which progress is evaluated, since times are imprecise.
const MIN_ELAPSED: Duration = Duration::from_millis(250);

/// Ratio of a run's speed to the median of its pool below which the run is a straggler. Minions are
/// compared with others of their pool, since estimates may be far off.
const STRAGGLER_RATIO: f64 = 0.4;

/// The same ratio if only one run on the minion can be evaluated, which may just be an unusually
/// long one.
const SINGLE_RUN_STRAGGLER_RATIO: f64 = 0.2;

/// Back-off period for which a slow minion gets no work; it doubles each time that a probation
/// fails.
const SLOW_BACKOFF: Duration = Duration::from_millis(2_500);

/// Largest number of times that the back-off doubles.
const MAX_SLOW_BACKOFF_DOUBLINGS: u32 = 2;

/// Multiple of its expected duration within which a run must be done for its minion's probation to
/// end.
const ON_TIME_FACTOR: u32 = 2;

/// Age up to which a minion's speed counts for the median of its pool.
const SPEED_MAX_AGE: Duration = Duration::from_millis(3_000);

/// Number of minions of a pool whose speed must be known before any of them can count as slow.
const MIN_PEERS: usize = 3;

/// Factor by which the remaining time of a run must exceed the time to stop and restart it before
/// the run is stopped.
const MIN_RESTART_GAIN: f64 = 1.5;

impl Scheduler {
    /// Evaluates the progress of a minion's runs, just after it has listed them.
    ///
    /// If more than half of them are stragglers, the minion backs off and is put on probation, and
    /// the stragglers are started elsewhere.
    pub(in crate::jobs) fn detect_stragglers(&mut self, key: MinionKey, now: Duration) {
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

    /// Gives a minion no work for a back-off period, and puts it on probation afterwards.
    fn put_on_probation(&mut self, key: MinionKey, speed: f64, usual: f64, now: Duration) {
        let Some(minion) = self.minions.get_mut(key) else {
            return;
        };
        if now >= minion.slow_backoff_until {
            minion.slow_count += 1;
            self.events.push(SchedulerEvent::MinionSlow {
                minion: minion.entry.id.clone(),
                speed,
                usual,
            });
        }
        let doublings = minion
            .slow_count
            .saturating_sub(1)
            .min(MAX_SLOW_BACKOFF_DOUBLINGS);
        minion.slow_backoff_until = now + SLOW_BACKOFF * 2_u32.pow(doublings);
        minion.on_probation = true;
    }

    /// Returns the median speed of the minions in a minion's pool that aren't known to be slow, at most 1,
    /// which is the expected speed; `None` if too few speeds are known.
    fn median_pool_speed(&self, key: MinionKey, now: Duration) -> Option<f64> {
        let pool = &self.minions.get(key)?.entry.pool;
        let peers = self
            .minions
            .values()
            .filter(|peer| peer.entry.pool == *pool && !peer.on_probation);
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

    /// Ends the probation of a minion if a run that is done there was on time.
    pub(in crate::jobs) fn end_probation_if_on_time(&mut self, key: RunKey, now: Duration) {
        let Some(run) = self.runs.get(key) else {
            return;
        };
        let is_on_time = now.saturating_sub(run.since) <= run.expected_duration * ON_TIME_FACTOR;
        if is_on_time && let Some(minion) = self.minions.get_mut(run.minion) {
            minion.on_probation = false;
            minion.slow_count = 0;
        }
    }

    /// Returns the short runs of a minion that are old enough to be evaluated, with their speed: the
    /// ratio of actual to expected progress.
    fn measured_runs(&self, key: MinionKey, now: Duration) -> Vec<(RunKey, f64)> {
        let runs = self.minions.get(key).map(|minion| &minion.runs);
        let runs = runs.into_iter().flatten();
        let measured = runs.filter_map(|&key| {
            let run = self.runs.get(key)?;
            let spec = self.step_of(key)?;
            let is_short = !spec.long_running && !spec.best_effort;
            let began_cold = run.since < self.minions.get(run.minion)?.cold_until;
            if run.phase != RunPhase::Running || !is_short || run.expected_duration.is_zero() {
                return None;
            }
            let elapsed = now.saturating_sub(run.since);
            let expected = elapsed.as_secs_f64() / run.expected_duration.as_secs_f64();
            if began_cold || expected < MIN_EXPECTED_PROGRESS || elapsed < MIN_ELAPSED {
                return None;
            }
            Some((key, progress(run) / expected.min(1.0)))
        });
        measured.collect()
    }

    /// Starts the task of a straggler elsewhere, if that is allowed and faster. Gangs are left as
    /// they are.
    fn replace_straggler(&mut self, key: RunKey, now: Duration) {
        let Some(run) = self.runs.get(key) else {
            return;
        };
        let (step_ref, task) = (run.step(), run.task_ref);
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
            run.expected_duration.mul_f64(1.0 - progress(run))
        } else {
            run.expected_duration
        };
        let stop_timeout = self.settings.stop_timeout;
        if remaining > (restart_time + stop_timeout).mul_f64(MIN_RESTART_GAIN) {
            self.stop_run(key, StopReason::Straggler);
        }
    }

    /// Makes a task a candidate for a speculative run, if it has only one run.
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

/// Returns the fraction of a run's work that is done.
fn progress(run: &Run) -> f64 {
    f64::from(run.progress_percent) / 100.0
}

/// Returns how long the rest of a run takes at its average speed so far.
fn remaining_time(run: &Run, elapsed: Duration) -> Duration {
    let done = progress(run).max(0.01);
    elapsed.mul_f64((1.0 - done) / done)
}
