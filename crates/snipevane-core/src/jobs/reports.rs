//! Minions' lists of runs.

use std::time::Duration;

use rustc_hash::FxHashSet;
use smol_str::SmolStr;

use super::action::{Action, StopOrder};
use super::best_effort::FULL_CPU_SHARE;
use super::id::TaskId;
use super::job::{JobKey, TaskRef};
use super::minion::MinionKey;
use super::note::{Loss, StopReason};
use super::run::{ActiveRun, HoldReply, Refusal, Run, RunKey, RunList, RunPhase};
use super::scheduler::Scheduler;

/// Ends that a minion lists at most at a time.
const ENDS_PER_LIST: usize = 500;

/// Largest doubling of the pause after holds without an answer.
const MAX_HOLD_DOUBLINGS: u32 = 4;

impl Scheduler {
    /// Takes in what came of a hold that was sent at `asked_at`.
    pub fn hold_replied(
        &mut self,
        key: MinionKey,
        reply: HoldReply,
        asked_at: Duration,
        now: Duration,
        unix_ms: u64,
    ) {
        let Some(minion) = self.minions.get_mut(key) else {
            return;
        };
        minion.hold_in_flight = false;
        match reply {
            HoldReply::Listed(list) => {
                self.note_reached(key, true, now);
                let Some(minion) = self.minions.get_mut(key) else {
                    return;
                };
                minion.hold_failures = 0;
                minion.hold_not_before = now + self.settings.hold_interval;
                self.runs_listed(key, &list, asked_at, now, unix_ms);
            }
            HoldReply::Refused(Refusal::Fenced) => self.deposed = true,
            HoldReply::Refused(Refusal::OtherInstance) => {
                self.doubt(key);
                self.hold_failed(key, now);
                self.incarnation_gone(key);
            }
            HoldReply::Refused(_) | HoldReply::NoAnswer => {
                self.note_reached(key, false, now);
                self.doubt(key);
                self.hold_failed(key, now);
            }
        }
        self.drop_unlisted(key);
    }

    fn hold_failed(&mut self, key: MinionKey, now: Duration) {
        let Some(minion) = self.minions.get_mut(key) else {
            return;
        };
        let doublings = minion.hold_failures.min(MAX_HOLD_DOUBLINGS);
        minion.hold_failures += 1;
        minion.hold_not_before = now + self.settings.hold_retry_delay * 2_u32.pow(doublings);
    }

    fn runs_listed(
        &mut self,
        key: MinionKey,
        list: &RunList,
        asked_at: Duration,
        now: Duration,
        unix_ms: u64,
    ) {
        let alive = self.known_runs(key, &list.active);
        let Some(minion) = self.minions.get_mut(key) else {
            return;
        };
        match minion.born {
            Some(born) if list.born_unix_ms < born => return,
            Some(born) if list.born_unix_ms > born => {
                self.began_anew(key, list.born_unix_ms, asked_at, &alive);
            }
            Some(_) => {}
            None => minion.born = Some(list.born_unix_ms),
        }
        let Some(minion) = self.minions.get_mut(key) else {
            return;
        };
        minion.read_clock(list.clock_ms, now);
        minion.fence_raised = true;
        minion.suspect = false;
        minion.last_contact = Some(now);
        for ended in &list.ended {
            if ended.number > self.minions.get(key).map_or(0, |minion| minion.seen) {
                self.run_ended(key, ended, now, unix_ms);
                if let Some(minion) = self.minions.get_mut(key) {
                    minion.seen = ended.number;
                }
            }
        }
        for active in &list.active {
            self.run_listed(key, active, now);
        }
        self.detect_stragglers(key, now);
        self.adjust_cpu_shares(key, now);
        if list.ended.len() < ENDS_PER_LIST {
            self.end_missing_runs(key, &alive, asked_at);
        }
    }

    /// Returns the runs on the minion that the list names.
    fn known_runs(&self, key: MinionKey, active: &[ActiveRun]) -> FxHashSet<RunKey> {
        let known = active
            .iter()
            .filter_map(|run| self.find_run(key, run.task, run.attempt));
        known.collect()
    }

    /// Returns the run of a task's attempt on a minion.
    pub(super) fn find_run(&self, minion: MinionKey, task: TaskId, attempt: u32) -> Option<RunKey> {
        let (job, at) = self.find_task(task)?;
        let task = self.jobs.get(job)?.task(at)?;
        let mut runs = task.runs.iter().copied();
        runs.find(|&run| {
            let run = self.runs.get(run);
            run.is_some_and(|run| run.minion == minion && run.attempt == attempt)
        })
    }

