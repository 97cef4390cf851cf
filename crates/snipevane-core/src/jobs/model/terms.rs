//! Terms of a job, which its queue had when the job was accepted.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::site::Queue;
use crate::jobs::placing::advice::AdvisorSettings;

/// Longest time from the acceptance of a job to its deadline, of which multiples stay in range.
const MAX_TIME_ALLOWED: Duration = Duration::from_secs(1 << 40);

/// Terms of a job. They are stored with it, so that they outlive its queue.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct JobTerms {
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// Number of failed runs of a task at which the job fails.
    pub max_attempts: u32,
    /// Factor by which the length of the job's critical path is multiplied in its deadline.
    pub slack_factor: f64,
    /// Constant time that the deadline adds, in milliseconds.
    pub target_latency_ms: u64,
    /// Settings of the advisor, if it must permit the minions of each step.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub advisor: Option<AdvisorSettings>,
}

impl From<&Queue> for JobTerms {
    fn from(queue: &Queue) -> Self {
        Self {
            priority: queue.priority,
            max_attempts: queue.max_attempts,
            slack_factor: queue.slack_factor,
            target_latency_ms: queue.target_latency_ms,
            advisor: queue.advisor,
        }
    }
}

impl JobTerms {
    /// Returns the time from the acceptance of a job to its deadline, given the length of its critical path.
    pub fn time_allowed(&self, critical_path: Duration) -> Duration {
        let slack_s = critical_path.as_secs_f64() * self.slack_factor.max(1.0);
        let slack = Duration::try_from_secs_f64(slack_s).unwrap_or(MAX_TIME_ALLOWED);
        let allowed = slack.saturating_add(Duration::from_millis(self.target_latency_ms));
        allowed.min(MAX_TIME_ALLOWED)
    }
}
