//! Converts VM rows between the types of the core and those of the table.

use snipevane_core::config::Site;
use snipevane_core::pools::{Epoch, Operation, OperationId, OperationKind, UnixMs, VmRow, VmState};
use snipevane_proto::rows::{OperationName, OperationRecord, VmRecord, VmStage};

/// Converts a stored record to the core's row; `None` if it names a pool that isn't configured.
pub(super) fn core_row(site: &Site, record: &VmRecord) -> Option<VmRow> {
    let operation = match &record.operation {
        None => None,
        Some(current) => Some(Operation {
            id: OperationId(current.id),
            kind: match current.kind {
                OperationName::Drain => OperationKind::Drain,
                OperationName::Reboot => OperationKind::Reboot,
                OperationName::Move => OperationKind::Move {
                    to: site.pool(current.to.as_deref()?)?,
                },
            },
        }),
    };
    Some(VmRow {
        pool: site.pool(&record.pool)?,
        state: vm_state(record.state),
        epoch: Epoch(record.epoch),
        operation,
        state_since: UnixMs(record.since_ms),
        booted_at: record.booted_ms.map(UnixMs),
    })
}

/// Converts the core's row to a record to store; `None` if its pool is no longer configured.
pub(super) fn proto_row(site: &Site, row: &VmRow) -> Option<VmRecord> {
    let operation = match row.operation {
        None => None,
        Some(current) => {
            let (kind, to) = match current.kind {
                OperationKind::Drain => (OperationName::Drain, None),
                OperationKind::Reboot => (OperationName::Reboot, None),
                OperationKind::Move { to } => (
                    OperationName::Move,
                    Some(site.pools.get(to)?.name.to_string()),
                ),
            };
            Some(OperationRecord {
                id: current.id.0,
                kind,
                to,
            })
        }
    };
    Some(VmRecord {
        pool: site.pools.get(row.pool)?.name.to_string(),
        state: vm_stage(row.state),
        epoch: row.epoch.0,
        operation,
        since_ms: row.state_since.0,
        booted_ms: row.booted_at.map(|booted| booted.0),
    })
}

fn vm_state(vm_stage: VmStage) -> VmState {
    match vm_stage {
        VmStage::Serving => VmState::Serving,
        VmStage::Draining => VmState::Draining,
        VmStage::Empty => VmState::Empty,
        VmStage::Moving => VmState::Moving,
        VmStage::Rebooting => VmState::Rebooting,
        VmStage::Ready => VmState::Ready,
        VmStage::Failed => VmState::Failed,
    }
}

fn vm_stage(state: VmState) -> VmStage {
    match state {
        VmState::Serving => VmStage::Serving,
        VmState::Draining => VmStage::Draining,
        VmState::Empty => VmStage::Empty,
        VmState::Moving => VmStage::Moving,
        VmState::Rebooting => VmStage::Rebooting,
        VmState::Ready => VmStage::Ready,
        VmState::Failed => VmStage::Failed,
    }
}
