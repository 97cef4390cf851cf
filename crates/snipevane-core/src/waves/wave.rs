//! A wave of reboots.

use std::collections::BTreeMap;
use std::time::Duration;

use slotmap::SecondaryMap;
use thiserror::Error;

use super::outcomes::Outcomes;
use super::plan::candidates;
use super::{FleetView, Pace, VmView, WaveSettings};
use crate::ids::{PoolKey, ServiceKey, VmKey};
use crate::pools::{Operation, OperationId, OperationKind, RackId, UnixMs, VmState};

/// Part of the period, in percent, within which a paced wave begins with its last VM.
const PACED_PART_PERCENT: u32 = 90;
const PERCENT: u32 = 100;

/// Time within which failures in one rack count as one loss of the rack.
const RACK_LOSS: Duration = Duration::from_secs(120);

/// A reboot that the wave asks of a pool's coordinator, which may refuse it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reboot {
    /// Pool.
    pub pool: PoolKey,
    /// VM.
    pub vm: VmKey,
    /// Operation, the same for all reboots of the wave.
    pub operation: Operation,
}

/// Why a wave halted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Halt {
    /// Failures among the VMs that the wave rebooted last.
    pub failures: u32,
    /// Time at which the wave halted.
    pub at: UnixMs,
}

/// State of a wave.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaveState {
    /// Reboots VMs.
    Running,
    /// Was paused by an operator.
    Paused,
    /// Halted because rebooted VMs failed; goes on after an operator's word.
    Halted(Halt),
    /// Was cancelled by an operator.
    Cancelled,
    /// Has rebooted every VM.
    Done,
}

/// Why a wave is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum WaveRefused {
    /// The pools have no VMs.
    #[error("the pools have no VMs")]
    NoVms,
    /// A service's budget allows no VM to be out of service.
    #[error("the budget of a service allows no VM to be out of service")]
    BudgetAllowsNone {
        /// Service.
        service: ServiceKey,
        /// VMs of its pool.
        vms: u32,
    },
}

/// A wave: state, view of the fleet and time in, reboots out.
///
/// Which VMs are done stands in their rows, so a successor that [restores](Self::restore) the wave with
/// the same start goes on, beginning with few VMs again. The number of VMs that are being rebooted or watched
/// grows by one with each VM that came through its watch.
#[derive(Clone, Debug)]
pub struct Wave {
    id: OperationId,
    settings: WaveSettings,
    started: UnixMs,
    state: WaveState,
    window: u32,
    /// VMs under way or under watch, with the time at which each was asked for.
    unproven: SecondaryMap<VmKey, UnixMs>,
    /// VMs whose failure was counted.
    blamed: SecondaryMap<VmKey, ()>,
    outcomes: Outcomes,
}

impl Wave {
    /// Creates a wave that began at `started`.
    ///
    /// # Errors
    ///
    /// Returns an error if the pools have no VMs, or if a budget never allows a reboot.
    pub fn new(
        id: OperationId,
        settings: WaveSettings,
        fleet: &FleetView,
        started: UnixMs,
    ) -> Result<Self, WaveRefused> {
        if fleet.vms.is_empty() {
            return Err(WaveRefused::NoVms);
        }
        for (pool, budget) in &fleet.budgets() {
            if budget.total() == 0 || budget.allowed_planned() > 0 {
                continue;
            }
            let services = fleet.services.get(pool);
            let strictest =
                services.and_then(|all| all.iter().min_by_key(|s| s.unavailable_percent));
            if let Some(strictest) = strictest {
                return Err(WaveRefused::BudgetAllowsNone {
                    service: strictest.service,
                    vms: budget.total(),
                });
            }
        }
        Ok(Self::restore(id, settings, started, WaveState::Running))
    }

    /// Creates a wave that a predecessor began, in the state that stands in its row.
    pub fn restore(
        id: OperationId,
        settings: WaveSettings,
        started: UnixMs,
        state: WaveState,
    ) -> Self {
        Self {
            id,
            settings,
            started,
            state,
            window: settings.first_batch.max(1),
            unproven: SecondaryMap::new(),
            blamed: SecondaryMap::new(),
            outcomes: Outcomes::default(),
        }
    }

    /// Returns the wave's state.
    pub fn state(&self) -> WaveState {
        self.state
    }

    /// Returns the wave's settings.
    pub fn settings(&self) -> &WaveSettings {
        &self.settings
    }

    /// Stops asking for reboots; those under way are finished.
    pub fn pause(&mut self) {
        if self.state == WaveState::Running {
            self.state = WaveState::Paused;
        }
    }

    /// Goes on after a pause or a halt, with few VMs first.
    pub fn resume(&mut self) {
        if matches!(self.state, WaveState::Paused | WaveState::Halted(_)) {
            self.state = WaveState::Running;
            self.window = self.settings.first_batch.max(1);
            self.outcomes.clear();
            self.unproven.clear();
        }
    }

    /// Ends the wave; returns the operation to cancel on the VMs whose reboot hasn't begun.
    pub fn cancel(&mut self) -> OperationId {
        if self.state != WaveState::Done {
            self.state = WaveState::Cancelled;
        }
        self.id
    }

    /// Takes in the fleet's state and returns the reboots to ask for.
    pub fn round(&mut self, fleet: &FleetView, now: UnixMs) -> Vec<Reboot> {
        self.adopt(fleet, now);
        self.watch(fleet, now);
        if self.state != WaveState::Running {
            return Vec::new();
        }
        let failures = self.outcomes.failures();
        if failures >= self.settings.failures_to_halt {
            self.state = WaveState::Halted(Halt { failures, at: now });
            return Vec::new();
        }
        let done = fleet.vms.iter().filter(|view| self.is_done(view)).count();
        if done == fleet.vms.len() && self.unproven.is_empty() {
            self.state = WaveState::Done;
            return Vec::new();
        }
        self.select(fleet, done, now)
    }

