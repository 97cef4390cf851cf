//! Which committed work is placed before a new job. Admission control depends on the scheduling order
//! only through this module.

use std::time::Duration;

use super::rank::EXPIRY_FACTOR;
use crate::jobs::model::job::Job;
use crate::jobs::scheduler::Scheduler;

/// When the remaining work of a step is placed before a new job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::jobs) enum Precedence {
    /// Before new jobs whose latest start is later than this one.
    LatestStart(Duration),
    /// Before new jobs of teams over their share, and before others once these are late.
    OverShare,
    /// Before new jobs once these are late.
    Late,
    /// After all jobs that have value.
    Behind,
}

impl Scheduler {
    /// Returns when the remaining work of a job's step is placed before a new job.
    pub(in crate::jobs) fn precedence(&self, job: &Job, step: usize, now: Duration) -> Precedence {
        let time_allowed = job.deadline.saturating_sub(job.accepted_at);
        let critical_path = job.critical_paths.get(step).copied().unwrap_or_default();
        let latest_start = job.deadline.saturating_sub(critical_path);
        if job.spec.steps.get(step).is_none_or(|step| step.best_effort)
            || now > job.accepted_at + time_allowed * EXPIRY_FACTOR
        {
            Precedence::Behind
        } else if now > latest_start {
            Precedence::Late
        } else if job.over_rate_share {
            Precedence::OverShare
        } else {
            Precedence::LatestStart(latest_start)
        }
    }

    /// Returns whether a new job of a team would be over the team's share.
    pub(in crate::jobs) fn is_over_share(&self, team: &str, now: Duration) -> bool {
        let share = self.site.team(team).map_or(0.0, |team| team.share_per_s);
        share > 0.0 && !self.job_rates.has_token(team, share, now)
    }
}
