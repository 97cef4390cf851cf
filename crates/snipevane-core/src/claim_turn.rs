//! Turn in which an entry VM claims a free term.
//!
//! All entry VMs see at about the same time that a term is free. If each claimed it at once, the store would carry out
//! one transaction of each before the first renewal of the winner. So each waits a random time and reads the
//! scheduler's row again: the first claim is committed after a few milliseconds, and most others see it in time.

use std::time::Duration;

/// Largest number of times that the spread is doubled after failed claims.
const MAX_DOUBLINGS: u32 = 2;

/// Time at which an entry VM may claim the term that is free at present.
#[derive(Clone, Copy, Debug, Default)]
pub struct ClaimTurn {
    /// Version of the scheduler's row that is to be replaced, and the time from which it may be.
    due: Option<(u64, Duration)>,
    /// Number of claims in succession that the store refused or didn't answer.
    failures: u32,
}

impl ClaimTurn {
    /// Returns the time from which the term may be claimed whose row has this version. The turn is drawn when a
    /// free version is seen for the first time; `random` is drawn from 0 to 1.
    pub fn due_at(
        &mut self,
        version: u64,
        spread: Duration,
        random: f64,
        now: Duration,
    ) -> Duration {
        match self.due {
            Some((known, due_at)) if known == version => due_at,
            _ => {
                let factor = 2_u32.pow(self.failures.min(MAX_DOUBLINGS));
                let due_at = now + spread.saturating_mul(factor).mul_f64(random);
                self.due = Some((version, due_at));
                due_at
            }
        }
    }

    /// Returns the time of the turn that was drawn; `None` if no free term is known.
    pub fn drawn(&self) -> Option<Duration> {
        self.due.map(|(_, due_at)| due_at)
    }

    /// Records that the term isn't free.
    pub fn record_held(&mut self) {
        *self = Self::default();
    }

    /// Records a claim that the store refused or didn't answer; the next turn is drawn anew, from a longer time.
    pub fn record_failure(&mut self) {
        self.due = None;
        self.failures = self.failures.saturating_add(1);
    }
}
