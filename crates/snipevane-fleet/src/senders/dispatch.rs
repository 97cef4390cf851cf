//! Sends batches of start orders to senders and reports the outcomes to the scheduler.

use std::rc::Rc;
use std::time::Duration;

use smol_str::SmolStr;
use snipevane_core::jobs::{OrderReply, StartOrder};
use snipevane_core::senders::Batch;

use super::messages::{BatchRefusal, Outcome, STARTS_PATH, StartsRequest};
use super::outcome_lines::OutcomeLines;
use crate::client::CallError;
use crate::clock::Clock;
use crate::peers::messages::post_request;
use crate::scheduling::{Leader, ORDER_TIMEOUT, reply_name};
use crate::{events, metrics};

/// Time that the outcomes of a batch may take on their way from the sender.
const REPORT_MARGIN: Duration = Duration::from_millis(100);

/// A batch that was sent.
struct SentBatch<C> {
    leader: Rc<Leader<C>>,
    number: u64,
    vm: SmolStr,
    /// Orders whose outcome isn't known, by index.
    open: Vec<Option<StartOrder>>,
    sent_at: Duration,
    /// Whether the sender has failed with an order of this batch.
    failed: bool,
}

/// Sends a batch and reports the outcome of each of its orders to the scheduler as soon as it is known.
///
/// Orders whose outcome the sender doesn't report are sent again by the scheduler.
pub(crate) async fn send_batch<C: Clock>(leader: Rc<Leader<C>>, batch: Batch) {
    let send_window = leader.senders.borrow().settings().send_window;
    let request = post_request(STARTS_PATH, &StartsRequest::new(&batch));
    let address = batch.address.parse();
    let mut sent = SentBatch {
        number: batch.number,
        vm: batch.vm,
        open: batch.starts.into_iter().map(Some).collect(),
        sent_at: leader.node.clock.now(),
        failed: false,
        leader: leader.clone(),
    };
    let Ok(address) = address else {
        sent.finish("invalid address");
        return;
    };
    let mut lines = OutcomeLines::default();
    // Once the window has passed without a response, the sender sends none of the orders.
    let result = leader
        .node
        .client
        .call_in_parts(
            address,
            request,
            send_window,
            send_window + ORDER_TIMEOUT + REPORT_MARGIN,
            || leader.may_send_orders(),
            |status, part| {
                if status == 200 {
                    sent.record(&lines.add(part));
                }
            },
        )
        .await;
    let reason = match result {
        Ok(200) => "incomplete response",
        Ok(status) => BatchRefusal::name_of(status),
        Err(CallError::NotSent) if !leader.may_send_orders() => "term over",
        Err(CallError::NotSent) => "not reachable",
        Err(CallError::NoAnswer) => "no response in time",
    };
    sent.finish(reason);
}

impl<C: Clock> SentBatch<C> {
    /// Reports outcomes that have arrived to the scheduler.
    fn record(&mut self, outcomes: &[Outcome]) {
        for outcome in outcomes {
            let open = self.open.get_mut(outcome.start).and_then(Option::take);
            let Some(order) = open else {
                log::warn!("unexpected outcome of an order from {}", self.vm);
                continue;
            };
            match outcome.reply() {
                Some(reply) => self.replied(&order, reply),
                None => self.undelivered(&order, "not sent in time"),
            }
        }
        self.leader.wake.notify_one();
    }

    fn replied(&mut self, order: &StartOrder, reply: OrderReply) {
        metrics::record_minion_call("start", reply_name(reply));
        let answered = reply.is_reply();
        let failed =
            self.leader
                .senders
                .borrow_mut()
                .record_outcome(&self.vm, &order.to.id, Some(answered));
        if failed {
            self.sender_failed("minions don't reply to it");
        }
        let now = self.leader.node.clock.now();
        let mut scheduler = self.leader.scheduler.borrow_mut();
        scheduler.start_replied(order, reply, self.sent_at, now);
    }

    fn undelivered(&mut self, order: &StartOrder, reason: &'static str) {
        self.sender_failed(reason);
        let leader = &self.leader;
        leader
            .senders
            .borrow_mut()
            .record_outcome(&self.vm, &order.to.id, None);
        events::record(
            &events::START_UNDELIVERED,
            &[
                &order.task,
                &order.attempt,
                &order.to.id,
                &self.vm,
                &reason,
                &order.to.fence,
            ],
        );
        let now = leader.node.clock.now();
        let mut scheduler = leader.scheduler.borrow_mut();
        scheduler.start_undelivered(order.run, self.sent_at, now);
    }

    /// Reports the orders without an outcome as undelivered, for this reason.
    fn finish(mut self, reason: &'static str) {
        let open: Vec<StartOrder> = self.open.iter_mut().filter_map(Option::take).collect();
        if open.is_empty() {
            self.leader.senders.borrow_mut().close_batch(self.number);
        }
        for order in &open {
            self.undelivered(order, reason);
        }
        self.leader.wake.notify_one();
    }

    /// Excludes the sender for a while. The end of the term says nothing about it.
    fn sender_failed(&mut self, reason: &'static str) {
        let leader = &self.leader;
        if self.failed || !leader.may_send_orders() {
            return;
        }
        self.failed = true;
        metrics::record_failed_batch(reason);
        let now = leader.node.clock.now();
        if leader.senders.borrow_mut().exclude(&self.vm, now) {
            let orders = self.open.len();
            let fence = leader.fence();
            events::record(
                &events::SENDER_EXCLUDED,
                &[&self.vm, &reason, &orders, &fence],
            );
        }
    }
}
