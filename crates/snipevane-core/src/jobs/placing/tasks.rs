//! Placement of a step's waiting tasks on minions.
//!
//! Tasks are packed: each goes to the minion with the
//! least free CPU that still has room for it (best fit). Long-running tasks are spread instead.

use std::time::Duration;

use super::candidates::Candidates;
use super::trial_waits::{Admission, starts_beside_others};
use crate::jobs::event::SchedulerEvent;
use crate::jobs::minions::minion::Minion;
use crate::jobs::model::job::Job;
use crate::jobs::model::keys::{JobKey, MinionKey, StepRef, TaskRef};
use crate::jobs::model::run::{Run, RunPhase};
use crate::jobs::model::spec::StepSpec;
use crate::jobs::model::step::Step;
use crate::jobs::model::task::Task;
use crate::jobs::running::best_effort::FULL_CPU_SHARE;
use crate::jobs::running::transmissions::Transmissions;
use crate::jobs::scheduler::Scheduler;

/// Number of minions that were lost with a task from which on each of its starts is reported.
const REPORTED_LOSSES: usize = 3;

impl Scheduler {
    /// Places a step's waiting tasks and reports how many were placed; returns whether any was.
    pub(in crate::jobs) fn place_step(
        &mut self,
        step_ref: StepRef,
        candidates: Candidates<'_>,
        has_unreported_runs: bool,
        now: Duration,
    ) -> bool {
        let before = self.waiting_count(step_ref);
        self.place_step_tasks(step_ref, candidates, has_unreported_runs, now);
        let waiting = self.waiting_count(step_ref);
        let Some(job) = self.jobs.get(step_ref.job).filter(|_| waiting < before) else {
            return false;
        };
        self.events.push(SchedulerEvent::TasksPlaced {
            step: job.task_id(first_task_ref(step_ref)).step,
            tasks: before - waiting,
            waiting,
            age: now.saturating_sub(job.accepted_at),
        });
        true
    }

    /// Returns the number of tasks of a step that neither run nor are done.
    pub(in crate::jobs) fn waiting_count(&self, step_ref: StepRef) -> u32 {
        let job = self.jobs.get(step_ref.job);
        let step = job.and_then(|job| job.step(first_task_ref(step_ref)));
        step.map_or(0, Step::waiting)
    }

    fn place_step_tasks(
        &mut self,
        step_ref: StepRef,
        candidates: Candidates<'_>,
        has_unreported_runs: bool,
        now: Duration,
    ) {
        let Some(job) = self.jobs.get(step_ref.job) else {
            return;
        };
        let spec = job.spec.clone();
        let Some(step) = spec.steps.get(step_ref.step as usize) else {
            return;
        };
        // Tasks of an adopted job may still run on minions that haven't reported to this term. Only
        // tasks of speculative steps may have a second run.
        let may_run_twice = step.speculative && !self.has_earlier_trials(step_ref);
        if job.adopted && has_unreported_runs && !may_run_twice {
            return;
        }
        self.settle_earlier_trials(step_ref);
        let Some(advisor_settings) = self.advisor_settings(step_ref.job) else {
            self.place_tasks(step_ref, step, candidates, now);
            return;
        };
        let permitted_minions = candidates.minions.iter().copied();
        let permitted_minions =
            permitted_minions.filter(|&key| self.permit(step_ref, key, now).is_some());
        let permitted_minions: Vec<MinionKey> = permitted_minions.collect();
        self.place_tasks(step_ref, step, candidates.with(&permitted_minions), now);
        if !candidates.are_spare && self.next_startable_task(step_ref, 0, now).is_some() {
            self.ask_advisor(step_ref, step, advisor_settings, candidates.minions, now);
        }
    }

    /// Places as many of a step's waiting tasks as the given minions have room for.
    fn place_tasks(
        &mut self,
        step_ref: StepRef,
        step: &StepSpec,
        candidates: Candidates<'_>,
        now: Duration,
    ) {
        if step.gang {
            self.place_gang(step_ref, step, candidates, now);
            return;
        }
        let Some(team) = self.jobs.get(step_ref.job).map(|job| job.spec.team.clone()) else {
            return;
        };
        let has_advisor = self.advisor_settings(step_ref.job).is_some();
        let mut from = 0;
        while let Some(index) = self.next_startable_task(step_ref, from, now) {
            from = index + 1;
            if !self.may_place_more() || !self.is_within_quota(team.as_deref(), step, 1) {
                return;
            }
            let task = TaskRef {
                index,
                ..first_task_ref(step_ref)
            };
            let is_suspect = self.is_suspect_task(step_ref.job, task);
            let may_know = !is_suspect && !candidates.are_spare && !has_advisor;
            if may_know && self.is_known_to_find_no_room(step_ref.job, step) {
                return;
            }
            if let Some(minion) = self.choose_minion(task, step_ref, step, candidates, now) {
                self.start_run(step_ref, task, step, minion, None, now);
            } else if is_suspect {
                self.wait_for_trial(step_ref, task, now);
            } else {
                if may_know {
                    self.full_pools.record(step_ref.job, step);
                }
                return;
            }
        }
    }

