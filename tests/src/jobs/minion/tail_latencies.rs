//! Tail latencies and CPU shares of the tasks on a fake minion.

use std::time::Duration;

use rand::RngExt;
use smol_str::SmolStr;
use snipevane_core::jobs::{CpuShareOrder, OrderReply, Refusal, TaskId};

use super::FakeMinion;
use crate::jobs::interference::INTERFERENCE_MS;

/// Tail latency of a latency-sensitive task on an otherwise idle minion, in milliseconds.
const BASELINE_TAIL_MS: f64 = 50.0;

/// Time that a CPU share takes to take effect.
const THROTTLE_DELAY: Duration = Duration::from_millis(100);

/// Time over which a reported tail latency is averaged.
pub(super) const FIGURE_WINDOW: Duration = Duration::from_millis(500);

impl FakeMinion {
    /// Returns the tail latency of latency-sensitive tasks on the minion that have no image of their
    /// own, in milliseconds.
    pub fn tail_ms(&self) -> f64 {
        self.tail_ms_of("")
    }

    /// Returns the tail latency of the latency-sensitive tasks of an image, in milliseconds.
    fn tail_ms_of(&self, image: &str) -> f64 {
        let best_effort = self
            .active
            .values()
            .filter(|active| active.kind.best_effort);
        let added = best_effort.map(|active| {
            let pairs = self.interference.added_ms.iter();
            let mut pairs = pairs.filter(|((task, other), _)| {
                *task == image && *other == active.kind.image.as_str()
            });
            let amount = pairs.next().map_or(INTERFERENCE_MS, |(_, amount)| *amount);
            amount * f64::from(active.cpu_share) / 100.0
        });
        (BASELINE_TAIL_MS + added.sum::<f64>()) * self.interference.tail_factor
    }

    /// Returns the number of latency-sensitive tasks over their target while best-effort tasks beside
    /// them work.
    pub fn tasks_over_target(&self) -> usize {
        if self.best_effort_cpu_share() == 0 {
            return 0;
        }
        let tasks = self.active.values().map(|active| &active.kind);
        let over = tasks.filter(|kind| {
            let target = kind.tail_target_ms;
            target > 0 && self.tail_ms_of(&kind.image) > target as f64
        });
        over.count()
    }

    /// Puts the CPU shares into force whose time has come.
    pub(super) fn apply_cpu_shares(&mut self, now: Duration) {
        for active in self.active.values_mut() {
            if let Some((_, share)) = active.next_cpu_share.take_if(|(at, _)| now >= *at) {
                active.cpu_share = share;
            }
        }
    }

    /// Measures the tail latencies.
    pub(super) fn measure_tails(&mut self, now: Duration) {
        let images = self.active.values().map(|active| active.kind.image.clone());
        let images: Vec<SmolStr> = images.collect();
        let tails = images.iter().map(|image| self.tail_ms_of(image));
        let tails: Vec<f64> = tails.collect();
        for (active, tail_ms) in self.active.values_mut().zip(tails) {
            active.tails_ms.push_back((now, tail_ms));
            let from = now.saturating_sub(FIGURE_WINDOW);
            active.tails_ms.retain(|(at, _)| *at > from);
        }
    }

    /// Returns the tail latency of a run as the minion reports it, in milliseconds.
    pub(super) fn reported_tail_ms(&mut self, run: &(TaskId, u32)) -> f64 {
        let tails = &self.active[run].tails_ms;
        let sum: f64 = tails.iter().map(|(_, tail_ms)| tail_ms).sum();
        let tail_ms = sum / tails.len().max(1) as f64;
        let figures = &mut self.interference;
        let error = if figures.noise > 0.0 {
            figures.random.random_range(-figures.noise..figures.noise)
        } else {
            0.0
        };
        figures.reported_ms.unwrap_or(tail_ms * (1.0 + error))
    }

    /// Returns the sum of the CPU shares of the best-effort tasks on the minion, in percent.
    pub fn best_effort_cpu_share(&self) -> u32 {
        let best_effort = self
            .active
            .values()
            .filter(|active| active.kind.best_effort);
        best_effort.map(|active| active.cpu_share).sum()
    }

    /// Returns the sum of the CPU shares of an image's tasks on the minion, in percent.
    pub fn cpu_share_of(&self, image: &str) -> u32 {
        let runs = self.active.values();
        let runs = runs.filter(|active| active.kind.image == image);
        runs.map(|active| active.cpu_share).sum()
    }

    /// Carries out an order that sets the CPU share of a run.
    pub fn set_cpu_share(&mut self, order: &CpuShareOrder, now: Duration) -> OrderReply {
        if order.to.fence < self.fence {
            return OrderReply::Refused(Refusal::Fenced);
        }
        if let Some(active) = self.active.get_mut(&(order.task, order.attempt)) {
            active.next_cpu_share = Some((now + THROTTLE_DELAY, order.percent));
        }
        let clock_ms = Some(self.clock(now));
        OrderReply::Done { clock_ms }
    }
}
