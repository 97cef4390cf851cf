//! The row that names a pool's coordinator.

use smol_str::SmolStr;

use crate::ids::PoolKey;

/// Version of a row in the table; it changes with each write of the row.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RowVersion(pub u64);

/// Number of a coordinator among all coordinators of its pool, in order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Epoch(pub u64);

/// The row `pool/{name}`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoolRow {
    /// Process incarnation of the coordinator.
    pub holder: SmolStr,
    /// Epoch of the coordinator.
    pub epoch: Epoch,
}

impl PoolRow {
    /// Returns the row by which `holder` becomes coordinator after `current`.
    ///
    /// The row is written by compare-and-set on the version of `current`. A takeover is safe at
    /// any time, also while the former coordinator still runs: its writes name the former version
    /// of the pool's row and fail.
    pub fn take_over(current: Option<&Self>, holder: SmolStr) -> Self {
        let epoch = current.map_or(0, |row| row.epoch.0);
        Self {
            holder,
            epoch: Epoch(epoch + 1),
        }
    }
}

/// What each write of a coordinator is conditional on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fence {
    /// Pool of the coordinator.
    pub pool: PoolKey,
    /// Version of the pool's row by which the coordinator took over.
    pub version: RowVersion,
    /// Epoch of the coordinator.
    pub epoch: Epoch,
}
