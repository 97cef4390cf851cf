//! Orders to start and stop runs, retried until their outcome is certain.
//!
//! An order without a reply may still be carried out later. A start order is retried with the same
//! attempt number, which makes it idempotent. Once the scheduler gives up on a run, a stop order
//! makes the minion reject any start order for that attempt that is still in transit.

use std::time::Duration;

use super::transmissions::Settled;
use crate::jobs::action::{Action, Recipient, StartOrder, StopOrder};
use crate::jobs::event::{LossReason, RepeatedOrder, SchedulerEvent, StopReason};
use crate::jobs::model::keys::{MinionKey, RunKey};
use crate::jobs::model::run::{OrderReply, Refusal, RunPhase};
use crate::jobs::scheduler::Scheduler;

impl Scheduler {
    /// Handles the reply to a start order that was sent at `sent_at`.
    pub fn start_replied(
        &mut self,
        order: &StartOrder,
        reply: OrderReply,
        sent_at: Duration,
        now: Duration,
    ) {
        let key = order.run;
        self.start_window.order_settled();
        let Some((minion, phase, settled)) = self.settle_order(key, reply, sent_at, now) else {
            return;
        };
        if reply.is_reply() {
            self.adapt_start_window(sent_at, now);
        }
        match reply {
            OrderReply::Done { clock_ms } => {
                self.read_clock(minion, clock_ms, sent_at, now);
                self.record_begin(key, now);
                self.start_confirmed(key, now);
            }
            OrderReply::Refused(Refusal::Fenced) => self.deposed = true,
            OrderReply::Refused(refusal) if phase != RunPhase::Running => {
                self.start_refused(key, &order.to, refusal, now);
            }
            OrderReply::NoAnswer | OrderReply::NotSent
                if phase == RunPhase::Starting && settled == Settled::Last =>
            {
                self.start_unanswered(key, reply, sent_at, now);
            }
            // Another transmission of the order was carried out, or may still be answered.
            OrderReply::Refused(_) | OrderReply::NoAnswer | OrderReply::NotSent => {}
        }
    }

    /// Handles that a sender didn't report whether it sent a start order, which it got at `sent_at`.
    ///
    /// The order is sent again at once. It says nothing about the minion, so it doesn't count as unanswered.
    pub fn start_undelivered(&mut self, key: RunKey, sent_at: Duration, now: Duration) {
        self.start_window.order_settled();
        let settled = self.settle_order(key, OrderReply::NoAnswer, sent_at, now);
        if let Some((_, RunPhase::Starting, Settled::Last)) = settled
            && let Some(run) = self.runs.get_mut(key)
        {
            run.transmissions.close();
            run.retry_at = now;
            self.pending_orders.insert(key);
        }
    }

    /// Records the outcome of a transmission of a run's order. Returns the run's minion and phase, and what
    /// the outcome says about the order; `None` if the run is no longer known.
    fn settle_order(
        &mut self,
        key: RunKey,
        reply: OrderReply,
        sent_at: Duration,
        now: Duration,
    ) -> Option<(MinionKey, RunPhase, Settled)> {
        let run = self.runs.get_mut(key)?;
        let settled = run.transmissions.settle(sent_at);
        let (minion, phase) = (run.minion, run.phase);
        if reply == OrderReply::NoAnswer {
            run.transmissions.record_arrival_unknown();
        }
        if reply.is_reply() {
            self.record_prompt_reply(minion, sent_at, now);
        } else {
            run.transmissions.record_unanswered(sent_at);
        }
        if reply.is_reply() && reply != OrderReply::Refused(Refusal::WrongIncarnation) {
            self.record_sign_of_life(minion, sent_at);
        }
        Some((minion, phase, settled))
    }

