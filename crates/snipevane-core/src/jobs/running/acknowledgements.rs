//! Acknowledgements of ends, which a minion then forgets.
//!
//! Each incarnation of a minion numbers its ends anew, so an acknowledgement that reaches the next one makes it forget
//! ends that nobody has read. Ends are therefore acknowledged only while no run is known that another incarnation may
//! have begun, and in holds that are answered at once. New starts wait for the answer, so that no incarnation that
//! has begun a run gets an acknowledgement for an earlier one. While starts are always on their way to a minion, new
//! ones also wait for a moment until the answers to the others show who has begun their runs.

use std::time::Duration;

use rustc_hash::FxHashSet;

use crate::jobs::minions::minion::{Minion, MinionKey, millis};
use crate::jobs::model::run::{HoldReply, RunKey};
use crate::jobs::scheduler::Scheduler;

/// Least time between two acknowledgements to one minion.
const ACK_INTERVAL: Duration = Duration::from_secs(2);

/// Least time between the beginnings of two pauses of the starts to one minion.
const PAUSE_INTERVAL: Duration = Duration::from_secs(1);

/// Longest time for which starts are held back at once.
const MAX_PAUSE: Duration = Duration::from_millis(300);

impl Minion {
    /// Returns whether the minion is to be told of stored ends now.
    pub(in crate::jobs) fn has_ends_to_acknowledge(&self, now: Duration) -> bool {
        let is_due = self.acked_at.is_none_or(|at| now >= at + ACK_INTERVAL);
        self.stored_seq > self.acked_seq && is_due
    }

    /// Returns whether new starts wait until ends can be acknowledged.
    pub(in crate::jobs) fn awaits_ack(&self, now: Duration) -> bool {
        let since = self.ack_awaited_since;
        !self.suspect && since.is_some_and(|since| now < since + MAX_PAUSE)
    }

    /// Returns whether ends were acknowledged of an incarnation that isn't known to have been alive since.
    fn has_doubtful_ack(&self) -> bool {
        self.sent_acks.last_ack_at() > Some(self.alive_at)
    }

    /// Holds back starts from now, unless that was done lately.
    fn await_ack(&mut self, now: Duration) {
        let since = self.ack_awaited_since;
        if since.is_none_or(|since| now >= since + PAUSE_INTERVAL) {
            self.ack_awaited_since = Some(now);
        }
    }

    /// Returns whether all runs are known to be of the known incarnation, so that a later one has begun none.
    fn has_proven_runs(&self) -> bool {
        let mut unproven = self.unproven_runs.iter();
        !unproven.any(|run| self.runs.contains(run))
    }

    /// Returns the number of the last end that may be acknowledged now; 0 if none is.
    fn next_ack(&mut self, now: Duration) -> u64 {
        if self.suspect || !self.has_ends_to_acknowledge(now) {
            return 0;
        }
        if !self.has_proven_runs() {
            self.await_ack(now);
            return 0;
        }
        self.acked_at = Some(now);
        self.ack_awaited_since = None;
        self.stored_seq
    }

    /// Records that the known incarnation has listed these runs.
    pub(in crate::jobs) fn prove_runs(&mut self, listed: &FxHashSet<RunKey>) {
        let runs = &self.runs;
        self.unproven_runs
            .retain(|run| runs.contains(run) && !listed.contains(run));
    }

    /// Returns whether only the known incarnation can have shown this clock in an answer that was received at `now`: a
    /// later one has started since the known one last answered.
    fn is_own_clock(&self, clock_ms: u64, now: Duration) -> bool {
        clock_ms > millis(now.saturating_sub(self.alive_at))
    }
}

impl Scheduler {
    /// Returns whether new starts to a minion wait for an acknowledgement of its ends.
    pub(in crate::jobs) fn holds_back_starts(&self, key: MinionKey, now: Duration) -> bool {
        let minion = self.minions.get(key);
        minion.is_some_and(|minion| minion.awaits_ack(now) || minion.has_doubtful_ack())
    }

    /// Returns the number of the last end that a hold may acknowledge now, and records that it does; 0 if it
    /// acknowledges none.
    pub(in crate::jobs) fn acknowledge_ends(&mut self, key: MinionKey, now: Duration) -> u64 {
        let Some(minion) = self.minions.get_mut(key) else {
            return 0;
        };
        let ack = minion.next_ack(now);
        minion.sent_acks.record_sent(ack, now);
        ack
    }

    /// Records the outcome of a hold as far as it concerns the ends that the hold has acknowledged.
    pub(in crate::jobs) fn acks_answered(
        &mut self,
        key: MinionKey,
        reply: &HoldReply,
        asked_at: Duration,
    ) {
        let Some(minion) = self.minions.get_mut(key) else {
            return;
        };
        if *reply == HoldReply::NoAnswer {
            return;
        }
        let ack = minion.sent_acks.record_answer(asked_at);
        if let HoldReply::Listed(list) = reply
            && minion.incarnation() == Some(list.started_unix_ms)
            && !minion.restarted_since(asked_at)
        {
            minion.acked_seq = minion.acked_seq.max(ack);
        }
    }

    /// Records that the known incarnation has begun a run, if the clock in the answer to its start shows that.
    pub(in crate::jobs) fn prove_run(
        &mut self,
        key: RunKey,
        clock_ms: Option<u64>,
        sent_at: Duration,
        now: Duration,
    ) {
        let minion = self.runs.get(key).map(|run| run.minion);
        let minion = minion.and_then(|minion| self.minions.get_mut(minion));
        let (Some(minion), Some(clock_ms)) = (minion, clock_ms) else {
            return;
        };
        if minion.is_own_clock(clock_ms, now) && !minion.restarted_since(sent_at) {
            minion.alive_at = minion.alive_at.max(sent_at);
            minion.unproven_runs.remove(&key);
        }
    }
}
