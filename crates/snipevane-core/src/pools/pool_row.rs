//! Row that names a pool's coordinator, and the fence that its writes carry.

use smol_str::SmolStr;

use crate::ids::PoolKey;

/// Version of a row in the table, which changes with each write of the row.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RowVersion(pub u64);

/// Sequence number of a coordinator among all coordinators of its pool.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Epoch(pub u64);

/// Row `pool/{name}`, which names the pool's coordinator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoolRow {
    /// Process incarnation of the coordinator.
    pub holder: SmolStr,
    /// Epoch of the coordinator.
    pub epoch: Epoch,
}

impl PoolRow {
    /// Returns the row that makes `holder` the coordinator after `current`.
    ///
    /// It must be written by compare-and-set on the version of `current`. A takeover is safe at any
    /// time, even while the former coordinator still runs, since its writes expect the former
    /// version of the pool's row and fail.
    pub fn take_over(current: Option<&Self>, holder: SmolStr) -> Self {
        let epoch = current.map_or(0, |row| row.epoch.0);
        Self {
            holder,
            epoch: Epoch(epoch + 1),
        }
    }
}

/// Fencing token that each write of a coordinator is conditional on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fence {
    /// Pool that the coordinator is responsible for.
    pub pool: PoolKey,
    /// Version that the pool's row got when the coordinator took over.
    pub version: RowVersion,
    /// Epoch of the coordinator.
    pub epoch: Epoch,
}
