//! Rows of VMs between the core's types and the table's.

use snipevane_core::config::Site;
use snipevane_core::pools::{Epoch, Operation, OperationId, OperationKind, UnixMs, VmRow, VmState};
use snipevane_proto::rows::{OperationName, OperationRecord, VmRecord, VmStage};

/// Reads a row; `None` if it names a pool that isn't configured.
pub(super) fn core_row(site: &Site, record: &VmRecord) -> Option<VmRow> {
    let operation = match &record.operation {
        None => None,
        Some(held) => Some(Operation {
            id: OperationId(held.id),
            kind: match held.kind {
                OperationName::Drain => OperationKind::Drain,
                OperationName::Reboot => OperationKind::Reboot,
                OperationName::Move => OperationKind::Move {
                    to: site.pool(held.to.as_deref()?)?,
                },
            },
        }),
    };
    Some(VmRow {
        pool: site.pool(&record.pool)?,
        state: core_state(record.state),
        epoch: Epoch(record.epoch),
        operation,
        state_since: UnixMs(record.since_ms),
        booted_at: record.booted_ms.map(UnixMs),
    })
}

/// Writes a row; `None` if it names a pool that isn't configured any more.
pub(super) fn proto_row(site: &Site, row: &VmRow) -> Option<VmRecord> {
    let operation = match row.operation {
        None => None,
        Some(held) => {
            let (kind, to) = match held.kind {
                OperationKind::Drain => (OperationName::Drain, None),
                OperationKind::Reboot => (OperationName::Reboot, None),
                OperationKind::Move { to } => (
                    OperationName::Move,
                    Some(site.pools.get(to)?.name.to_string()),
                ),
            };
            Some(OperationRecord {
                id: held.id.0,
                kind,
                to,
            })
        }
    };
    Some(VmRecord {
        pool: site.pools.get(row.pool)?.name.to_string(),
        state: stage(row.state),
        epoch: row.epoch.0,
        operation,
        since_ms: row.state_since.0,
        booted_ms: row.booted_at.map(|booted| booted.0),
    })
}

fn core_state(stage: VmStage) -> VmState {
    match stage {
        VmStage::Serving => VmState::Serving,
        VmStage::Draining => VmState::Draining,
        VmStage::Empty => VmState::Empty,
        VmStage::Moving => VmState::Moving,
        VmStage::Rebooting => VmState::Rebooting,
        VmStage::Ready => VmState::Ready,
        VmStage::Failed => VmState::Failed,
    }
}

fn stage(state: VmState) -> VmStage {
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
