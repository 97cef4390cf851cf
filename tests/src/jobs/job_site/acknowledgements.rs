//! Acknowledgements that are carried out late, by whichever incarnation then has the minion's identifier, and the
//! times at which ends are acknowledged.

use std::time::Duration;

use smol_str::SmolStr;
use snipevane_core::jobs::{Action, HoldOrder};

use super::super::minion::Record;
use super::JobSite;

impl JobSite {
    /// Delays the next hold to a minion that acknowledges ends.
    pub fn delay_next_ack(&mut self, minion: &SmolStr) {
        self.late_ack.delay_next(minion);
    }

    /// Returns the time at which the delayed hold was sent, if one is delayed.
    pub fn delayed_ack(&self) -> Option<Duration> {
        self.late_ack.sent_at()
    }

    /// Carries out the delayed hold.
    pub fn carry_out_delayed_ack(&mut self) {
        if let Some(action) = self.late_ack.take() {
            self.execute(&action, true);
        }
    }

    /// Returns whether an action is a hold to delay, and keeps it then.
    pub(super) fn delays_ack(&mut self, action: &Action) -> bool {
        let acknowledges = |order: &HoldOrder| order.ack.last_end > 0;
        self.late_ack.keeps(action, self.now, acknowledges)
    }

    /// Crashes a minion, and starts it again under its identifier after a while in which the site runs.
    pub fn restart_under_its_id(&mut self, id: &SmolStr, downtime: Duration) {
        let now = self.now;
        if let Some(minion) = self.minions.get_mut(id) {
            minion.crash(&mut self.records, now);
        }
        self.run(downtime);
        let now = self.now;
        if let Some(minion) = self.minions.get_mut(id) {
            minion.restart(now);
        }
    }

    /// Returns the runs that ended by this time and whose ends weren't acknowledged.
    pub fn unacknowledged_ends(&self, by: Duration) -> Vec<&Record> {
        let ended = self.records.iter().filter(|run| {
            let ended = run.end.is_some() && run.to.is_some_and(|at| at <= by);
            ended && !run.acked_before_lapse
        });
        ended.collect()
    }
}
