//! Decides when an order without a reply is sent again.
//!
//! The load that this answers: part of the minions leave part of their orders unanswered for some
//! seconds, and carry them out late. Repeats are harmless, as starts, stops and holds are idempotent
//! by the attempt number of their run. They must not add to the load of a scheduler whose own VM or
//! network link is slow. So a reply is overdue only if an order that was sent later has been
//! answered, as in TCP's detection of losses by time (RFC 8985), or after a longer time; and each
//! repeat is paid for by a reply.

use std::time::Duration;

use crate::reply_time::ReplyTime;

use super::repeat_budget::RepeatBudget;
use super::transmissions::Transmissions;
use crate::jobs::event::{RepeatedOrder, SchedulerEvent};
use crate::jobs::model::keys::MinionKey;
use crate::jobs::scheduler::Scheduler;

/// Time after which a reply is overdue if no reply time was measured lately.
const DEFAULT_REPLY_TIMEOUT: Duration = Duration::from_millis(120);

/// Bounds of the time after which a reply is overdue.
const MIN_REPLY_TIMEOUT: Duration = Duration::from_millis(40);
const MAX_REPLY_TIMEOUT: Duration = Duration::from_millis(400);

/// Number of orders that are sent again to a minion that replies to none of them.
const MAX_REPEATS_WITHOUT_REPLY: u32 = 8;

/// Factor by which a reply must be overdue while no order that was sent later is answered.
const UNCONFIRMED_FACTOR: u32 = 3;

/// Replies to orders as far as they matter for repeats.
#[derive(Clone, Copy, Debug, Default)]
pub(in crate::jobs) struct Replies {
    /// Times that the replies of all minions take.
    pub(in crate::jobs) time: ReplyTime,
    /// Latest time at which an order was sent that has been answered.
    answered_sent_at: Duration,
    budget: RepeatBudget,
}

impl Scheduler {
    /// Records a reply of a minion to an order that was sent at `sent_at` and that it answers at
    /// once.
    pub(in crate::jobs) fn record_prompt_reply(
        &mut self,
        key: MinionKey,
        sent_at: Duration,
        now: Duration,
    ) {
        let elapsed = now.saturating_sub(sent_at);
        self.replies.time.record(elapsed, now);
        if let Some(minion) = self.minions.get_mut(key) {
            minion.reply_time.record(elapsed, now);
        }
        self.record_reply(key, sent_at);
    }

    /// Records a reply of a minion to an order that was sent at `sent_at`.
    pub(in crate::jobs) fn record_reply(&mut self, key: MinionKey, sent_at: Duration) {
        if let Some(minion) = self.minions.get_mut(key) {
            minion.repeats_since_reply = 0;
        }
        self.replies.answered_sent_at = self.replies.answered_sent_at.max(sent_at);
        self.replies.budget.record_reply();
    }

    /// Returns whether an order is to be sent again now, and takes the repeat out of the budget.
    ///
    /// `wait` is the time for which the minion may hold back its reply.
    pub(in crate::jobs) fn take_repeat(
        &mut self,
        key: MinionKey,
        order: &Transmissions,
        wait: Duration,
        now: Duration,
    ) -> bool {
        self.is_overdue(key, order, wait, now) && self.take_early_repeat(key, order, now)
    }

    /// Returns whether an order may be sent again although its reply isn't overdue, and takes the repeat
    /// out of the budget.
    pub(in crate::jobs) fn take_early_repeat(
        &mut self,
        key: MinionKey,
        order: &Transmissions,
        now: Duration,
    ) -> bool {
        if !order.may_repeat() || self.is_silent(key) || !self.replies.budget.take() {
            return false;
        }
        if let Some(minion) = self.minions.get_mut(key) {
            minion.repeated_at = Some(now);
            minion.repeats_since_reply += 1;
        }
        true
    }

    /// Reports that an order was sent again.
    pub(in crate::jobs) fn report_repeat(
        &mut self,
        key: MinionKey,
        order: RepeatedOrder,
        transmissions: &Transmissions,
    ) {
        self.events.push(SchedulerEvent::OrderRepeated {
            order,
            minion: self.minion_id(key),
            transmissions: transmissions.count(),
        });
    }

    /// Returns whether a minion has replied to none of many orders that were sent to it again.
    fn is_silent(&self, key: MinionKey) -> bool {
        let minion = self.minions.get(key);
        minion.is_none_or(|minion| minion.repeats_since_reply >= MAX_REPEATS_WITHOUT_REPLY)
    }

    fn is_overdue(
        &self,
        key: MinionKey,
        order: &Transmissions,
        wait: Duration,
        now: Duration,
    ) -> bool {
        let patience = self.reply_timeout(key, now);
        let due_at = order.last_sent_at() + wait;
        let later_one_answered = self.replies.answered_sent_at > due_at;
        if later_one_answered {
            now >= due_at + patience
        } else {
            now >= due_at + patience * UNCONFIRMED_FACTOR
        }
    }

    /// Returns the time after which a minion's reply is overdue.
    fn reply_timeout(&self, key: MinionKey, now: Duration) -> Duration {
        let of_minion = self
            .minions
            .get(key)
            .and_then(|minion| minion.reply_time.upper_bound(now));
        let of_all = self.replies.time.upper_bound(now);
        let measured = of_minion.max(of_all);
        measured
            .unwrap_or(DEFAULT_REPLY_TIMEOUT)
            .clamp(MIN_REPLY_TIMEOUT, MAX_REPLY_TIMEOUT)
    }
}
