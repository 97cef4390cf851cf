//! A naive policy for tasks: teams in turn, sizes as declared, the first worker that fits.

use std::collections::{BTreeMap, VecDeque};

use smol_str::SmolStr;
use snipevane_core::placement::Resources;
use snipevane_core::pools::UnixMs;

use super::task_policy::{Asked, Started, TaskPolicy};
use super::workload::SimTask;

#[derive(Clone, Debug)]
struct Held {
    team: usize,
    job: SmolStr,
    size: Resources,
    starts: u32,
    on: Option<usize>,
    ended: bool,
}

/// Takes as many tasks of each team in turn as its weight says, whatever their sizes.
///
/// Urgent work waits in line, failed tasks are tried again without end, workers are never set
/// aside, and any report counts.
pub(super) struct NaivePolicy {
    weights: Vec<u32>,
    queues: Vec<VecDeque<usize>>,
    tasks: Vec<Held>,
    free: Vec<Resources>,
    up: Vec<bool>,
    capacity: Resources,
    on_worker: Vec<BTreeMap<usize, ()>>,
    turn: usize,
    taken_in_turn: u32,
}

impl NaivePolicy {
    pub(super) fn new(weights: &[u32], workers: usize, capacity: Resources) -> Self {
        Self {
            weights: weights.to_vec(),
            queues: vec![VecDeque::new(); weights.len()],
            tasks: Vec::new(),
            free: vec![capacity; workers],
            up: vec![true; workers],
            capacity,
            on_worker: vec![BTreeMap::new(); workers],
            turn: 0,
            taken_in_turn: 0,
        }
    }

    /// Returns the next task in turn.
    fn next(&mut self) -> Option<usize> {
        for _ in 0..=self.queues.len() {
            let done = self.taken_in_turn >= self.weights[self.turn];
            if !done && let Some(&task) = self.queues[self.turn].front() {
                return Some(task);
            }
            self.turn = (self.turn + 1) % self.queues.len();
            self.taken_in_turn = 0;
        }
        None
    }

    /// Takes a task off its worker; returns whether it was on it by this start.
    fn leave(&mut self, started: Started) -> bool {
        let held = &mut self.tasks[started.task];
        if held.on != Some(started.worker) || held.starts != started.attempt {
            return false;
        }
        held.on = None;
        let size = held.size;
        self.free[started.worker] = self.free[started.worker].plus(&size);
        self.on_worker[started.worker].remove(&started.task);
        true
    }
}

impl TaskPolicy for NaivePolicy {
    fn submit(&mut self, index: usize, task: &SimTask, _: UnixMs) {
        self.tasks.push(Held {
            team: task.team,
            job: task.job.clone(),
            size: task.declared,
            starts: 0,
            on: None,
            ended: false,
        });
        self.queues[task.team].push_back(index);
    }

    fn round(&mut self, _: UnixMs) -> Asked {
        let mut asked = Asked::default();
        while let Some(task) = self.next() {
            let held = &self.tasks[task];
            if held.ended {
                self.queues[self.turn].pop_front();
                continue;
            }
            let size = held.size;
            let fits = |worker: &usize| self.up[*worker] && size.fits_in(&self.free[*worker]);
            let Some(worker) = (0..self.free.len()).find(fits) else {
                return asked;
            };
            self.queues[self.turn].pop_front();
            self.taken_in_turn += 1;
            self.free[worker] = self.free[worker].minus(&size);
            self.on_worker[worker].insert(task, ());
            let held = &mut self.tasks[task];
            held.starts += 1;
            held.on = Some(worker);
            asked.start.push(Started {
                task,
                worker,
                attempt: held.starts,
            });
        }
        asked
    }

    fn usage(&mut self, _: Started, _: Resources) {}

    fn finished(&mut self, started: Started, _: UnixMs) -> bool {
        self.leave(started);
        self.tasks[started.task].ended = true;
        true
    }

    fn failed(&mut self, started: Started, _: UnixMs) {
        if self.leave(started) {
            let team = self.tasks[started.task].team;
            self.queues[team].push_back(started.task);
        }
    }

    fn checkpointed(&mut self, started: Started, _: f64, now: UnixMs) {
        self.failed(started, now);
    }

    fn lapsed(&mut self, worker: usize, _: UnixMs) {
        self.up[worker] = false;
        self.free[worker] = self.capacity;
        for (task, ()) in std::mem::take(&mut self.on_worker[worker]) {
            let held = &mut self.tasks[task];
            held.on = None;
            let team = held.team;
            self.queues[team].push_back(task);
        }
    }

    fn returned(&mut self, worker: usize) {
        self.up[worker] = true;
    }

    fn cancel_job(&mut self, team: usize, job: &SmolStr, _: UnixMs) -> Vec<Started> {
        let mut stopped = Vec::new();
        for (task, held) in self.tasks.iter_mut().enumerate() {
            if held.team != team || held.job != *job || held.ended {
                continue;
            }
            held.ended = true;
            if let Some(worker) = held.on {
                stopped.push(Started {
                    task,
                    worker,
                    attempt: held.starts,
                });
            }
        }
        stopped
    }

    fn has_given_up(&self, _: usize) -> bool {
        false
    }
}
