//! Run lists that minions report in reply to holds.

use std::time::Duration;

use rustc_hash::FxHashSet;
use smol_str::SmolStr;

use super::best_effort::FULL_CPU_SHARE;
use super::transmissions::{Settled, Transmissions};
use crate::jobs::action::{Action, Recipient, StopOrder};
use crate::jobs::event::{LossReason, SchedulerEvent, StopReason};
use crate::jobs::minions::incarnations::ListOrigin;
use crate::jobs::minions::minion::{Minion, UnstoredEnd};
use crate::jobs::model::id::TaskId;
use crate::jobs::model::keys::{JobKey, MinionKey, RunKey, TaskRef};
use crate::jobs::model::run::{ActiveRun, EndedRun, HoldReply, Refusal, Run, RunList, RunPhase};
use crate::jobs::scheduler::Scheduler;

/// Maximum number of ends in one run list; a list of this length may be incomplete.
const ENDS_PER_LIST: usize = 500;

/// Maximum number of times that the retry delay of failed holds is doubled.
const MAX_HOLD_DOUBLINGS: u32 = 4;

impl Scheduler {
    /// Handles the reply to a hold that was sent at `asked_at`.
    ///
    /// `unix_ms` is the time of day in Unix milliseconds.
    pub fn hold_replied(
        &mut self,
        to: &Recipient,
        reply: HoldReply,
        asked_at: Duration,
        now: Duration,
        unix_ms: u64,
    ) {
        let key = to.minion;
        let Some(minion) = self.minions.get_mut(key) else {
            return;
        };
        let settled = minion.holds.settle(asked_at);
        if reply != HoldReply::NoAnswer {
            self.hold_answered(key, settled, asked_at);
        }
        match reply {
            HoldReply::Listed(list) => {
                self.set_reachable(key, true, now);
                self.delay_next_hold(key, settled, now);
                if self.process_run_list(to, &list, asked_at, now, unix_ms) {
                    self.record_contact(key, now);
                    self.record_sign_of_life(key, asked_at);
                }
            }
            HoldReply::Refused(Refusal::Fenced) => self.deposed = true,
            HoldReply::Refused(Refusal::WrongIncarnation) => {
                self.mark_suspect(key);
                self.back_off_hold(key, now);
                self.handle_other_incarnation(to);
            }
            HoldReply::NoAnswer if settled != Settled::Last => {}
            HoldReply::Refused(_) | HoldReply::NoAnswer => {
                self.set_reachable(key, false, now);
                self.mark_suspect(key);
                self.back_off_hold(key, now);
                self.watch_starts_on_silent_minion(key);
            }
        }
        self.remove_if_unlisted(key);
    }

    /// Records that a hold was answered.
    fn hold_answered(&mut self, key: MinionKey, settled: Settled, asked_at: Duration) {
        self.record_reply(key, asked_at);
        if settled == Settled::Superseded {
            return;
        }
        if let Some(minion) = self.minions.get_mut(key) {
            minion.holds.close();
        }
    }

    /// Delays the next hold of a minion that has listed its runs, so that ends accumulate.
    fn delay_next_hold(&mut self, key: MinionKey, settled: Settled, now: Duration) {
        let interval = self.settings.hold_interval.max(self.replies.time.mean(now));
        let Some(minion) = self.minions.get_mut(key) else {
            return;
        };
        minion.hold_failures = 0;
        if settled != Settled::Superseded {
            minion.hold_not_before = now + interval;
        }
    }

    /// Handles a reply to a hold that was reported as unanswered before.
    ///
    /// A late run list still tells which runs have ended, so that their tasks aren't started again.
    /// It may be as old as the hold, and the minion may have restarted since.
    pub fn hold_replied_late(
        &mut self,
        to: &Recipient,
        reply: HoldReply,
        asked_at: Duration,
        now: Duration,
        unix_ms: u64,
    ) {
        let key = to.minion;
        match reply {
            HoldReply::Listed(list) => {
                self.set_reachable(key, true, now);
                if self.process_run_list(to, &list, asked_at, now, unix_ms) {
                    self.record_contact(key, asked_at);
                    self.record_sign_of_life(key, asked_at);
                }
                self.remove_if_unlisted(key);
            }
            HoldReply::Refused(Refusal::Fenced) => self.deposed = true,
            HoldReply::Refused(_) | HoldReply::NoAnswer => {}
        }
    }

