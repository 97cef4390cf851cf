//! CPU shares of best-effort tasks that run beside latency-sensitive tasks on a minion.
//!
//! Load on the same processors raises the tail latency of latency-sensitive tasks, by amounts that
//! change within seconds. As soon as one of these tasks nears its target, the CPU shares of the
//! best-effort tasks are halved repeatedly, down to 0. They are raised again in small steps.

use std::time::Duration;

use super::long_running::READY_PERCENT;
use crate::jobs::action::{Action, CpuShareOrder};
use crate::jobs::minions::minion::MinionKey;
use crate::jobs::model::run::{OrderReply, Refusal, RunKey, RunPhase};
use crate::jobs::scheduler::Scheduler;

/// Full CPU share of a best-effort task, in percent.
pub(in crate::jobs) const FULL_CPU_SHARE: u32 = 100;

/// Ratio of tail latency to target above which the tail latency of a minion counts as high.
const HIGH_TAIL_RATIO: f64 = 0.9;

/// Ratio of tail latency to target below which the tail latency of a minion counts as low.
const LOW_TAIL_RATIO: f64 = 0.65;

/// Smallest CPU share above 0, in percent; smaller ones do more harm than they are worth.
const MIN_CPU_SHARE: u32 = 12;

/// Step by which a CPU share is raised, in percentage points.
const CPU_SHARE_STEP: u32 = 20;

/// Least time between a change of the CPU shares and a decrease: a lower share takes this long to
/// show in the tail latencies, which are measured over half a second.
const DECREASE_INTERVAL: Duration = Duration::from_millis(600);

/// Least time between a change of the CPU shares and an increase.
const INCREASE_INTERVAL: Duration = Duration::from_millis(1_500);

/// Tail latency of the latency-sensitive tasks on a minion, compared with their targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TailLatency {
    /// There are no such tasks, or all are well below their targets.
    Low,
    /// All tasks meet their targets, with little to spare.
    Acceptable,
    /// At least one task is about to miss its target or misses it.
    High,
}

impl Scheduler {
    /// Adjusts the CPU shares of the best-effort tasks on a minion, just after it has listed its
    /// runs.
    pub(in crate::jobs) fn adjust_cpu_shares(&mut self, key: MinionKey, now: Duration) {
        let best_effort_runs = self.best_effort_runs(key);
        if best_effort_runs.is_empty() {
            return;
        }
        let tail_latency = self.tail_latency(key);
        let Some(minion) = self.minions.get_mut(key) else {
            return;
        };
        let elapsed = now.saturating_sub(minion.cpu_shares_changed_at);
        let adjusted = |share: u32| match tail_latency {
            TailLatency::High if elapsed >= DECREASE_INTERVAL => decrease_cpu_share(share),
            TailLatency::Low if elapsed >= INCREASE_INTERVAL => {
                (share + CPU_SHARE_STEP).min(FULL_CPU_SHARE)
            }
            TailLatency::High | TailLatency::Low | TailLatency::Acceptable => share,
        };
        let changed = best_effort_runs
            .into_iter()
            .map(|(run, current)| (run, current, adjusted(current)));
        let changed: Vec<(RunKey, u32)> = changed
            .filter(|(_, current, adjusted)| current != adjusted)
            .map(|(run, _, adjusted)| (run, adjusted))
            .collect();
        if changed.is_empty() {
            return;
        }
        minion.cpu_shares_changed_at = now;
        for (run, percent) in changed {
            self.send_cpu_share(run, percent);
        }
    }

    /// Returns whether a best-effort task may start on a minion: tail latency isn't high and no
    /// best-effort task there is throttled.
    pub(in crate::jobs) fn accepts_best_effort_tasks(&self, key: MinionKey) -> bool {
        let is_unthrottled = |(_, share)| share == FULL_CPU_SHARE;
        self.tail_latency(key) != TailLatency::High
            && self.best_effort_runs(key).into_iter().all(is_unthrottled)
    }

    /// Returns whether a minion runs both latency-sensitive and best-effort tasks, so that its tail
    /// latencies must be watched.
    pub(in crate::jobs) fn has_mixed_tasks(&self, key: MinionKey) -> bool {
        let minion = self.minions.get(key);
        let mut runs = minion.into_iter().flat_map(|minion| &minion.runs);
        let has_latency_sensitive = runs.any(|&run| {
            self.step_of(run)
                .is_some_and(|step| step.tail_latency_target_ms > 0)
        });
        has_latency_sensitive && !self.best_effort_runs(key).is_empty()
    }

    /// Returns the active best-effort runs whose CPU share isn't being changed, with the share that
    /// the minion last confirmed.
    fn best_effort_runs(&self, key: MinionKey) -> Vec<(RunKey, u32)> {
        let minion = self.minions.get(key);
        let runs = minion.into_iter().flat_map(|minion| &minion.runs);
        let best_effort_runs = runs.filter_map(|&key| {
            let run = self.runs.get(key)?;
            let best_effort = self.step_of(key).is_some_and(|step| step.best_effort);
            let is_adjustable = run.phase == RunPhase::Running && !run.cpu_share_in_flight;
            (best_effort && is_adjustable).then_some((key, run.cpu_share))
        });
        best_effort_runs.collect()
    }

    fn tail_latency(&self, key: MinionKey) -> TailLatency {
        let minion = self.minions.get(key);
        let runs = minion.into_iter().flat_map(|minion| &minion.runs);
        let ratios = runs.filter_map(|&key| {
            let run = self.runs.get(key)?;
            let target = self.step_of(key)?.tail_latency_target_ms;
            let is_ready = run.phase == RunPhase::Running && run.progress_percent >= READY_PERCENT;
            (target > 0 && is_ready).then(|| run.load / target as f64)
        });
        let max_ratio = ratios.fold(0.0, f64::max);
        if max_ratio > HIGH_TAIL_RATIO {
            TailLatency::High
        } else if max_ratio < LOW_TAIL_RATIO {
            TailLatency::Low
        } else {
            TailLatency::Acceptable
        }
    }

    fn send_cpu_share(&mut self, key: RunKey, percent: u32) {
        let Some(run) = self.runs.get(key) else {
            return;
        };
        let Some(to) = self.recipient(run.minion) else {
            return;
        };
        let order = CpuShareOrder {
            to,
            run: key,
            task: run.task,
            attempt: run.attempt,
            percent,
        };
        self.runs[key].cpu_share_in_flight = true;
        self.actions.push(Action::SetCpuShare(order));
    }

    /// Handles the outcome of an order to change a CPU share.
    ///
    /// Without an answer the known share stays as it was, so that the next list of runs leads to
    /// the order again.
    pub fn cpu_share_replied(&mut self, order: &CpuShareOrder, reply: OrderReply) {
        if reply == OrderReply::Refused(Refusal::Fenced) {
            self.deposed = true;
        }
        let Some(run) = self.runs.get_mut(order.run) else {
            return;
        };
        run.cpu_share_in_flight = false;
        if matches!(reply, OrderReply::Done { .. }) {
            run.cpu_share = order.percent;
        }
        let minion = run.minion;
        if reply == OrderReply::NoAnswer {
            self.mark_suspect(minion);
        }
    }
}

/// Returns half of a CPU share, or 0 if that is below the smallest useful one.
fn decrease_cpu_share(share: u32) -> u32 {
    let half = share / 2;
    if half < MIN_CPU_SHARE { 0 } else { half }
}