    pub(super) fn is_done(&self, view: &VmView) -> bool {
        view.row.booted.is_some_and(|at| at >= self.started)
    }

    pub(super) fn holds(&self, view: &VmView) -> bool {
        view.row.operation.is_some_and(|held| held.id == self.id)
    }

    pub(super) fn paced_end(&self, period: Duration) -> UnixMs {
        self.started.after(period * PACED_PART_PERCENT / PERCENT)
    }

    /// Takes over VMs that a predecessor had under way or under watch.
    fn adopt(&mut self, fleet: &FleetView, now: UnixMs) {
        for view in &fleet.vms {
            let watched = self.is_done(view)
                && view.row.is_available()
                && view
                    .row
                    .booted
                    .is_some_and(|at| now.since(at) < self.settings.watch);
            if (self.holds(view) || watched) && !self.unproven.contains_key(view.vm) {
                self.unproven.insert(view.vm, now);
            }
        }
    }

    /// Finds out which VMs came through their watch and which failed.
    fn watch(&mut self, fleet: &FleetView, now: UnixMs) {
        let lost_racks = self.lost_racks(fleet);
        for view in &fleet.vms {
            let Some(&asked) = self.unproven.get(view.vm) else {
                continue;
            };
            if view.row.state == VmState::Failed {
                // The loss of a whole rack says nothing about the reboots.
                let lost = lost_racks.get(&view.place.rack);
                let by_rack = lost.is_some_and(|&at| gap(at, view.row.since) <= RACK_LOSS);
                if !by_rack {
                    self.outcomes.record(true);
                    self.blamed.insert(view.vm, ());
                }
                self.unproven.remove(view.vm);
                continue;
            }
            let watched = view.row.booted.is_some_and(|booted| {
                booted >= self.started && now.since(booted) >= self.settings.watch
            });
            if watched && view.row.is_available() {
                self.outcomes.record(false);
                self.unproven.remove(view.vm);
                self.window = self.window.saturating_add(1);
                continue;
            }
            // A refused or cancelled reboot left the VM as it was.
            let untouched = view.row.operation.is_none() && !self.is_done(view);
            if untouched && now.since(asked) > self.settings.cycle_estimate {
                self.unproven.remove(view.vm);
            }
        }
        self.window = self.window.min(self.settings.max_unproven);
    }

    /// Returns racks in which a VM failed that wasn't under way or under watch, with the time.
    fn lost_racks(&self, fleet: &FleetView) -> BTreeMap<RackId, UnixMs> {
        let others = fleet.vms.iter().filter(|view| {
            let watched = self.unproven.contains_key(view.vm) || self.blamed.contains_key(view.vm);
            view.row.state == VmState::Failed && !watched
        });
        others
            .map(|view| (view.place.rack, view.row.since))
            .collect()
    }

    fn select(&mut self, fleet: &FleetView, done: usize, now: UnixMs) -> Vec<Reboot> {
        let mut budgets = fleet.budgets();
        // Reboots that were asked for may not show in the rows yet.
        for view in &fleet.vms {
            let asked = self.unproven.contains_key(view.vm) && !self.is_done(view);
            if !asked || !view.row.is_available() {
                continue;
            }
            if let Some(budget) = budgets.get_mut(view.row.pool) {
                budget.take(view.place);
            }
        }
        let waiting = fleet.vms.iter().filter(|view| {
            let free = view.row.is_available() && view.row.operation.is_none();
            free && !self.is_done(view) && !self.unproven.contains_key(view.vm)
        });
        let list = candidates(waiting, &budgets);
        let mut room = self.room(fleet, done, now);
        let mut reboots = Vec::new();
        for candidate in list {
            if room == 0 {
                break;
            }
            let Some(budget) = budgets.get_mut(candidate.pool) else {
                continue;
            };
            if budget.admit(candidate.place).is_err() {
                continue;
            }
            budget.take(candidate.place);
            self.unproven.insert(candidate.vm, now);
            room -= 1;
            reboots.push(Reboot {
                pool: candidate.pool,
                vm: candidate.vm,
                operation: Operation {
                    id: self.id,
                    kind: OperationKind::Reboot,
                },
            });
        }
        reboots
    }

    /// Returns how many VMs may begin now, by the window and by the pace.
    fn room(&self, fleet: &FleetView, done: usize, now: UnixMs) -> usize {
        let window = usize::try_from(self.window).unwrap_or(usize::MAX);
        let by_window = window.saturating_sub(self.unproven.len());
        let Pace::Within(period) = self.settings.pace else {
            return by_window;
        };
        let paced = self
            .paced_end(period)
            .since(self.started)
            .as_millis()
            .max(1);
        let passed = now.since(self.started).as_millis();
        let total = fleet.vms.len() as u128;
        // The first VM begins at once.
        let due = (total * passed / paced + 1).min(total);
        let due = usize::try_from(due).unwrap_or(usize::MAX);
        let under_way = fleet
            .vms
            .iter()
            .filter(|view| self.unproven.contains_key(view.vm) && !self.is_done(view));
        by_window.min(due.saturating_sub(done + under_way.count()))
    }
}

fn gap(a: UnixMs, b: UnixMs) -> Duration {
    a.since(b).max(b.since(a))
}