    /// Delays the next hold of a minion with exponential back-off.
    fn back_off_hold(&mut self, key: MinionKey, now: Duration) {
        let Some(minion) = self.minions.get_mut(key) else {
            return;
        };
        let doublings = minion.hold_failures.min(MAX_HOLD_DOUBLINGS);
        minion.hold_failures += 1;
        minion.hold_not_before = now + self.settings.hold_retry_delay * 2_u32.pow(doublings);
    }

    /// Applies a minion's run list: new ends first, then the active runs. Runs missing from a
    /// complete list are marked as lost.
    ///
    /// A list is ignored if it is older than the last one of the same incarnation. So is one of another
    /// incarnation that may be an earlier one; the minion is then asked again at once. Returns whether the list
    /// was applied.
    fn process_run_list(
        &mut self,
        to: &Recipient,
        list: &RunList,
        asked_at: Duration,
        now: Duration,
        unix_ms: u64,
    ) -> bool {
        let key = to.minion;
        let listed_runs = self.find_listed_runs(key, &list.active);
        let has_unknown_runs = self.has_unknown_tasks(&list.active);
        let Some(minion) = self.minions.get_mut(key) else {
            return false;
        };
        let start = list.started_unix_ms;
        let origin = minion.incarnations.origin_of(start, asked_at);
        match origin {
            ListOrigin::First => {
                minion.incarnations.record(start, now);
                let unreported = &self.unreported;
                let until = unreported.misread_until(start, self.settings.max_lease, now, unix_ms);
                minion.leases.extend(until);
                self.late_starts.minion_restarted(&to.id);
            }
            ListOrigin::Known if list.clock_ms < minion.list_clock_ms => return false,
            ListOrigin::Known => {}
            ListOrigin::Later => {
                let ended = self.find_ended_runs(key, &list.ended);
                let own_runs = listed_runs.union(&ended).copied().collect();
                self.handle_restart(key, start, asked_at, &own_runs, now);
                self.late_starts.minion_restarted(&to.id);
            }
            ListOrigin::Uncertain => {
                self.ignore_list(key, start);
                self.ask_for_runs(key, now);
                return false;
            }
        }
        let Some(minion) = self.minions.get_mut(key) else {
            return false;
        };
        minion.leases.set_may_be_misread(false);
        minion.leases.update_clock(list.clock_ms, now);
        minion.list_clock_ms = list.clock_ms;
        minion.incarnations.record_list(asked_at);
        minion.fence_accepted = true;
        minion.suspect = false;
        minion.listed_at = to.address.clone();
        minion.has_unknown_runs = has_unknown_runs;
        self.unreported.minions.remove(&minion.entry.id);
        if origin == ListOrigin::First {
            self.settle_undecided_trials();
        }
        for ended in &list.ended {
            self.process_end(key, ended, now, unix_ms);
        }
        self.record_listed_ends(key, &list.ended);
        self.drop_outlived_starts(key, asked_at);
        for active in &list.active {
            self.update_run(key, active, now);
        }
        self.detect_stragglers(key, now);
        self.observe_interference(key, now);
        self.adjust_cpu_shares(key, now);
        self.relocate_interfering_run(key, now);
        if list.ended.len() < ENDS_PER_LIST {
            self.mark_missing_runs_lost(key, &listed_runs, asked_at, now);
        }
        true
    }

    /// Records which ends a minion still lists, as they aren't acknowledged.
    fn record_listed_ends(&mut self, key: MinionKey, listed: &[EndedRun]) {
        let first = listed.iter().map(|ended| ended.number).min();
        if let Some(minion) = self.minions.get_mut(key) {
            minion.record_listed_ends(first);
        }
    }

    /// Reports that a run list is ignored, as its incarnation may be an earlier one.
    fn ignore_list(&mut self, key: MinionKey, start: u64) {
        let Some(minion) = self.minions.get(key) else {
            return;
        };
        self.events.push(SchedulerEvent::RunListIgnored {
            minion: minion.entry.id.clone(),
            listed: start,
            known: minion.incarnation().unwrap_or_default(),
        });
    }

    /// Records that a minion was running at `at`.
    fn record_contact(&mut self, key: MinionKey, at: Duration) {
        if let Some(minion) = self.minions.get_mut(key) {
            minion.last_contact = minion.last_contact.max(Some(at));
        }
    }

