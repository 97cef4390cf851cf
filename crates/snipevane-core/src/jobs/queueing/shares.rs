//! Rate shares of teams: the jobs per second to which each team is entitled when the fleet is full.
//!
//! Each team has a token bucket. If a team sends many times its usual rate, its jobs over the share
//! wait behind those of other teams and run where there is room.

use std::time::Duration;

use rustc_hash::FxHashMap;
use smol_str::SmolStr;

/// Time for which a team may accumulate its unused share. A bucket holds at most the tokens of this
/// time, or one if that is more.
const BURST_WINDOW: Duration = Duration::from_secs(2);

/// Token bucket of a team; a token stands for one job.
#[derive(Clone, Copy, Debug)]
struct TokenBucket {
    tokens: f64,
    updated_at: Duration,
}

/// Rate limiter of the jobs that teams submit.
#[derive(Clone, Debug, Default)]
pub(in crate::jobs) struct JobRateLimiter {
    buckets: FxHashMap<SmolStr, TokenBucket>,
}

impl JobRateLimiter {
    /// Takes a token for a job of a team; `share_per_s` is the team's share in jobs per second.
    ///
    /// Returns whether there was a token, and so whether the job is within the share.
    pub(in crate::jobs) fn take_token(
        &mut self,
        team: &SmolStr,
        share_per_s: f64,
        now: Duration,
    ) -> bool {
        let capacity = (share_per_s * BURST_WINDOW.as_secs_f64()).max(1.0);
        let bucket = self.buckets.entry(team.clone()).or_insert(TokenBucket {
            tokens: capacity,
            updated_at: now,
        });
        let elapsed_s = now.saturating_sub(bucket.updated_at).as_secs_f64();
        bucket.tokens = (bucket.tokens + elapsed_s * share_per_s).min(capacity);
        bucket.updated_at = now;
        let within = bucket.tokens >= 1.0;
        if within {
            bucket.tokens -= 1.0;
        }
        within
    }

    /// Returns whether [`Self::take_token`] would find a token; `share_per_s` is the team's share in jobs
    /// per second.
    pub(in crate::jobs) fn has_token(&self, team: &str, share_per_s: f64, now: Duration) -> bool {
        let Some(bucket) = self.buckets.get(team) else {
            return true;
        };
        let elapsed_s = now.saturating_sub(bucket.updated_at).as_secs_f64();
        bucket.tokens + elapsed_s * share_per_s >= 1.0
    }
}
