//! Runs the coordinators of the pools that this entry VM coordinates.

mod convert;
mod coordinator;
mod operate;
mod vm_rows;

use std::collections::VecDeque;
use std::time::Duration;

use smol_str::SmolStr;
use snipevane_core::clock::Clock;
use snipevane_core::config::SitePool;
use snipevane_core::ids::PoolKey;
use snipevane_core::pools::{PoolAction, UnixMs, VmEvent, VmState};
use snipevane_platform::{Check, Row, Transaction, VmRole, Write, commit_resolved};
use snipevane_proto::rows::{POOL_PREFIX, PoolCoordination, VM_PREFIX, VmRecord};

use super::{Control, Platform};
use crate::journal::kinds;
use crate::state::Versioned;
use convert::core_row;
use coordinator::Coordination;
pub(crate) use coordinator::Coordinators;

/// Time for which a listed but unreachable coordinator keeps its pool while the pool's row doesn't
/// change.
const COORDINATOR_TIMEOUT: Duration = Duration::from_secs(15);

/// Upper limit of actions executed in one call, so that a fault can't cause an endless loop.
const MAX_ACTIONS: usize = 10_000;

impl<P: Platform, C: Clock> Control<P, C> {
    /// Reads the rows of pools and VMs, and advances the pools that this entry VM coordinates.
    pub(crate) async fn poll_pools(&self) {
        if self.node.state().site.version == 0 {
            return;
        }
        if !self.read_pool_rows().await || self.node.is_stopping() {
            return;
        }
        for (key, pool) in self.pools() {
            if self.acquire_pool(key, &pool).await {
                self.create_missing_vm_rows(key, &pool).await;
                let actions = self.observe(key);
                self.execute_actions(key, actions).await;
                let actions = self.detect_vm_events(key).await;
                self.execute_actions(key, actions).await;
            }
        }
    }

    fn pools(&self) -> Vec<(PoolKey, SitePool)> {
        let state = self.node.state();
        state
            .site
            .pools
            .iter()
            .map(|(key, pool)| (key, pool.clone()))
            .collect()
    }

    fn now_ms(&self) -> UnixMs {
        UnixMs(self.node.clock.unix_ms())
    }

    /// Reads all rows of pools and VMs; returns `false` if the table can't be read.
    async fn read_pool_rows(&self) -> bool {
        let (pools, vms) = tokio::join!(
            self.platform.scan(POOL_PREFIX),
            self.platform.scan(VM_PREFIX)
        );
        self.record_platform_result(&vms);
        let (Ok(pools), Ok(vms)) = (pools, vms) else {
            return false;
        };
        let pools = self.parse_rows::<PoolCoordination>(&pools, POOL_PREFIX);
        let vms = self.parse_rows::<VmRecord>(&vms, VM_PREFIX);
        let now = self.node.now();
        let mut state = self.node.state();
        state.pool_rows.pools = pools.into_iter().collect();
        state.upsert_vm_rows(vms);
        state.sync_servers(now);
        true
    }

    fn parse_rows<T: serde::de::DeserializeOwned>(
        &self,
        rows: &[Row],
        prefix: &str,
    ) -> Vec<(SmolStr, Versioned<T>)> {
        let parsed = rows.iter().filter_map(|read| {
            let name = SmolStr::new(read.key.strip_prefix(prefix)?);
            let row = self.parse_row(read)?;
            Some((
                name,
                Versioned {
                    version: read.version,
                    row,
                },
            ))
        });
        parsed.collect()
    }

    /// Returns whether this entry VM coordinates a pool, taking the pool over if it has no live
    /// coordinator.
    async fn acquire_pool(&self, key: PoolKey, pool: &SitePool) -> bool {
        let known = self.node.state().pool_rows.pools.get(&pool.name).cloned();
        if let Some(read) = &known
            && read.row.holder == self.node.incarnation
        {
            self.ensure_coordinator(key, pool, read);
            return true;
        }
        self.coordinators.lock().drop_pool(key);
        if known
            .as_ref()
            .is_some_and(|read| self.may_be_coordinating(&pool.name, read))
        {
            return false;
        }
        let Some(read) = self.take_over_pool(pool, known).await else {
            return false;
        };
        self.ensure_coordinator(key, pool, &read);
        self.node
            .state()
            .pool_rows
            .pools
            .insert(pool.name.clone(), read);
        true
    }

    /// Writes this entry VM as a pool's coordinator into the pool's row, on condition that the row is
    /// unchanged; returns the row, or `None` if it wasn't written.
    async fn take_over_pool(
        &self,
        pool: &SitePool,
        known: Option<Versioned<PoolCoordination>>,
    ) -> Option<Versioned<PoolCoordination>> {
        let row = PoolCoordination {
            holder: self.node.incarnation,
            vm: self.node.settings.vm.to_string(),
            epoch: known.as_ref().map_or(0, |read| read.row.epoch) + 1,
        };
        let key = SmolStr::from(format!("{POOL_PREFIX}{}", pool.name));
        let check = Check {
            key: key.clone(),
            expected: known.map(|read| read.version),
        };
        let value = serde_json::to_value(&row).unwrap_or_default();
        let tx = Transaction::new(vec![check], vec![Write::Put { key, value }]);
        let committed = commit_resolved(&self.platform, tx).await.ok()?;
        let (_, version) = committed.versions.first()?;
        self.node
            .record(&kinds::POOL_COORDINATED, &[&pool.name, &row.epoch]);
        Some(Versioned {
            version: *version,
            row,
        })
    }

