//! VMs for which orders were sent lately, as recorded in the scheduler's row.
//!
//! An order for a VM may still be carried out when another process has won the term. So a VM is named in
//! the stored row before an order for it is sent. A new term leaves the named VMs alone for a while, and
//! may order all others at once.

use std::time::Duration;

use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Largest number of VMs that are reserved.
///
/// The scheduler's row names them all, and is written several times a second.
const MAX_RESERVED: usize = 600;

/// Largest size of the encoded VMs that are reserved, in bytes. A row may have 64 KB, of which the rest is for the
/// numbers of waiting jobs; a row that is too large would end the term.
const MAX_RESERVED_BYTES: usize = 45_000;

/// Size of an encoded VM without its name, in bytes, at most.
const ENTRY_OVERHEAD_BYTES: usize = 40;

/// A VM for which an order was sent lately, or is about to be.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderedVm {
    /// Name of the VM.
    pub vm: SmolStr,
    /// Time from the write of the row for which another term leaves the VM alone, in milliseconds.
    pub reserved_ms: u64,
}

/// VMs that were ordered lately, with the times until which other terms leave them alone.
#[derive(Debug, Default)]
pub struct OrderedVms {
    reserved_until: FxHashMap<SmolStr, Duration>,
    /// Reservations in the row that is being written.
    written: FxHashMap<SmolStr, Duration>,
    /// Reservations in the last row that was stored.
    stored: FxHashMap<SmolStr, Duration>,
}

impl OrderedVms {
    /// Creates the record of a new term from the previous one's row, which was written at
    /// `written_before` or earlier.
    pub fn adopt(ordered: &[OrderedVm], written_before: Duration) -> Self {
        let reserved = ordered.iter().map(|ordered| {
            let reserved_for = Duration::from_millis(ordered.reserved_ms);
            (ordered.vm.clone(), written_before + reserved_for)
        });
        let reserved: FxHashMap<SmolStr, Duration> = reserved.collect();
        Self {
            written: reserved.clone(),
            stored: reserved.clone(),
            reserved_until: reserved,
        }
    }

    /// Reserves a VM that is to be ordered, or was, until a time that replaces the one before; returns whether
    /// the row has room for it. A VM that is reserved already always has room.
    pub fn reserve(&mut self, vm: &SmolStr, reserved_until: Duration) -> bool {
        if !self.reserved_until.contains_key(vm) && !self.has_room_for(vm) {
            return false;
        }
        self.reserved_until.insert(vm.clone(), reserved_until);
        true
    }

    fn has_room_for(&self, vm: &SmolStr) -> bool {
        let has_place = self.reserved_until.len() < MAX_RESERVED;
        has_place && vm.len() + ENTRY_OVERHEAD_BYTES <= self.free_bytes()
    }

    /// Returns the size that further VMs may have in the row, in bytes.
    fn free_bytes(&self) -> usize {
        let names = self.reserved_until.keys();
        let used: usize = names.map(|name| name.len() + ENTRY_OVERHEAD_BYTES).sum();
        MAX_RESERVED_BYTES.saturating_sub(used)
    }

    /// Drops the VMs that are no longer reserved, and returns the others for the next row, in ascending
    /// order.
    pub fn to_store(&mut self, now: Duration) -> Vec<OrderedVm> {
        self.reserved_until.retain(|_, until| now < *until);
        self.written = self.reserved_until.clone();
        let ordered = self.written.iter().map(|(vm, until)| OrderedVm {
            vm: vm.clone(),
            reserved_ms: u64::try_from((*until - now).as_millis()).unwrap_or(u64::MAX) + 1,
        });
        let mut ordered: Vec<OrderedVm> = ordered.collect();
        ordered.sort_by(|a, b| a.vm.cmp(&b.vm));
        ordered
    }

    /// Records that the row with the VMs that [`Self::to_store`] last returned was stored.
    pub fn mark_stored(&mut self) {
        self.stored.clone_from(&self.written);
    }

    /// Returns whether the stored row, and one that is being written, reserve a VM for long enough, so
    /// that an order for it may be sent.
    pub fn is_stored(&self, vm: &SmolStr) -> bool {
        let needed = self.reserved_until.get(vm);
        let reserves = |row: &FxHashMap<SmolStr, Duration>| row.get(vm) >= needed;
        needed.is_some() && reserves(&self.stored) && reserves(&self.written)
    }

    /// Returns whether the stored row doesn't reserve some VM for long enough yet.
    pub fn has_unstored(&self) -> bool {
        self.reserved_until.keys().any(|vm| !self.is_stored(vm))
    }

    /// Returns the number of further VMs that may be ordered, if their names are no longer than those that are
    /// reserved.
    pub fn room(&self) -> usize {
        let longest = self.reserved_until.keys().map(SmolStr::len).max();
        let by_bytes = self.free_bytes() / (longest.unwrap_or(0) + ENTRY_OVERHEAD_BYTES);
        let by_number = MAX_RESERVED.saturating_sub(self.reserved_until.len());
        by_number.min(by_bytes)
    }

    /// Returns the VMs with the times until which they are reserved.
    pub fn reserved(&self) -> &FxHashMap<SmolStr, Duration> {
        &self.reserved_until
    }
}
