//! Crashes of minions, and tasks that crash the minions that start them.
//!
//! All runs on a minion end when it crashes. The tasks that it had just started become suspects,
//! whose next runs are on trial (see `trials`). A task that has most likely crashed several minions
//! is given up with its job; if it is long-running, it is suspended, and the rest of its job works on.

use std::time::Duration;

use rustc_hash::FxHashSet;

use super::crash_evidence::{Begin, CrashReport, Verdict};
use super::crash_finding::CrashFinding;
use super::task_crashes::TRIAL_PERIOD;
use crate::jobs::event::{LossReason, SchedulerEvent};
use crate::jobs::minions::hosted_minions::HostedMinions;
use crate::jobs::minions::minion::Crash;
use crate::jobs::model::keys::{JobKey, MinionKey, RunKey, TaskRef};
use crate::jobs::model::progress::JobState;
use crate::jobs::model::run::{Run, RunPhase};
use crate::jobs::scheduler::Scheduler;
use crate::jobs::upkeep::vm::{Cordon, Vm};

/// Time after the first start order that a minion hasn't answered within which it was most likely lost. Later orders
/// went to a minion that was gone.
const MAX_TIME_TO_CRASH: Duration = Duration::from_millis(300);

/// Time for which a long-running task that crashes minions isn't started.
const SUSPENSION: Duration = Duration::from_secs(300);

/// Longest time until a list of VMs shows a change.
const VM_LIST_LAG: Duration = Duration::from_millis(300);

impl Scheduler {
    /// Ends the runs of minions that don't answer and that no VM hosts.
    ///
    /// `vms` is a list of all VMs that was requested at `asked_at`. Minions that were heard of
    /// shortly before, or since, are left alone, as the list may be older.
    pub fn end_runs_of_unhosted_minions(&mut self, vms: &[Vm], asked_at: Duration) {
        if vms.is_empty() {
            return;
        }
        let hosted = HostedMinions::new(vms);
        let unhosted = self.minions.iter().filter(|(_, minion)| {
            minion.suspect
                && !minion.runs.is_empty()
                && !hosted.may_contain(&minion.entry.id, &minion.entry.pool)
        });
        let unhosted: Vec<MinionKey> = unhosted.map(|(key, _)| key).collect();
        for key in unhosted {
            let heard_at = self.last_sign_of_life(key);
            if heard_at.is_some_and(|at| at + VM_LIST_LAG < asked_at) {
                self.handle_lost_incarnation(key, LossReason::NotHosted);
                self.remove_if_unlisted(key);
            }
        }
    }

    /// Returns the time at which a minion last listed its runs or answered an order for one of
    /// them; `None` if it hasn't listed any.
    fn last_sign_of_life(&self, key: MinionKey) -> Option<Duration> {
        let minion = self.minions.get(key)?;
        let runs = minion.runs.iter().filter_map(|&run| self.runs.get(run));
        let changes = runs.map(|run| run.since);
        changes.chain([minion.last_contact?]).max()
    }

    /// Ends runs on a minion that no longer exists, and records a crash unless the minion was to
    /// leave.
    pub(in crate::jobs) fn end_runs_of_gone_minion(
        &mut self,
        key: MinionKey,
        runs: &[RunKey],
        reason: LossReason,
    ) {
        self.record_end_of_incarnation(key, runs);
        for &run in runs {
            self.mark_run_lost(run, reason);
        }
    }

    /// Records a crash of a minion under these runs, unless the minion was to leave.
    pub(in crate::jobs) fn record_end_of_incarnation(&mut self, key: MinionKey, runs: &[RunKey]) {
        if !self.is_leaving(key) && !runs.is_empty() {
            self.record_crash(key, runs);
        }
    }

    /// Records the crash of a minion's former incarnation under runs that turn out to have ended with it after its
    /// restart was noticed.
    ///
    /// What else ran there isn't known any more, so the crash is attributed to no job.
    pub(in crate::jobs) fn record_end_of_former_incarnation(
        &mut self,
        key: MinionKey,
        runs: &[RunKey],
    ) {
        if self.is_leaving(key) {
            return;
        }
        for &run in runs {
            let Some(run) = self.runs.get(run) else {
                continue;
            };
            let (job, task) = (run.job, run.task_ref);
            let report = CrashReport {
                attempt: run.attempt,
                attributed: false,
                begin: match run.began_at {
                    Some(_) => Begin::Confirmed(Duration::ZERO),
                    None => Begin::Unknown,
                },
                unexplained: self.unexplained_crashes,
                is_unexplained: false,
            };
            self.record_task_crash(job, task, &report);
        }
    }

