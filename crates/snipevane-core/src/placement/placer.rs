//! Takes waiting tasks in the order of classes and shares and finds a worker for each.

use std::collections::BTreeSet;
use std::time::Duration;

use slotmap::SecondaryMap;

use super::account::{Account, ShareOrder};
use super::deadlines::Deadlines;
use super::reservation::Reservation;
use super::victims::Victims;
use super::{Class, Resources, Units, Waiting, Workers};
use crate::ids::{TaskKey, TeamKey, WorkerKey};
use crate::pools::UnixMs;

/// Waiting tasks of a team that are tried in one turn if those before them fit nowhere.
const LOOK_AHEAD: usize = 8;

/// Settings of the placement.
#[derive(Clone, Copy, Debug)]
pub struct PlacerSettings {
    /// Part of the fleet that deferred work leaves free before its latest start.
    pub headroom: f64,
    /// Time after which urgent work that fits nowhere interrupts other work.
    pub urgent_patience: Duration,
    /// Time after which a worker is kept free for a task that fits nowhere.
    pub reserve_after: Duration,
}

impl Default for PlacerSettings {
    fn default() -> Self {
        Self {
            headroom: 0.1,
            urgent_patience: Duration::from_secs(1),
            reserve_after: Duration::from_secs(30),
        }
    }
}

/// A task and the worker that it was placed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Placed {
    /// Task.
    pub task: TaskKey,
    /// Worker.
    pub worker: WorkerKey,
}

/// A turn of the placement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Pass {
    Urgent,
    /// Deferred work that has to start now.
    Due,
    Normal,
    /// Deferred work that may wait.
    Spare,
}

impl Pass {
    const ALL: [Self; 4] = [Self::Urgent, Self::Due, Self::Normal, Self::Spare];

    fn class(self) -> Class {
        match self {
            Self::Urgent => Class::Urgent,
            Self::Normal => Class::Normal,
            Self::Due | Self::Spare => Class::Deferred,
        }
    }
}

/// A task on a worker.
#[derive(Clone, Copy, Debug)]
pub(super) struct Running {
    pub(super) worker: WorkerKey,
    pub(super) waiting: Waiting,
}

/// Places waiting tasks on workers.
///
/// Teams share by weighted max-min fairness: the next task is taken of the team whose dominant part
/// in use, now and lately, is least for its weight.
#[derive(Clone, Debug, Default)]
pub struct Placer {
    pub(super) settings: PlacerSettings,
    pub(super) workers: Workers,
    pub(super) accounts: SecondaryMap<TeamKey, Account>,
    pub(super) running: SecondaryMap<TaskKey, Running>,
    pub(super) reservation: Option<Reservation>,
    pub(super) victims: Victims,
    deadlines: Deadlines,
    aged: UnixMs,
}

