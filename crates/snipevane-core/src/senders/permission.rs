//! Permission to send orders under the scheduler's term.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Statement of the scheduler about its term, as sent in a heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TermGrant {
    /// Fencing token of the term.
    pub fence: u64,
    /// Remaining time of the term, in milliseconds, rounded down.
    pub remaining_ms: u64,
}

impl TermGrant {
    /// Creates the grant of a term that ends at `term_end`; `None` if it has ended by `now`.
    pub fn new(fence: u64, term_end: Duration, now: Duration) -> Option<Self> {
        let remaining = term_end.checked_sub(now)?;
        let remaining_ms = u64::try_from(remaining.as_millis()).ok()?;
        Some(Self {
            fence,
            remaining_ms,
        })
    }
}

/// Permission of an entry VM to send orders, as granted by the latest heartbeats.
///
/// All times are readings of the entry VM's monotonic clock, which includes time in suspension.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Permission {
    fence: u64,
    until: Duration,
}

impl Permission {
    /// Records a grant that came with the response to a request sent at `requested_at`.
    ///
    /// The remaining time was taken after the request was sent, so the permission ends no later than the
    /// term. A grant of an earlier term is ignored.
    pub fn renew(&mut self, grant: TermGrant, requested_at: Duration) {
        let until = requested_at + Duration::from_millis(grant.remaining_ms);
        if grant.fence > self.fence {
            self.fence = grant.fence;
            self.until = until;
        } else if grant.fence == self.fence {
            self.until = self.until.max(until);
        }
    }

    /// Returns the fencing token with which orders may be sent at `now`; `None` if there is none.
    pub fn valid_fence(&self, now: Duration) -> Option<u64> {
        (now < self.until).then_some(self.fence)
    }

    /// Returns whether orders with this fencing token may be sent at `now`.
    pub fn allows(&self, fence: u64, now: Duration) -> bool {
        self.valid_fence(now) == Some(fence)
    }
}
