//! Minions on which tasks that fill run beside tasks that serve users.
//!
//! Answers tasks whose users' response times suffer, by amounts that change within seconds, from
//! what uses the processors beside them: what fills is slowed down by halves as soon as one of them
//! nears its target, down to standing still, and sped up again in small steps.

use std::time::Duration;

use super::action::{Action, PaceOrder};
use super::lasting::AT_WORK_PERCENT;
use super::minion::MinionKey;
use super::run::{OrderReply, Refusal, RunKey, RunPhase};
use super::scheduler::Scheduler;

/// Full share of a task that fills, in percent.
pub(super) const FULL_PACE: u32 = 100;

/// Part of its target from which a task's tail counts as pressed.
const PRESSED: f64 = 0.9;

/// Part of its target below which there is room for more beside it.
const RELAXED: f64 = 0.65;

/// Shares below this, in percent, are not worth their harm.
const LEAST_PACE: u32 = 12;

/// Step by which a share grows again, in percent.
const PACE_STEP: u32 = 20;

/// Time until a lower share shows in the tails, which cover half a second.
const LOWER_EVERY: Duration = Duration::from_millis(600);

/// Time between two steps up.
const RAISE_EVERY: Duration = Duration::from_millis(1_500);

/// How the tasks that serve users on a minion are doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Serving {
    /// None is there, or all have room to spare.
    Relaxed,
    /// All keep their targets.
    Sound,
    /// One is about to miss its target.
    Pressed,
}

impl Scheduler {
    /// Adjusts the shares of the tasks that fill, just after a minion has listed its runs.
    pub(super) fn share_minion(&mut self, key: MinionKey, now: Duration) {
        let filling = self.filling_runs(key);
        if filling.is_empty() {
            return;
        }
        let serving = self.serving(key);
        let Some(minion) = self.minions.get_mut(key) else {
            return;
        };
        let since = now.saturating_sub(minion.paced_at);
        let pace = |pace: u32| match serving {
            Serving::Pressed if since >= LOWER_EVERY => lower(pace),
            Serving::Relaxed if since >= RAISE_EVERY => (pace + PACE_STEP).min(FULL_PACE),
            Serving::Pressed | Serving::Relaxed | Serving::Sound => pace,
        };
        let changed = filling
            .into_iter()
            .map(|(run, present)| (run, present, pace(present)));
        let changed: Vec<(RunKey, u32)> = changed
            .filter(|(_, present, wanted)| present != wanted)
            .map(|(run, _, wanted)| (run, wanted))
            .collect();
        if changed.is_empty() {
            return;
        }
        minion.paced_at = now;
        for (run, percent) in changed {
            self.send_pace(run, percent);
        }
    }

    /// Returns whether a task that fills may start on a minion.
    pub(super) fn has_room_to_fill(&self, key: MinionKey) -> bool {
        let unhindered = |(_, pace)| pace == FULL_PACE;
        self.serving(key) != Serving::Pressed && self.filling_runs(key).into_iter().all(unhindered)
    }

    /// Returns whether a minion runs both kinds of task, so that its tails need looking after.
    pub(super) fn is_shared(&self, key: MinionKey) -> bool {
        let minion = self.minions.get(key);
        let mut runs = minion.into_iter().flat_map(|minion| &minion.runs);
        let serves = runs.any(|&run| {
            self.step_of(run)
                .is_some_and(|step| step.tail_latency_target_ms > 0)
        });
        serves && !self.filling_runs(key).is_empty()
    }

    /// Returns the live runs that fill, with the share that was last ordered.
    fn filling_runs(&self, key: MinionKey) -> Vec<(RunKey, u32)> {
        let minion = self.minions.get(key);
        let runs = minion.into_iter().flat_map(|minion| &minion.runs);
        let filling = runs.filter_map(|&key| {
            let run = self.runs.get(key)?;
            let best_effort = self.step_of(key).is_some_and(|step| step.best_effort);
            let ready = run.phase == RunPhase::Live && !run.pace_in_flight;
            (best_effort && ready).then_some((key, run.pace))
        });
        filling.collect()
    }

    fn serving(&self, key: MinionKey) -> Serving {
        let minion = self.minions.get(key);
        let runs = minion.into_iter().flat_map(|minion| &minion.runs);
        let parts = runs.filter_map(|&key| {
            let run = self.runs.get(key)?;
            let target = self.step_of(key)?.tail_latency_target_ms;
            let at_work = run.phase == RunPhase::Live && run.percent >= AT_WORK_PERCENT;
            (target > 0 && at_work).then(|| run.load / target as f64)
        });
        let worst = parts.fold(0.0, f64::max);
        if worst > PRESSED {
            Serving::Pressed
        } else if worst < RELAXED {
            Serving::Relaxed
        } else {
            Serving::Sound
        }
    }

    fn send_pace(&mut self, key: RunKey, percent: u32) {
        let Some(run) = self.runs.get(key) else {
            return;
        };
        let Some(to) = self.recipient(run.minion) else {
            return;
        };
        let order = PaceOrder {
            to,
            run: key,
            task: run.task,
            attempt: run.attempt,
            percent,
        };
        self.runs[key].pace_in_flight = true;
        self.actions.push(Action::Pace(order));
    }

    /// Takes in what came of an order to work at a share; one without an answer is given again
    /// after the next list, as the share that is known stays.
    pub fn pace_replied(&mut self, order: &PaceOrder, reply: OrderReply) {
        if reply == OrderReply::Refused(Refusal::Fenced) {
            self.deposed = true;
        }
        let Some(run) = self.runs.get_mut(order.run) else {
            return;
        };
        run.pace_in_flight = false;
        if matches!(reply, OrderReply::Done { .. }) {
            run.pace = order.percent;
        }
        let minion = run.minion;
        if reply == OrderReply::NoAnswer {
            self.doubt(minion);
        }
    }
}

fn lower(pace: u32) -> u32 {
    let half = pace / 2;
    if half < LEAST_PACE { 0 } else { half }
}
