//! The order in which steps are served.
//!
//! Answers a load in which each queue in turn asks for several times what its pool holds: tasks that
//! serve users go first, then jobs that can still meet their objective, the earliest latest start
//! first, then jobs beyond their team's share, then jobs that are late.

use std::time::Duration;

use super::queue::StepRef;
use super::scheduler::Scheduler;

/// Times the time from acceptance to objective after which a job is worth nothing to its caller.
pub(super) const EXPIRY_FACTOR: u32 = 3;

/// Order in which steps are served; smaller first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Rank {
    class: ServiceClass,
    priority: u32,
    latest_start: Duration,
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
    /// Returns the rank of a step.
    pub(super) fn rank(&self, step_ref: StepRef, now: Duration) -> Option<Rank> {
        let job = self.jobs.get(step_ref.job)?;
        let spec = job.spec.steps.get(step_ref.step as usize)?;
        let time_allowed = job.objective.saturating_sub(job.accepted_at);
        let critical_path = job
            .chains
            .get(step_ref.step as usize)
            .copied()
            .unwrap_or_default();
        let latest_start = job.objective.saturating_sub(critical_path);
        let class = if spec.long_running && !spec.best_effort {
            ServiceClass::LongRunning
        } else if spec.best_effort {
            ServiceClass::BestEffort
        } else if now <= latest_start && !job.beyond_share {
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
            priority: job.priority,
            latest_start,
        })
    }
}
