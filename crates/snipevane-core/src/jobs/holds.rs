//! Holds: long polls for the run lists of minions.
//!
//! A minion replies to a hold with its run list, at the latest when the wait of the hold is over.
//! The hold also renews the lease on the minion's runs and acknowledges the ends that are stored.

use std::time::Duration;

use super::action::{Action, HoldOrder};
use super::minion::{Minion, MinionKey};
use super::scheduler::{Scheduler, SchedulerSettings};

/// Lower bound of the time that a minion takes to restart.
///
/// If the last run list is more recent than that, the incarnation that sent it is certain to
/// receive the hold.
const MIN_RESTART_TIME: Duration = Duration::from_millis(400);

impl Scheduler {
    /// Sends holds to minions that have runs or ends to acknowledge, or whose last run list is
    /// missing, in doubt or too old.
    pub(super) fn send_holds(&mut self, now: Duration) {
        let settings = self.settings;
        let due = self
            .minions
            .iter()
            .filter(|(_, minion)| is_due(minion, &settings, now));
        let due: Vec<MinionKey> = due.map(|(key, _)| key).collect();
        for key in due {
            self.send_hold(key, now);
        }
    }

    /// Sends a hold to a minion.
    ///
    /// The minion replies without waiting if it has no runs, hasn't accepted the fencing token yet
    /// or is suspect. It waits for a shorter time if it has short tasks, or both best-effort and
    /// latency-sensitive ones.
    fn send_hold(&mut self, key: MinionKey, now: Duration) {
        let Some(to) = self.recipient(key) else {
            return;
        };
        let settings = self.settings;
        let needs_short_wait = self.has_short_tasks(key) || self.has_mixed_tasks(key);
        let Some(minion) = self.minions.get_mut(key) else {
            return;
        };
        minion.hold_in_flight = true;
        // Another incarnation may have used the same sequence numbers for ends that weren't read
        // yet, so nothing is acknowledged to a minion that may have restarted.
        let same_incarnation = minion
            .last_contact
            .is_some_and(|at| now < at + MIN_RESTART_TIME);
        let ack = if same_incarnation {
            minion.stored_seq
        } else {
            0
        };
        minion.acked_seq = minion.acked_seq.max(ack);
        let may_wait = !minion.runs.is_empty() && minion.fence_accepted && !minion.suspect;
        // The lease of an unreachable minion isn't renewed, so that it expires and its tasks can
        // start elsewhere.
        let lease = if minion.suspect {
            None
        } else {
            Some(settings.lease)
        };
        let order = HoldOrder {
            to,
            lease_end_ms: lease.and_then(|lease| minion.grant_lease(lease, now)),
            ack,
            wait: match (may_wait, needs_short_wait) {
                (false, _) => Duration::ZERO,
                (true, true) => settings.short_hold_timeout,
                (true, false) => settings.hold_timeout,
            },
        };
        self.actions.push(Action::Hold(order));
    }
}

impl Scheduler {
    /// Returns whether a minion has runs of short tasks, that is, of tasks that are neither
    /// long-running nor best-effort.
    pub(super) fn has_short_tasks(&self, key: MinionKey) -> bool {
        let minion = self.minions.get(key);
        let mut runs = minion.into_iter().flat_map(|minion| &minion.runs);
        runs.any(|&run| {
            self.step_of(run)
                .is_some_and(|step| !step.long_running && !step.best_effort)
        })
    }
}

/// Returns whether a hold should be sent to a minion now.
fn is_due(minion: &Minion, settings: &SchedulerSettings, now: Duration) -> bool {
    if minion.hold_in_flight || now < minion.hold_not_before {
        return false;
    }
    if !minion.runs.is_empty() {
        return true;
    }
    if !minion.listed {
        return false;
    }
    if !minion.fence_accepted || minion.suspect || minion.stored_seq > minion.acked_seq {
        return true;
    }
    let last = minion.last_contact.unwrap_or(Duration::ZERO);
    now >= last + settings.idle_hold_interval
}