    /// Returns the job and place of a task.
    pub(super) fn find_task(&self, task: TaskId) -> Option<(JobKey, TaskRef)> {
        let job = *self.job_ids.get(&task.step.job)?;
        let at = TaskRef {
            occurrence: task.step.occurrence,
            step: task.step.step,
            index: task.index,
        };
        Some((job, at))
    }

    fn run_listed(&mut self, key: MinionKey, active: &ActiveRun, now: Duration) {
        let Some(run) = self.find_run(key, active.task, active.attempt) else {
            self.adopt_run(key, active, now);
            return;
        };
        let Some(run) = self.runs.get_mut(run) else {
            return;
        };
        run.percent = active.percent;
        run.load = active.load;
        let (job, at) = (run.job, run.at);
        if run.phase == RunPhase::Ordered && !run.in_flight {
            run.phase = RunPhase::Live;
            run.since = now;
        }
        if !active.checkpoint.is_empty()
            && let Some(task) = self.jobs.get_mut(job).and_then(|job| job.task_mut(at))
        {
            task.checkpoint = active.checkpoint.clone();
        }
    }

    /// Takes over a run that an earlier term started; stops it if it isn't wanted.
    fn adopt_run(&mut self, key: MinionKey, active: &ActiveRun, now: Duration) {
        let Some((job, at)) = self.find_task(active.task) else {
            self.stop_unknown_run(key, active);
            return;
        };
        let spec = self.jobs[job].spec.clone();
        let known = self.jobs[job]
            .task(at)
            .and(spec.steps.get(at.step as usize));
        let Some(step) = known else {
            self.stop_unknown_run(key, active);
            return;
        };
        let run = self.runs.insert(Run {
            job,
            at,
            task: active.task,
            attempt: active.attempt,
            minion: key,
            booked: step.allocated_size(),
            size: step.size(),
            phase: RunPhase::Live,
            since: now,
            copies: 1,
            retry_at: Duration::ZERO,
            in_flight: false,
            checkpoint: SmolStr::default(),
            permit: SmolStr::default(),
            percent: active.percent,
            expected: self
                .durations
                .expected(spec.image_of(step), step.estimate()),
            load: active.load,
            pace: FULL_CPU_SHARE,
            pace_in_flight: false,
        });
        self.book(run);
        self.note_started(job);
        if !self.take_into_task(run, active, step.speculative) {
            self.stop_run(run, StopReason::Unwanted);
        }
    }

    /// Adds an adopted run to its task; returns whether the run is wanted.
    fn take_into_task(&mut self, key: RunKey, active: &ActiveRun, speculative: bool) -> bool {
        let (job, at) = (self.runs[key].job, self.runs[key].at);
        let job = &mut self.jobs[job];
        let is_final = job.state.is_final();
        let Some(step) = job.step_mut(at) else {
            return false;
        };
        step.gang_attempt = step.gang_attempt.max(active.attempt);
        let Some(task) = step.tasks.get_mut(at.index as usize) else {
            return false;
        };
        let was_waiting = task.runs.is_empty() && !task.done;
        let wanted = !is_final && !task.done && (was_waiting || speculative);
        task.runs.push(key);
        task.last_attempt = task.last_attempt.max(active.attempt);
        if !active.checkpoint.is_empty() {
            task.checkpoint = active.checkpoint.clone();
        }
        if was_waiting {
            step.waiting -= 1;
        }
        wanted
    }

    /// Stops a run of a job that isn't known any more.
    fn stop_unknown_run(&mut self, key: MinionKey, active: &ActiveRun) {
        let Some(to) = self.recipient(key) else {
            return;
        };
        let order = StopOrder {
            to,
            run: RunKey::default(),
            task: active.task,
            attempt: active.attempt,
        };
        self.actions.push(Action::Stop(order));
    }

    /// Ends runs that were there before the hold was sent and that the list doesn't name.
    fn end_missing_runs(&mut self, key: MinionKey, alive: &FxHashSet<RunKey>, asked_at: Duration) {
        let Some(minion) = self.minions.get(key) else {
            return;
        };
        let missing = minion.runs.iter().copied().filter(|key| {
            let Some(run) = self.runs.get(*key) else {
                return false;
            };
            let settled = matches!(run.phase, RunPhase::Live | RunPhase::Stopped);
            settled && !run.in_flight && run.since < asked_at && !alive.contains(key)
        });
        let missing: Vec<RunKey> = missing.collect();
        for run in missing {
            self.end_run(run, Loss::NotListed);
        }
    }
}
