//! Pool coordinator, which drains, reboots and moves VMs within the availability budget.

use std::time::Duration;

use slotmap::SecondaryMap;

use super::member::Member;
use super::{
    Budget, BudgetViolation, Fence, Operation, OperationError, OperationId, OperationKind, Place,
    PoolAction, RowVersion, ServiceBudget, Step, StepError, UnixMs, VmEvent, VmRow, VmState,
    VmWrite, WriteOutcome,
};
use crate::ids::VmKey;

const DEFAULT_DRAIN_ESTIMATE: Duration = Duration::from_secs(60);
const DEFAULT_REBOOT_ESTIMATE: Duration = Duration::from_secs(180);

/// Settings of a pool.
#[derive(Clone, Debug)]
pub struct PoolSettings {
    /// Availability budgets of the services that the pool hosts.
    pub services: Vec<ServiceBudget>,
    /// Smallest number of VMs that moves may leave in the pool.
    pub min_vms: u32,
    /// Usual time that a VM takes to finish its work, for estimates of when to retry.
    pub drain_estimate: Duration,
    /// Usual time that a VM takes to reboot, for estimates of when to retry.
    pub reboot_estimate: Duration,
}

impl Default for PoolSettings {
    fn default() -> Self {
        Self {
            services: Vec::new(),
            min_vms: 0,
            drain_estimate: DEFAULT_DRAIN_ESTIMATE,
            reboot_estimate: DEFAULT_REBOOT_ESTIMATE,
        }
    }
}

/// State machine that coordinates a pool: it takes in rows, events and requests, and returns the
/// actions that its driver has to perform.
///
/// All durable state is kept in the VMs' rows, so a successor reads them with
/// [`observe`](Self::observe) and continues where its predecessor stopped.
#[derive(Clone, Debug)]
pub struct PoolCoordinator {
    fence: Fence,
    settings: PoolSettings,
    members: SecondaryMap<VmKey, Member>,
    deposed: bool,
}

impl PoolCoordinator {
    /// Creates the coordinator for the process that took over the pool's row.
    pub fn new(fence: Fence, settings: PoolSettings) -> Self {
        Self {
            fence,
            settings,
            members: SecondaryMap::new(),
            deposed: false,
        }
    }

    /// Returns whether a write has shown that another process coordinates the pool now.
    pub fn is_deposed(&self) -> bool {
        self.deposed
    }

    /// Returns a VM's row as last read or written.
    pub fn row(&self, vm: VmKey) -> Option<&VmRow> {
        self.members.get(vm).map(|member| &member.row)
    }

    /// Returns a VM's failure domains.
    pub fn place(&self, vm: VmKey) -> Option<Place> {
        self.members.get(vm).map(|member| member.place)
    }

    /// Returns the pool's VMs with their rows as last read or written.
    pub fn vms(&self) -> impl Iterator<Item = (VmKey, &VmRow)> {
        self.members.iter().map(|(vm, member)| (vm, &member.row))
    }

    /// Counts the pool's VMs for its availability budget.
    ///
    /// A VM counts as unavailable from the moment at which a write that takes it out of service is
    /// sent, until the write that returns it to service is known to have taken effect.
    pub fn budget(&self) -> Budget {
        let mut budget = Budget::new(self.settings.services.clone());
        for member in self.members.values() {
            if !member.row.is_arriving() {
                budget.add(member.place, member.is_available());
            }
        }
        budget
    }

