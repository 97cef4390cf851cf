//! Network between the scheduler and the minions, whose bandwidth all calls share.

use std::collections::BTreeMap;
use std::time::Duration;

use snipevane_core::jobs::{Action, HoldReply};

use super::job_site::{ORDER_TIMEOUT, Outcome};
use super::link::{CallNumber, Link};

/// Size of a request or a reply without the payload or the runs that it contains, in bytes.
const MESSAGE_BYTES: usize = 250;

/// Size of one run in a run list, in bytes.
const LISTED_RUN_BYTES: usize = 60;

/// A call of the scheduler to a minion.
#[derive(Clone)]
pub(super) struct Call {
    pub(super) action: Action,
    pub(super) sent_at: Duration,
    pub(super) outcome: Option<Outcome>,
}

/// Network with the same bandwidth in both directions.
///
/// A call that isn't answered in time is given up, as the daemon does.
pub struct Network {
    requests: Link,
    replies: Link,
    calls: BTreeMap<CallNumber, Call>,
    next: CallNumber,
}

impl Network {
    /// Creates an idle network with a bandwidth in bytes per second.
    pub fn new(bytes_per_s: f64) -> Self {
        Self {
            requests: Link::new(bytes_per_s),
            replies: Link::new(bytes_per_s),
            calls: BTreeMap::new(),
            next: 0,
        }
    }

    /// Sends an order.
    pub(super) fn send(&mut self, action: Action, now: Duration) {
        let bytes = match &action {
            Action::Start(order) => MESSAGE_BYTES + order.payload.len(),
            _ => MESSAGE_BYTES,
        };
        self.requests.send(self.next, bytes);
        let call = Call {
            action,
            sent_at: now,
            outcome: None,
        };
        self.calls.insert(self.next, call);
        self.next += 1;
    }

    /// Transmits requests for one tick, and returns the calls whose request has arrived.
    pub(super) fn arrived_requests(&mut self) -> Vec<CallNumber> {
        let calls = &self.calls;
        self.requests.advance(|number| calls.contains_key(&number))
    }

    /// Returns the order of an open call.
    pub(super) fn action(&self, number: CallNumber) -> &Action {
        &self.calls[&number].action
    }

    /// Sends the reply to a call.
    pub(super) fn reply(&mut self, number: CallNumber, outcome: Outcome) {
        let runs = match &outcome {
            Outcome::Hold(HoldReply::Listed(list), _) => list.active.len() + list.ended.len(),
            _ => 0,
        };
        let bytes = MESSAGE_BYTES + LISTED_RUN_BYTES * runs;
        self.replies.send(number, bytes);
        if let Some(call) = self.calls.get_mut(&number) {
            call.outcome = Some(outcome);
        }
    }

    /// Transmits replies for one tick, and returns those that have arrived, with their calls.
    pub(super) fn arrived_replies(&mut self) -> Vec<(Call, Outcome)> {
        let arrived = self.replies.advance(|_| true);
        let answered = arrived.into_iter().filter_map(|number| {
            let mut call = self.calls.remove(&number)?;
            let outcome = call.outcome.take()?;
            Some((call, outcome))
        });
        answered.collect()
    }

    /// Gives up the calls that have been open for too long, and returns them.
    pub(super) fn expired(&mut self, now: Duration) -> Vec<Call> {
        let calls = std::mem::take(&mut self.calls);
        let (expired, open): (BTreeMap<_, _>, BTreeMap<_, _>) = calls
            .into_iter()
            .partition(|(_, call)| now >= call.sent_at + ORDER_TIMEOUT);
        self.calls = open;
        expired.into_values().collect()
    }
}
