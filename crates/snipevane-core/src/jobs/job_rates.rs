//! Shares of teams: how many jobs a second each is entitled to when all is full.
//!
//! Answers a team that sends many times its usual: what it sends beyond its share waits behind what
//! the others send, and runs where there is room.

use std::time::Duration;

use rustc_hash::FxHashMap;
use smol_str::SmolStr;

/// Time for which a team may send what it didn't send before.
const BURST_WINDOW: Duration = Duration::from_secs(2);

/// What is left of a team's share.
#[derive(Clone, Copy, Debug)]
struct TokenBucket {
    tokens: f64,
    updated_at: Duration,
}

/// Jobs that teams may still send within their shares.
#[derive(Clone, Debug, Default)]
pub(super) struct JobRateLimiter {
    buckets: FxHashMap<SmolStr, TokenBucket>,
}

impl JobRateLimiter {
    /// Counts a job of a team with a share, in jobs a second; returns whether it is within it.
    pub(super) fn take_token(&mut self, team: &SmolStr, per_s: f64, now: Duration) -> bool {
        let capacity = (per_s * BURST_WINDOW.as_secs_f64()).max(1.0);
        let bucket = self.buckets.entry(team.clone()).or_insert(TokenBucket {
            tokens: capacity,
            updated_at: now,
        });
        let elapsed_s = now.saturating_sub(bucket.updated_at).as_secs_f64();
        bucket.tokens = (bucket.tokens + elapsed_s * per_s).min(capacity);
        bucket.updated_at = now;
        let within = bucket.tokens >= 1.0;
        if within {
            bucket.tokens -= 1.0;
        }
        within
    }
}