    /// Returns whether an untried task of a step certainly finds no minion in the present round.
    fn is_known_to_find_no_room(&self, key: JobKey, step: &StepSpec) -> bool {
        let job = self.jobs.get(key);
        let room = job.and_then(|job| self.full_pools.room_in(&job.spec.pool));
        !room.is_some_and(|room| room.may_fit(step)) || self.full_pools.contains(key, step)
    }

    /// Returns the first waiting task of a step from the index `from` on that may be started now.
    pub(in crate::jobs) fn next_startable_task(
        &self,
        step_ref: StepRef,
        from: u32,
        now: Duration,
    ) -> Option<u32> {
        let job = self.jobs.get(step_ref.job)?;
        let step = job.step(first_task_ref(step_ref))?;
        let is_long_running = job.spec.steps[step_ref.step as usize].long_running;
        let retries_only = !is_long_running && !job.may_begin_tasks();
        step.next_startable(from, retries_only, |task| may_retry(job, task, now))
    }

    /// Returns the number of waiting tasks of a step that may be started now.
    pub(in crate::jobs) fn startable_count(&self, step_ref: StepRef, now: Duration) -> u32 {
        let job = self.jobs.get(step_ref.job);
        let step = job.and_then(|job| Some((job, job.step(first_task_ref(step_ref))?)));
        step.map_or(0, |(job, step)| {
            step.startable_count(|task| may_retry(job, task, now))
        })
    }

    /// Returns whether `tasks` more tasks of a step fit in a team's quota.
    ///
    /// Unreported runs of earlier terms count as well. A quota of 0 means no limit.
    pub(in crate::jobs) fn is_within_quota(
        &self,
        team: Option<&str>,
        step: &StepSpec,
        tasks: u64,
    ) -> bool {
        let Some(team) = team else {
            return true;
        };
        let Some(quota) = self.site.team(team).map(|team| team.quota) else {
            return true;
        };
        let known = self.usage.get(team).copied().unwrap_or_default();
        let unreported = self.unreported_usage.get(team).copied().unwrap_or_default();
        let usage = known.plus(&unreported).plus(&step.size().times(tasks));
        let within = |used: u64, quota: u64| quota == 0 || used <= quota;
        within(usage.cpu_millis, quota.cpu_millis)
            && within(usage.memory_mib, quota.memory_mib)
            && within(usage.accelerators, quota.accelerators)
    }

    /// Chooses the minion for a task.
    ///
    /// The minion on which the task failed last is chosen only if no other one fits, a cold minion only
    /// if no warm one fits, one with a neighbour that the task is kept apart from only if no other one
    /// fits, and the rack of the task's data is preferred. Long-running tasks are spread over racks and minions, so
    /// that few are unavailable at a time. Other tasks go to the minion with the least free CPU
    /// that has room, so that large tasks find room elsewhere. Tasks on trial
    /// go to the minion with the fewest fresh runs.
    pub(in crate::jobs) fn choose_minion(
        &self,
        task: TaskRef,
        step_ref: StepRef,
        step: &StepSpec,
        candidates: Candidates<'_>,
        now: Duration,
    ) -> Option<MinionKey> {
        let size = step.allocated_size();
        let job = self.jobs.get(step_ref.job)?;
        let task = job.task(task)?;
        let failed_on = task.failed_on.clone();
        let admission = self.admission_of(task, candidates, now);
        let is_on_trial = admission != Admission::Beside;
        let may_take_minion = admission != Admission::Wait;
        let bad_neighbours = self.bad_neighbours_of(&job.spec, step);
        let failure_threshold = self.settings.failure_threshold;
        let fits = candidates.minions.iter().copied().filter(|&key| {
            let minion = &self.minions[key];
            let is_limited = !step.long_running && self.probation.limits(minion, failure_threshold);
            size.fits_in(&minion.free_capacity())
                && minion.trial_allows(step_ref.job, may_take_minion)
                && !(is_on_trial && self.has_trial_of_other_job(key, step_ref.job))
                && has_label(minion, step)
                && (!step.best_effort || self.accepts_best_effort_tasks(key))
                && !(is_limited && self.has_short_tasks(key))
                && step
                    .max_per_minion
                    .is_none_or(|limit| self.step_tasks_on_minion(step_ref, key) < limit)
        });
        let score = |key: &MinionKey| {
            let minion = &self.minions[*key];
            let failed_here = failed_on.as_ref() == Some(&minion.entry.id);
            let cold = minion.is_cold(now);
            let leaves_soon = step.long_running && minion.awaits_maintenance;
            let disturbs = self.has_bad_neighbour(*key, &bad_neighbours, step);
            let off_data_rack = step
                .data_rack
                .as_ref()
                .is_some_and(|rack| *rack != minion.entry.rack);
            let room = minion.free_capacity().cpu_millis;
            if is_on_trial {
                let fresh_runs = self.fresh_run_count(*key) as u32;
                (
                    failed_here,
                    cold,
                    leaves_soon,
                    disturbs,
                    off_data_rack,
                    fresh_runs,
                    u64::MAX - room,
                )
            } else if step.long_running {
                let tasks_on_rack = self.step_tasks_on_rack(job, step_ref, &minion.entry.rack);
                (
                    failed_here,
                    cold,
                    leaves_soon,
                    disturbs,
                    off_data_rack,
                    tasks_on_rack,
                    u64::MAX - room,
                )
            } else {
                (
                    failed_here,
                    cold,
                    leaves_soon,
                    disturbs,
                    off_data_rack,
                    0_u32,
                    room,
                )
            }
        };
        fits.min_by_key(score)
    }

