//! Conversions between the types of this crate and the generated message types.

use smol_str::SmolStr;
use snipevane_proto::platform as message;

use crate::error::PlatformError;
use crate::table::{Check, Committed, Row, Transaction, Write};
use crate::vm_list::VmEntry;

impl From<message::Row> for Row {
    fn from(row: message::Row) -> Self {
        Self {
            key: row.key.into(),
            version: row.version,
            value: row.value,
        }
    }
}

impl From<Check> for message::Check {
    fn from(check: Check) -> Self {
        Self {
            key: check.key.into(),
            expected: check.expected,
        }
    }
}

impl From<Write> for message::Write {
    fn from(write: Write) -> Self {
        match write {
            Write::Put { key, value } => Self::Put(message::Put {
                key: key.into(),
                value,
            }),
            Write::Delete { key } => Self::Delete(message::Delete { key: key.into() }),
        }
    }
}

impl From<Transaction> for message::Transaction {
    fn from(tx: Transaction) -> Self {
        Self {
            id: tx.id,
            checks: tx.checks.into_iter().map(Into::into).collect(),
            writes: tx.writes.into_iter().map(Into::into).collect(),
        }
    }
}

impl From<message::Committed> for Committed {
    fn from(committed: message::Committed) -> Self {
        let versions = committed.versions.into_iter();
        Self {
            versions: versions.map(|row| (row.key.into(), row.version)).collect(),
        }
    }
}

impl From<VmEntry> for message::Vm {
    fn from(vm: VmEntry) -> Self {
        Self {
            id: vm.id.into(),
            role: vm.role,
            address: vm.address.to_string(),
            zone: vm.zone.into(),
            rack: vm.rack.into(),
            state: vm.state,
        }
    }
}

impl TryFrom<message::Vm> for VmEntry {
    type Error = PlatformError;

    fn try_from(vm: message::Vm) -> Result<Self, PlatformError> {
        let address = vm.address.parse().map_err(|_| {
            let text = format!("VM {} has the invalid address {:?}", vm.id, vm.address);
            PlatformError::Malformed(SmolStr::from(text))
        })?;
        Ok(Self {
            id: vm.id.into(),
            role: vm.role,
            address,
            zone: vm.zone.into(),
            rack: vm.rack.into(),
            state: vm.state,
        })
    }
}
