//! Congestion window of the start orders.
//!
//! A scheduler whose VM or network link is too small for its load gets slow replies. If it kept
//! sending, replies would come after their timeouts, and the retries would add to the load. The
//! window bounds the start orders in flight: like that of TCP it grows with each timely reply and
//! shrinks when replies are slow. Orders without a reply say nothing here, as their minions may be
//! gone.

use std::time::Duration;

/// Number of start orders in flight that a new window allows.
const INITIAL_LIMIT: f64 = 256.0;

/// Bounds of the number of start orders in flight.
const MIN_LIMIT: f64 = 8.0;
const MAX_LIMIT: f64 = 2_048.0;

/// Factor by which a slow reply shrinks the window.
const DECREASE: f64 = 0.6;

/// Amount by which the window grows once as many orders were answered in time as it allows.
const ADDITIVE_INCREASE: f64 = 8.0;

/// Number of start orders that may be in flight.
#[derive(Clone, Copy, Debug)]
pub(in crate::jobs) struct StartWindow {
    limit: f64,
    /// Limit up to which the window grows by one with each timely reply.
    slow_start_until: f64,
    in_flight: usize,
    shrunk_at: Duration,
}

impl Default for StartWindow {
    fn default() -> Self {
        Self {
            limit: INITIAL_LIMIT,
            slow_start_until: MAX_LIMIT,
            in_flight: 0,
            shrunk_at: Duration::ZERO,
        }
    }
}

impl StartWindow {
    /// Records that a start order was sent.
    pub(in crate::jobs) fn order_sent(&mut self) {
        self.in_flight += 1;
    }

    /// Records that the outcome of a start order is known.
    pub(in crate::jobs) fn order_settled(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Returns how many more start orders may be sent.
    pub(in crate::jobs) fn available(&self) -> usize {
        self.limit().saturating_sub(self.in_flight)
    }

    /// Adapts the window to a reply to an order that was sent at `sent_at`, and returns whether the
    /// window has shrunk. Replies that take longer than `target` are slow.
    pub(in crate::jobs) fn record_reply(
        &mut self,
        sent_at: Duration,
        target: Duration,
        now: Duration,
    ) -> bool {
        let elapsed = now.saturating_sub(sent_at);
        if elapsed > target {
            return self.shrink(sent_at, now);
        }
        if self.in_flight * 2 >= self.limit() {
            self.grow();
        }
        false
    }

    /// Returns the number of start orders that may be in flight.
    pub(in crate::jobs) fn limit(&self) -> usize {
        self.limit as usize
    }

    fn grow(&mut self) {
        let increase = if self.limit < self.slow_start_until {
            1.0
        } else {
            ADDITIVE_INCREASE / self.limit
        };
        self.limit = (self.limit + increase).min(MAX_LIMIT);
    }

    /// Shrinks the window, at most once for the orders that were in flight at the same time. Returns
    /// whether it has shrunk.
    fn shrink(&mut self, sent_at: Duration, now: Duration) -> bool {
        if sent_at < self.shrunk_at {
            return false;
        }
        self.limit = (self.limit * DECREASE).max(MIN_LIMIT);
        self.slow_start_until = self.limit;
        self.shrunk_at = now;
        true
    }
}
