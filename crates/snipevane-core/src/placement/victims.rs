//! Which tasks give way to urgent work that fits nowhere.

use std::time::Duration;

use slotmap::SecondaryMap;

use super::placer::Running;
use super::{Class, Placer, Resources, Waiting};
use crate::ids::{TaskKey, WorkerKey};
use crate::pools::UnixMs;

/// Urgent tasks for which room is made in one round.
const MOST_IN_ROUND: usize = 16;

/// Tasks that were asked to give way, and the urgent tasks for which, with the time.
#[derive(Clone, Debug, Default)]
pub(super) struct Victims {
    asked: SecondaryMap<TaskKey, ()>,
    served: SecondaryMap<TaskKey, UnixMs>,
}

impl Victims {
    pub(super) fn forget(&mut self, task: TaskKey) {
        self.asked.remove(task);
        self.served.remove(task);
    }

    /// Returns whether room was made for a task within the last `patience`.
    fn served_since(&self, task: TaskKey, now: UnixMs, patience: Duration) -> bool {
        let served = self.served.get(task);
        served.is_some_and(|&at| now.since(at) < patience)
    }
}

impl Placer {
    /// Returns tasks to checkpoint and stop so that urgent work which has waited long can start.
    ///
    /// Deferred tasks give way before normal ones, and never urgent ones. Room is made again for an
    /// urgent task if another one took it.
    pub fn give_way(
        &mut self,
        now: UnixMs,
        current: impl Fn(&Waiting) -> Option<Resources>,
    ) -> Vec<TaskKey> {
        let patience = self.settings.urgent_patience;
        let mut urgent: Vec<Waiting> = Vec::new();
        for account in self.accounts.values() {
            let waiting = (0..MOST_IN_ROUND).map_while(|nth| account.queue.get(Class::Urgent, nth));
            let late = waiting.filter(|waiting| {
                current(waiting).is_some()
                    && now.since(waiting.since) >= patience
                    && !self.victims.served_since(waiting.task, now, patience)
            });
            urgent.extend(late);
        }
        urgent.sort_by_key(|waiting| (waiting.since, waiting.task));
        urgent.truncate(MOST_IN_ROUND);
        let mut asked = Vec::new();
        for waiting in urgent {
            let Some(victims) = self.cheapest(&waiting.size) else {
                continue;
            };
            for &task in &victims {
                self.victims.asked.insert(task, ());
            }
            self.victims.served.insert(waiting.task, now);
            asked.extend(victims);
        }
        asked
    }

    /// Returns the tasks of the worker where the fewest have to give way.
    fn cheapest(&self, size: &Resources) -> Option<Vec<TaskKey>> {
        let mut best: Option<(usize, Vec<TaskKey>)> = None;
        for (key, worker) in self.workers.iter() {
            if !worker.is_open() || !size.fits_in(&worker.capacity) {
                continue;
            }
            let Some(victims) = self.victims_on(key, size) else {
                continue;
            };
            let cost = victims.iter().map(|&task| self.cost(task)).sum();
            if best.as_ref().is_none_or(|(least, _)| cost < *least) {
                best = Some((cost, victims));
            }
        }
        best.map(|(_, victims)| victims)
    }

    fn victims_on(&self, key: WorkerKey, size: &Resources) -> Option<Vec<TaskKey>> {
        let worker = self.workers.get(key)?;
        let mut candidates: Vec<&Running> = worker
            .tasks
            .iter()
            .filter(|&&task| !self.victims.asked.contains_key(task))
            .filter_map(|&task| self.running.get(task))
            .filter(|running| running.waiting.class != Class::Urgent)
            .collect();
        candidates.sort_by_key(|running| {
            let deferred = running.waiting.class == Class::Deferred;
            (!deferred, running.waiting.task)
        });
        let mut free = worker.capacity.minus(&worker.reserved);
        let mut victims = Vec::new();
        for running in candidates {
            if size.fits_in(&free) {
                break;
            }
            free = free.plus(&running.waiting.size);
            victims.push(running.waiting.task);
        }
        size.fits_in(&free).then_some(victims)
    }

    /// Returns what it costs to interrupt a task, in tasks without progress that matters.
    fn cost(&self, task: TaskKey) -> usize {
        const DEFERRED: usize = 1;
        const NORMAL: usize = 4;
        let class = self.running.get(task).map(|running| running.waiting.class);
        if class == Some(Class::Deferred) {
            DEFERRED
        } else {
            NORMAL
        }
    }
}
