//! Start orders without an answer whose runs have ended.
//!
//! Such an order may be carried out seconds later. The incarnation to which it was sent refuses it, as its lease is
//! over or a newer attempt is known there. The next incarnation knows nothing of that, so it is told to stop these runs
//! as soon as it is heard of; it then refuses their orders.

use std::time::Duration;

use smol_str::SmolStr;

use super::transmissions::{Settled, Transmissions};
use crate::jobs::action::{Action, Recipient, StopOrder};
use crate::jobs::event::SchedulerEvent;
use crate::jobs::model::id::TaskId;
use crate::jobs::model::keys::{MinionKey, RunKey};
use crate::jobs::model::run::{OrderReply, Refusal, Run};
use crate::jobs::scheduler::Scheduler;

/// Maximum number of start orders that are remembered; the oldest is dropped for a further one.
const MAX_LATE_STARTS: usize = 4_096;

/// Start order of a run that has ended, which its minion may carry out yet.
#[derive(Clone, Debug)]
struct LateStart {
    minion: SmolStr,
    task: TaskId,
    attempt: u32,
    /// Time until which it may be carried out.
    until: Duration,
    /// Whether the present incarnation of the minion is to refuse it and hasn't confirmed that.
    needs_stop: bool,
    /// Transmissions of the stop order.
    stops: Transmissions,
    /// Time before which the stop order isn't sent again for want of an answer.
    retry_at: Duration,
}

/// Start orders without an answer whose runs have ended, by the time at which the run ended.
#[derive(Debug, Default)]
pub(in crate::jobs) struct LateStarts {
    starts: Vec<LateStart>,
}

impl LateStarts {
    /// Remembers the start order of a run that has ended on a minion, if it may be carried out yet.
    pub(in crate::jobs) fn remember(&mut self, run: &Run, minion: &SmolStr) {
        let Some(until) = run.transmissions.carried_out_until() else {
            return;
        };
        if self.starts.len() >= MAX_LATE_STARTS {
            self.starts.remove(0);
        }
        self.starts.push(LateStart {
            minion: minion.clone(),
            task: run.task,
            attempt: run.attempt,
            until,
            needs_stop: false,
            stops: Transmissions::default(),
            retry_at: Duration::ZERO,
        });
    }

    /// Records that another incarnation of a minion was heard of, which is to refuse the orders for the earlier one.
    pub(in crate::jobs) fn minion_restarted(&mut self, minion: &SmolStr) {
        for start in self
            .starts
            .iter_mut()
            .filter(|start| start.minion == *minion)
        {
            start.needs_stop = true;
            start.stops.close();
            start.retry_at = Duration::ZERO;
        }
    }

    /// Forgets the orders that aren't carried out any more, and returns the positions of those that need a stop.
    fn due_stops(&mut self, now: Duration) -> Vec<usize> {
        self.starts.retain(|start| now <= start.until);
        let starts = self.starts.iter().enumerate();
        let needed = starts.filter(|(_, start)| start.needs_stop);
        needed.map(|(position, _)| position).collect()
    }

    /// Returns the order that a stop order is for.
    fn find_mut(&mut self, order: &StopOrder) -> Option<&mut LateStart> {
        self.starts.iter_mut().find(|start| {
            let is_same_run = start.task == order.task && start.attempt == order.attempt;
            is_same_run && start.minion == order.to.id
        })
    }
}

impl Scheduler {
    /// Stops the runs that the present incarnations of minions may start late, and repeats such stops until they
    /// are confirmed.
    pub(in crate::jobs) fn stop_late_starts(&mut self, now: Duration) {
        if self.late_starts.starts.is_empty() {
            return;
        }
        for position in self.late_starts.due_stops(now) {
            self.stop_late_start_at(position, now);
        }
    }

    /// Sends the stop order for the late start at a position, unless the run is known or an answer may still come.
    fn stop_late_start_at(&mut self, position: usize, now: Duration) {
        let start = &self.late_starts.starts[position];
        let (task, attempt, stops) = (start.task, start.attempt, start.stops);
        let Some(&minion) = self.minion_ids.get(&start.minion) else {
            return;
        };
        let is_due = if stops.is_open() {
            self.take_repeat(minion, &stops, Duration::ZERO, now)
        } else {
            now >= start.retry_at
        };
        if !is_due || self.find_run(minion, task, attempt).is_some() {
            return;
        }
        let Some(to) = self.recipient(minion) else {
            return;
        };
        self.send_late_stop(position, to, now);
    }

    fn send_late_stop(&mut self, position: usize, to: Recipient, now: Duration) {
        let start = &mut self.late_starts.starts[position];
        start.stops.record_sent(now);
        let order = StopOrder {
            to,
            run: RunKey::default(),
            task: start.task,
            attempt: start.attempt,
        };
        self.events.push(SchedulerEvent::LateStartStopped {
            task: order.task,
            attempt: order.attempt,
            minion: order.to.id.clone(),
            transmissions: start.stops.count(),
        });
        self.actions.push(Action::Stop(order));
    }

    /// Handles the reply to a stop order, sent at `sent_at`, for a run that isn't known.
    pub(in crate::jobs) fn late_stop_replied(
        &mut self,
        order: &StopOrder,
        reply: OrderReply,
        sent_at: Duration,
        now: Duration,
    ) {
        if reply.is_reply() {
            self.record_prompt_reply(order.to.minion, sent_at, now);
        }
        let is_present = self.is_present_incarnation(order.to.minion, sent_at);
        let Some(start) = self.late_starts.find_mut(order) else {
            return;
        };
        let settled = start.stops.settle(sent_at);
        match reply {
            OrderReply::Done { .. } if is_present => {
                start.needs_stop = false;
                start.stops.close();
            }
            OrderReply::Refused(Refusal::Fenced) => self.deposed = true,
            OrderReply::Done { .. }
            | OrderReply::Refused(_)
            | OrderReply::NoAnswer
            | OrderReply::NotSent => {
                if settled == Settled::Last {
                    start.retry_at = now + self.settings.order_retry_delay;
                }
            }
        }
    }

    /// Returns whether an order that was sent at `sent_at` went to the present incarnation of a minion.
    fn is_present_incarnation(&self, minion: MinionKey, sent_at: Duration) -> bool {
        let minion = self.minions.get(minion);
        minion.is_some_and(|minion| !minion.restarted_since(sent_at))
    }
}
