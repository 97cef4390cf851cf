//! A hold that is carried out late, by whichever incarnation then has the minion's identifier.

use std::time::Duration;

use smol_str::SmolStr;
use snipevane_core::jobs::{Action, HoldOrder};

/// The next hold of a kind to a minion, which is delayed.
#[derive(Default)]
pub(super) struct LateHold {
    of: Option<SmolStr>,
    delayed: Option<(Action, Duration)>,
}

impl LateHold {
    /// Delays the next hold to a minion.
    pub(super) fn delay_next(&mut self, minion: &SmolStr) {
        self.of = Some(minion.clone());
    }

    /// Returns the time at which the delayed hold was sent, if one is delayed.
    pub(super) fn sent_at(&self) -> Option<Duration> {
        self.delayed.as_ref().map(|(_, sent_at)| *sent_at)
    }

    /// Takes the delayed hold, to be carried out.
    pub(super) fn take(&mut self) -> Option<Action> {
        self.delayed.take().map(|(action, _)| action)
    }

    /// Keeps an action that is sent at `now` if it is the hold to delay and of the kind; returns whether it is.
    pub(super) fn keeps(
        &mut self,
        action: &Action,
        now: Duration,
        is_of_kind: impl FnOnce(&HoldOrder) -> bool,
    ) -> bool {
        let Action::Hold(order) = action else {
            return false;
        };
        let keeps = self.of.as_ref() == Some(&order.to.id) && is_of_kind(order);
        if keeps {
            self.of = None;
            self.delayed = Some((action.clone(), now));
        }
        keeps
    }
}