    /// Handles that a start order, sent at `sent_at`, wasn't answered. It is sent again once the minion has listed
    /// its runs, unless the minion has restarted since.
    fn start_unanswered(
        &mut self,
        key: RunKey,
        reply: OrderReply,
        sent_at: Duration,
        now: Duration,
    ) {
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        run.unanswered_starts += 1;
        let minion = run.minion;
        if reply == OrderReply::NotSent && !run.transmissions.may_have_arrived() {
            self.forget_unsent_start(key);
        }
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        let has_restarted = self.minions.get(minion);
        if has_restarted.is_some_and(|minion| minion.restarted_since(sent_at)) {
            run.transmissions.close();
            self.end_runs_of_former_incarnation(&[key], LossReason::MinionRestarted, now);
            return;
        }
        if reply == OrderReply::NoAnswer {
            self.watch_unanswered_start(key, now);
        }
        self.retry_later(key, now);
        self.mark_suspect(minion);
    }

    /// Schedules a repetition of a run's order.
    fn retry_later(&mut self, key: RunKey, now: Duration) {
        if let Some(run) = self.runs.get_mut(key) {
            run.transmissions.close();
            run.retry_at = now + self.settings.order_retry_delay;
            self.pending_orders.insert(key);
        }
    }

    /// Adapts the congestion window to the reply to a start order, and reports if it has shrunk.
    fn adapt_start_window(&mut self, sent_at: Duration, now: Duration) {
        let target = self.settings.reply_target;
        if self.start_window.record_reply(sent_at, target, now) {
            self.events.push(SchedulerEvent::StartsLimited {
                limit: self.start_window.limit(),
                reply_time: self.replies.time.mean(now),
            });
        }
    }

    /// Returns the smoothed time that minions take to reply to orders; zero if none replied lately.
    pub fn order_reply_time(&self, now: Duration) -> Duration {
        self.replies.time.mean(now)
    }

    /// Handles the reply to a stop order that was sent at `sent_at`.
    pub fn stop_replied(
        &mut self,
        order: &StopOrder,
        reply: OrderReply,
        sent_at: Duration,
        now: Duration,
    ) {
        let key = order.run;
        let Some((minion, phase, settled)) = self.settle_order(key, reply, sent_at, now) else {
            self.late_stop_replied(order, reply, sent_at, now);
            return;
        };
        match reply {
            OrderReply::Done { clock_ms } => {
                self.read_clock(minion, clock_ms, sent_at, now);
                self.stop_confirmed(key, now);
            }
            OrderReply::Refused(Refusal::Fenced) => self.deposed = true,
            OrderReply::Refused(Refusal::WrongIncarnation)
                if self.has_listed_runs_at(&order.to) =>
            {
                self.end_runs_of_gone_minion(minion, &[key], LossReason::IncarnationGone);
            }
            OrderReply::Refused(_) | OrderReply::NoAnswer | OrderReply::NotSent
                if phase == RunPhase::Stopping && settled == Settled::Last =>
            {
                self.retry_later(key, now);
                self.mark_suspect(minion);
            }
            // Another transmission of the order was carried out, or may still be answered.
            OrderReply::Refused(_) | OrderReply::NoAnswer | OrderReply::NotSent => {}
        }
    }

    /// Stops a run of a former incarnation of which a start order may be carried out yet.
    ///
    /// The present incarnation, which knows nothing of the run, refuses that order once it has confirmed the stop;
    /// the run counts as ended by its next list.
    pub(in crate::jobs) fn stop_late_start(&mut self, key: RunKey, now: Duration) {
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        run.phase = RunPhase::Starting;
        run.began_at = None;
        run.first_sent_at = Some(now);
        run.progress_percent = 0;
        self.stop_run(key, StopReason::StartUnconfirmed);
    }

    /// Returns whether an order went to the address at which its minion last listed its runs. What answers at
    /// another address knows nothing of them.
    pub(in crate::jobs) fn has_listed_runs_at(&self, to: &Recipient) -> bool {
        let minion = self.minions.get(to.minion);
        minion.is_some_and(|minion| minion.listed_at == to.address)
    }

