//! Reads and writes the rows of VMs for the pools that this entry VM coordinates.

use smol_str::SmolStr;
use snipevane_core::clock::Clock;
use snipevane_core::config::SitePool;
use snipevane_core::ids::{PoolKey, VmKey};
use snipevane_core::pools::{PoolAction, RowVersion, VmWrite, WriteOutcome};
use snipevane_platform::{Check, CommitError, Transaction, Write, commit_resolved};
use snipevane_proto::rows::{POOL_PREFIX, VM_PREFIX, VmRecord, VmStage};

use super::convert::proto_row;
use super::{Control, Platform};
use crate::journal::kinds;
use crate::state::Versioned;

impl<P: Platform, C: Clock> Control<P, C> {
    /// Creates the rows of the VMs that the manifest assigns to the pool and that have no row yet.
    pub(super) async fn create_missing_vm_rows(&self, key: PoolKey, pool: &SitePool) {
        let missing: Vec<SmolStr> = {
            let state = self.node.state();
            let rows = &state.pool_rows.vms;
            pool.vms
                .iter()
                .filter(|vm| !rows.contains_key(*vm))
                .cloned()
                .collect()
        };
        let Some(fence) = self.coordinators.lock().fence(key) else {
            return;
        };
        for vm in missing {
            let record = VmRecord {
                pool: pool.name.to_string(),
                state: VmStage::Serving,
                epoch: 0,
                operation: None,
                since_ms: self.now_ms().0,
                booted_ms: None,
            };
            let written = self
                .put_vm_row(&vm, record, None, &pool.name, fence.version)
                .await;
            // After a failure the outcome is learned from the rows that the next poll reads.
            if let Ok(Some(read)) = written {
                self.node.state().upsert_vm_rows([(vm, read)]);
            }
        }
    }

    /// Reads a VM's row, and passes it to the pool's coordinator.
    pub(super) async fn read_vm(&self, key: PoolKey, vm: VmKey) -> Vec<PoolAction> {
        let Some(name) = self.coordinators.lock().name(key, vm) else {
            return Vec::new();
        };
        let Ok(Some(read)) = self.platform.read(&format!("{VM_PREFIX}{name}")).await else {
            return Vec::new();
        };
        let Some(row) = self.parse_row::<VmRecord>(&read) else {
            return Vec::new();
        };
        let read = Versioned {
            version: read.version,
            row,
        };
        let now = self.now_ms();
        let mut state = self.node.state();
        state.upsert_vm_rows([(name.clone(), read.clone())]);
        let mut coordinators = self.coordinators.lock();
        let coordination = coordinators.get_mut(key);
        coordination.map_or_else(Vec::new, |c| c.observe(&state, &name, &read, now))
    }

    /// Writes a VM's row, on condition that the row is unchanged and that this entry VM still
    /// coordinates the pool.
    pub(super) async fn write_vm(&self, write: &VmWrite) -> WriteOutcome {
        let Some((vm, pool, record)) = self.vm_record(write) else {
            return WriteOutcome::Conflict;
        };
        let pool_row = SmolStr::from(format!("{POOL_PREFIX}{pool}"));
        let expected = Some(write.expected);
        let written = self
            .put_vm_row(&vm, record, expected, &pool, write.fence.version)
            .await;
        match written {
            Ok(Some(read)) => {
                let version = read.version;
                self.adopt_written_row(&vm, read);
                WriteOutcome::Written(RowVersion(version))
            }
            Ok(None) => WriteOutcome::Unknown,
            Err(CommitError::Conflict { keys }) if keys.contains(&pool_row) => {
                WriteOutcome::FenceLost
            }
            Err(CommitError::Conflict { .. } | CommitError::NotApplied(_)) => {
                WriteOutcome::Conflict
            }
            Err(CommitError::Unknown(_)) => WriteOutcome::Unknown,
        }
    }

    /// Adopts a row that this entry VM has written, and records the change.
    fn adopt_written_row(&self, vm: &SmolStr, read: Versioned<VmRecord>) {
        let stage = read.row.state.to_string();
        let pool = read.row.pool.clone();
        let now = self.node.now();
        let mut state = self.node.state();
        state.upsert_vm_rows([(vm.clone(), read)]);
        state.sync_servers(now);
        drop(state);
        self.node.record(&kinds::VM_CHANGED, &[vm, &pool, &stage]);
    }

    /// Writes a VM's row, on condition that the row has the expected version (`None` if it is absent)
    /// and that the pool's row still has the version `fence`.
    ///
    /// Returns the row with its new version; `None` if the platform didn't tell that.
    ///
    /// # Errors
    ///
    /// Returns an error that tells whether the row may be written nevertheless.
    async fn put_vm_row(
        &self,
        vm: &SmolStr,
        record: VmRecord,
        expected: Option<RowVersion>,
        pool: &SmolStr,
        fence: RowVersion,
    ) -> Result<Option<Versioned<VmRecord>>, CommitError> {
        let key = SmolStr::from(format!("{VM_PREFIX}{vm}"));
        let checks = vec![
            Check {
                key: key.clone(),
                expected: expected.map(|version| version.0),
            },
            Check {
                key: format!("{POOL_PREFIX}{pool}").into(),
                expected: Some(fence.0),
            },
        ];
        let value = serde_json::to_value(&record).unwrap_or_default();
        let tx = Transaction::new(checks, vec![Write::Put { key, value }]);
        let committed = commit_resolved(&self.platform, tx).await?;
        let written = committed.versions.first().map(|(_, version)| Versioned {
            version: *version,
            row: record,
        });
        Ok(written)
    }

    fn vm_record(&self, write: &VmWrite) -> Option<(SmolStr, SmolStr, VmRecord)> {
        let state = self.node.state();
        let vm = self.coordinators.lock().name(write.fence.pool, write.vm)?;
        let pool_name = state.site.pools.get(write.fence.pool)?.name.clone();
        let record = proto_row(&state.site, &write.row)?;
        Some((vm, pool_name, record))
    }
}