    /// Returns the keys of the runs that may exist on a minion.
    pub(super) fn run_keys_on(&self, key: MinionKey) -> impl Iterator<Item = RunKey> {
        let runs = self.minions.get(key).map(|minion| &minion.runs);
        runs.into_iter().flatten().copied()
    }

    /// Returns the runs that may exist on a minion.
    pub(super) fn runs_on(&self, key: MinionKey) -> impl Iterator<Item = &Run> {
        let keys = self.run_keys_on(key);
        keys.filter_map(|key| self.runs.get(key))
    }

    /// Returns whether a minion was to end, or isn't known. One that only drains isn't to end while it has runs.
    pub(super) fn is_leaving(&self, key: MinionKey) -> bool {
        let minion = self.minions.get(key);
        minion.is_none_or(|minion| minion.entry.draining || minion.cordon == Cordon::Ordered)
    }

    /// Records the crash of a minion under the tasks that may have caused it. It counts against those whose runs
    /// are known to have begun, and those with whose start orders the minion was lost; it makes the others suspects.
    fn record_crash(&mut self, key: MinionKey, ended: &[RunKey]) {
        let Some(crash) = self.crash_of(key) else {
            return;
        };
        for &key in ended {
            let Some(run) = self.runs.get(key) else {
                continue;
            };
            let finding = self.finding_of(run, &crash);
            match finding {
                CrashFinding::NotSent | CrashFinding::SentLate => {}
                CrashFinding::PassedOver => self.pass_over(run.clone(), &crash),
                CrashFinding::UnderRun | CrashFinding::LostStart | CrashFinding::Unconfirmed => {
                    let (job, task) = (run.job, run.task_ref);
                    let report = CrashReport {
                        attempt: run.attempt,
                        attributed: crash.cause.is_some() && run.began_at.is_some(),
                        begin: self.begin_of(run, &crash),
                        unexplained: self.unexplained_crashes,
                        is_unexplained: !crash.has_likely_cause,
                    };
                    self.record_task_crash(job, task, &report);
                }
            }
            self.report_finding(key, &crash, finding);
        }
    }

    /// Records that a task was passed over at a crash, unless that has a likely cause and the run had outlived its
    /// start. A task that was repeatedly is a suspect: it may crash minions a while after its start, beside others that
    /// have just begun, or right after its start, beside a likely cause that is sound.
    fn pass_over(&mut self, run: Run, crash: &Crash) {
        if crash.has_likely_cause && !self.is_fresh(&run) {
            return;
        }
        let work = self.time_at_work(&run).unwrap_or_default();
        let task = self.jobs.get_mut(run.job);
        let task = task.and_then(|job| job.task_mut(run.task_ref));
        let Some(task) = task.filter(|task| !task.done) else {
            return;
        };
        if !task.crashes.pass_over(run.attempt, work) {
            return;
        }
        if task.crashes.is_suspect() {
            self.crash_record_changed(run.job);
        } else {
            self.dirty.insert(run.job);
        }
    }

    /// Returns what is known of the crash of a minion's present incarnation. Reports the crash if it
    /// is new.
    fn crash_of(&mut self, key: MinionKey) -> Option<Crash> {
        if let Some(crash) = self.minions.get(key)?.crash {
            return Some(crash);
        }
        let crash = self.examine_crash(key);
        self.unexplained_crashes += usize::from(!crash.has_likely_cause);
        let is_background = !crash.has_likely_cause && crash.starts_until.is_none();
        self.background_crashes += usize::from(is_background);
        let minion = self.minions.get_mut(key)?;
        minion.crash = Some(crash);
        let event = SchedulerEvent::MinionCrashed {
            minion: minion.entry.id.clone(),
            runs: minion.runs.len(),
            cause: crash
                .cause
                .and_then(|job| self.jobs.get(job))
                .map(|job| job.id),
        };
        self.events.push(event);
        Some(crash)
    }