    fn stop_confirmed(&mut self, key: RunKey, now: Duration) {
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        if run.phase == RunPhase::Stopping {
            run.phase = RunPhase::StopConfirmed;
            run.since = now;
            run.transmissions.close();
            self.pending_orders.remove(&key);
        }
    }

    /// Repeats the start and stop orders whose replies are overdue.
    pub(in crate::jobs) fn repeat_orders(&mut self, now: Duration) {
        let keys: Vec<RunKey> = self.pending_orders.iter().copied().collect();
        for key in keys {
            self.repeat_order(key, now);
        }
    }

    /// Repeats the order of a run if its reply is overdue.
    fn repeat_order(&mut self, key: RunKey, now: Duration) {
        let Some(run) = self.runs.get(key) else {
            return;
        };
        let (minion, phase, transmissions) = (run.minion, run.phase, run.transmissions);
        let may_start = self.start_window.available() > 0 && self.may_send_start_to(minion);
        let is_blocked = phase == RunPhase::Starting && !(may_start && run.may_repeat_start);
        if is_blocked || !self.take_repeat(minion, &transmissions, Duration::ZERO, now) {
            return;
        }
        match phase {
            RunPhase::Starting => self.send_start(key, now),
            RunPhase::Stopping => self.send_stop(key, now),
            RunPhase::Running | RunPhase::StopConfirmed => return,
        }
        self.order_repeated(key);
    }

    /// Reports that a run's order was sent again, and marks the minion as suspect after several times.
    fn order_repeated(&mut self, key: RunKey) {
        let Some(run) = self.runs.get(key) else {
            return;
        };
        let (minion, transmissions) = (run.minion, run.transmissions);
        let order = if run.phase == RunPhase::Starting {
            RepeatedOrder::Start(run.task, run.attempt)
        } else {
            RepeatedOrder::Stop(run.task, run.attempt)
        };
        self.report_repeat(minion, order, &transmissions);
        if transmissions.is_suspect() {
            self.mark_suspect(minion);
        }
    }

    /// Sends the orders that are new, and those that were unanswered until their timeout.
    pub(in crate::jobs) fn send_orders(&mut self, now: Duration) {
        let keys: Vec<RunKey> = self.pending_orders.iter().copied().collect();
        for key in keys {
            self.send_order(key, now);
        }
    }

    /// Sends the order that a run's phase calls for, unless one is open or its retry isn't due.
    ///
    /// A run whose start order was unanswered as often as the settings allow is stopped instead.
    fn send_order(&mut self, key: RunKey, now: Duration) {
        let Some(run) = self.runs.get(key) else {
            self.pending_orders.remove(&key);
            return;
        };
        if run.transmissions.is_open() || now < run.retry_at || self.awaits_crash_record(run) {
            return;
        }
        if run.phase == RunPhase::Starting && !self.may_send_start_to(run.minion) {
            return;
        }
        if run.phase == RunPhase::Starting && !self.is_ready_to_start(key, now) {
            return;
        }
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        match run.phase {
            RunPhase::Starting if run.unanswered_starts < self.settings.max_unanswered_starts => {
                self.send_start(key, now);
            }
            RunPhase::Starting => {
                self.stop_run(key, StopReason::StartUnconfirmed);
                self.send_stop(key, now);
            }
            RunPhase::Stopping => self.send_stop(key, now),
            RunPhase::Running | RunPhase::StopConfirmed => {
                self.pending_orders.remove(&key);
            }
        }
    }

