//! CPU shares of best-effort tasks that run beside latency-sensitive tasks on a minion.
//!
//! Load on the same processors raises the tail latency of latency-sensitive tasks, by amounts that
//! change within seconds. As soon as one of these tasks nears its target, the CPU shares of the
//! best-effort tasks are lowered repeatedly, down to 0. They are raised again in small steps.
//! `interference::shares` decides which of them, and by how much.

use std::time::Duration;

use super::long_running::READY_PERCENT;
use crate::jobs::action::{Action, CpuShareOrder};
use crate::jobs::model::keys::{MinionKey, RunKey};
use crate::jobs::model::run::{OrderReply, Refusal, RunPhase};
use crate::jobs::scheduler::Scheduler;

/// Full CPU share of a best-effort task, in percent.
pub(in crate::jobs) const FULL_CPU_SHARE: u32 = 100;

/// Ratio of tail latency to target above which the tail latency of a minion counts as high.
pub(in crate::jobs) const HIGH_TAIL_RATIO: f64 = 0.9;

/// Ratio of tail latency to target below which the tail latency of a minion counts as low.
const LOW_TAIL_RATIO: f64 = 0.65;

/// Smallest CPU share above 0, in percent; smaller ones do more harm than they are worth.
pub(in crate::jobs) const MIN_CPU_SHARE: u32 = 12;

/// CPU share below which a task makes too little progress to stay where it is if another minion has
/// room, in percent: elsewhere it takes less than half of the time.
const USEFUL_CPU_SHARE: u32 = 50;

/// Step by which a CPU share is raised, in percentage points.
pub(in crate::jobs) const CPU_SHARE_STEP: u32 = 20;

/// Least time between a change of the CPU shares and a decrease: a lower share takes this long to
/// show in the tail latencies, which are measured over half a second.
const DECREASE_INTERVAL: Duration = Duration::from_millis(600);

/// Least time between a change of the CPU shares and an increase.
const INCREASE_INTERVAL: Duration = Duration::from_millis(1_500);

/// Time without a change of the CPU shares after which an experiment shows which image has to be
/// throttled. It costs a task up to 3 s of its work.
const PROBE_INTERVAL: Duration = Duration::from_secs(5);

/// CPU share that an adopted best-effort run is set to beside a latency-sensitive task, in percent. The
/// share that the earlier term left is unknown: a full one would disturb, none would be kept for long.
const ADOPTED_CPU_SHARE: u32 = 50;

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
        let high_since =
            (tail_latency == TailLatency::High).then(|| minion.tail_high_since.unwrap_or(now));
        minion.tail_high_since = high_since;
        let unconfirmed = self.shares_of_adopted_runs(key, &best_effort_runs, tail_latency);
        let adjusted = match high_since {
            _ if !unconfirmed.is_empty() => unconfirmed,
            Some(since) if elapsed >= DECREASE_INTERVAL => {
                let high_for = now.saturating_sub(since);
                self.decreased_shares(key, &best_effort_runs, high_for)
            }
            None if elapsed >= INCREASE_INTERVAL => {
                let is_low = tail_latency == TailLatency::Low;
                let raised = self.raised_shares(key, &best_effort_runs, is_low);
                if !raised.is_empty() || elapsed < PROBE_INTERVAL {
                    raised
                } else {
                    let probing = self.probing_shares(key, &best_effort_runs);
                    let trial = self.trial_share(&best_effort_runs).filter(|_| is_low);
                    if probing.is_empty() {
                        trial.into_iter().collect()
                    } else {
                        probing
                    }
                }
            }
            Some(_) | None => Vec::new(),
        };
        let is_change = |(run, share): &(RunKey, u32)| {
            let run = self.runs.get(*run);
            run.is_some_and(|run| run.cpu_share != *share || run.cpu_share_since.is_none())
        };
        let changed: Vec<(RunKey, u32)> = adjusted.into_iter().filter(is_change).collect();
        if changed.is_empty() {
            return;
        }
        if let Some(minion) = self.minions.get_mut(key) {
            minion.cpu_shares_changed_at = now;
        }
        for (run, percent) in changed {
            self.send_cpu_share(run, percent);
        }
    }

    /// Returns the CPU shares to set for adopted runs whose share isn't known.
    fn shares_of_adopted_runs(
        &self,
        key: MinionKey,
        best_effort_runs: &[(RunKey, u32)],
        tail_latency: TailLatency,
    ) -> Vec<(RunKey, u32)> {
        let share = match tail_latency {
            TailLatency::High => 0,
            _ if self.has_mixed_tasks(key) => ADOPTED_CPU_SHARE,
            TailLatency::Low | TailLatency::Acceptable => FULL_CPU_SHARE,
        };
        let adopted = best_effort_runs.iter().filter(|(run, _)| {
            let run = self.runs.get(*run);
            run.is_some_and(|run| run.cpu_share_since.is_none())
        });
        adopted.map(|&(run, _)| (run, share)).collect()
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

    /// Limits a best-effort run that has just started beside a task that its image is kept apart from, so
    /// that the task doesn't have to exceed its target first.
    pub(in crate::jobs) fn limit_new_run(&mut self, key: RunKey, now: Duration) {
        let share = self.initial_share(key, now);
        if share < FULL_CPU_SHARE {
            self.send_cpu_share(key, share);
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
    pub fn cpu_share_replied(&mut self, order: &CpuShareOrder, reply: OrderReply, now: Duration) {
        if reply == OrderReply::Refused(Refusal::Fenced) {
            self.deposed = true;
        }
        let Some(run) = self.runs.get_mut(order.run) else {
            return;
        };
        run.cpu_share_in_flight = false;
        if matches!(reply, OrderReply::Done { .. }) {
            run.cpu_share = order.percent;
            run.cpu_share_since = Some(now);
            let throttled_since = run.throttled_since.unwrap_or(now);
            run.throttled_since = (order.percent < USEFUL_CPU_SHARE).then_some(throttled_since);
        }
        let minion = run.minion;
        if !reply.is_reply() {
            self.mark_suspect(minion);
        }
    }
}

/// Returns half of a CPU share, or 0 if that is below the smallest useful one.
pub(in crate::jobs) fn decrease_cpu_share(share: u32) -> u32 {
    let half = share / 2;
    if half < MIN_CPU_SHARE { 0 } else { half }
}
