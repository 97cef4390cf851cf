//! Calls with leases that are carried out late, by whichever incarnation then has the minion's identifier.

use std::time::Duration;

use smol_str::SmolStr;
use snipevane_core::jobs::Action;

use super::JobSite;

/// A call with a lease that is delayed.
#[derive(Default)]
pub(super) struct LateLeases {
    /// Minion whose next call with a lease is delayed.
    of: Option<SmolStr>,
    delayed: Option<(Action, Duration)>,
}

impl JobSite {
    /// Delays the next hold to a minion that renews its leases.
    pub fn delay_next_lease(&mut self, minion: &SmolStr) {
        self.late_leases.of = Some(minion.clone());
    }

    /// Returns the time at which the delayed call was sent, if one is delayed.
    pub fn delayed_lease(&self) -> Option<Duration> {
        let delayed = self.late_leases.delayed.as_ref();
        delayed.map(|(_, sent_at)| *sent_at)
    }

    /// Carries out the delayed call.
    pub fn carry_out_delayed_lease(&mut self) {
        if let Some((action, _)) = self.late_leases.delayed.take() {
            self.execute(&action, true);
        }
    }

    /// Returns whether an action is a call to delay, and keeps it then.
    pub(super) fn delays_lease(&mut self, action: &Action) -> bool {
        let Action::Hold(order) = action else {
            return false;
        };
        let is_of = self.late_leases.of.as_ref() == Some(&order.to.id);
        let delays = order.lease_end_ms.is_some() && is_of;
        if delays {
            self.late_leases.of = None;
            self.late_leases.delayed = Some((action.clone(), self.now));
        }
        delays
    }
}
