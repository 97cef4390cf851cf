//! The workers and what runs on them.

use slotmap::SecondaryMap;

use super::Resources;
use super::worker_index::WorkerIndex;
use crate::ids::{TaskKey, WorkerKey};

/// A worker and what is reserved on it.
#[derive(Clone, Debug)]
pub struct Worker {
    /// All that the worker has.
    pub capacity: Resources,
    /// What the tasks on it are estimated to use.
    pub reserved: Resources,
    /// Tasks on the worker.
    pub tasks: Vec<TaskKey>,
    /// Whether the worker takes new tasks, as far as its operator is concerned.
    pub open: bool,
    /// Whether the worker was set aside because it fails what it starts.
    pub aside: bool,
    /// Whether the worker is kept free for one task.
    held: bool,
    /// Whether the worker takes one task at a time.
    trial: bool,
    position: usize,
}

impl Worker {
    /// Returns whether the worker takes new tasks.
    pub fn is_open(&self) -> bool {
        self.open && !self.aside
    }
}

/// All workers, with an index of their free resources.
#[derive(Clone, Debug, Default)]
pub struct Workers {
    workers: SecondaryMap<WorkerKey, Worker>,
    positions: Vec<Option<WorkerKey>>,
    vacant: Vec<usize>,
    free: WorkerIndex,
    capacities: WorkerIndex,
    total: Resources,
    reserved: Resources,
}

impl Workers {
    /// Adds a worker, or changes its capacity.
    pub fn add(&mut self, key: WorkerKey, capacity: Resources) {
        if let Some(worker) = self.workers.get_mut(key) {
            self.total = self.total.minus(&worker.capacity).plus(&capacity);
            worker.capacity = capacity;
            let position = worker.position;
            self.capacities.set(position, capacity);
            self.refresh(key);
            return;
        }
        let position = self.vacant.pop().unwrap_or(self.positions.len());
        if position == self.positions.len() {
            self.positions.push(None);
        }
        self.positions[position] = Some(key);
        let worker = Worker {
            capacity,
            reserved: Resources::default(),
            tasks: Vec::new(),
            open: true,
            aside: false,
            held: false,
            trial: false,
            position,
        };
        self.workers.insert(key, worker);
        self.capacities.set(position, capacity);
        self.total = self.total.plus(&capacity);
        self.refresh(key);
    }

    /// Removes a worker and returns the tasks that were on it.
    pub fn remove(&mut self, key: WorkerKey) -> Vec<TaskKey> {
        let Some(worker) = self.workers.remove(key) else {
            return Vec::new();
        };
        self.positions[worker.position] = None;
        self.vacant.push(worker.position);
        self.free.set(worker.position, Resources::default());
        self.capacities.set(worker.position, Resources::default());
        self.total = self.total.minus(&worker.capacity);
        self.reserved = self.reserved.minus(&worker.reserved);
        worker.tasks
    }

    /// Lets a worker take new tasks, or none.
    pub fn set_open(&mut self, key: WorkerKey, open: bool) {
        if let Some(worker) = self.workers.get_mut(key) {
            worker.open = open;
            self.refresh(key);
        }
    }

    /// Sets a worker aside because it fails what it starts, or lets it back in.
    pub fn set_aside(&mut self, key: WorkerKey, aside: bool) {
        if let Some(worker) = self.workers.get_mut(key) {
            worker.aside = aside;
            self.refresh(key);
        }
    }

    /// Lets a worker take one task at a time, or as many as fit.
    pub(super) fn set_trial(&mut self, key: WorkerKey, trial: bool) {
        if let Some(worker) = self.workers.get_mut(key) {
            worker.trial = trial;
            self.refresh(key);
        }
    }

    /// Keeps a worker free of new tasks, or no longer.
    pub(super) fn hold(&mut self, key: WorkerKey, held: bool) {
        if let Some(worker) = self.workers.get_mut(key) {
            worker.held = held;
            self.refresh(key);
        }
    }

    /// Returns a worker.
    pub fn get(&self, key: WorkerKey) -> Option<&Worker> {
        self.workers.get(key)
    }

    /// Returns all workers.
    pub fn iter(&self) -> impl Iterator<Item = (WorkerKey, &Worker)> {
        self.workers.iter()
    }

    /// Returns what all workers have.
    pub fn total(&self) -> &Resources {
        &self.total
    }

    /// Returns the most that any worker has of each resource.
    pub fn largest(&self) -> &Resources {
        self.capacities.max()
    }

    /// Returns what is reserved on all workers.
    pub fn reserved(&self) -> &Resources {
        &self.reserved
    }

    /// Returns whether some worker could hold this size if it were empty.
    pub fn could_hold(&self, size: &Resources) -> bool {
        self.capacities.find(size, |_| true).is_some()
    }

    /// Returns the capacity of the worker that comes nearest to this size.
    ///
    /// Returns `None` if there are no workers.
    pub fn largest_for(&self, size: &Resources) -> Option<Resources> {
        let covered = |capacity: &Resources| capacity.min(size).dominant_part(size);
        let missing = |capacity: &Resources| size.minus(capacity).dominant_part(size);
        let capacities = self.workers.values().map(|worker| worker.capacity);
        capacities.min_by(|a, b| {
            let by_missing = missing(a).total_cmp(&missing(b));
            by_missing.then_with(|| covered(b).total_cmp(&covered(a)))
        })
    }

    /// Returns an open worker with this size free, none of those to avoid.
    pub(super) fn find(&self, size: &Resources, avoid: &[Option<WorkerKey>]) -> Option<WorkerKey> {
        let accept = |position: usize| !avoid.contains(&self.positions[position]);
        // A task that has nothing to avoid carries `None`, which no position in use equals.
        let position = self.free.find(size, accept)?;
        self.positions.get(position).copied().flatten()
    }

    pub(super) fn reserve(&mut self, key: WorkerKey, task: TaskKey, size: &Resources) {
        if let Some(worker) = self.workers.get_mut(key) {
            worker.reserved = worker.reserved.plus(size);
            worker.tasks.push(task);
            self.reserved = self.reserved.plus(size);
            self.refresh(key);
        }
    }

    pub(super) fn release(&mut self, key: WorkerKey, task: TaskKey, size: &Resources) {
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        let Some(at) = worker.tasks.iter().position(|&other| other == task) else {
            return;
        };
        worker.tasks.swap_remove(at);
        worker.reserved = worker.reserved.minus(size);
        self.reserved = self.reserved.minus(size);
        self.refresh(key);
    }

    fn refresh(&mut self, key: WorkerKey) {
        let Some(worker) = self.workers.get(key) else {
            return;
        };
        let taken = worker.trial && !worker.tasks.is_empty();
        let free = if worker.is_open() && !worker.held && !taken {
            worker.capacity.minus(&worker.reserved)
        } else {
            Resources::default()
        };
        self.free.set(worker.position, free);
    }
}
