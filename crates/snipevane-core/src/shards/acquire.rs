//! Decision whether an entry VM acquires a shard, and from when on it may use the shard.

use std::time::Duration;

use smol_str::SmolStr;
use uuid::Uuid;

/// Row of the table that names the holder of a shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShardRow {
    /// VM that holds the shard.
    pub vm: SmolStr,
    /// Incarnation of the holder's process: a UUID that the process created when it started.
    ///
    /// It distinguishes the process from earlier ones on the same VM.
    pub incarnation: Uuid,
    /// Number that increases by one with each holder.
    pub epoch: u64,
    /// Latest time of an identifier that the holder may run, in Unix milliseconds.
    ///
    /// The holder may use a higher ceiling while the table is unreachable; see
    /// [`decide_acquisition`].
    pub ceiling_ms: u64,
    /// Whether the holder released the shard while nothing was running.
    pub released: bool,
}

/// Process of an entry VM that may hold shards.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Holder {
    /// Name of the VM.
    pub vm: SmolStr,
    /// Incarnation of the process: a UUID that it created when it started.
    ///
    /// It distinguishes the process from earlier ones on the same VM.
    pub incarnation: Uuid,
}

/// Decision of an entry VM on a shard whose row it read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Acquisition {
    /// The entry VM holds the shard already.
    AlreadyHeld,
    /// The entry VM tries to acquire the shard by compare-and-set.
    Acquire {
        /// Row to write.
        next: ShardRow,
        /// Time at or below which new identifiers aren't run, in Unix milliseconds.
        floor_ms: u64,
        /// Delay from the successful write until the shard may be used.
        usable_delay: Duration,
    },
    /// Another process may still use the shard.
    HeldByOther,
}

/// Decides whether `me` acquires a shard whose row was read.
///
/// `min_floor_ms` is the highest ceiling that a former holder may have used apart from the one in
/// the row. If that ceiling isn't known, it is the clock of `me` plus the maximum clock skew of
/// callers. `longest_run` is the longest time for which a request of a former holder may still run.
/// `vm_gone` returns whether a VM is gone according to the platform's list.
///
/// The transaction that writes the row also has to check that the configuration in force at `me` is
/// the current one in the table. Otherwise, `me` could use an allocation that other shards already
/// know to be replaced; see [`AllocationRollout`](crate::limits::AllocationRollout).
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
        // The former holder accepted no identifier above the ceiling that it wrote on release.
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

fn acquire(me: &Holder, epoch: u64, floor_ms: u64, usable_delay: Duration) -> Acquisition {
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
        usable_delay,
    }
}