    /// Records that a minion has answered a call that was sent at `sent_at`.
    pub(in crate::jobs) fn record_sign_of_life(&mut self, key: MinionKey, sent_at: Duration) {
        if let Some(minion) = self.minions.get_mut(key) {
            minion.alive_at = minion.alive_at.max(Some(sent_at));
        }
    }

    /// Processes an end from a minion's run list, unless it was processed before.
    fn process_end(&mut self, key: MinionKey, ended: &EndedRun, now: Duration, unix_ms: u64) {
        let received = self.minions.get(key).map(|minion| minion.received_seq);
        if received.is_none_or(|received| ended.number <= received) {
            return;
        }
        self.run_ended(key, ended, now, unix_ms);
        let job = self.job_ids.get(&ended.task.step.job).copied();
        let dirty_job = job.filter(|&job| self.dirty.contains(job));
        let Some(minion) = self.minions.get_mut(key) else {
            return;
        };
        minion.received_seq = ended.number;
        minion
            .unstored_ends
            .extend(dirty_job.map(|job| UnstoredEnd {
                number: ended.number,
                job,
            }));
    }

    /// Returns the known runs of a minion that its run list contains as active.
    fn find_listed_runs(&self, key: MinionKey, active: &[ActiveRun]) -> FxHashSet<RunKey> {
        let known = active
            .iter()
            .filter_map(|run| self.find_run(key, run.task, run.attempt));
        known.collect()
    }

    /// Returns the known runs of a minion that its run list contains as ended.
    fn find_ended_runs(&self, key: MinionKey, ended: &[EndedRun]) -> FxHashSet<RunKey> {
        let known = ended
            .iter()
            .filter_map(|run| self.find_run(key, run.task, run.attempt));
        known.collect()
    }

    /// Returns whether any of these runs belongs to a task that the scheduler doesn't know.
    fn has_unknown_tasks(&self, active: &[ActiveRun]) -> bool {
        active.iter().any(|run| {
            let found = self.find_task(run.task);
            !found.is_some_and(|(job, task_ref)| {
                self.jobs.get(job).is_some_and(|job| job.has_task(task_ref))
            })
        })
    }

    /// Returns the run of an attempt of a task on a minion.
    pub(in crate::jobs) fn find_run(
        &self,
        minion: MinionKey,
        task: TaskId,
        attempt: u32,
    ) -> Option<RunKey> {
        let (job, task_ref) = self.find_task(task)?;
        let task = self.jobs.get(job)?.task(task_ref)?;
        let mut runs = task.runs.iter().copied();
        runs.find(|&run| {
            let run = self.runs.get(run);
            run.is_some_and(|run| run.minion == minion && run.attempt == attempt)
        })
    }

    /// Returns the job of a task and the task's position in it.
    pub(in crate::jobs) fn find_task(&self, task: TaskId) -> Option<(JobKey, TaskRef)> {
        let job = *self.job_ids.get(&task.step.job)?;
        let task_ref = TaskRef {
            occurrence: task.step.occurrence,
            step: task.step.step,
            index: task.index,
        };
        Some((job, task_ref))
    }

    /// Updates a run from its entry in the run list, or adopts it if it isn't known.
    fn update_run(&mut self, key: MinionKey, active: &ActiveRun, now: Duration) {
        let Some(run_key) = self.find_run(key, active.task, active.attempt) else {
            self.adopt_run(key, active, now);
            return;
        };
        let Some(run) = self.runs.get_mut(run_key) else {
            return;
        };
        run.progress_percent = active.progress_percent;
        run.load = active.load;
        let (job, task_ref) = (run.job, run.task_ref);
        self.record_begin(run_key, now);
        self.start_confirmed(run_key, now);
        self.drop_outlived_crashes(run_key, now);
        if let Some(job) = self.jobs.get_mut(job) {
            job.record_checkpoint(task_ref, &active.checkpoint);
        }
    }

