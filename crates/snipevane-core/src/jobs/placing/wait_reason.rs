//! Reasons for which a long-running task has no run that works.

use std::time::Duration;

use super::candidates::Candidates;
use crate::jobs::model::keys::{JobKey, MinionKey, StepRef, TaskRef};
use crate::jobs::model::run::{Run, RunPhase};
use crate::jobs::scheduler::Scheduler;

/// Reason for which a long-running task has no run that works.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitReason {
    /// Its start order hasn't been sent.
    OrderUnsent,
    /// Its start order hasn't been answered.
    OrderUnanswered,
    /// Its run is being stopped, and its end isn't known.
    RunIsStopping,
    /// Its minion doesn't answer, and the lease isn't over.
    MinionSilent,
    /// The operator's requests to evacuate zones aren't confirmed.
    RequestsUnconfirmed,
    /// A minion of the pool that an earlier term used hasn't listed its runs.
    UnreportedRuns {
        /// Time at which its leases are over.
        until: Duration,
    },
    /// It ended soon after its last starts, or crashed minions.
    Delayed {
        /// Time at which it may start again.
        until: Duration,
    },
    /// As many start orders are in flight as may be.
    StartWindow,
    /// No minion of the pool takes new work.
    NoMinion,
    /// It is a member of a gang that waits for its other members.
    Gang,
    /// Its team has reached its quota, unreported runs included.
    Quota,
    /// The advisor hasn't permitted any minion.
    NoPermit,
    /// No minion of the pool that takes new work has room for it.
    NoRoom,
    /// Nothing holds it up any more.
    Startable,
}

impl WaitReason {
    /// Returns the time until which the reason lasts, if that is known.
    pub fn until(self) -> Option<Duration> {
        match self {
            Self::UnreportedRuns { until } | Self::Delayed { until } => Some(until),
            _ => None,
        }
    }
}

/// What the pool of a waiting task offers.
#[derive(Clone, Copy, Debug)]
pub(in crate::jobs) struct WaitOutlook<'a> {
    /// Minions that take new work.
    pub(in crate::jobs) minions: &'a [MinionKey],
    /// Whether a minion may have runs of an earlier term that it hasn't listed.
    pub(in crate::jobs) has_unreported_runs: bool,
    /// The present time.
    pub(in crate::jobs) now: Duration,
}

impl Scheduler {
    /// Returns the reason for which a long-running task whose turn has come has no run that works.
    pub(in crate::jobs) fn wait_reason(
        &self,
        key: JobKey,
        task_ref: TaskRef,
        outlook: &WaitOutlook<'_>,
    ) -> WaitReason {
        let Some(task) = self.jobs.get(key).and_then(|job| job.task(task_ref)) else {
            return WaitReason::Startable;
        };
        let mut runs = task.runs.iter().filter_map(|&run| self.runs.get(run));
        if let Some(run) = runs.next() {
            return reason_of_run(run);
        }
        if !self.evacuations_confirmed {
            return WaitReason::RequestsUnconfirmed;
        }
        if task.not_before > outlook.now {
            return WaitReason::Delayed {
                until: task.not_before,
            };
        }
        self.reason_of_step(key, task_ref, outlook)
    }

    fn reason_of_step(
        &self,
        key: JobKey,
        task_ref: TaskRef,
        outlook: &WaitOutlook<'_>,
    ) -> WaitReason {
        let Some(job) = self.jobs.get(key) else {
            return WaitReason::Startable;
        };
        let Some(step) = job.spec.steps.get(task_ref.step as usize) else {
            return WaitReason::Startable;
        };
        let at = StepRef {
            job: key,
            occurrence: task_ref.occurrence,
            step: task_ref.step,
        };
        let now = outlook.now;
        if job.adopted && outlook.has_unreported_runs && !step.speculative {
            let pool = &job.spec.pool;
            let unreported = self.unreported_minions(now);
            let of_pool = unreported.filter(|(_, of)| *of == pool);
            let until = of_pool.map(|(id, _)| self.unreported.until_of(id)).max();
            return WaitReason::UnreportedRuns {
                until: until.unwrap_or(now),
            };
        }
        if outlook.minions.is_empty() {
            return WaitReason::NoMinion;
        }
        if self.start_window.available() == 0 {
            return WaitReason::StartWindow;
        }
        if step.gang && self.startable_count(at, now) < step.tasks {
            return WaitReason::Gang;
        }
        let tasks = if step.gang { step.tasks } else { 1 };
        if !self.is_within_quota(job.spec.team.as_deref(), step, u64::from(tasks)) {
            return WaitReason::Quota;
        }
        let needs_permit = self.advisor_settings(key).is_some();
        let minions = outlook.minions.iter().copied();
        let permitted =
            minions.filter(|&minion| !needs_permit || self.permit(at, minion, now).is_some());
        let permitted: Vec<MinionKey> = permitted.collect();
        if permitted.is_empty() {
            return WaitReason::NoPermit;
        }
        if self
            .choose_minion(task_ref, at, step, Candidates::shared(&permitted), now)
            .is_none()
        {
            return WaitReason::NoRoom;
        }
        WaitReason::Startable
    }
}

/// Returns the reason for which a run doesn't work.
fn reason_of_run(run: &Run) -> WaitReason {
    match run.phase {
        RunPhase::Starting if run.starts_sent == 0 => WaitReason::OrderUnsent,
        RunPhase::Starting => WaitReason::OrderUnanswered,
        RunPhase::Stopping | RunPhase::StopConfirmed => WaitReason::RunIsStopping,
        RunPhase::Running => WaitReason::MinionSilent,
    }
}
