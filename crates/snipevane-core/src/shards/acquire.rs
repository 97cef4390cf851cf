//! Who may take a shard, and from when on it may be used.

use std::time::Duration;

use smol_str::SmolStr;
use uuid::Uuid;

/// Row of the table that names the holder of a shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShardRow {
    /// VM that holds the shard.
    pub vm: SmolStr,
    /// Incarnation of the holder's process.
    pub incarnation: Uuid,
    /// Number that grows with each holder.
    pub epoch: u64,
    /// Latest time of an identifier that the holder may run, in Unix milliseconds.
    pub ceiling_ms: u64,
    /// Whether the holder gave the shard back with nothing running.
    pub released: bool,
}

/// An entry VM's process that may hold shards.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Holder {
    /// Name of the VM.
    pub vm: SmolStr,
    /// Incarnation of the process.
    pub incarnation: Uuid,
}

/// What an entry VM does about a shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Acquisition {
    /// The entry VM holds the shard already.
    AlreadyHeld,
    /// The entry VM tries to take the shard by compare-and-set.
    Acquire {
        /// Row to write.
        next: ShardRow,
        /// Time at or below which identifiers aren't run, in Unix milliseconds.
        floor_ms: u64,
        /// Time from the write's success until the shard may be used.
        usable_after: Duration,
    },
    /// Another process may still use the shard.
    HeldByOther,
}

/// Decides whether `me` takes a shard whose row was read.
///
/// `min_floor_ms` is the highest ceiling that a former holder may have used beside the row's, or
/// the clock of `me` if that isn't known. `longest_run` is the longest time that a request of a
/// former holder may still run. `vm_gone` tells whether the platform's
/// list says that a VM is gone.
///
/// The transaction that writes the row has to check as well that the configuration in force at
/// `me` is the table's current one. Otherwise `me` could use a deal that other shards have already
/// seen replaced; see [`Settlement`](crate::limits::Settlement).
pub fn decide_acquisition(
    row: Option<&ShardRow>,
    me: &Holder,
    vm_gone: impl Fn(&str) -> bool,
    min_floor_ms: u64,
    longest_run: Duration,
) -> Acquisition {
    let Some(row) = row else {
        return acquire(me, 1, min_floor_ms, Duration::ZERO);
    };
    let floor_ms = row.ceiling_ms.max(min_floor_ms);
    let epoch = row.epoch.saturating_add(1);
    if row.released {
        // The former holder accepted nothing above the ceiling that it left.
        return acquire(me, epoch, row.ceiling_ms, Duration::ZERO);
    }
    let same_vm = row.vm == me.vm;
    if same_vm && row.incarnation == me.incarnation {
        return Acquisition::AlreadyHeld;
    }
    if same_vm || vm_gone(&row.vm) {
        return acquire(me, epoch, floor_ms, longest_run);
    }
    Acquisition::HeldByOther
}

fn acquire(me: &Holder, epoch: u64, floor_ms: u64, usable_after: Duration) -> Acquisition {
    let next = ShardRow {
        vm: me.vm.clone(),
        incarnation: me.incarnation,
        epoch,
        ceiling_ms: floor_ms,
        released: false,
    };
    Acquisition::Acquire {
        next,
        floor_ms,
        usable_after,
    }
}