    /// Determines the job that has most likely crashed a minion: the only one with runs there, else the
    /// only one with fresh runs on trial, else the only one with fresh runs. It is none if no run of that job is
    /// known to have begun.
    fn examine_crash(&self, key: MinionKey) -> Crash {
        let runs = self.runs_on(key);
        let runs: Vec<&Run> = runs.filter(|run| self.may_have_begun(run)).collect();
        let lost_starts = runs.iter().filter(|run| self.may_be_lost_with(run));
        let first_lost_at = lost_starts.filter_map(|run| run.last_start_at).min();
        let starts_until = first_lost_at.map(|at| at + MAX_TIME_TO_CRASH);
        let aboard = runs.into_iter();
        let aboard =
            aboard.filter(|run| !self.may_be_lost_with(run) || run.last_start_at <= starts_until);
        let aboard: Vec<&Run> = aboard.collect();
        let fresh = aboard.iter().copied().filter(|run| self.is_fresh(run));
        let fresh: Vec<&Run> = fresh.collect();
        let on_trial = fresh.iter().copied();
        let on_trial = on_trial.filter(|run| self.is_suspect_task(run.job, run.task_ref));
        let cause = only_job(aboard.iter().copied())
            .or_else(|| only_job(on_trial))
            .or_else(|| only_job(fresh.iter().copied()));
        let begun = || aboard.iter().filter(|run| run.began_at.is_some());
        let cause = cause.filter(|&job| begun().any(|run| run.job == job));
        let latest = aboard.iter().copied();
        let latest = latest.filter(|run| !self.has_outlived(run, TRIAL_PERIOD));
        let latest: Vec<&Run> = latest.collect();
        let latest_job = only_job(latest.iter().copied());
        let lost_with = latest_job.filter(|_| latest.iter().any(|run| run.unanswered));
        let has_likely_cause = aboard.iter().any(|run| {
            let task = self
                .jobs
                .get(run.job)
                .and_then(|job| job.task(run.task_ref));
            task.is_some_and(|task| task.crashes.evidence().is_likely_cause())
        });
        let unanswered = aboard.iter().filter(|run| run.began_at.is_none());
        let unanswered: FxHashSet<JobKey> = unanswered.map(|run| run.job).collect();
        Crash {
            cause,
            latest_job,
            lost_with,
            starts_until,
            unanswered_jobs: unanswered.len(),
            had_fresh_runs: !fresh.is_empty(),
            has_likely_cause,
        }
    }

    /// Returns whether a run's minion may have begun it before its crash: it has confirmed the start or a stop,
    /// was heard of after the order was sent, or may have received the order and was lost with it.
    pub(super) fn may_have_begun(&self, run: &Run) -> bool {
        let minion = self.minions.get(run.minion);
        let last_contact = minion.and_then(|minion| minion.last_contact);
        let is_answered = matches!(run.phase, RunPhase::Running | RunPhase::StopConfirmed);
        let was_heard_of = run.first_sent_at.is_some() && last_contact >= run.first_sent_at;
        is_answered || was_heard_of || run.transmissions.may_have_arrived()
    }

    /// Returns whether a run's minion may have been lost with its start order: it hasn't answered the order, and
    /// hasn't been heard of since.
    pub(super) fn may_be_lost_with(&self, run: &Run) -> bool {
        let minion = self.minions.get(run.minion);
        let alive_at = minion.and_then(|minion| minion.alive_at);
        let is_unanswered = matches!(run.phase, RunPhase::Starting | RunPhase::Stopping);
        let may_have_arrived = run.transmissions.may_have_arrived();
        is_unanswered && may_have_arrived && run.began_at.is_none() && alive_at <= run.last_start_at
    }

    /// Returns what is known of the begin of a run whose minion has crashed.
    pub(super) fn begin_of(&self, run: &Run, crash: &Crash) -> Begin {
        if let Some(work) = self.time_at_work(run) {
            return Begin::Confirmed(work);
        }
        if run.unanswered && crash.lost_with == Some(run.job) {
            Begin::Unanswered
        } else {
            Begin::Unknown
        }
    }

    /// Returns the probability that a minion crashes within this time by another cause than a run's task.
    pub(super) fn chance_of_crash(&self, run: &Run, time: Duration) -> f64 {
        let task = self
            .jobs
            .get(run.job)
            .and_then(|job| job.task(run.task_ref));
        let own = task.map_or(0, |task| task.crashes.len());
        self.crash_rate.chance(time, self.minions.len(), own)
    }

    /// Returns whether a run's minion isn't known to have outlived its start; on trial, for as long as the task might
    /// take to crash it.
    pub(in crate::jobs) fn is_fresh(&self, run: &Run) -> bool {
        !self.has_outlived(run, self.trial_period_of(run))
    }

    /// Returns whether a run's minion is known to have been up this long after the run had begun.
    pub(super) fn has_outlived(&self, run: &Run, period: Duration) -> bool {
        let minion = self.minions.get(run.minion);
        let last_contact = minion.and_then(|minion| minion.last_contact);
        let proven_at = run.began_at.map(|at| at + period);
        proven_at.is_some_and(|at| last_contact >= Some(at))
    }

    /// Returns the time for which a run must have worked to have outlived its start.
    fn trial_period_of(&self, run: &Run) -> Duration {
        if !run.on_trial {
            return TRIAL_PERIOD;
        }
        let job = self.jobs.get(run.job);
        let task = job.and_then(|job| job.task(run.task_ref));
        task.map_or(TRIAL_PERIOD, |task| task.crashes.trial_period())
    }

