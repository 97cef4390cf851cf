//! Which tasks give way to urgent work that fits nowhere.

use slotmap::SecondaryMap;

use super::placer::Running;
use super::{Class, Placer, Resources, Waiting};
use crate::ids::{TaskKey, WorkerKey};
use crate::pools::UnixMs;

/// Urgent tasks for which room is made in one round.
const MOST_IN_ROUND: usize = 256;

/// What it costs to interrupt a task, in proportion.
const COST_OF_DEFERRED: usize = 1;
const COST_OF_NORMAL: usize = 4;

/// Tasks that were asked to give way, and for which urgent tasks.
#[derive(Clone, Debug, Default)]
pub(super) struct Victims {
    asked: SecondaryMap<TaskKey, ()>,
    served: SecondaryMap<TaskKey, Vec<TaskKey>>,
    /// Number of workers that the next search passes over, so that searches spread over all.
    passed_over: usize,
}

impl Victims {
    pub(super) fn forget(&mut self, task: TaskKey) {
        self.asked.remove(task);
        self.served.remove(task);
    }

    /// Returns whether tasks that give way to this one haven't ended yet.
    fn are_ending(&self, urgent: TaskKey) -> bool {
        let victims = self.served.get(urgent);
        victims.is_some_and(|all| all.iter().any(|&task| self.asked.contains_key(task)))
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
                    && !self.victims.are_ending(waiting.task)
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
            asked.extend(&victims);
            self.victims.served.insert(waiting.task, victims);
        }
        asked
    }

    /// Returns tasks of one worker that make room, of a worker where it costs little.
    fn cheapest(&mut self, size: &Resources) -> Option<Vec<TaskKey>> {
        let workers = self.workers.iter().count();
        let start = self.victims.passed_over % workers.max(1);
        let after = self.workers.iter().skip(start);
        let before = self.workers.iter().take(start);
        let mut best: Option<(usize, Vec<TaskKey>)> = None;
        let mut seen = 0;
        for (key, worker) in after.chain(before) {
            seen += 1;
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
            // One task is as few as can be.
            if cost <= COST_OF_NORMAL {
                break;
            }
        }
        self.victims.passed_over = start + seen;
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

    /// Returns what it costs to interrupt a task.
    fn cost(&self, task: TaskKey) -> usize {
        let class = self.running.get(task).map(|running| running.waiting.class);
        if class == Some(Class::Deferred) {
            COST_OF_DEFERRED
        } else {
            COST_OF_NORMAL
        }
    }
}
