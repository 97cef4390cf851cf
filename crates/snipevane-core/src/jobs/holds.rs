//! Requests for lists of runs, which extend leases and acknowledge ends.

use std::time::Duration;

use super::action::{Action, HoldOrder};
use super::minion::{Minion, MinionKey};
use super::scheduler::{Scheduler, SchedulerSettings};

/// Age of the last list up to which its incarnation surely still answers; a restart takes longer.
const SAME_INCARNATION: Duration = Duration::from_millis(400);

impl Scheduler {
    /// Sends holds to minions that have runs, news to acknowledge, or weren't heard yet.
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

    fn send_hold(&mut self, key: MinionKey, now: Duration) {
        let Some(to) = self.recipient(key) else {
            return;
        };
        let settings = self.settings;
        let watched = self.has_short_tasks(key) || self.has_mixed_tasks(key);
        let Some(minion) = self.minions.get_mut(key) else {
            return;
        };
        minion.hold_in_flight = true;
        // Ends that a later incarnation has numbered alike must not be forgotten unread.
        let same = minion
            .last_contact
            .is_some_and(|at| now < at + SAME_INCARNATION);
        let ack = if same { minion.stored } else { 0 };
        minion.acked = minion.acked.max(ack);
        let waits = !minion.runs.is_empty() && minion.fence_raised && !minion.suspect;
        // While a minion is out of reach its leases run out, so that its tasks can go elsewhere.
        let lease = if minion.suspect {
            None
        } else {
            Some(settings.lease)
        };
        let order = HoldOrder {
            to,
            lease_end_ms: lease.and_then(|lease| minion.grant_lease(lease, now)),
            ack,
            wait: match (waits, watched) {
                (false, _) => Duration::ZERO,
                (true, true) => settings.short_hold_timeout,
                (true, false) => settings.hold_timeout,
            },
        };
        self.actions.push(Action::Hold(order));
    }
}

impl Scheduler {
    /// Returns whether a minion runs tasks that end by themselves.
    pub(super) fn has_short_tasks(&self, key: MinionKey) -> bool {
        let minion = self.minions.get(key);
        let mut runs = minion.into_iter().flat_map(|minion| &minion.runs);
        runs.any(|&run| {
            self.step_of(run)
                .is_some_and(|step| !step.long_running && !step.best_effort)
        })
    }
}

/// Returns whether a minion is to list its runs now.
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
    if !minion.fence_raised || minion.suspect || minion.stored > minion.acked {
        return true;
    }
    let last = minion.last_contact.unwrap_or(Duration::ZERO);
    now >= last + settings.idle_hold_interval
}