    /// Processes a VM's row as read from the table.
    pub fn observe(
        &mut self,
        vm: VmKey,
        place: Place,
        version: RowVersion,
        row: VmRow,
        now: UnixMs,
    ) -> Vec<PoolAction> {
        if self.deposed {
            return Vec::new();
        }
        if row.pool != self.fence.pool {
            self.members.remove(vm);
            return Vec::new();
        }
        let Some(member) = self.members.get_mut(vm) else {
            self.members.insert(vm, Member::new(place, version, row));
            return self.reconcile(vm, now);
        };
        if version < member.version {
            // A stale read, whose reply arrived after that of a later read or write.
            return Vec::new();
        }
        match member.pending {
            Some((_, written)) if written == row => {
                member.pending = None;
            }
            Some((_, written)) if version == member.version => {
                // The write hasn't taken effect yet, but may still do so. Repeating it is safe:
                // both expect the same version, so at most one of them takes effect.
                let expected = member.version;
                return vec![self.write(vm, expected, written)];
            }
            Some((step, _)) => {
                member.pending = None;
                member.queued.push_front(step);
            }
            None => {}
        }
        member.version = version;
        member.row = row;
        self.reconcile(vm, now)
    }

    /// Starts an operation on all of the given VMs, or on none if it can't start on one of them.
    ///
    /// VMs that the same operation already holds are skipped, so that a retry is harmless.
    ///
    /// # Errors
    ///
    /// Returns why the operation is refused. If it would exceed an availability budget, the error
    /// holds the service, the excess in VMs and the time after which to retry.
    pub fn begin(
        &mut self,
        operation: Operation,
        vms: &[VmKey],
        now: UnixMs,
    ) -> Result<Vec<PoolAction>, OperationError> {
        let started = self.validate_operation(operation, vms, now)?;
        let mut actions = Vec::new();
        for vm in started {
            actions.extend(self.apply_step(vm, Step::Begin(operation), now));
        }
        Ok(actions)
    }

    /// Cancels an operation on each VM that has neither changed its pool nor begun to reboot.
    ///
    /// # Errors
    ///
    /// Returns [`OperationError::NotCoordinator`] if another process coordinates the pool.
    pub fn cancel(
        &mut self,
        operation: OperationId,
        now: UnixMs,
    ) -> Result<Vec<PoolAction>, OperationError> {
        self.check_fence()?;
        let held = self.members.iter().filter(|(_, member)| {
            let latest = member.latest();
            latest.operation.is_some_and(|held| held.id == operation)
        });
        let held: Vec<VmKey> = held.map(|(vm, _)| vm).collect();
        let mut actions = Vec::new();
        for vm in held {
            actions.extend(self.apply_step(vm, Step::Cancelled(operation), now));
        }
        Ok(actions)
    }

    /// Processes an observed event of a VM. An event that doesn't fit the VM's state changes
    /// nothing.
    pub fn on_vm_event(&mut self, vm: VmKey, event: VmEvent, now: UnixMs) -> Vec<PoolAction> {
        if self.deposed || !self.members.contains_key(vm) {
            return Vec::new();
        }
        let mut actions = self.apply_step(vm, event.step(), now);
        if event == VmEvent::Failed {
            actions.extend(self.cancel_over_budget(now));
        }
        actions
    }

    /// Processes the outcome of a write.
    pub fn on_write_outcome(
        &mut self,
        vm: VmKey,
        outcome: WriteOutcome,
        now: UnixMs,
    ) -> Vec<PoolAction> {
        match outcome {
            WriteOutcome::Written(version) => {
                let Some(member) = self.members.get_mut(vm) else {
                    return Vec::new();
                };
                if let Some((_, row)) = member.pending.take() {
                    member.row = row;
                    member.version = version;
                }
                self.reconcile(vm, now)
            }
            WriteOutcome::Conflict | WriteOutcome::Unknown => vec![PoolAction::Read(vm)],
            WriteOutcome::FenceLost => {
                self.deposed = true;
                Vec::new()
            }
        }
    }

    fn check_fence(&self) -> Result<(), OperationError> {
        if self.deposed {
            return Err(OperationError::NotCoordinator(self.fence));
        }
        Ok(())
    }