    /// Returns the time for which a run is known to have worked: from its confirmed begin until its minion was
    /// last heard of. Returns `None` if it isn't known to have begun.
    fn time_at_work(&self, run: &Run) -> Option<Duration> {
        let began_at = run.began_at?;
        let last_contact = self.minions.get(run.minion)?.last_contact;
        Some(last_contact.map_or(Duration::ZERO, |at| at.saturating_sub(began_at)))
    }

    /// Records a crash under a task.
    pub(in crate::jobs) fn record_task_crash(
        &mut self,
        key: JobKey,
        task: TaskRef,
        report: &CrashReport,
    ) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        let id = job.task_id(task);
        let Some(state) = job.task_mut(task) else {
            return;
        };
        state.crashes.record(report);
        state.trial_wanted_since = None;
        let evidence = state.crashes.evidence();
        if evidence.verdict() == Verdict::Cause {
            self.crashing_tasks.push((key, task));
        }
        let at_work = match report.begin {
            Begin::Confirmed(work) => Some(work),
            Begin::Unanswered | Begin::Unknown => None,
        };
        self.events.push(SchedulerEvent::CrashBlamed {
            task: id,
            attempt: report.attempt,
            at_work,
            crashes: evidence.crashes,
            lost_starts: evidence.lost_starts,
            unexplained: evidence.unexplained,
            attributed: report.attributed,
        });
        self.crash_record_changed(key);
    }

    /// Drops the crashes under a long-running task that it has outlived with a run that its minion has just
    /// listed.
    pub(in crate::jobs) fn drop_outlived_crashes(&mut self, key: RunKey, now: Duration) {
        let Some(run) = self.runs.get(key) else {
            return;
        };
        let (job, task, work) = (run.job, run.task_ref, now.saturating_sub(run.since));
        let task = self.jobs.get_mut(job).and_then(|job| job.task_mut(task));
        if task.is_some_and(|task| task.crashes.outlive(work)) {
            self.dirty.insert(job);
        }
    }

    /// Marks the record of crashes under a job's tasks as changed, so that it is stored before any
    /// of them starts again.
    pub(in crate::jobs) fn crash_record_changed(&mut self, key: JobKey) {
        if let Some(job) = self.jobs.get_mut(key) {
            job.crash_changes += 1;
            self.dirty.insert(key);
            self.has_urgent_change = true;
        }
    }

    /// Finds the tasks of a job that are to be given up by the stored record of crashes.
    pub(in crate::jobs) fn find_crashing_tasks(&mut self, key: JobKey) {
        let Some(job) = self.jobs.get(key) else {
            return;
        };
        let crashing = job
            .tasks()
            .filter(|(_, task)| !task.done && task.crashes.evidence().verdict() == Verdict::Cause);
        let crashing = crashing.map(|(task_ref, _)| (key, task_ref));
        self.crashing_tasks.extend(crashing);
    }

    /// Fails the jobs of tasks that crash minions, and suspends those tasks that are long-running.
    ///
    /// A long-running job isn't failed: its other tasks go on serving their users.
    pub(in crate::jobs) fn give_up_crashing_tasks(&mut self, now: Duration, unix_ms: u64) {
        for (key, task_ref) in std::mem::take(&mut self.crashing_tasks) {
            let Some(job) = self.jobs.get_mut(key).filter(|job| !job.state.is_final()) else {
                continue;
            };
            let id = job.task_id(task_ref);
            let Some(task) = job.task_mut(task_ref) else {
                continue;
            };
            let evidence = task.crashes.evidence();
            if evidence.long_running {
                task.not_before = now + SUSPENSION;
                self.events.push(SchedulerEvent::TaskSuspended {
                    task: id,
                    crashes: evidence.crashes,
                    lost_starts: evidence.lost_starts,
                    unexplained: evidence.unexplained,
                    pause: SUSPENSION,
                });
                continue;
            }
            self.events.push(SchedulerEvent::TaskGivenUp {
                task: id,
                crashes: evidence.crashes,
                lost_starts: evidence.lost_starts,
                attributed: task.crashes.attributed(),
            });
            self.end_job(key, JobState::Failed, unix_ms);
        }
    }

    /// Returns whether a task may be the cause of crashes of minions.
    pub(in crate::jobs) fn is_suspect_task(&self, job: JobKey, task: TaskRef) -> bool {
        let task = self.jobs.get(job).and_then(|job| job.task(task));
        task.is_some_and(|task| task.crashes.is_suspect())
    }
}

/// Returns the job of these runs if they all belong to one.
fn only_job<'a>(runs: impl Iterator<Item = &'a Run>) -> Option<JobKey> {
    let jobs: FxHashSet<JobKey> = runs.map(|run| run.job).collect();
    let mut jobs = jobs.into_iter();
    jobs.next().filter(|_| jobs.next().is_none())
}
