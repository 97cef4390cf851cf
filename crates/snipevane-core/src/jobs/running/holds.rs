//! Holds: long polls for the run lists of minions.
//!
//! A minion replies to a hold with its run list, at the latest when the wait of the hold is over.
//! The hold also renews the lease on the minion's runs and acknowledges the ends that are stored.

use std::time::Duration;

use crate::jobs::action::{Action, HoldOrder};
use crate::jobs::event::RepeatedOrder;
use crate::jobs::minions::minion::Minion;
use crate::jobs::model::keys::MinionKey;
use crate::jobs::scheduler::{Scheduler, SchedulerSettings};

impl Scheduler {
    /// Sends holds to minions that have runs, known or not, or ends to acknowledge, or whose last run list is
    /// missing, in doubt or too old.
    pub(in crate::jobs) fn send_holds(&mut self, now: Duration) {
        let settings = self.settings;
        let due = self
            .minions
            .iter()
            .filter(|(_, minion)| is_due(minion, &settings, now));
        let due: Vec<MinionKey> = due.map(|(key, _)| key).collect();
        for key in due {
            self.send_hold(key, now);
        }
        self.repeat_holds(now);
    }

    /// Repeats the holds whose replies are overdue.
    ///
    /// A minion that has become suspect is asked at once, although it may still answer a long poll.
    fn repeat_holds(&mut self, now: Duration) {
        let open = self
            .minions
            .iter()
            .filter(|(_, minion)| minion.holds.may_repeat());
        let open: Vec<MinionKey> = open.map(|(key, _)| key).collect();
        for key in open {
            let minion = &self.minions[key];
            let (holds, wait) = (minion.holds, minion.hold_wait);
            let is_newly_suspect = minion.suspect && !wait.is_zero();
            let may_repeat = if is_newly_suspect {
                self.take_early_repeat(key, &holds, now)
            } else {
                self.take_repeat(key, &holds, wait, now)
            };
            if may_repeat {
                self.repeat_hold(key, now);
            }
        }
    }

    /// Asks a minion for its runs at once, also if it may still answer a long poll, and places nothing on it until
    /// it has listed them.
    pub(in crate::jobs) fn ask_for_runs(&mut self, key: MinionKey, now: Duration) {
        let Some(minion) = self.minions.get_mut(key) else {
            return;
        };
        minion.suspect = true;
        self.ask_for_sign_of_life(key, now);
    }

    /// Asks a minion for its runs without delay, though it isn't in doubt.
    pub(in crate::jobs) fn ask_for_sign_of_life(&mut self, key: MinionKey, now: Duration) {
        let Some(minion) = self.minions.get_mut(key) else {
            return;
        };
        minion.hold_not_before = now;
        if minion.holds.may_repeat() {
            self.repeat_hold(key, now);
        }
    }

    /// Sends the present hold to a minion again, to be answered without waiting.
    fn repeat_hold(&mut self, key: MinionKey, now: Duration) {
        let (Some(to), Some(minion)) = (self.recipient(key), self.minions.get_mut(key)) else {
            return;
        };
        minion.holds.record_sent(now);
        let transmissions = minion.holds;
        minion.hold_wait = Duration::ZERO;
        // The clock of another incarnation may answer, on which this lease would end later.
        let lease_end_ms = minion.hold_lease_end_ms.filter(|_| !minion.suspect);
        if lease_end_ms.is_some() {
            minion.leases.record_sent(now);
        }
        let order = HoldOrder {
            to,
            lease_end_ms,
            ack: minion.acknowledgement(),
            wait: Duration::ZERO,
        };
        self.actions.push(Action::Hold(order));
        self.report_repeat(key, RepeatedOrder::Hold, &transmissions);
    }

    /// Sends a hold to a minion.
    ///
    /// The minion replies without waiting if it has no runs, hasn't accepted the fencing token yet, is suspect, or a
    /// start order waits for its sign of life. It waits for a shorter time if it has short tasks, runs on trial, or both
    /// best-effort and latency-sensitive tasks, or if it has left an order unanswered lately.
    fn send_hold(&mut self, key: MinionKey, now: Duration) {
        let Some(to) = self.recipient(key) else {
            return;
        };
        let settings = self.settings;
        let has_watched_tasks = self.has_short_tasks(key) || self.has_mixed_tasks(key);
        let is_urgent = self.awaits_sign_of_life(key);
        let Some(minion) = self.minions.get_mut(key) else {
            return;
        };
        let needs_short_wait = has_watched_tasks || minion.trial.is_some();
        let ack = minion.acknowledgement();
        let may_answer_later = minion.fence_accepted && !minion.suspect && !is_urgent;
        let may_wait = !minion.runs.is_empty() && may_answer_later;
        // The lease of an unreachable minion isn't renewed, so that it expires and its tasks can
        // start elsewhere.
        let lease = if minion.suspect || minion.leases_withheld {
            None
        } else {
            Some(settings.lease)
        };
        minion.holds.record_sent(now);
        minion.hold_lease_end_ms = lease.and_then(|lease| minion.leases.grant(lease, now));
        minion.hold_wait = match (may_wait, needs_short_wait) {
            (false, _) => Duration::ZERO,
            (true, _) if minion.is_doubtful(now) => settings.doubtful_hold_timeout,
            (true, true) => settings.short_hold_timeout,
            (true, false) => settings.hold_timeout,
        };
        let order = HoldOrder {
            to,
            lease_end_ms: minion.hold_lease_end_ms,
            ack,
            wait: minion.hold_wait,
        };
        self.actions.push(Action::Hold(order));
    }
}

impl Scheduler {
    /// Returns whether a minion has runs of short tasks, that is, of tasks that are neither
    /// long-running nor best-effort.
    pub(in crate::jobs) fn has_short_tasks(&self, key: MinionKey) -> bool {
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
    if minion.holds.is_open() || now < minion.hold_not_before {
        return false;
    }
    if !minion.runs.is_empty() || minion.has_unknown_runs {
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
