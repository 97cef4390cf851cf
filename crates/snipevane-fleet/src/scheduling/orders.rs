//! Sends the scheduler's orders to minions and its requests to the advisor, and reports the
//! outcomes to the scheduler.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::Instant;

use snipevane_adapter::{Request, advisor, minion};
use snipevane_core::jobs::{
    Action, AdviceReply, AdviceRequest, HoldOrder, HoldReply, OrderReply, Recipient,
};

use crate::client::{CallError, Response};
use crate::clock::Clock;
use crate::events;
use crate::metrics;

use super::leader::Leader;
use super::notes::refusal_name;

/// Timeout for an order to a minion, other than a hold.
pub(crate) const ORDER_TIMEOUT: Duration = Duration::from_millis(500);

/// Time that the response to a hold may take beyond its wait.
const HOLD_TIMEOUT_MARGIN: Duration = Duration::from_millis(500);

/// Time after its timeout for which the response to a hold is still awaited: about the length of a
/// lease, as until then the minion's runs count as active.
const LATE_HOLD_GRACE: Duration = Duration::from_millis(5_500);

/// Maximum number of requests in flight to the advisor, which answers them one by one.
const ADVISOR_QUEUE_DEPTH: u32 = 4;

/// Time that the advisor's response may take beyond the expected latency.
const ADVICE_TIMEOUT_MARGIN: Duration = Duration::from_millis(500);

/// Executes an action and reports its outcome to the scheduler.
pub(super) async fn execute<C: Clock>(leader: Rc<Leader<C>>, action: Action) {
    match action {
        Action::Start(order) => {
            let sent_at = leader.node.clock.now();
            let reply = send(&leader, &order.to, minion::start_request(&order)).await;
            metrics::record_minion_call("start", reply_name(reply));
            let now = leader.node.clock.now();
            leader
                .scheduler
                .borrow_mut()
                .start_replied(&order, reply, sent_at, now);
        }
        Action::Stop(order) => {
            let sent_at = leader.node.clock.now();
            let reply = send(&leader, &order.to, minion::stop_request(&order)).await;
            metrics::record_minion_call("stop", reply_name(reply));
            let now = leader.node.clock.now();
            leader
                .scheduler
                .borrow_mut()
                .stop_replied(&order, reply, sent_at, now);
        }
        Action::Hold(order) => hold(&leader, &order).await,
        Action::SetCpuShare(order) => {
            let reply = send(&leader, &order.to, minion::cpu_share_request(&order)).await;
            metrics::record_minion_call("pace", reply_name(reply));
            let now = leader.node.clock.now();
            leader
                .scheduler
                .borrow_mut()
                .cpu_share_replied(&order, reply, now);
        }
        Action::RequestAdvice(order) => request_advice(&leader, &order).await,
    }
    leader.wake.notify_one();
}

async fn send<C: Clock>(leader: &Leader<C>, to: &Recipient, request: Request) -> OrderReply {
    match call(leader, to, request, ORDER_TIMEOUT).await {
        Ok(response) => minion::decode_reply(response.status, &response.body),
        Err(CallError::NotSent) => OrderReply::NotSent,
        Err(CallError::NoAnswer) => OrderReply::NoAnswer,
    }
}

/// Sends a hold, which lists a minion's runs and extends its leases, and reports the outcome to the
/// scheduler. A reply that comes after the timeout is reported too.
async fn hold<C: Clock>(leader: &Leader<C>, order: &HoldOrder) {
    let sent_at = leader.node.clock.now();
    let overdue = Cell::new(false);
    let on_timeout = || {
        overdue.set(true);
        report_hold(leader, order, HoldReply::NoAnswer, sent_at);
        leader.wake.notify_one();
    };
    let reply = match call_hold(leader, order, on_timeout).await {
        Ok(response) => hold_reply(&response),
        Err(_) => HoldReply::NoAnswer,
    };
    if overdue.get() {
        report_late_hold(leader, order, reply, sent_at);
    } else {
        report_hold(leader, order, reply, sent_at);
    }
}

/// Sends a hold, unless the term no longer allows orders, and calls `on_timeout` if it isn't
/// answered in time.
async fn call_hold<C: Clock>(
    leader: &Leader<C>,
    order: &HoldOrder,
    on_timeout: impl FnOnce(),
) -> Result<Response, CallError> {
    let address = order_address(leader, &order.to)?;
    let limit = order.wait + HOLD_TIMEOUT_MARGIN;
    let request = |opened_at| hold_request(leader, order, opened_at);
    let client = &leader.node.client;
    client
        .call_with_late_response(
            address,
            request,
            limit,
            LATE_HOLD_GRACE,
            || leader.may_send_orders(),
            on_timeout,
        )
        .await
}

/// Builds a hold for a connection that was opened at `opened_at`.
fn hold_request<C: Clock>(leader: &Leader<C>, order: &HoldOrder, opened_at: Instant) -> Request {
    // The age is read first: a pause in between makes the connection look younger, not older.
    let age = opened_at.elapsed();
    let opened_at = leader.node.clock.now().saturating_sub(age);
    minion::hold_request(order, order.ack.on_connection(opened_at))
}

