//! What a team uses and used lately.

use std::time::Duration;

use super::Resources;
use super::queue::TeamQueue;

/// Time constant of a team's recent use.
const RECENT_USE: Duration = Duration::from_secs(20);

/// A team's weight, use and waiting tasks.
#[derive(Clone, Debug, Default)]
pub(super) struct Account {
    pub(super) weight: u32,
    pub(super) used: Resources,
    /// Mean of the dominant part used, over about [`RECENT_USE`].
    pub(super) recent: f64,
    pub(super) queue: TeamQueue,
}

/// Position of a team among those that wait; the least one is taken next.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ShareOrder(u64);

impl Account {
    /// Moves the mean of recent use on by `passed`.
    pub(super) fn age(&mut self, passed: Duration, total: &Resources) {
        let kept = (-passed.as_secs_f64() / RECENT_USE.as_secs_f64()).exp();
        let now = self.used.dominant_part(total);
        self.recent = self.recent * kept + now * (1.0 - kept);
    }

    /// Returns the team's position by what it uses and used lately, divided by its weight.
    pub(super) fn order(&self, total: &Resources) -> ShareOrder {
        let use_part = self.used.dominant_part(total) + self.recent;
        let weighted = use_part / f64::from(self.weight.max(1));
        // Floating-point numbers that aren't negative are ordered like their bits.
        ShareOrder(weighted.to_bits())
    }
}