    /// Validates an operation and returns the VMs on which it has to be started.
    fn validate_operation(
        &self,
        operation: Operation,
        vms: &[VmKey],
        now: UnixMs,
    ) -> Result<Vec<VmKey>, OperationError> {
        self.check_fence()?;
        if vms.is_empty() {
            return Err(OperationError::NoVms);
        }
        if operation.kind
            == (OperationKind::Move {
                to: self.fence.pool,
            })
        {
            return Err(OperationError::SamePool);
        }
        let mut budget = self.budget();
        let mut started = Vec::new();
        for &vm in vms {
            let member = self.members.get(vm);
            let member = member.ok_or(OperationError::UnknownVm(vm))?;
            let latest = member.latest();
            latest
                .apply(Step::Begin(operation), self.fence.epoch, now)
                .map_err(|reason| OperationError::Vm { vm, reason })?;
            if latest.operation.is_some() || started.contains(&vm) {
                continue;
            }
            if member.is_available() {
                budget.admit(member.place).map_err(|violation| {
                    let retry_after = self.retry_after(violation, now);
                    OperationError::Budget {
                        violation,
                        retry_after,
                    }
                })?;
                budget.mark_unavailable(member.place);
            }
            started.push(vm);
        }
        if matches!(operation.kind, OperationKind::Move { .. }) {
            self.check_min_vms(started.len())?;
        }
        Ok(started)
    }

    fn check_min_vms(&self, leaving: usize) -> Result<(), OperationError> {
        let staying = self.members.values().filter(|member| {
            let operation = member.latest().operation;
            let moves =
                operation.is_some_and(|held| matches!(held.kind, OperationKind::Move { .. }));
            !moves || member.row.is_arriving()
        });
        let left = staying.count().saturating_sub(leaving);
        let left = u32::try_from(left).unwrap_or(u32::MAX);
        if left < self.settings.min_vms {
            return Err(OperationError::PoolTooSmall {
                left,
                min_vms: self.settings.min_vms,
            });
        }
        Ok(())
    }

    /// Estimates the time until enough operations have ended for the violation to be gone.
    fn retry_after(&self, violation: BudgetViolation, now: UnixMs) -> Option<Duration> {
        let in_zone = |member: &&Member| {
            let zone = violation.zone;
            zone.is_none_or(|zone| zone == member.place.zone)
        };
        let mut ends: Vec<UnixMs> = self
            .members
            .values()
            .filter(in_zone)
            .filter_map(|member| self.expected_end(&member.latest()))
            .collect();
        ends.sort_unstable();
        let needed = usize::try_from(violation.excess).ok()?.checked_sub(1)?;
        ends.get(needed).map(|end| end.since(now))
    }

    fn expected_end(&self, row: &VmRow) -> Option<UnixMs> {
        let kind = row.operation?.kind;
        if kind == OperationKind::Drain {
            return None;
        }
        let drain = self.settings.drain_estimate;
        let reboot = self.settings.reboot_estimate;
        match row.state {
            VmState::Draining => Some(row.state_since.after(drain + reboot)),
            VmState::Empty | VmState::Moving | VmState::Rebooting => {
                Some(row.state_since.after(reboot))
            }
            VmState::Ready => Some(row.state_since),
            VmState::Serving | VmState::Failed => None,
        }
    }

    /// Cancels reboots and moves that can still be cancelled, until the budget holds again.
    ///
    /// Drains continue, since an operator who drains a VM may have a reason to distrust it.
    fn cancel_over_budget(&mut self, now: UnixMs) -> Vec<PoolAction> {
        let mut excess = self.budget().excess();
        let mut planned: Vec<(UnixMs, VmKey, OperationId)> = Vec::new();
        for (vm, member) in &self.members {
            let latest = member.latest();
            let Some(held) = latest.operation else {
                continue;
            };
            let early = matches!(latest.state, VmState::Draining | VmState::Empty);
            if early && held.kind != OperationKind::Drain {
                planned.push((latest.state_since, vm, held.id));
            }
        }
        planned.sort_unstable_by_key(|&(since, vm, _)| (since, vm));
        let mut actions = Vec::new();
        while excess > 0 {
            // The operation that started last has made the least progress.
            let Some((_, vm, operation)) = planned.pop() else {
                break;
            };
            actions.extend(self.apply_step(vm, Step::Cancelled(operation), now));
            actions.push(PoolAction::Abandoned {
                vm,
                operation,
                reason: None,
            });
            excess -= 1;
        }
        actions
    }

