//! Sends start orders on behalf of the scheduler.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use snipevane_adapter::minion;
use snipevane_core::jobs::{OrderReply, StartOrder};
use snipevane_core::senders::{Permission, SenderOffer, TermGrant, max_orders_in_flight};

use super::messages::{BatchRefusal, Outcome, StartsRequest};
use super::outcome_stream::{OutcomeReporter, OutcomeStream};
use crate::client::CallError;
use crate::clock::Clock;
use crate::metrics;
use crate::node::Node;
use crate::peers;
use crate::scheduling::{ORDER_TIMEOUT, reply_name};

/// Factor by which more orders are accepted than the scheduler sends: after a takeover, orders of the
/// previous term may still be in flight.
const ACCEPTANCE_FACTOR: usize = 2;

/// State of this process as a sender.
#[derive(Debug, Default)]
pub struct OrderSender {
    permission: Cell<Permission>,
    orders_in_flight: Cell<usize>,
}

impl OrderSender {
    /// Records a grant that came with the heartbeat that was requested at `requested_at`.
    pub(crate) fn renew_permission(&self, grant: TermGrant, requested_at: Duration) {
        let mut permission = self.permission.get();
        permission.renew(grant, requested_at);
        self.permission.set(permission);
    }
}

/// Time until which the orders of a batch may be sent, with the fencing token that they carry.
#[derive(Clone, Copy)]
struct Validity {
    fence: u64,
    expires_clock_ms: u64,
}

impl Validity {
    /// Returns whether an order may be sent now: the permission is valid for the fencing token and the
    /// batch hasn't expired.
    fn allows<C: Clock>(self, node: &Node<C>) -> bool {
        let now = node.clock.now();
        let permitted = node.order_sender.permission.get().allows(self.fence, now);
        permitted && clock_ms(now) < self.expires_clock_ms
    }
}

/// Returns this process's offer to send orders; `None` if it is stopping.
pub(crate) fn offer<C: Clock>(node: &Node<C>) -> Option<SenderOffer> {
    if node.stopping.get() {
        return None;
    }
    let now = node.clock.now();
    let permission = node.order_sender.permission.get();
    Some(SenderOffer {
        zone: node.settings.zone.clone(),
        address: peers::own_address(node).into(),
        capacity: node.settings.capacity,
        clock_ms: clock_ms(now),
        permitted_fence: permission.valid_fence(now).unwrap_or(0),
    })
}

/// Sends the orders of a batch to their minions, and returns the response body that reports the outcomes.
///
/// # Errors
///
/// Returns an error if no order of the batch is sent.
pub(crate) fn send_starts<C: Clock>(
    node: &Rc<Node<C>>,
    request: StartsRequest,
) -> Result<OutcomeStream, BatchRefusal> {
    let validity = Validity {
        fence: request.fence,
        expires_clock_ms: request.expires_clock_ms,
    };
    let orders = request.into_orders().ok_or(BatchRefusal::Invalid)?;
    if !validity.allows(node) {
        return Err(BatchRefusal::NotPermitted);
    }
    let in_flight = node.order_sender.orders_in_flight.get() + orders.len();
    let limit = max_orders_in_flight(&node.settings.capacity) * ACCEPTANCE_FACTOR;
    if node.stopping.get() || in_flight > limit {
        return Err(BatchRefusal::Busy);
    }
    node.order_sender.orders_in_flight.set(in_flight);
    let (reporter, outcomes) = OutcomeStream::new();
    for (start, order) in orders.into_iter().enumerate() {
        let (node, reporter) = (node.clone(), reporter.clone());
        tokio::task::spawn_local(async move {
            let reply = send_start(&node, &order, validity, &reporter).await;
            let in_flight = &node.order_sender.orders_in_flight;
            in_flight.set(in_flight.get() - 1);
            reporter.report(Outcome::new(start, reply));
        });
    }
    Ok(outcomes)
}

/// Sends an order to its minion; returns its reply, or `None` if the order wasn't sent.
async fn send_start<C: Clock>(
    node: &Node<C>,
    order: &StartOrder,
    validity: Validity,
    reporter: &OutcomeReporter,
) -> Option<OrderReply> {
    let Ok(address) = order.to.address.parse() else {
        log::warn!("invalid address of minion {}", order.to.id);
        return Some(OrderReply::NoAnswer);
    };
    let refused = Cell::new(false);
    let may_send = || {
        // A scheduler that no longer waits sends the order again itself.
        let allowed = validity.allows(node) && reporter.is_awaited();
        refused.set(!allowed);
        allowed
    };
    let request = minion::start_request(order);
    let call = node
        .client
        .call_if(address, request, ORDER_TIMEOUT, may_send);
    let reply = match call.await {
        Ok(response) => minion::decode_reply(response.status, &response.body),
        Err(CallError::NotSent) if refused.get() => return None,
        // A minion that can't be connected to counts as silent, although the batch expires before the
        // attempt times out.
        Err(CallError::NotSent) => OrderReply::NotSent,
        Err(CallError::NoAnswer) => OrderReply::NoAnswer,
    };
    metrics::record_minion_call("start_for_scheduler", reply_name(reply));
    Some(reply)
}

fn clock_ms(now: Duration) -> u64 {
    u64::try_from(now.as_millis()).unwrap_or(u64::MAX)
}