    /// Adopts a run that an earlier term started, and stops it if it is no longer needed.
    fn adopt_run(&mut self, key: MinionKey, active: &ActiveRun, now: Duration) {
        let Some((job, task_ref)) = self.find_task(active.task) else {
            self.stop_unknown_run(key, active);
            return;
        };
        let spec = self.jobs[job].spec.clone();
        let is_known = self.jobs[job].has_task(task_ref);
        let known = spec.steps.get(task_ref.step as usize);
        let known = known.filter(|_| is_known);
        let Some(step) = known else {
            self.stop_unknown_run(key, active);
            return;
        };
        let run = self.runs.insert(Run {
            job,
            task_ref,
            task: active.task,
            attempt: active.attempt,
            minion: key,
            allocated: step.allocated_size(),
            size: step.size(),
            phase: RunPhase::Running,
            since: now,
            starts_sent: 1,
            first_sent_at: Some(now),
            sent_to: self.minions.get(key).and_then(Minion::incarnation),
            last_start_at: None,
            began_at: Some(now),
            on_trial: false,
            may_repeat_start: true,
            asked_at: None,
            unanswered: false,
            doubt: None,
            retry_at: Duration::ZERO,
            unanswered_starts: 0,
            transmissions: Transmissions::default(),
            checkpoint: SmolStr::default(),
            permit: SmolStr::default(),
            progress_percent: active.progress_percent,
            expected_duration: self
                .durations
                .expected(spec.image_of(step), step.estimate()),
            load: active.load,
            cpu_share: FULL_CPU_SHARE,
            cpu_share_in_flight: false,
            cpu_share_since: (!step.best_effort).then_some(now),
            throttled_since: None,
            unsent_stop: None,
        });
        self.allocate(run);
        self.mark_started(job);
        if !self.attach_run(run, active, step.speculative) {
            self.stop_run(run, StopReason::Orphaned);
        }
        self.begin_trial(run);
    }

    /// Adds an adopted run to its task, and returns whether the run is needed.
    ///
    /// It isn't if the job has ended, if the task has completed, or if the task has another run and
    /// its step isn't speculative.
    fn attach_run(&mut self, key: RunKey, active: &ActiveRun, speculative: bool) -> bool {
        let (job, task_ref) = (self.runs[key].job, self.runs[key].task_ref);
        let job = &mut self.jobs[job];
        let is_final = job.state.is_final();
        let is_done = job.is_task_done(task_ref);
        let was_waiting = job.add_run(task_ref, key);
        job.update_step(task_ref, |step| {
            step.gang_attempt = step.gang_attempt.max(active.attempt);
        });
        job.record_checkpoint(task_ref, &active.checkpoint);
        if let Some(task) = job.task_mut(task_ref) {
            task.last_attempt = task.last_attempt.max(active.attempt);
        }
        !is_final && !is_done && (was_waiting || speculative)
    }

    /// Stops a run whose task the scheduler doesn't know, such as one of a job that was dropped.
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
        self.events.push(SchedulerEvent::UnknownRunStopped {
            task: order.task,
            attempt: order.attempt,
            minion: order.to.id.clone(),
        });
        self.actions.push(Action::Stop(order));
    }

    /// Marks runs as lost that the list doesn't contain although they were confirmed before the
    /// hold was sent.
    fn mark_missing_runs_lost(
        &mut self,
        key: MinionKey,
        listed_runs: &FxHashSet<RunKey>,
        asked_at: Duration,
        now: Duration,
    ) {
        let Some(minion) = self.minions.get(key) else {
            return;
        };
        let missing = minion.runs.iter().copied().filter(|key| {
            let Some(run) = self.runs.get(*key) else {
                return false;
            };
            let settled = matches!(run.phase, RunPhase::Running | RunPhase::StopConfirmed);
            settled
                && !run.transmissions.is_outstanding()
                && run.since < asked_at
                && !listed_runs.contains(key)
        });
        let missing: Vec<RunKey> = missing.collect();
        // Runs that were ordered before a restart was noticed, and may have been new then, ended with the
        // former incarnation after all.
        let restarted_at = minion.restarted_at;
        let (crashed, missing): (Vec<RunKey>, Vec<RunKey>) =
            missing.into_iter().partition(|&key| {
                let run = self.runs.get(key);
                let first_sent_at = run.and_then(|run| run.first_sent_at);
                first_sent_at.is_some() && first_sent_at < restarted_at
            });
        self.record_end_of_former_incarnation(key, &crashed);
        self.end_runs_of_former_incarnation(&crashed, LossReason::NotListed, now);
        for run in missing {
            self.mark_run_lost(run, LossReason::NotListed);
        }
    }
}
