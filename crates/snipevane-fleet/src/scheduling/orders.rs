//! Sends orders to minions and reports what came of them.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use snipevane_adapter::{Request, advisor, minion};
use snipevane_core::jobs::{
    Action, AdviceOrder, AdviceReply, HoldOrder, HoldReply, OrderReply, Recipient,
};

use crate::client::{CallError, Response};
use crate::clock::Clock;
use crate::events;
use crate::metrics;

use super::lead::Lead;
use super::notes::refusal_name;

/// Longest time that a minion takes to answer an order.
const ORDER_LIMIT: Duration = Duration::from_millis(500);

/// Time that the answer to a hold may take beyond its wait.
const HOLD_SLACK: Duration = Duration::from_millis(500);

/// Questions to the advisor that may be under way, answered one by one.
const ADVICE_QUEUE: u32 = 4;

/// Time that the advisor's answer may take longer.
const ADVICE_SLACK: Duration = Duration::from_millis(500);

/// Carries out an order and tells the scheduler what came of it.
pub(super) async fn carry_out<C: Clock>(lead: Rc<Lead<C>>, action: Action) {
    match action {
        Action::Start(order) => {
            let reply = send(&lead, &order.to, minion::start(&order)).await;
            metrics::record_minion_call("start", reply_name(reply));
            let now = lead.node.clock.now();
            lead.scheduler
                .borrow_mut()
                .start_replied(order.run, reply, now);
        }
        Action::Stop(order) => {
            let reply = send(&lead, &order.to, minion::stop(&order)).await;
            metrics::record_minion_call("stop", reply_name(reply));
            let now = lead.node.clock.now();
            lead.scheduler
                .borrow_mut()
                .stop_replied(order.run, reply, now);
        }
        Action::Hold(order) => hold(&lead, &order).await,
        Action::Pace(order) => {
            let reply = send(&lead, &order.to, minion::pace(&order)).await;
            metrics::record_minion_call("pace", reply_name(reply));
            lead.scheduler.borrow_mut().pace_replied(&order, reply);
        }
        Action::Ask(order) => ask(&lead, &order).await,
    }
    lead.wake.notify_one();
}

async fn send<C: Clock>(lead: &Lead<C>, to: &Recipient, request: Request) -> OrderReply {
    match call(lead, to, request, ORDER_LIMIT).await {
        Ok(answer) => minion::decode_reply(answer.status, &answer.body),
        Err(_) => OrderReply::NoAnswer,
    }
}

async fn hold<C: Clock>(lead: &Lead<C>, order: &HoldOrder) {
    let asked_at = lead.node.clock.now();
    let limit = order.wait + HOLD_SLACK;
    let reply = match call(lead, &order.to, minion::hold(order), limit).await {
        Ok(answer) => hold_reply(&answer),
        Err(_) => HoldReply::NoAnswer,
    };
    if reply == HoldReply::NoAnswer {
        log::debug!("minion {} doesn't list its runs", order.to.id);
    }
    metrics::record_minion_call("hold", hold_name(&reply));
    let now = lead.node.clock.now();
    let unix_ms = lead.node.clock.unix_ms();
    let mut scheduler = lead.scheduler.borrow_mut();
    scheduler.hold_replied(order.to.minion, reply, asked_at, now, unix_ms);
}

/// Asks the advisor.
async fn ask<C: Clock>(lead: &Lead<C>, order: &AdviceOrder) {
    let asked_at = lead.node.clock.now();
    let reply = advice(lead, order).await;
    let answers = reply != AdviceReply::NoAnswer;
    if lead.advisor_answers.replace(answers) != answers {
        let kind = if answers {
            &events::ADVISOR_REGAINED
        } else {
            &events::ADVISOR_LOST
        };
        events::record(kind, &[&order.step]);
    }
    let now = lead.node.clock.now();
    let mut scheduler = lead.scheduler.borrow_mut();
    scheduler.advice_replied(order, reply, asked_at, now);
}

async fn advice<C: Clock>(lead: &Lead<C>, order: &AdviceOrder) -> AdviceReply {
    let Some(address) = lead.node.settings.advisor else {
        return AdviceReply::NoAnswer;
    };
    // Other questions may be answered before.
    let limit = order.takes * ADVICE_QUEUE + ADVICE_SLACK;
    let call = lead.node.client.call(address, advisor::ask(order), limit);
    match call.await {
        Ok(answer) if answer.status == 200 => {
            advisor::decode_advice(&answer.body).unwrap_or_else(|error| {
                log::warn!("{error}");
                AdviceReply::NoAnswer
            })
        }
        Ok(_) | Err(_) => AdviceReply::NoAnswer,
    }
}

fn hold_reply(answer: &Response) -> HoldReply {
    if answer.status != 200 {
        let refusal = minion::decode_hold_refusal(answer.status, &answer.body);
        return refusal.map_or(HoldReply::NoAnswer, HoldReply::Refused);
    }
    match minion::decode_runs(&answer.body) {
        Ok(list) => HoldReply::Listed(list),
        Err(error) => {
            log::warn!("{error}");
            HoldReply::NoAnswer
        }
    }
}

/// Returns the name of an order's outcome in metrics.
fn reply_name(reply: OrderReply) -> &'static str {
    match reply {
        OrderReply::Done { .. } => "done",
        OrderReply::Refused(refusal) => refusal_name(refusal),
        OrderReply::NoAnswer => "no_answer",
    }
}

/// Returns the name of a hold's outcome in metrics.
fn hold_name(reply: &HoldReply) -> &'static str {
    match reply {
        HoldReply::Listed(_) => "done",
        HoldReply::Refused(refusal) => refusal_name(*refusal),
        HoldReply::NoAnswer => "no_answer",
    }
}

/// Sends a request to a minion if the term still allows it.
async fn call<C: Clock>(
    lead: &Lead<C>,
    to: &Recipient,
    request: Request,
    limit: Duration,
) -> Result<Response, CallError> {
    let Ok(address) = to.address.parse::<SocketAddr>() else {
        return Err(CallError::NotSent);
    };
    if !lead.may_order() {
        return Err(CallError::NotSent);
    }
    lead.node.client.call(address, request, limit).await
}
