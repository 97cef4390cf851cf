//! Network between the scheduler and the minions, whose bandwidth all calls share.

use std::collections::{BTreeMap, VecDeque};
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
    /// Incarnation that alone the call may reach, if it depends on its connection.
    insists_on: Option<u64>,
    pub(super) sent_at: Duration,
    pub(super) outcome: Option<Outcome>,
    /// Whether the call was reported as unanswered.
    pub(super) overdue: bool,
}

/// Time after its timeout for which a late reply to a hold is awaited.
const LATE_HOLD_GRACE: Duration = Duration::from_millis(5_500);

/// Network with the same bandwidth in both directions.
///
/// A call that isn't answered in time is given up, as the daemon does. Late replies to holds are still
/// delivered.
pub struct Network {
    latency: Duration,
    requests: Link,
    replies: Link,
    /// Replies that were transmitted, with the times at which they arrive.
    in_transit: VecDeque<(Duration, CallNumber)>,
    calls: BTreeMap<CallNumber, Call>,
    next: CallNumber,
}

impl Network {
    /// Creates an idle network with a bandwidth in bytes per second, on which a reply takes `latency`
    /// in addition to its transmission.
    pub fn new(bytes_per_s: f64, latency: Duration) -> Self {
        Self {
            latency,
            requests: Link::new(bytes_per_s),
            replies: Link::new(bytes_per_s),
            in_transit: VecDeque::new(),
            calls: BTreeMap::new(),
            next: 0,
        }
    }

    /// Sets the time that a reply takes in addition to its transmission.
    pub fn set_latency(&mut self, latency: Duration) {
        self.latency = latency;
    }

    /// Sends an order, which may reach only the incarnation that it insists on, if any.
    pub(super) fn send(&mut self, action: Action, insists_on: Option<u64>, now: Duration) {
        let bytes = match &action {
            Action::Start(order) => MESSAGE_BYTES + order.payload.len(),
            _ => MESSAGE_BYTES,
        };
        self.requests.send(self.next, bytes);
        let call = Call {
            action,
            insists_on,
            sent_at: now,
            outcome: None,
            overdue: false,
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

    /// Returns the incarnation that alone an open call may reach, if any.
    pub(super) fn insists_on(&self, number: CallNumber) -> Option<u64> {
        self.calls[&number].insists_on
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
    pub(super) fn arrived_replies(&mut self, now: Duration) -> Vec<(Call, Outcome)> {
        let transmitted = self.replies.advance(|_| true);
        let arrival = now + self.latency;
        self.in_transit
            .extend(transmitted.into_iter().map(|number| (arrival, number)));
        let due = self.in_transit.partition_point(|(at, _)| *at <= now);
        let arrived: Vec<_> = self.in_transit.drain(..due).collect();
        let answered = arrived.into_iter().filter_map(|(_, number)| {
            let mut call = self.calls.remove(&number)?;
            let outcome = call.outcome.take()?;
            Some((call, outcome))
        });
        answered.collect()
    }

    /// Returns the calls whose timeout has passed. Holds stay open for a late reply, for up to
    /// [`LATE_HOLD_GRACE`]; the others are given up.
    pub(super) fn expired(&mut self, now: Duration) -> Vec<Call> {
        let mut expired = Vec::new();
        self.calls.retain(|_, call| {
            if now < call.sent_at + ORDER_TIMEOUT {
                return true;
            }
            if !call.overdue {
                expired.push(call.clone());
                call.overdue = true;
            }
            let is_hold = matches!(call.action, Action::Hold(_));
            is_hold && now < call.sent_at + ORDER_TIMEOUT + LATE_HOLD_GRACE
        });
        expired
    }
}
