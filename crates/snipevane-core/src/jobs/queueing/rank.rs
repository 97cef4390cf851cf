//! Scheduling order of steps.
//!
//! The order is made for overload, when each queue in turn asks for several times the capacity of
//! its pool. Long-running tasks, which serve users, go first. Then come jobs that can still meet
//! their deadline, jobs over their team's rate share, late jobs, expired jobs and last best-effort
//! tasks. Within a class, steps go by the priority of their queue and then by their latest start,
//! the earliest first.

use std::time::Duration;

use crate::jobs::model::keys::StepRef;
use crate::jobs::scheduler::Scheduler;

/// Multiple of the time between acceptance and deadline after which a job has expired: its result
/// has no value to the caller any more.
pub(in crate::jobs) const EXPIRY_FACTOR: u32 = 3;

/// Position of a step in the scheduling order; smaller ranks go first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(in crate::jobs) struct Rank {
    class: ServiceClass,
    priority: u32,
    latest_start: Duration,
    occurrence: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum ServiceClass {
    LongRunning,
    OnTime,
    OverRateShare,
    Late,
    Expired,
    BestEffort,
}

impl Scheduler {
    /// Returns the rank of a step, or `None` if its job or step doesn't exist.
    pub(in crate::jobs) fn rank(&self, step_ref: StepRef, now: Duration) -> Option<Rank> {
        let job = self.jobs.get(step_ref.job)?;
        let spec = job.spec.steps.get(step_ref.step as usize)?;
        let time_allowed = job.deadline.saturating_sub(job.accepted_at);
        // The occurrences of a job go one after the other, or the first steps of all would go before the others.
        let critical_path = match job.spec.schedule {
            Some(_) => job.critical_path,
            None => job.critical_paths[step_ref.step as usize],
        };
        let latest_start = job.deadline.saturating_sub(critical_path);
        let class = if spec.long_running && !spec.best_effort {
            ServiceClass::LongRunning
        } else if spec.best_effort {
            ServiceClass::BestEffort
        } else if now <= latest_start && !job.over_rate_share {
            ServiceClass::OnTime
        } else if now <= latest_start {
            ServiceClass::OverRateShare
        } else if now <= job.accepted_at + time_allowed * EXPIRY_FACTOR {
            ServiceClass::Late
        } else {
            ServiceClass::Expired
        };
        Some(Rank {
            class,
            priority: job.terms.priority,
            latest_start,
            occurrence: step_ref.occurrence,
        })
    }
}
