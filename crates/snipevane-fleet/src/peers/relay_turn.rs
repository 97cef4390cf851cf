//! Order in which large responses are relayed.

use std::cell::Cell;
use std::time::Duration;

use crate::client::{ArrivalGuard, Arrivals};

/// Time after which a turn ends that wasn't given back: one whose sender hangs may keep its response for long.
const MAX_TURN: Duration = Duration::from_secs(8);

/// Lets one response at a time be relayed.
#[derive(Debug, Default)]
pub struct RelayTurn {
    relayed: Arrivals,
    /// Time at which the last turn was taken.
    taken_at: Cell<Duration>,
}

impl RelayTurn {
    /// Takes the turn until the guard is dropped; returns `None` if it is another's.
    pub fn try_take(&self, now: Duration) -> Option<ArrivalGuard> {
        if self.relayed.any() && now < self.taken_at.get() + MAX_TURN {
            return None;
        }
        self.taken_at.set(now);
        Some(self.relayed.start())
    }
}