    /// Returns whether a pool's recorded coordinator may still be running.
    ///
    /// Taking over from a running coordinator is safe, since its writes fail from then on. However,
    /// two entry VMs that can't reach each other must not keep taking the pool from each other.
    fn may_be_coordinating(&self, pool: &SmolStr, read: &Versioned<PoolCoordination>) -> bool {
        let now = self.node.now();
        let state = self.node.state();
        let row = &read.row;
        if let Some(peer) = state.peers.get(&row.vm)
            && peer.reachable
        {
            return peer.incarnation == Some(row.holder) && peer.accepts_requests();
        }
        let listed = !state.list_read || state.list.iter().any(|entry| entry.id == row.vm);
        let unchanged = self
            .coordinators
            .lock()
            .unchanged_for(pool, read.version, now);
        listed && unchanged < COORDINATOR_TIMEOUT
    }

    /// Passes the rows as last read to a pool's coordinator.
    fn observe(&self, key: PoolKey) -> Vec<PoolAction> {
        let now = self.now_ms();
        let state = self.node.state();
        let mut coordinators = self.coordinators.lock();
        let Some(coordination) = coordinators.get_mut(key) else {
            return Vec::new();
        };
        let mut actions = Vec::new();
        for (vm, read) in &state.pool_rows.vms {
            actions.extend(coordination.observe(&state, vm, read, now));
        }
        actions
    }

    /// Checks a pool's VMs for events, such as a finished drain, and passes them to the
    /// coordinator.
    ///
    /// For a rebooting VM, the check itself requests the reboot from the platform, which starts it
    /// only once for each operation.
    async fn detect_vm_events(&self, key: PoolKey) -> Vec<PoolAction> {
        let rows = match self.coordinators.lock().get_mut(key) {
            Some(coordination) => coordination.rows(),
            None => return Vec::new(),
        };
        let mut actions = Vec::new();
        for (vm, name, row) in rows {
            let Some(event) = self.detect_vm_event(&name, &row).await else {
                continue;
            };
            let now = self.now_ms();
            if let Some(coordination) = self.coordinators.lock().get_mut(key) {
                actions.extend(coordination.core.on_vm_event(vm, event, now));
            }
        }
        actions
    }

    async fn detect_vm_event(
        &self,
        name: &SmolStr,
        row: &snipevane_core::pools::VmRow,
    ) -> Option<VmEvent> {
        match row.state {
            VmState::Draining => self
                .node
                .state()
                .is_drained(name)
                .then_some(VmEvent::Drained),
            VmState::Rebooting => {
                let operation = row.operation.map_or(0, |operation| operation.id.0);
                let booted = self.platform.reboot(name, operation).await;
                matches!(booted, Ok(true)).then_some(VmEvent::Booted)
            }
            VmState::Serving | VmState::Ready => {
                let state = self.node.state();
                let listed = state.list.iter();
                let gone = state.list_read
                    && !listed
                        .filter(|entry| entry.role == VmRole::Backend)
                        .any(|entry| entry.id == *name);
                gone.then_some(VmEvent::Failed)
            }
            VmState::Empty | VmState::Moving | VmState::Failed => None,
        }
    }

    /// Executes a coordinator's actions, and the further actions that result from them.
    async fn execute_actions(&self, key: PoolKey, actions: Vec<PoolAction>) {
        let mut actions = VecDeque::from(actions);
        for _ in 0..MAX_ACTIONS {
            let Some(action) = actions.pop_front() else {
                return;
            };
            actions.extend(self.execute_action(key, action).await);
        }
    }

    async fn execute_action(&self, key: PoolKey, action: PoolAction) -> Vec<PoolAction> {
        match action {
            PoolAction::Write(write) => {
                let outcome = self.write_vm(&write).await;
                let now = self.now_ms();
                let mut coordinators = self.coordinators.lock();
                let coordination = coordinators.get_mut(key);
                coordination.map_or_else(Vec::new, |c| {
                    c.core.on_write_outcome(write.vm, outcome, now)
                })
            }
            PoolAction::Read(vm) => self.read_vm(key, vm).await,
            // Nothing to do here: every entry VM reads the rows and acts on them itself.
            PoolAction::StopNewWork(_) | PoolAction::ResumeWork(_) => Vec::new(),
            // Nothing to do here: the next check for events requests the reboot from the platform,
            // which starts it only once for each operation.
            PoolAction::Reboot(_) => Vec::new(),
            PoolAction::Abandoned { vm, .. } => {
                if let Some(name) = self.coordinators.lock().name(key, vm) {
                    self.node.record(&kinds::OPERATION_ABANDONED, &[&name]);
                }
                Vec::new()
            }
        }
    }

    /// Ensures that a pool has a coordinator for the row as read and the configuration in force.
    fn ensure_coordinator(
        &self,
        key: PoolKey,
        pool: &SitePool,
        read: &Versioned<PoolCoordination>,
    ) {
        // Lock order: the state's lock is always taken before the coordinators' lock.
        let state = self.node.state();
        let settings = Coordination::settings(&state.site, key, pool);
        let version = state.site.version;
        self.coordinators
            .lock()
            .ensure_coordinator(key, read, version, settings);
    }
}
