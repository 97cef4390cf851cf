//! Shares of teams: how many jobs a second each is entitled to when all is full.
//!
//! Answers a team that sends many times its usual: what it sends beyond its share waits behind what
//! the others send, and runs where there is room.

use std::time::Duration;

use rustc_hash::FxHashMap;
use smol_str::SmolStr;

/// Time for which a team may send what it didn't send before.
const BURST: Duration = Duration::from_secs(2);

/// What is left of a team's share.
#[derive(Clone, Copy, Debug)]
struct Left {
    jobs: f64,
    at: Duration,
}

/// Jobs that teams may still send within their shares.
#[derive(Clone, Debug, Default)]
pub(super) struct Shares {
    left: FxHashMap<SmolStr, Left>,
}

impl Shares {
    /// Counts a job of a team with a share, in jobs a second; returns whether it is within it.
    pub(super) fn take(&mut self, team: &SmolStr, per_s: f64, now: Duration) -> bool {
        let most = (per_s * BURST.as_secs_f64()).max(1.0);
        let left = self.left.entry(team.clone()).or_insert(Left {
            jobs: most,
            at: now,
        });
        let since = now.saturating_sub(left.at).as_secs_f64();
        left.jobs = (left.jobs + since * per_s).min(most);
        left.at = now;
        let within = left.jobs >= 1.0;
        if within {
            left.jobs -= 1.0;
        }
        within
    }
}