    pub(in crate::jobs) fn step_tasks_on_minion(
        &self,
        step_ref: StepRef,
        minion: MinionKey,
    ) -> u32 {
        let Some(minion) = self.minions.get(minion) else {
            return 0;
        };
        let runs = minion.runs.iter().filter_map(|&run| self.runs.get(run));
        let same = runs.filter(|run| {
            run.job == step_ref.job
                && run.task_ref.occurrence == step_ref.occurrence
                && run.task_ref.step == step_ref.step
        });
        same.count() as u32
    }

    fn step_tasks_on_rack(&self, job: &Job, step_ref: StepRef, rack: &str) -> u32 {
        let Some(step) = job.step(first_task_ref(step_ref)) else {
            return 0;
        };
        let runs = step.records().flat_map(|(_, task)| &task.runs);
        let runs = runs.filter_map(|&run| self.runs.get(run));
        let on_rack = runs.filter(|run| {
            let minion = self.minions.get(run.minion);
            minion.is_some_and(|minion| minion.entry.rack == rack)
        });
        on_rack.count() as u32
    }

    /// Creates a run of a task and allocates its resources on a minion; the start order is sent
    /// with the next orders.
    pub(in crate::jobs) fn start_run(
        &mut self,
        step_ref: StepRef,
        task: TaskRef,
        step: &StepSpec,
        minion: MinionKey,
        gang_attempt: Option<u32>,
        now: Duration,
    ) {
        let permit = self.permit(step_ref, minion, now).unwrap_or_default();
        let minion_id = self.minion_id(minion);
        let Some(job) = self.jobs.get_mut(step_ref.job) else {
            return;
        };
        let image = job.spec.image_of(step);
        let expected = self.durations.expected(image, step.estimate());
        let id = job.task_id(task);
        let checkpoint = job
            .step(task)
            .map(|step| step.checkpoint_of(task.index))
            .unwrap_or_default();
        let Some(task_state) = job.task_mut(task) else {
            return;
        };
        let is_on_trial = !starts_beside_others(task_state, now);
        let attempt = gang_attempt.unwrap_or(task_state.last_attempt + 1);
        if task_state.crashes.lost_minions() >= REPORTED_LOSSES {
            self.events.push(SchedulerEvent::PlacedAfterCrashes {
                task: id,
                attempt,
                minion: minion_id,
                evidence: task_state.crashes.evidence(),
                undecided: task_state.crashes.undecided().len(),
                of_earlier_terms: task_state.crashes.lost_in_earlier_terms(),
            });
        }
        task_state.last_attempt = task_state.last_attempt.max(attempt);
        let run = self.runs.insert(Run {
            job: step_ref.job,
            task_ref: task,
            task: id,
            attempt,
            minion,
            allocated: step.allocated_size(),
            size: step.size(),
            phase: RunPhase::Starting,
            since: now,
            starts_sent: 0,
            first_sent_at: None,
            sent_to: None,
            last_start_at: None,
            began_at: None,
            on_trial: false,
            may_repeat_start: is_on_trial,
            asked_at: None,
            unanswered: false,
            doubt: None,
            retry_at: Duration::ZERO,
            unanswered_starts: 0,
            transmissions: Transmissions::default(),
            checkpoint,
            permit,
            progress_percent: 0,
            expected_duration: expected,
            load: 0.0,
            cpu_share: FULL_CPU_SHARE,
            cpu_share_in_flight: false,
            cpu_share_since: Some(now),
            throttled_since: None,
            unsent_stop: None,
        });
        if let Some(job) = self.jobs.get_mut(step_ref.job) {
            job.add_run(task, run);
        }
        self.pending_orders.insert(run);
        self.placed_this_round += 1;
        self.allocate(run);
        if is_on_trial {
            self.begin_trial(run);
        } else {
            self.record_trial(run);
        }
    }
}

/// Returns whether the retry delay of a task, if any, is over, and all crashes that limit its starts are stored.
fn may_retry(job: &Job, task: &Task, now: Duration) -> bool {
    let crashes_stored = !job.has_unstored_crashes();
    now >= task.not_before && (crashes_stored || !task.crashes.limits_starts())
}

/// Returns the reference of a step's first task.
pub(in crate::jobs) fn first_task_ref(step_ref: StepRef) -> TaskRef {
    TaskRef {
        occurrence: step_ref.occurrence,
        step: step_ref.step,
        index: 0,
    }
}

/// Returns whether a minion has the label that a step requires, if any.
pub(in crate::jobs) fn has_label(minion: &Minion, step: &StepSpec) -> bool {
    let label = step.label.as_ref();
    label.is_none_or(|label| minion.entry.labels.contains(label))
}
