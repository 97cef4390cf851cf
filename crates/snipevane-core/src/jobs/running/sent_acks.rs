//! Acknowledgements of ends that are on their way to a minion.

use std::collections::VecDeque;
use std::time::Duration;

use super::transmissions::LATE_CALL_PERIOD;

/// A hold that isn't known to be answered.
#[derive(Clone, Copy, Debug)]
struct SentHold {
    sent_at: Duration,
    /// Number up to which it acknowledges ends; 0 if it acknowledges none.
    ack: u64,
}

/// Holds to one minion that aren't known to be answered, in the order in which they were sent.
///
/// A minion may carry out such a hold later, also in its next incarnation, which would then forget ends with the
/// same numbers.
#[derive(Clone, Debug, Default)]
pub(in crate::jobs) struct SentAcks {
    holds: VecDeque<SentHold>,
}

impl SentAcks {
    /// Records a hold that acknowledges the ends up to a number.
    pub(in crate::jobs) fn record_sent(&mut self, ack: u64, now: Duration) {
        while self
            .holds
            .pop_front_if(|hold| now > hold.sent_at + LATE_CALL_PERIOD)
            .is_some()
        {}
        self.holds.push_back(SentHold { sent_at: now, ack });
    }

    /// Records that the hold that left at `asked_at` is answered, and returns the number up to which it
    /// acknowledges ends.
    pub(in crate::jobs) fn record_answer(&mut self, asked_at: Duration) -> u64 {
        // A hold leaves just after the decision to send it.
        let index = self.holds.partition_point(|hold| hold.sent_at <= asked_at);
        let answered = index
            .checked_sub(1)
            .and_then(|index| self.holds.remove(index));
        answered.map_or(0, |hold| hold.ack)
    }

    /// Returns the time until which an acknowledgement without an answer may arrive.
    pub(in crate::jobs) fn arrive_until(&self) -> Duration {
        let last = self.last_ack_at();
        last.map_or(Duration::ZERO, |at| at + LATE_CALL_PERIOD)
    }

    /// Returns the time at which an acknowledgement was last sent that isn't known to be answered, if there is one.
    pub(in crate::jobs) fn last_ack_at(&self) -> Option<Duration> {
        let acks = self.holds.iter().filter(|hold| hold.ack > 0);
        acks.map(|hold| hold.sent_at).max()
    }
}
