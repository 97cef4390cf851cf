//! Orders to start and stop runs, repeated until their outcome is certain.
//!
//! An order without an answer may be carried out later. A start is repeated with the same attempt,
//! which is idempotent; once the run is given up, an order to stop makes the minion reject any
//! copy that is still under way.

use std::time::Duration;

use super::action::{Action, Recipient, StartOrder, StopOrder};
use super::minion::MinionKey;
use super::note::{Loss, Note, StopReason};
use super::run::{OrderReply, Refusal, RunKey, RunPhase};
use super::scheduler::Scheduler;

/// Time for which a minion that has less room than was thought gets no more work.
const NO_ROOM_PAUSE: Duration = Duration::from_millis(100);

/// Time for which an unhealthy minion gets no more work.
const UNHEALTHY_PAUSE: Duration = Duration::from_millis(1_000);

impl Scheduler {
    /// Takes in what came of an order to start a run.
    pub fn start_replied(&mut self, key: RunKey, reply: OrderReply, now: Duration) {
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        run.in_flight = false;
        let minion = run.minion;
        match reply {
            OrderReply::Done { clock_ms } => {
                self.read_clock(minion, clock_ms, now);
                self.start_confirmed(key, now);
            }
            OrderReply::Refused(refusal) => self.start_refused(key, refusal, now),
            OrderReply::NoAnswer => {
                run.retry_at = now + self.settings.order_retry_delay;
                self.pending_orders.insert(key);
                self.doubt(minion);
            }
        }
    }

    /// Takes in what came of an order to stop a run.
    pub fn stop_replied(&mut self, key: RunKey, reply: OrderReply, now: Duration) {
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        run.in_flight = false;
        let minion = run.minion;
        match reply {
            OrderReply::Done { clock_ms } => {
                run.phase = RunPhase::Stopped;
                run.since = now;
                self.pending_orders.remove(&key);
                self.read_clock(minion, clock_ms, now);
            }
            OrderReply::Refused(Refusal::Fenced) => self.deposed = true,
            OrderReply::Refused(Refusal::OtherInstance) => {
                self.end_run(key, Loss::IncarnationGone);
            }
            OrderReply::Refused(_) | OrderReply::NoAnswer => {
                run.retry_at = now + self.settings.order_retry_delay;
                self.pending_orders.insert(key);
                self.doubt(minion);
            }
        }
    }

    /// Sends orders that are new or had no answer.
    pub(super) fn send_orders(&mut self, now: Duration) {
        let keys: Vec<RunKey> = self.pending_orders.iter().copied().collect();
        for key in keys {
            self.send_order(key, now);
        }
    }

    fn send_order(&mut self, key: RunKey, now: Duration) {
        let Some(run) = self.runs.get_mut(key) else {
            self.pending_orders.remove(&key);
            return;
        };
        if run.in_flight || now < run.retry_at {
            return;
        }
        match run.phase {
            RunPhase::Ordered if run.copies < self.settings.max_starts_sent => {
                self.send_start(key, now);
            }
            RunPhase::Ordered => {
                run.phase = RunPhase::Stopping;
                self.send_stop(key);
            }
            RunPhase::Stopping => self.send_stop(key),
            RunPhase::Live | RunPhase::Stopped => {
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
        let Some(lease_end_ms) = minion.grant_lease(lease, now) else {
            return;
        };
        let Some(job) = self.jobs.get(run.job) else {
            return;
        };
        run.in_flight = true;
        run.copies += 1;
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
        };
        self.actions.push(Action::Start(order));
    }

    fn send_stop(&mut self, key: RunKey) {
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
        self.runs[key].in_flight = true;
        self.actions.push(Action::Stop(order));
    }

    fn start_confirmed(&mut self, key: RunKey, now: Duration) {
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        if run.phase == RunPhase::Ordered {
            run.phase = RunPhase::Live;
            run.since = now;
            self.pending_orders.remove(&key);
        }
        let job = run.job;
        self.note_started(job);
    }

    fn start_refused(&mut self, key: RunKey, refusal: Refusal, now: Duration) {
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        let minion = run.minion;
        let only_copy = run.copies == 1;
        if refusal == Refusal::Outdated && !only_copy {
            // An earlier copy has run; the minion lists its end.
            run.phase = RunPhase::Live;
            run.since = now;
            self.pending_orders.remove(&key);
            return;
        }
        match refusal {
            Refusal::Fenced => self.deposed = true,
            Refusal::NoRoom => self.avoid(minion, NO_ROOM_PAUSE, now),
            Refusal::Unhealthy | Refusal::Invalid => self.avoid(minion, UNHEALTHY_PAUSE, now),
            Refusal::OtherInstance => self.doubt(minion),
            Refusal::NoPermit => self.permit_refused(key),
            Refusal::Outdated | Refusal::LeaseOver => {}
        }
        if only_copy || refusal == Refusal::OtherInstance {
            self.end_run(key, Loss::StartRefused(refusal));
        } else {
            self.stop_run(key, StopReason::Unconfirmed);
        }
    }

    /// Forgets the permit that a run was refused with, so that the advisor is asked again.
    fn permit_refused(&mut self, key: RunKey) {
        if let Some(run) = self.runs.get(key) {
            self.permits.refused(run.step(), run.minion);
        }
    }

    fn avoid(&mut self, minion: MinionKey, pause: Duration, now: Duration) {
        if let Some(minion) = self.minions.get_mut(minion) {
            minion.avoid_until = minion.avoid_until.max(now + pause);
        }
    }

    /// Places nothing on a minion until it has listed its runs again.
    pub(super) fn doubt(&mut self, minion: MinionKey) {
        if let Some(minion) = self.minions.get_mut(minion) {
            minion.suspect = true;
        }
    }

    /// Takes note that a minion didn't answer, or does again.
    pub(super) fn note_reached(&mut self, key: MinionKey, reached: bool, now: Duration) {
        let Some(minion) = self.minions.get_mut(key) else {
            return;
        };
        if minion.reached == reached {
            return;
        }
        minion.reached = reached;
        self.notes.push(Note::MinionReached {
            minion: minion.entry.id.clone(),
            reached,
            last_list: minion.last_contact.map(|at| now.saturating_sub(at)),
        });
    }

    fn read_clock(&mut self, minion: MinionKey, clock_ms: Option<u64>, now: Duration) {
        if let (Some(minion), Some(clock_ms)) = (self.minions.get_mut(minion), clock_ms) {
            minion.read_clock(clock_ms, now);
        }
    }
}
