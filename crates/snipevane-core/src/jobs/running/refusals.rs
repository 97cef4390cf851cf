//! Refusals of start orders, and what follows for the run and its minion.

use std::time::Duration;

use crate::jobs::action::Recipient;
use crate::jobs::event::{LossReason, StopReason};
use crate::jobs::model::keys::{MinionKey, RunKey};
use crate::jobs::model::run::Refusal;
use crate::jobs::scheduler::Scheduler;

/// Time for which no work is placed on a minion that had less free capacity than expected.
const INSUFFICIENT_CAPACITY_PAUSE: Duration = Duration::from_millis(100);

/// Time for which no work is placed on an unhealthy minion.
const UNHEALTHY_PAUSE: Duration = Duration::from_millis(1_000);

impl Scheduler {
    /// Handles the refusal of a start order.
    pub(super) fn start_refused(
        &mut self,
        key: RunKey,
        to: &Recipient,
        refusal: Refusal,
        now: Duration,
    ) {
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        let minion = run.minion;
        let sent_once = run.starts_sent == 1;
        if refusal == Refusal::Outdated && !sent_once {
            // An earlier transmission of this order was carried out, and the run has ended since.
            // The minion's run list contains its end.
            self.start_confirmed(key, now);
            return;
        }
        match refusal {
            Refusal::Fenced => self.deposed = true,
            Refusal::InsufficientCapacity => {
                self.pause_placement(minion, INSUFFICIENT_CAPACITY_PAUSE, now)
            }
            Refusal::Unhealthy | Refusal::Invalid => {
                self.pause_placement(minion, UNHEALTHY_PAUSE, now)
            }
            Refusal::WrongIncarnation => self.mark_suspect(minion),
            Refusal::NoPermit => self.discard_permit(key),
            Refusal::Outdated | Refusal::LeaseExpired => {}
        }
        let reason = LossReason::StartRefused(refusal);
        if sent_once {
            self.mark_run_lost(key, reason);
        } else if refusal == Refusal::WrongIncarnation && self.has_listed_runs_at(to) {
            // An earlier transmission may have reached the incarnation that is gone.
            self.end_runs_of_gone_minion(minion, &[key], reason);
        } else {
            self.stop_run(key, StopReason::StartUnconfirmed);
        }
    }

    /// Discards the permit that the minion refused, so that the advisor is asked again.
    fn discard_permit(&mut self, key: RunKey) {
        if let Some(run) = self.runs.get(key) {
            self.permits.remove(run.step(), run.minion);
        }
    }

    fn pause_placement(&mut self, minion: MinionKey, pause: Duration, now: Duration) {
        if let Some(minion) = self.minions.get_mut(minion) {
            minion.failure_backoff_until = minion.failure_backoff_until.max(now + pause);
        }
    }
}
