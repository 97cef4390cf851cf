//! Calls with leases that are carried out late.

use std::time::Duration;

use smol_str::SmolStr;
use snipevane_core::jobs::{Action, HoldOrder};

use super::JobSite;

impl JobSite {
    /// Delays the next hold to a minion that renews its leases.
    pub fn delay_next_lease(&mut self, minion: &SmolStr) {
        self.late_lease.delay_next(minion);
    }

    /// Returns the time at which the delayed call was sent, if one is delayed.
    pub fn delayed_lease(&self) -> Option<Duration> {
        self.late_lease.sent_at()
    }

    /// Carries out the delayed call.
    pub fn carry_out_delayed_lease(&mut self) {
        if let Some(action) = self.late_lease.take() {
            self.execute(&action, true);
        }
    }

    /// Returns whether an action is a call to delay, and keeps it then.
    pub(super) fn delays_lease(&mut self, action: &Action) -> bool {
        let has_lease = |order: &HoldOrder| order.lease_end_ms.is_some();
        self.late_lease.keeps(action, self.now, has_lease)
    }
}
