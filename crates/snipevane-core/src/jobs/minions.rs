//! Minions that come, change and go.

use std::time::Duration;

use rustc_hash::FxHashSet;
use smol_str::SmolStr;

use super::minion::{Minion, MinionEntry, MinionKey};
use super::note::Loss;
use super::run::RunKey;
use super::scheduler::Scheduler;

impl Scheduler {
    /// Takes in a minion's entry.
    pub fn minion_seen(&mut self, entry: MinionEntry, now: Duration) {
        let Some(&key) = self.minion_ids.get(&entry.id) else {
            let id = entry.id.clone();
            let mut minion = Minion::new(entry, self.hidden.until);
            minion.recorded = self.hidden.minions.contains_key(&id);
            let key = self.minions.insert(minion);
            self.minion_ids.insert(id, key);
            return;
        };
        let Some(minion) = self.minions.get_mut(key) else {
            return;
        };
        let began_anew =
            entry.born_unix_ms != 0 && minion.born.is_some_and(|born| born < entry.born_unix_ms);
        let moved = minion.entry.address != entry.address;
        minion.entry = entry;
        minion.listed = true;
        if moved {
            minion.hold_failures = 0;
            minion.hold_not_before = now;
        }
        if began_anew {
            let born = minion.entry.born_unix_ms;
            self.began_anew(key, born, Duration::MAX, &FxHashSet::default());
        }
    }

    /// Takes note that the list no longer holds a minion.
    pub fn minion_gone(&mut self, id: &str) {
        let Some(&key) = self.minion_ids.get(id) else {
            return;
        };
        if let Some(minion) = self.minions.get_mut(key) {
            minion.listed = false;
        }
        self.drop_unlisted(key);
    }

    /// Takes note that the list holds just these minions.
    pub fn minions_listed(&mut self, ids: &FxHashSet<SmolStr>) {
        let gone = self.minion_ids.keys().filter(|id| !ids.contains(*id));
        let gone: Vec<SmolStr> = gone.cloned().collect();
        for id in gone {
            self.minion_gone(&id);
        }
    }

    /// Returns the identifier of a minion.
    pub(super) fn minion_id(&self, key: MinionKey) -> SmolStr {
        let minion = self.minions.get(key);
        minion.map_or_else(SmolStr::default, |minion| minion.entry.id.clone())
    }

    /// Returns the minions that may run something now or after the next decision, with their
    /// pools.
    pub fn minions_in_use(&self, now: Duration) -> Vec<(SmolStr, SmolStr)> {
        let known = self.minions.values();
        let known = known.map(|minion| (minion.entry.id.clone(), minion.entry.pool.clone()));
        let unheard = self
            .unheard(now)
            .map(|(id, pool)| (id.clone(), pool.clone()));
        let mut minions: Vec<(SmolStr, SmolStr)> = known.chain(unheard).collect();
        minions.sort();
        minions.dedup();
        minions
    }

    /// Returns whether a minion waits to be named by the stored row.
    pub fn has_unrecorded_minions(&self) -> bool {
        self.minions.values().any(|minion| !minion.recorded)
    }

    /// Takes note that the stored row names these minions.
    pub fn minions_recorded(&mut self, minions: &[(SmolStr, SmolStr)]) {
        for (id, _) in minions {
            let key = self.minion_ids.get(id);
            if let Some(minion) = key.and_then(|&key| self.minions.get_mut(key)) {
                minion.recorded = true;
            }
        }
    }

    /// Returns the minions that may run what an earlier term ordered and that haven't listed
    /// their runs since.
    pub(super) fn unheard(&self, now: Duration) -> impl Iterator<Item = (&SmolStr, &SmolStr)> {
        let hidden = self
            .hidden
            .minions
            .iter()
            .filter(move |_| now < self.hidden.until);
        hidden.filter(|(id, _)| {
            let minion = self
                .minion_ids
                .get(*id)
                .and_then(|&key| self.minions.get(key));
            !minion.is_some_and(|minion| minion.fence_raised)
        })
    }

    /// Drops a minion that is neither listed nor may run anything.
    pub(super) fn drop_unlisted(&mut self, key: MinionKey) {
        let Some(minion) = self.minions.get(key) else {
            return;
        };
        if minion.listed || !minion.runs.is_empty() || minion.hold_in_flight {
            return;
        }
        self.minion_ids.remove(&minion.entry.id);
        self.minions.remove(key);
    }

    /// Ends the runs of a minion's earlier incarnation.
    ///
    /// Runs that were confirmed at `asked_at` or later, whose start is under way, or that are in
    /// `alive` may belong to the present one.
    pub(super) fn began_anew(
        &mut self,
        key: MinionKey,
        born: u64,
        asked_at: Duration,
        alive: &FxHashSet<RunKey>,
    ) {
        let Some(minion) = self.minions.get_mut(key) else {
            return;
        };
        minion.reborn(born);
        let runs: Vec<RunKey> = minion.runs.iter().copied().collect();
        for run in runs {
            let Some(state) = self.runs.get(run) else {
                continue;
            };
            let may_be_new = state.in_flight || state.since >= asked_at;
            if may_be_new || alive.contains(&run) {
                continue;
            }
            self.end_run(run, Loss::BeganAnew);
        }
    }

    /// Ends the runs of minions whose leases are surely over.
    pub(super) fn end_lapsed_runs(&mut self, now: Duration) {
        let slack = self.settings.lease_margin;
        let over = self.minions.iter().filter(|(_, minion)| {
            let doubtful = minion.suspect || !minion.listed;
            doubtful && !minion.runs.is_empty() && minion.lease_is_over(slack, now)
        });
        let over: Vec<MinionKey> = over.map(|(key, _)| key).collect();
        for key in over {
            let runs = self.minions[key].runs.iter().copied();
            let runs: Vec<RunKey> = runs.collect();
            for run in runs {
                if !self.runs.get(run).is_some_and(|run| run.in_flight) {
                    self.end_run(run, Loss::LeaseOver);
                }
            }
            self.drop_unlisted(key);
        }
    }

    /// Ends all runs of a minion whose incarnation has gone.
    pub(super) fn incarnation_gone(&mut self, key: MinionKey) {
        let Some(minion) = self.minions.get(key) else {
            return;
        };
        let runs: Vec<RunKey> = minion.runs.iter().copied().collect();
        for run in runs {
            if !self.runs.get(run).is_some_and(|run| run.in_flight) {
                self.end_run(run, Loss::IncarnationGone);
            }
        }
    }
}