    fn send_start(&mut self, key: RunKey, now: Duration) {
        let lease = self.settings.lease;
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        let Some(minion) = self.minions.get_mut(run.minion) else {
            return;
        };
        let Some(lease_end_ms) = minion.leases.grant(lease, now) else {
            return;
        };
        let Some(job) = self.jobs.get(run.job) else {
            return;
        };
        run.transmissions.record_sent(now);
        run.starts_sent += 1;
        run.first_sent_at.get_or_insert(now);
        run.last_start_at = Some(now);
        run.asked_at = None;
        run.sent_to = minion.incarnation();
        self.start_window.order_sent();
        let order = StartOrder {
            to: Recipient {
                minion: run.minion,
                id: minion.entry.id.clone(),
                address: minion.entry.address.clone(),
                fence: self.fence,
            },
            run: key,
            task: run.task,
            attempt: run.attempt,
            payload: job.payload.clone(),
            lease_end_ms,
            checkpoint: run.checkpoint.clone(),
            permit: run.permit.clone(),
            transmission: run.starts_sent,
        };
        self.actions.push(Action::Start(order));
    }

    fn send_stop(&mut self, key: RunKey, now: Duration) {
        self.report_long_running_stop(key, now);
        let Some(run) = self.runs.get(key) else {
            return;
        };
        let Some(to) = self.recipient(run.minion) else {
            return;
        };
        let order = StopOrder {
            to,
            run: key,
            task: run.task,
            attempt: run.attempt,
        };
        self.runs[key].transmissions.record_sent(now);
        self.actions.push(Action::Stop(order));
    }

    /// Records that a minion has confirmed that a run has begun.
    pub(in crate::jobs) fn record_begin(&mut self, key: RunKey, now: Duration) {
        if let Some(run) = self.runs.get_mut(key) {
            run.began_at.get_or_insert(now);
            let task = run.task_ref;
            let job = self.jobs.get_mut(run.job);
            if let Some(task) = job.and_then(|job| job.task_mut(task)) {
                task.trial_wanted_since = None;
            }
        }
        self.take_back_lost_start(key);
    }

    /// Records that a minion has carried out a start order, by its reply or its run list.
    pub(in crate::jobs) fn start_confirmed(&mut self, key: RunKey, now: Duration) {
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        let job = run.job;
        if run.phase == RunPhase::Starting {
            run.phase = RunPhase::Running;
            run.since = now;
            run.transmissions.close();
            self.pending_orders.remove(&key);
            self.limit_new_run(key, now);
        }
        self.mark_started(job);
    }

    /// Marks a minion as suspect: nothing is placed on it until it has reported its runs again.
    pub(in crate::jobs) fn mark_suspect(&mut self, minion: MinionKey) {
        if let Some(minion) = self.minions.get_mut(minion) {
            minion.suspect = true;
        }
    }

    /// Records whether a minion answers, and reports the change if there is one.
    pub(in crate::jobs) fn set_reachable(
        &mut self,
        key: MinionKey,
        reachable: bool,
        now: Duration,
    ) {
        let Some(minion) = self.minions.get_mut(key) else {
            return;
        };
        if minion.reachable == reachable {
            return;
        }
        minion.reachable = reachable;
        self.events.push(SchedulerEvent::MinionReachability {
            minion: minion.entry.id.clone(),
            reachable,
            last_list: minion.last_contact.map(|at| now.saturating_sub(at)),
        });
    }

    /// Records the clock in the answer to an order that was sent at `sent_at`.
    ///
    /// An order from before the last restart may have been answered by the incarnation before. A reading of another clock
    /// tells of a restart that hasn't been noticed: the minion is asked for its runs.
    fn read_clock(
        &mut self,
        key: MinionKey,
        clock_ms: Option<u64>,
        sent_at: Duration,
        now: Duration,
    ) {
        let (Some(minion), Some(clock_ms)) = (self.minions.get_mut(key), clock_ms) else {
            return;
        };
        if minion.restarted_since(sent_at) {
            return;
        }
        if minion.leases.is_below_clock(clock_ms, now) {
            minion.leases.set_may_be_misread(true);
            self.ask_for_runs(key, now);
            return;
        }
        minion.leases.update_clock(clock_ms, now);
    }
}
