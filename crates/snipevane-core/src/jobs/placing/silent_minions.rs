//! Minions of earlier terms that get no leases until the stored row no longer names them as silent.
//!
//! A new term waits until the last lease that the term before may have granted to a minion is over. If
//! each term did so for a minion that none of them reaches, tasks of its pool would wait for as long as
//! terms change. So the row names silent minions with the time until their leases are over, which the next
//! term adopts. In return they get neither leases nor starts until a row without them is stored.

use std::time::Duration;

use rustc_hash::{FxHashMap, FxHashSet};
use smol_str::SmolStr;

use crate::jobs::scheduler::Scheduler;

/// Time after the first write of a term from which minions that haven't listed their runs are silent.
const SILENT_AFTER: Duration = Duration::from_secs(1);

/// Largest number of silent minions that the row names, so that it stays within the size of a row.
const MAX_SILENT_MINIONS: usize = 64;

/// A minion that has been granted nothing since the earlier term whose leases may last.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SilentMinion {
    /// Identifier of the minion.
    pub id: SmolStr,
    /// Time until its leases are certain to have expired; zero if they have.
    pub leases_left: Duration,
}

/// Silent minions that the stored row may name.
#[derive(Clone, Debug, Default)]
pub(in crate::jobs) struct SilentMinions {
    first_write_at: Option<Duration>,
    named: FxHashSet<SmolStr>,
}

impl SilentMinions {
    /// Returns whether the stored row may name a minion as silent.
    pub(in crate::jobs) fn contains(&self, id: &str) -> bool {
        self.named.contains(id)
    }
}

impl Scheduler {
    /// Returns the silent minions that the next write of the row is to name. From now on they get nothing,
    /// until a write that doesn't name them is stored.
    pub fn name_silent_minions(&mut self, now: Duration) -> Vec<SilentMinion> {
        let first_write_at = *self.silent.first_write_at.get_or_insert(now);
        let may_name_all = now >= first_write_at + SILENT_AFTER;
        let unreported = self.unreported.minions.keys();
        let silent = unreported.filter(|id| may_name_all || self.unreported.was_silent(id));
        let mut silent: Vec<SmolStr> = silent.cloned().collect();
        silent.sort();
        silent.truncate(MAX_SILENT_MINIONS);
        self.silent.named.extend(silent.iter().cloned());
        self.update_withheld_leases();
        let silent = silent.into_iter().map(|id| SilentMinion {
            leases_left: self.unreported.until_of(&id).saturating_sub(now),
            id,
        });
        silent.collect()
    }

    /// Records that a write of the row was stored that names these minions as silent.
    pub fn silent_minions_stored(&mut self, stored: &[SilentMinion]) {
        self.silent.named = stored.iter().map(|silent| silent.id.clone()).collect();
        self.update_withheld_leases();
    }

    /// Returns whether a minion has listed its runs that gets nothing until a row is stored that doesn't name it as
    /// silent.
    pub fn has_silent_minions_to_release(&self) -> bool {
        let mut minions = self.minions.values();
        minions.any(|minion| minion.leases_withheld && minion.fence_accepted)
    }

    fn update_withheld_leases(&mut self) {
        for minion in self.minions.values_mut() {
            minion.leases_withheld = self.silent.contains(&minion.entry.id);
        }
    }
}

/// Returns the times at which the leases of silent minions are over, if they were named in a row that had been
/// written by `seen_at`.
pub fn adopt_silent_minions(
    named: &[SilentMinion],
    seen_at: Duration,
) -> FxHashMap<SmolStr, Duration> {
    let ends = named
        .iter()
        .map(|silent| (silent.id.clone(), seen_at + silent.leases_left));
    ends.collect()
}
