//! The order in which steps are served.
//!
//! Answers a load in which each queue in turn asks for several times what its pool holds: tasks that
//! serve users go first, then jobs that can still meet their objective, the earliest latest start
//! first, then jobs beyond their team's share, then jobs that are late.

use std::time::Duration;

use super::queue::StepRef;
use super::scheduler::Scheduler;

/// Times the time from acceptance to objective after which a job is worth nothing to its caller.
pub(super) const WORTHLESS_AFTER: u32 = 3;

/// Order in which steps are served; smaller first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Rank {
    class: Class,
    priority: u32,
    latest_start: Duration,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Class {
    Lasting,
    InTime,
    BeyondShare,
    Late,
    Worthless,
    Fill,
}

impl Scheduler {
    /// Returns the rank of a step.
    pub(super) fn rank(&self, at: StepRef, now: Duration) -> Option<Rank> {
        let job = self.jobs.get(at.job)?;
        let spec = job.spec.steps.get(at.step as usize)?;
        let span = job.objective.saturating_sub(job.accepted_at);
        let chain = job
            .chains
            .get(at.step as usize)
            .copied()
            .unwrap_or_default();
        let latest_start = job.objective.saturating_sub(chain);
        let class = if spec.long_running && !spec.best_effort {
            Class::Lasting
        } else if spec.best_effort {
            Class::Fill
        } else if now <= latest_start && !job.beyond_share {
            Class::InTime
        } else if now <= latest_start {
            Class::BeyondShare
        } else if now <= job.accepted_at + span * WORTHLESS_AFTER {
            Class::Late
        } else {
            Class::Worthless
        };
        Some(Rank {
            class,
            priority: job.priority,
            latest_start,
        })
    }
}
