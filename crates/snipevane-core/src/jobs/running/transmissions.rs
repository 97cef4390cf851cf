//! Transmissions of one order.
//!
//! Some minions leave part of their orders unanswered, although they answer the next one within
//! milliseconds. An order is therefore sent again before its timeout. It has an outcome once one
//! transmission is answered, or none of them in time.

use std::time::Duration;

/// Maximum number of transmissions of an order.
const MAX_TRANSMISSIONS: u32 = 6;

/// Longest time from the sending of a call until it arrives at the minion, in milliseconds.
const MAX_TRANSIT_MS: u64 = 4_500;

/// Longest time for which a minion leaves a call unanswered until it carries it out, in milliseconds.
const MAX_EXECUTION_DELAY_MS: u64 = 12_000;

/// Longest time after which a call without an answer is still carried out.
pub(in crate::jobs) const LATE_CALL_PERIOD: Duration =
    Duration::from_millis(MAX_TRANSIT_MS + MAX_EXECUTION_DELAY_MS);

/// Number of transmissions without a reply after which the recipient counts as suspect.
const SUSPECT_AFTER: u32 = 3;

/// What the outcome of a transmission says about its order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::jobs) enum Settled {
    /// The transmission belongs to an order whose outcome was known before.
    Superseded,
    /// Other transmissions of the order may still be answered.
    OthersOpen,
    /// It was the last open transmission of the order.
    Last,
}

/// Transmissions of the present order to one recipient, and the open ones of earlier orders.
#[derive(Clone, Copy, Debug, Default)]
pub struct Transmissions {
    /// Number of transmissions whose outcome isn't known, including those of earlier orders.
    outstanding: u32,
    /// Number of transmissions of the present order whose outcome isn't known.
    open: u32,
    /// Number of transmissions of the present order.
    sent: u32,
    /// Time of the last transmission of any order that was never answered, and may be carried out yet.
    unanswered_at: Option<Duration>,
    /// Whether a transmission was sent, and not only tried, that was never answered.
    may_have_arrived: bool,
    first_sent_at: Duration,
    last_sent_at: Duration,
}

impl Transmissions {
    /// Records a transmission. It is the first one of a new order if none is open.
    pub(in crate::jobs) fn record_sent(&mut self, now: Duration) {
        if self.open == 0 {
            self.sent = 0;
            self.first_sent_at = now;
        }
        self.last_sent_at = now;
        self.sent += 1;
        self.open += 1;
        self.outstanding += 1;
    }

    /// Records that the outcome of the transmission that was sent at `sent_at` is known.
    pub(in crate::jobs) fn settle(&mut self, sent_at: Duration) -> Settled {
        self.outstanding = self.outstanding.saturating_sub(1);
        if self.open == 0 || sent_at < self.first_sent_at {
            return Settled::Superseded;
        }
        self.open -= 1;
        if self.open == 0 {
            Settled::Last
        } else {
            Settled::OthersOpen
        }
    }

    /// Records that the transmission that was sent at `sent_at` is never answered.
    pub(in crate::jobs) fn record_unanswered(&mut self, sent_at: Duration) {
        self.unanswered_at = self.unanswered_at.max(Some(sent_at));
    }

    /// Records that a transmission without an answer may have arrived.
    pub(in crate::jobs) fn record_arrival_unknown(&mut self) {
        self.may_have_arrived = true;
    }

    /// Returns whether a transmission without an answer may have arrived.
    pub(in crate::jobs) fn may_have_arrived(&self) -> bool {
        self.may_have_arrived || self.is_outstanding()
    }

    /// Returns whether a transmission may be carried out yet that has no answer, or will have none.
    pub(in crate::jobs) fn may_be_carried_out(&self, now: Duration) -> bool {
        let unanswered_at = self.unanswered_at;
        self.is_outstanding() || unanswered_at.is_some_and(|at| now <= at + LATE_CALL_PERIOD)
    }

    /// Returns the time until which a transmission may be carried out that has no answer yet, or will have none;
    /// `None` if there is no such transmission.
    pub(in crate::jobs) fn carried_out_until(&self) -> Option<Duration> {
        let outstanding_at = self.is_outstanding().then_some(self.last_sent_at);
        let sent_at = self.unanswered_at.max(outstanding_at);
        sent_at.map(|at| at + LATE_CALL_PERIOD)
    }

    /// Records that the order has an outcome, whatever becomes of its open transmissions.
    pub(in crate::jobs) fn close(&mut self) {
        self.open = 0;
    }

    /// Returns whether the present order has no outcome yet.
    pub(in crate::jobs) fn is_open(&self) -> bool {
        self.open > 0
    }

    /// Returns whether any transmission may still be answered.
    pub fn is_outstanding(&self) -> bool {
        self.outstanding > 0
    }

    /// Returns whether so many transmissions of the present order are unanswered that its recipient
    /// is suspect.
    pub(in crate::jobs) fn is_suspect(&self) -> bool {
        self.open > 0 && self.sent > SUSPECT_AFTER
    }

    /// Returns whether the present order may be sent again.
    pub(in crate::jobs) fn may_repeat(&self) -> bool {
        self.open > 0 && self.sent < MAX_TRANSMISSIONS
    }

    /// Returns the number of transmissions of the present order.
    pub(in crate::jobs) fn count(&self) -> u32 {
        self.sent
    }

    /// Returns the time of the last transmission.
    pub(in crate::jobs) fn last_sent_at(&self) -> Duration {
        self.last_sent_at
    }
}
