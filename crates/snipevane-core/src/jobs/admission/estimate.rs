//! Estimate of a new job's completion, which decides whether the job is accepted.

use std::time::Duration;

use smol_str::SmolStr;

use super::snapshot::{
    AdmissionSnapshot, DECLARED_CERTAIN_PERCENT, PERCENT, PoolLoad, PriorityBacklog,
};
use crate::jobs::model::site::Queue;
use crate::jobs::model::spec::JobSpec;
use crate::jobs::queueing::rank::EXPIRY_FACTOR;

/// Age beyond which a snapshot decides nothing: jobs of a second are accepted, started and done since.
pub(super) const MAX_SNAPSHOT_AGE: Duration = Duration::from_secs(1);

/// Shortest time after which a caller is told to retry.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// What the decision depends on of a new job.
#[derive(Clone, Debug)]
pub struct JobDemand {
    pool: SmolStr,
    team: Option<SmolStr>,
    priority: u32,
    critical_path: Duration,
    time_allowed: Duration,
}

/// Rejection of a job whose result would come when it has no value any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// Earliest time until the job would be done.
    pub completes_in: Duration,
    /// Time for which the result has value.
    pub value_lasts: Duration,
    /// Expected work before the job, in milliseconds of a core.
    pub backlog_core_ms: u64,
    /// Processors that the pool has or could get, in thousandths of a core.
    pub cpu_millis: u64,
    /// Time until a new job would be in time.
    pub retry_after: Duration,
}

impl JobDemand {
    /// Returns the demand of a job that is submitted to a queue; `None` if the job is exempt from
    /// admission control.
    ///
    /// Exempt are the jobs of queues without deadlines, long-running and scheduled jobs, and jobs with
    /// best-effort tasks, whose value doesn't depend on their completion.
    pub fn new(spec: &JobSpec, queue: &Queue) -> Option<Self> {
        let has_deadlines = queue.slack_factor > 0.0 || queue.target_latency_ms > 0;
        let is_timeless = spec.schedule.is_some()
            || spec
                .steps
                .iter()
                .any(|step| step.long_running || step.best_effort);
        if !has_deadlines || is_timeless {
            return None;
        }
        let critical_path = spec.critical_path();
        Some(Self {
            pool: spec.pool.clone(),
            team: spec.team.clone(),
            priority: queue.priority,
            critical_path,
            time_allowed: queue.time_allowed(critical_path),
        })
    }

    /// Returns the time for which the job may wait and still be in time.
    fn slack(&self) -> Duration {
        self.time_allowed.saturating_sub(self.critical_path)
    }
}

impl AdmissionSnapshot {
    /// Returns why a new job is rejected; `None` if it is accepted.
    ///
    /// `age` is the time since the snapshot was taken. A job is rejected if even the certain part of the work
    /// before it delays it until it has no value. One that can be in time is placed before the late work, so that
    /// only the work that is due earlier delays it.
    pub fn rejection(&self, job: &JobDemand, age: Duration) -> Option<Rejection> {
        if age > MAX_SNAPSHOT_AGE {
            return None;
        }
        let load = self.pools.iter().find(|load| load.pool == job.pool)?;
        let is_over_share = job
            .team
            .as_ref()
            .is_some_and(|team| self.teams_over_share.contains(team));
        let due_earlier = load.work_due_before(job, is_over_share, age);
        let wait_if_timely = load.capacity.drain_time(load.certain(due_earlier))?;
        if wait_if_timely <= job.slack() {
            return None;
        }
        let backlog = load.work_before_late(job, age);
        let wait = load.capacity.drain_time(load.certain(backlog))?;
        let certain_path = job.critical_path * DECLARED_CERTAIN_PERCENT as u32 / PERCENT as u32;
        let completes_in = wait + certain_path;
        let value_lasts = job.time_allowed * EXPIRY_FACTOR;
        if completes_in <= value_lasts {
            return None;
        }
        let mut expected_wait = load
            .capacity
            .drain_time(due_earlier)?
            .saturating_sub(job.slack());
        // Work that is due earlier is done or has no value by then, and new jobs are placed before it. It is late
        // sooner, but callers that return into late work are served worse.
        if !is_over_share {
            expected_wait = expected_wait.min(value_lasts);
        }
        Some(Rejection {
            completes_in,
            value_lasts,
            backlog_core_ms: backlog,
            cpu_millis: load.capacity.cpu_millis + load.capacity.incoming_cpu_millis,
            retry_after: expected_wait.max(MIN_RETRY_AFTER),
        })
    }
}

impl PoolLoad {
    /// Returns the expected work that is placed before a new job that can be in time.
    fn work_due_before(&self, job: &JobDemand, is_over_share: bool, age: Duration) -> u64 {
        let on_time: u64 = self
            .up_to(job.priority)
            .map(|backlog| backlog.total() - backlog.late)
            .sum();
        if is_over_share {
            return self.at_age(on_time, job.priority, age, 1.0);
        }
        let due: u64 = self
            .up_to(job.priority)
            .map(|backlog| backlog.due_within(job.slack()))
            .sum();
        // What was accepted since is due earlier in the same proportion as the backlog: a large job that has
        // just been accepted delays no job whose latest start is before its own.
        let due_part = due as f64 / on_time.max(1) as f64;
        self.at_age(due, job.priority, age, due_part)
    }

    /// Returns the expected work that is placed before a new job once it is late.
    fn work_before_late(&self, job: &JobDemand, age: Duration) -> u64 {
        let relevant = self.up_to(job.priority);
        let work = relevant.map(PriorityBacklog::total).sum();
        self.at_age(work, job.priority, age, 1.0)
    }

    /// Returns the part of the expected work that is certain.
    fn certain(&self, core_ms: u64) -> u64 {
        core_ms * self.certain_percent / PERCENT
    }

    /// Returns the backlog of the priorities that precede or equal one.
    fn up_to(&self, priority: u32) -> impl Iterator<Item = &PriorityBacklog> {
        let backlog = self.backlog.iter();
        backlog.filter(move |backlog| backlog.priority <= priority)
    }

    /// Returns work as it is expected to be `age` after the snapshot: more by a part of what entry VMs have
    /// accepted since, if they accept at the rate before, and less by what the pool has worked off.
    fn at_age(&self, core_ms: u64, priority: u32, age: Duration, accepted_part: f64) -> u64 {
        let accepted_per_s: u64 = self
            .up_to(priority)
            .map(|backlog| backlog.accepted_per_s)
            .sum();
        let accepted = (accepted_per_s as f64 * age.as_secs_f64() * accepted_part) as u64;
        (core_ms + accepted).saturating_sub(self.capacity.work_in(age))
    }
}