    /// Applies a step now, or queues it until the write in flight has completed.
    fn apply_step(&mut self, vm: VmKey, step: Step, now: UnixMs) -> Vec<PoolAction> {
        let Some(member) = self.members.get_mut(vm) else {
            return Vec::new();
        };
        if member.pending.is_some() {
            if !member.queued.contains(&step) {
                member.queued.push_back(step);
            }
            return Vec::new();
        }
        match member.row.apply(step, self.fence.epoch, now) {
            // A step that has an effect changes the state. With an equal state, the step was taken
            // before or has nothing to do, and a newer epoch alone isn't written.
            Ok(row) if row.state == member.row.state => Vec::new(),
            Ok(row) => {
                member.pending = Some((step, row));
                let expected = member.version;
                vec![self.write(vm, expected, row)]
            }
            Err(reason) => abandoned_action(vm, step, reason).into_iter().collect(),
        }
    }

    fn write(&self, vm: VmKey, expected: RowVersion, row: VmRow) -> PoolAction {
        PoolAction::Write(VmWrite {
            fence: self.fence,
            vm,
            expected,
            row,
        })
    }

    /// Returns the actions for the state that a VM's row is known to have, then applies the queued
    /// steps and the step that follows from the row itself.
    fn reconcile(&mut self, vm: VmKey, now: UnixMs) -> Vec<PoolAction> {
        let Some(member) = self.members.get(vm) else {
            return Vec::new();
        };
        let row = member.row;
        if row.pool != self.fence.pool {
            self.members.remove(vm);
            return Vec::new();
        }
        let mut actions = Vec::new();
        match row.state {
            VmState::Draining => actions.push(PoolAction::StopNewWork(vm)),
            VmState::Serving => actions.push(PoolAction::ResumeWork(vm)),
            VmState::Rebooting => actions.push(PoolAction::Reboot(vm)),
            VmState::Empty | VmState::Moving | VmState::Ready | VmState::Failed => {}
        }
        actions.extend(self.apply_queued_steps(vm, now));
        if let Some(step) = next_step(&row) {
            let idle = self.members.get(vm).is_some_and(|m| m.pending.is_none());
            if idle {
                actions.extend(self.apply_step(vm, step, now));
            }
        }
        actions
    }

    fn apply_queued_steps(&mut self, vm: VmKey, now: UnixMs) -> Vec<PoolAction> {
        let mut actions = Vec::new();
        while let Some(member) = self.members.get_mut(vm) {
            if member.pending.is_some() {
                break;
            }
            let Some(step) = member.queued.pop_front() else {
                break;
            };
            actions.extend(self.apply_step(vm, step, now));
        }
        actions
    }
}

/// Returns the step that a row's state calls for without any event.
fn next_step(row: &VmRow) -> Option<Step> {
    let kind = row.operation.map(|held| held.kind);
    match (row.state, kind) {
        (VmState::Empty, Some(OperationKind::Move { .. })) => Some(Step::Joined),
        (VmState::Empty, Some(OperationKind::Reboot)) => Some(Step::RebootStarted),
        (VmState::Moving, _) => Some(Step::RebootStarted),
        (VmState::Ready, _) => Some(Step::Admitted),
        _ => None,
    }
}

fn abandoned_action(vm: VmKey, step: Step, reason: StepError) -> Option<PoolAction> {
    let operation = match step {
        Step::Begin(operation) => operation.id,
        Step::Cancelled(operation) => operation,
        _ => return None,
    };
    Some(PoolAction::Abandoned {
        vm,
        operation,
        reason: Some(reason),
    })
}
