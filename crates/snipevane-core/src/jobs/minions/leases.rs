//! Leases that a minion was granted, and the time at which all of them are over.
//!
//! A lease ends at a time on the minion's clock, which starts anew with each incarnation. A call for an
//! incarnation may be carried out by the next one, which misreads its lease: on its own clock that may end far later,
//! at most after the longest lease that minions accept.

use std::time::Duration;

use super::minion::millis;
use crate::jobs::running::transmissions::LATE_CALL_PERIOD;

/// Lowest rate at which a minion's clock is assumed to run, in percent of the scheduler's clock.
const SLOWEST_CLOCK_PERCENT: u32 = 98;
const PERCENT: u32 = 100;

/// Longest time from the reading of a minion's clock until it arrives here.
const MAX_READING_AGE: Duration = Duration::from_secs(2);

/// A reading of a minion's clock, with the time at which the scheduler received it.
#[derive(Clone, Copy, Debug)]
struct ClockReading {
    minion_ms: u64,
    received_at: Duration,
}

/// Leases of the runs on a minion.
#[derive(Clone, Copy, Debug, Default)]
pub(in crate::jobs) struct Leases {
    clock: Option<ClockReading>,
    /// Time at which all leases are over that the present incarnation may have, even if its clock runs at the
    /// lowest rate.
    expire_at: Duration,
    /// Time at which a call with a lease on the present clock was last sent.
    last_sent_at: Option<Duration>,
    /// Whether a reply has shown another clock since the known incarnation's last list.
    may_be_misread: bool,
}

impl Leases {
    /// Creates the leases of a minion to which an earlier term may have sent calls.
    ///
    /// Those on the minion's own clock are over at `expire_at`. `last_sent_at` is the time by which that term had sent its
    /// last call.
    pub(in crate::jobs) fn new(expire_at: Duration, last_sent_at: Option<Duration>) -> Self {
        Self {
            clock: None,
            expire_at,
            last_sent_at,
            may_be_misread: false,
        }
    }

    /// Records a reading of the minion's clock that was received at `received_at`.
    ///
    /// A reading that was received before the last one, or that is below the lower bound derived
    /// from it, is ignored.
    pub(in crate::jobs) fn update_clock(&mut self, minion_ms: u64, received_at: Duration) {
        let is_newer = self
            .clock
            .is_none_or(|clock| received_at >= clock.received_at);
        if is_newer && minion_ms >= self.clock_lower_bound(received_at).unwrap_or(0) {
            self.clock = Some(ClockReading {
                minion_ms,
                received_at,
            });
        }
    }

    /// Returns the lowest value that the minion's clock can show now, in milliseconds; `None` if
    /// the clock hasn't been read.
    pub(in crate::jobs) fn clock_lower_bound(&self, now: Duration) -> Option<u64> {
        let clock = self.clock?;
        let elapsed = now.saturating_sub(clock.received_at) * SLOWEST_CLOCK_PERCENT / PERCENT;
        Some(clock.minion_ms + millis(elapsed))
    }

    /// Returns whether a reading that was received at `received_at` is lower than the known clock can show. One of another
    /// clock that shows more isn't told from it.
    pub(in crate::jobs) fn is_below_clock(&self, minion_ms: u64, received_at: Duration) -> bool {
        let lowest = self.clock_lower_bound(received_at).unwrap_or(0);
        minion_ms.saturating_add(millis(MAX_READING_AGE)) < lowest
    }

    /// Grants a lease of `length` from now and returns its end on the minion's clock, in
    /// milliseconds; `None` if the clock hasn't been read.
    pub(in crate::jobs) fn grant(&mut self, length: Duration, now: Duration) -> Option<u64> {
        let end = self.clock_lower_bound(now)? + millis(length);
        self.expire_at = self.expire_at.max(now + longest_lease(length));
        self.record_sent(now);
        Some(end)
    }

    /// Records that a call with a lease that was granted before is sent.
    pub(in crate::jobs) fn record_sent(&mut self, now: Duration) {
        self.last_sent_at = Some(now);
    }

    /// Records whether another incarnation may have been given the leases on the present clock.
    pub(in crate::jobs) fn set_may_be_misread(&mut self, may_be_misread: bool) {
        self.may_be_misread = may_be_misread;
    }

    /// Returns the time at which all leases are certain to be over, if minions accept leases of up to `max_lease`.
    pub(in crate::jobs) fn over_at(&self, max_lease: Duration) -> Duration {
        if self.may_be_misread {
            self.expire_at.max(self.misread_until(max_lease))
        } else {
            self.expire_at
        }
    }

    /// Returns the time at which leases on the present clock are over at the latest if another incarnation was
    /// given them, which grants up to `max_lease`.
    pub(in crate::jobs) fn misread_until(&self, max_lease: Duration) -> Duration {
        let sent_at = self.last_sent_at;
        sent_at.map_or(Duration::ZERO, |at| at + longest_misread(max_lease))
    }

    /// Counts the leases as lasting until this time at least.
    pub(in crate::jobs) fn extend(&mut self, until: Duration) {
        self.expire_at = self.expire_at.max(until);
    }

    /// Forgets the clock, as a later incarnation has another one. Its leases last until those on the clock before are
    /// over, if it was given them.
    pub(in crate::jobs) fn reset_clock(&mut self, max_lease: Duration) {
        self.extend(self.misread_until(max_lease));
        self.clock = None;
        self.last_sent_at = None;
        self.may_be_misread = false;
    }

    /// Returns the time since a call with a lease on the present clock was last sent, at `now`.
    pub(in crate::jobs) fn since_last_sent(&self, now: Duration) -> Option<Duration> {
        self.last_sent_at.map(|at| now.saturating_sub(at))
    }
}

/// Returns the longest time that a lease lasts, as it is measured on a minion's clock.
pub fn longest_lease(lease: Duration) -> Duration {
    lease * PERCENT / SLOWEST_CLOCK_PERCENT
}

/// Returns the longest time from the sending of a call with a lease until the lease is over, if an incarnation is given
/// it for which it wasn't meant.
pub(in crate::jobs) fn longest_misread(max_lease: Duration) -> Duration {
    LATE_CALL_PERIOD + longest_lease(max_lease)
}
