//! Runs of an earlier term that may exist where no list was read yet.

use std::time::Duration;

use rustc_hash::FxHashMap;
use smol_str::SmolStr;

/// Minions on which runs ordered by an earlier term may exist, and until when.
///
/// The scheduler places work only on minions that its stored row names. So the row of the term
/// before names all minions that may run something, also those that the list of minions has lost.
#[derive(Clone, Debug, Default)]
pub struct UnreportedRuns {
    /// Time at which the last lease granted in an earlier term has surely ended.
    pub until: Duration,
    /// Minions that the earlier term used, with their pools.
    pub minions: FxHashMap<SmolStr, SmolStr>,
}