/// Reports the outcome of a hold to the scheduler.
fn report_hold<C: Clock>(
    leader: &Leader<C>,
    order: &HoldOrder,
    reply: HoldReply,
    sent_at: Duration,
) {
    if reply == HoldReply::NoAnswer {
        log::debug!("no valid list of runs from minion {}", order.to.id);
    }
    metrics::record_minion_call("hold", hold_reply_name(&reply));
    let now = leader.node.clock.now();
    let unix_ms = leader.node.clock.unix_ms();
    let mut scheduler = leader.scheduler.borrow_mut();
    scheduler.hold_replied(&order.to, reply, sent_at, now, unix_ms);
}

/// Reports the reply to a hold that was reported as unanswered before.
fn report_late_hold<C: Clock>(
    leader: &Leader<C>,
    order: &HoldOrder,
    reply: HoldReply,
    sent_at: Duration,
) {
    metrics::record_minion_call("late_hold", hold_reply_name(&reply));
    let now = leader.node.clock.now();
    let unix_ms = leader.node.clock.unix_ms();
    let mut scheduler = leader.scheduler.borrow_mut();
    scheduler.hold_replied_late(&order.to, reply, sent_at, now, unix_ms);
}

/// Requests advice on a step and reports it to the scheduler; logs when the advisor stops answering
/// and when it answers again.
async fn request_advice<C: Clock>(leader: &Leader<C>, order: &AdviceRequest) {
    let sent_at = leader.node.clock.now();
    let reply = call_advisor(leader, order).await;
    let reachable = reply != AdviceReply::NoAnswer;
    if leader.advisor_reachable.replace(reachable) != reachable {
        let kind = if reachable {
            &events::ADVISOR_REGAINED
        } else {
            &events::ADVISOR_LOST
        };
        events::record(kind, &[&order.step]);
    }
    let now = leader.node.clock.now();
    let mut scheduler = leader.scheduler.borrow_mut();
    scheduler.advice_replied(order, reply, sent_at, now);
}

/// Sends a request to the advisor. No advisor in the settings, an error status and a malformed
/// response all count as no answer.
async fn call_advisor<C: Clock>(leader: &Leader<C>, order: &AdviceRequest) -> AdviceReply {
    let Some(address) = leader.node.settings.advisor_address else {
        return AdviceReply::NoAnswer;
    };
    // The advisor may answer other requests first.
    let limit = order.expected_latency * ADVISOR_QUEUE_DEPTH + ADVICE_TIMEOUT_MARGIN;
    let call = leader
        .node
        .client
        .call(address, advisor::advice_request(order), limit);
    match call.await {
        Ok(response) if response.status == 200 => advisor::decode_advice(&response.body)
            .unwrap_or_else(|error| {
                log::warn!("can't decode the advisor's response, ignoring it: {error}");
                AdviceReply::NoAnswer
            }),
        Ok(_) | Err(_) => AdviceReply::NoAnswer,
    }
}

fn hold_reply(response: &Response) -> HoldReply {
    if response.status != 200 {
        let refusal = minion::decode_hold_refusal(response.status, &response.body);
        return refusal.map_or(HoldReply::NoAnswer, HoldReply::Refused);
    }
    match minion::decode_runs(&response.body) {
        Ok(list) => HoldReply::Listed(list),
        Err(error) => {
            log::warn!("can't decode a minion's list of runs, ignoring it: {error}");
            HoldReply::NoAnswer
        }
    }
}

/// Returns the metric label of an order's outcome.
pub(crate) fn reply_name(reply: OrderReply) -> &'static str {
    match reply {
        OrderReply::Done { .. } => "done",
        OrderReply::Refused(refusal) => refusal_name(refusal),
        OrderReply::NoAnswer => "no_answer",
        OrderReply::NotSent => "not_sent",
    }
}

/// Returns the metric label of a hold's outcome.
fn hold_reply_name(reply: &HoldReply) -> &'static str {
    match reply {
        HoldReply::Listed(_) => "done",
        HoldReply::Refused(refusal) => refusal_name(*refusal),
        HoldReply::NoAnswer => "no_answer",
    }
}

/// Sends a request to a minion, unless the term no longer allows orders.
async fn call<C: Clock>(
    leader: &Leader<C>,
    to: &Recipient,
    request: Request,
    limit: Duration,
) -> Result<Response, CallError> {
    let address = order_address(leader, to)?;
    let may_send = || leader.may_send_orders();
    let client = &leader.node.client;
    client.call_if(address, request, limit, may_send).await
}

/// Returns the address to send an order to; an error if the address is invalid or the term no
/// longer allows orders.
fn order_address<C: Clock>(leader: &Leader<C>, to: &Recipient) -> Result<SocketAddr, CallError> {
    if !leader.may_send_orders() {
        return Err(CallError::NotSent);
    }
    to.address.parse().map_err(|_| CallError::NotSent)
}
