//! Rate shares of teams: the jobs per second to which each team is entitled when the fleet is full.
//!
//! Each team has a token bucket. If a team sends many times its usual rate, its jobs over the share
//! wait behind those of other teams and run where there is room.

use std::time::Duration;

use rustc_hash::FxHashMap;
use smol_str::SmolStr;

use crate::token_bucket::TokenBucket;

/// Time for which a team may accumulate its unused share. A bucket holds at most the tokens of this
/// time, or one if that is more.
const BURST_WINDOW: Duration = Duration::from_secs(2);

/// Rate limiter of the jobs that teams submit.
#[derive(Clone, Debug, Default)]
pub(in crate::jobs) struct JobRateLimiter {
    /// Buckets of the teams; a token stands for one job.
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
        let full = TokenBucket::new(capacity, now);
        let bucket = self.buckets.entry(team.clone()).or_insert(full);
        bucket.refill(share_per_s, capacity, now);
        bucket.take()
    }

    /// Returns whether [`Self::take_token`] would find a token; `share_per_s` is the team's share in jobs
    /// per second.
    pub(in crate::jobs) fn has_token(&self, team: &str, share_per_s: f64, now: Duration) -> bool {
        let bucket = self.buckets.get(team);
        bucket.is_none_or(|bucket| bucket.tokens_at(share_per_s, now) >= 1.0)
    }
}
