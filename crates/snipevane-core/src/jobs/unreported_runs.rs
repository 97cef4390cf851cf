//! Runs of an earlier term on minions that haven't reported to the present term yet.

use std::time::Duration;

use rustc_hash::FxHashMap;
use smol_str::SmolStr;

/// Minions that may have runs from an earlier term, and the time until which they may have them.
///
/// A scheduler places work only on minions that its stored row names. The row of the previous term
/// thus names all minions that may have runs, including those that have disappeared from the list
/// of minions.
#[derive(Clone, Debug, Default)]
pub struct UnreportedRuns {
    /// Time at which the last lease granted by an earlier term is certain to have expired.
    pub until: Duration,
    /// Identifiers of the minions that the earlier term used and that haven't listed their runs
    /// yet, with their pools.
    pub minions: FxHashMap<SmolStr, SmolStr>,
}