impl Placer {
    /// Creates a placer without workers and teams.
    pub fn new(settings: PlacerSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Returns the workers.
    pub fn workers(&self) -> &Workers {
        &self.workers
    }

    /// Adds a worker, or changes its capacity.
    pub fn add_worker(&mut self, worker: WorkerKey, capacity: Resources) {
        self.workers.add(worker, capacity);
    }

    /// Lets a worker take new tasks, or none.
    pub fn set_open(&mut self, worker: WorkerKey, open: bool) {
        self.workers.set_open(worker, open);
    }

    /// Sets a worker aside because it fails what it starts, or lets it back in.
    pub fn set_aside(&mut self, worker: WorkerKey, aside: bool) {
        self.workers.set_aside(worker, aside);
    }

    /// Lets a worker take one task at a time, or as many as fit.
    pub fn set_trial(&mut self, worker: WorkerKey, trial: bool) {
        self.workers.set_trial(worker, trial);
    }

    /// Removes a worker and returns the tasks that were on it; they stay counted until they end.
    pub fn remove_worker(&mut self, worker: WorkerKey) -> Vec<TaskKey> {
        self.workers.remove(worker)
    }

    /// Sets a team's weight.
    pub fn set_weight(&mut self, team: TeamKey, weight: u32) {
        if let Some(entry) = self.accounts.entry(team) {
            entry.or_default().weight = weight;
        }
    }

    /// Returns the part of the fleet that a team uses of the resource that it uses most.
    pub fn dominant_part(&self, team: TeamKey) -> f64 {
        let used = self.accounts.get(team).map(|account| account.used);
        used.unwrap_or_default().dominant_part(self.workers.total())
    }

    /// Returns the worker that a task was placed on.
    pub fn worker_of(&self, task: TaskKey) -> Option<WorkerKey> {
        self.running.get(task).map(|running| running.worker)
    }

    /// Returns the size that is reserved for a task on a worker.
    pub fn size_of(&self, task: TaskKey) -> Option<Resources> {
        self.running.get(task).map(|running| running.waiting.size)
    }

    /// Adds a task that waits.
    pub fn push(&mut self, waiting: Waiting) {
        if waiting.class == Class::Deferred {
            self.deadlines.add(&waiting, self.workers.total());
        }
        if let Some(entry) = self.accounts.entry(waiting.team) {
            entry.or_default().queue.push(waiting);
        }
    }

    /// Takes a task off its worker; returns whether it was on one.
    pub fn end(&mut self, task: TaskKey) -> bool {
        let Some(running) = self.running.remove(task) else {
            return false;
        };
        self.victims.forget(task);
        let size = running.waiting.size;
        self.workers.release(running.worker, task, &size);
        if let Some(account) = self.accounts.get_mut(running.waiting.team) {
            account.used = account.used.minus(&size);
        }
        true
    }

    /// Takes over a task that runs on a worker already.
    pub fn adopt(&mut self, waiting: Waiting, worker: WorkerKey) {
        if let Some(entry) = self.accounts.entry(waiting.team) {
            entry.or_default();
        }
        self.start(waiting, worker);
    }

    /// Changes the size that is reserved for a task to what it turned out to use.
    pub fn resize(&mut self, task: TaskKey, size: Resources) {
        let Some(running) = self.running.get_mut(task) else {
            return;
        };
        let before = running.waiting.size;
        running.waiting.size = size;
        self.workers.release(running.worker, task, &before);
        self.workers.reserve(running.worker, task, &size);
        if let Some(account) = self.accounts.get_mut(running.waiting.team) {
            account.used = account.used.minus(&before).plus(&size);
        }
    }

    /// Places at most `most` waiting tasks.
    ///
    /// `current` returns the size of a task by what has been learned meanwhile, or `None` if it no
    /// longer waits; such tasks are dropped as they come up, so that a cancellation costs nothing
    /// here. A unit of the team's limit is taken for each placed task.
    pub fn place(
        &mut self,
        now: UnixMs,
        most: usize,
        units: &mut impl Units,
        current: impl Fn(&Waiting) -> Option<Resources>,
    ) -> Vec<Placed> {
        self.age(now);
        let mut placed = Vec::new();
        self.place_reserved(units, &current, &mut placed);
        let due = self.deadlines.due(now);
        for pass in Pass::ALL {
            let mut round = Round {
                pass,
                due,
                now,
                most,
                placed: &mut placed,
            };
            self.place_pass(&mut round, units, &current);
        }
        placed
    }

    /// Puts a waiting task on a worker.
    pub(super) fn start(&mut self, waiting: Waiting, worker: WorkerKey) -> Placed {
        let task = waiting.task;
        self.victims.forget(task);
        self.workers.reserve(worker, task, &waiting.size);
        if let Some(account) = self.accounts.get_mut(waiting.team) {
            account.used = account.used.plus(&waiting.size);
        }
        self.running.insert(task, Running { worker, waiting });
        Placed { task, worker }
    }

    /// Takes the `nth` waiting task of a class out of its queue.
    pub(super) fn take(&mut self, team: TeamKey, class: Class, nth: usize) -> Option<Waiting> {
        let waiting = self.accounts.get_mut(team)?.queue.remove(class, nth)?;
        if class == Class::Deferred {
            self.deadlines.remove(&waiting, self.workers.total());
        }
        Some(waiting)
    }

    fn age(&mut self, now: UnixMs) {
        let passed = now.since(self.aged);
        self.aged = now;
        for account in self.accounts.values_mut() {
            account.age(passed, self.workers.total());
        }
    }

    fn place_pass(
        &mut self,
        round: &mut Round<'_>,
        units: &mut impl Units,
        current: &impl Fn(&Waiting) -> Option<Resources>,
    ) {
        let mut order = self.order(round.pass.class());
        while let Some((_, team)) = order.pop_first() {
            if round.placed.len() >= round.most || self.lacks_room(round.pass) {
                return;
            }
            let Some(fit) = self.next_fit(team, round, current) else {
                continue;
            };
            // A team at its limit has no further turn.
            if !units.take(team) {
                continue;
            }
            let Some(waiting) = self.take(team, round.pass.class(), fit.nth) else {
                continue;
            };
            let waiting = Waiting {
                size: fit.size,
                ..waiting
            };
            let placed = self.start(waiting, fit.worker);
            round.placed.push(placed);
            if let Some(account) = self.accounts.get(team) {
                order.insert((account.order(self.workers.total()), team));
            }
        }
    }

    /// Returns the teams with waiting tasks of a class by their shares.
    fn order(&self, class: Class) -> BTreeSet<(ShareOrder, TeamKey)> {
        let total = self.workers.total();
        let waiting = self
            .accounts
            .iter()
            .filter(|(_, account)| !account.queue.is_empty(class));
        waiting
            .map(|(team, account)| (account.order(total), team))
            .collect()
    }

    fn lacks_room(&self, pass: Pass) -> bool {
        let reserved = self.workers.reserved().dominant_part(self.workers.total());
        pass == Pass::Spare && reserved + self.settings.headroom >= 1.0
    }

    /// Returns the first task of a team that fits on a worker.
    fn next_fit(
        &mut self,
        team: TeamKey,
        round: &Round<'_>,
        current: &impl Fn(&Waiting) -> Option<Resources>,
    ) -> Option<Fit> {
        let class = round.pass.class();
        let mut too_large: Option<Resources> = None;
        let mut nth = 0;
        while nth < LOOK_AHEAD {
            let waiting = *self.accounts.get(team)?.queue.get(class, nth)?;
            let Some(size) = current(&waiting) else {
                self.take(team, class, nth);
                continue;
            };
            let not_due = waiting.deadline.is_none_or(|at| Some(at) > round.due);
            if round.pass == Pass::Due && not_due {
                return None;
            }
            let hopeless = too_large.is_some_and(|other| other.fits_in(&size));
            if !hopeless {
                if let Some(worker) = self.workers.find(&size, &waiting.avoid) {
                    return Some(Fit { nth, size, worker });
                }
                too_large = Some(size);
            }
            if nth == 0 && round.pass != Pass::Spare {
                let waiting = Waiting { size, ..waiting };
                self.consider_reservation(&waiting, round.now);
            }
            nth += 1;
        }
        None
    }
}

/// A waiting task that fits on a worker.
struct Fit {
    nth: usize,
    size: Resources,
    worker: WorkerKey,
}

/// What is fixed for a pass, and what has been placed so far.
struct Round<'a> {
    pass: Pass,
    due: Option<UnixMs>,
    now: UnixMs,
    most: usize,
    placed: &'a mut Vec<Placed>,
}
