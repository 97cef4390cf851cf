//! Minions that join, change, restart or leave.

use std::time::Duration;

use rustc_hash::FxHashSet;
use smol_str::SmolStr;

use super::leases::Leases;
use super::minion::{Minion, MinionEntry};
use crate::jobs::action::Recipient;
use crate::jobs::event::{LossReason, SchedulerEvent};
use crate::jobs::model::keys::{MinionKey, RunKey};
use crate::jobs::scheduler::Scheduler;

impl Scheduler {
    /// Adds a minion, or updates its entry.
    ///
    /// Others may write entries too, so an entry ends no runs. If it tells that a minion has restarted, or that
    /// another one has its address, the known incarnation is asked for its runs at once.
    pub fn upsert_minion(&mut self, entry: MinionEntry, now: Duration) {
        if !self.is_in_use(&entry) {
            self.leave_out(entry);
            return;
        }
        self.left_out.remove(&entry.id);
        let Some(&key) = self.minion_ids.get(&entry.id) else {
            self.ask_minion_at_address(&entry, now);
            let id = entry.id.clone();
            let mut minion = Minion::new(entry, self.earlier_leases(&id));
            minion.leases_withheld = self.silent.contains(&id);
            minion.recorded = self.unreported.minions.contains_key(&id);
            minion.entry_read_at = now;
            minion.record_warmup(now);
            let key = self.minions.insert(minion);
            self.minion_ids.insert(id, key);
            return;
        };
        let Some(minion) = self.minions.get_mut(key) else {
            return;
        };
        let start_changed = minion.entry.started_unix_ms != entry.started_unix_ms;
        let may_have_restarted =
            start_changed && minion.incarnations.may_be_new(entry.started_unix_ms);
        let address_changed = minion.entry.address != entry.address;
        minion.entry = entry;
        minion.entry_read_at = now;
        minion.record_warmup(now);
        minion.listed = true;
        if address_changed {
            minion.hold_failures = 0;
            minion.hold_not_before = now;
        }
        if may_have_restarted {
            self.ask_for_runs(key, now);
        }
    }

    /// Returns whether an entry names a minion to use: one of a pool that the configuration names, or one that an
    /// earlier term used.
    fn is_in_use(&self, entry: &MinionEntry) -> bool {
        self.site.pool(&entry.pool).is_some() || self.unreported.minions.contains_key(&entry.id)
    }

    /// Leaves out an entry of a pool that the configuration doesn't name, until it does. What is known of the
    /// minion stays, but nothing new is placed on it.
    fn leave_out(&mut self, entry: MinionEntry) {
        let is_new = !self.left_out.contains_key(&entry.id);
        let (minion, pool) = (entry.id.clone(), entry.pool.clone());
        self.unlist_minion(&minion);
        self.left_out.insert(minion.clone(), entry);
        if is_new {
            self.events
                .push(SchedulerEvent::MinionLeftOut { minion, pool });
        }
    }

    /// Adds the minions that were left out and whose pools the configuration names now.
    pub(in crate::jobs) fn add_minions_of_new_pools(&mut self, now: Duration) {
        let entries = self.left_out.values();
        let known = entries.filter(|entry| self.site.pool(&entry.pool).is_some());
        let known: Vec<MinionEntry> = known.cloned().collect();
        for entry in known {
            self.upsert_minion(entry, now);
        }
    }

    /// Asks an earlier minion at the address of one that has just joined whether it still runs.
    fn ask_minion_at_address(&mut self, joined: &MinionEntry, now: Duration) {
        let mut minions = self.minions.iter();
        let earlier = minions.find(|(_, minion)| {
            minion.entry.address == joined.address && minion.incarnation().is_some()
        });
        if let Some((key, _)) = earlier {
            self.ask_for_runs(key, now);
        }
    }

    /// Marks a minion as no longer listed, and removes it once it can have no runs.
    pub fn unlist_minion(&mut self, id: &str) {
        self.left_out.remove(id);
        let Some(&key) = self.minion_ids.get(id) else {
            return;
        };
        if let Some(minion) = self.minions.get_mut(key) {
            minion.listed = false;
        }
        self.remove_if_unlisted(key);
    }

    /// Marks all minions but these as no longer listed.
    pub fn retain_minions(&mut self, ids: &FxHashSet<SmolStr>) {
        let known = self.minion_ids.keys().chain(self.left_out.keys());
        let gone = known.filter(|id| !ids.contains(*id));
        let gone: Vec<SmolStr> = gone.cloned().collect();
        for id in gone {
            self.unlist_minion(&id);
        }
    }

    /// Records that the list of minions was up to date at `at`.
    pub fn confirm_minions(&mut self, at: Duration) {
        self.minions_confirmed_at = self.minions_confirmed_at.max(Some(at));
    }

    /// Returns whether the capacities of a pool's minions may be relied on: they enforce them, or their
    /// list was confirmed lately.
    pub(in crate::jobs) fn has_reliable_capacities(&self, pool: &str, now: Duration) -> bool {
        let enforced = self
            .site
            .pool(pool)
            .is_none_or(|pool| pool.enforces_capacity);
        let max_age = self.settings.max_list_age;
        let confirmed = self.minions_confirmed_at;
        enforced || confirmed.is_some_and(|at| now <= at + max_age)
    }

    /// Returns the identifier of a minion.
    pub(in crate::jobs) fn minion_id(&self, key: MinionKey) -> SmolStr {
        let minion = self.minions.get(key);
        minion.map_or_else(SmolStr::default, |minion| minion.entry.id.clone())
    }

    /// Returns the identifiers and pools of the minions that may have runs now or after the next
    /// decision.
    pub fn minions_in_use(&self, now: Duration) -> Vec<(SmolStr, SmolStr)> {
        let known = self.minions.values();
        let known = known.map(|minion| (minion.entry.id.clone(), minion.entry.pool.clone()));
        let unreported_minions = self
            .unreported_minions(now)
            .map(|(id, pool)| (id.clone(), pool.clone()));
        let mut minions: Vec<(SmolStr, SmolStr)> = known.chain(unreported_minions).collect();
        minions.sort();
        minions.dedup();
        minions
    }

    /// Returns whether the stored row doesn't name some minion yet.
    pub fn has_unrecorded_minions(&self) -> bool {
        self.minions.values().any(|minion| !minion.recorded)
    }

    /// Marks these minions as named by the stored row.
    pub fn mark_minions_recorded<'a>(
        &mut self,
        minions: impl IntoIterator<Item = &'a (SmolStr, SmolStr)>,
    ) {
        for (id, _) in minions {
            let key = self.minion_ids.get(id);
            if let Some(minion) = key.and_then(|&key| self.minions.get_mut(key)) {
                minion.recorded = true;
            }
        }
    }

    /// Returns the identifiers and pools of the minions that may have runs of an earlier term and
    /// haven't listed their runs in this one.
    pub(in crate::jobs) fn unreported_minions(
        &self,
        now: Duration,
    ) -> impl Iterator<Item = (&SmolStr, &SmolStr)> {
        let unreported = self.unreported.minions.iter();
        unreported.filter(move |(id, _)| now < self.unreported.until_of(id))
    }

    /// Returns whether a minion may have runs of an earlier term and hasn't listed its runs in this
    /// one.
    pub(in crate::jobs) fn is_unreported(&self, id: &SmolStr, now: Duration) -> bool {
        now < self.unreported.until_of(id) && self.unreported.minions.contains_key(id)
    }

    /// Removes a minion if it is no longer listed, can have no runs, and has no hold in flight.
    pub(in crate::jobs) fn remove_if_unlisted(&mut self, key: MinionKey) {
        let Some(minion) = self.minions.get(key) else {
            return;
        };
        if minion.listed || !minion.runs.is_empty() || minion.holds.is_outstanding() {
            return;
        }
        let id = minion.entry.id.clone();
        let max_lease = self.settings.max_lease;
        let mut leases = minion.leases;
        leases.reset_clock(max_lease);
        let leases_until = leases.over_at(max_lease);
        self.minion_ids.remove(&id);
        self.minions.remove(key);
        self.removed_leases.insert(id, leases_until);
    }

    /// Returns the leases that a minion which joins may have from calls of an earlier term, or from those that were
    /// sent before it was removed.
    fn earlier_leases(&mut self, id: &SmolStr) -> Leases {
        let until = self.unreported.until_of(id);
        let removed_until = self.removed_leases.remove(id).unwrap_or(Duration::ZERO);
        let sent_until = self.unreported.sent_until(id);
        Leases::new(until.max(removed_until), sent_until)
    }

    /// Forgets the leases of removed minions that are over.
    pub(in crate::jobs) fn forget_removed_leases(&mut self, now: Duration) {
        self.removed_leases.retain(|_, until| now < *until);
    }

    /// Handles a restart of a minion: ends the runs of its earlier incarnation.
    ///
    /// Runs that were ordered or confirmed at `asked_at` or later, that have an order in flight, or
    /// that are in `own`, may belong to the present incarnation and are kept.
    pub(in crate::jobs) fn handle_restart(
        &mut self,
        key: MinionKey,
        incarnation: u64,
        asked_at: Duration,
        own: &FxHashSet<RunKey>,
        now: Duration,
    ) {
        let Some(minion) = self.minions.get(key) else {
            return;
        };
        let ended = minion.runs.iter().copied().filter(|run| {
            let may_be_new = self.runs.get(*run).is_none_or(|state| {
                state.transmissions.is_outstanding() || state.since >= asked_at
            });
            !may_be_new && !own.contains(run)
        });
        let ended: Vec<RunKey> = ended.collect();
        let max_lease = self.settings.max_lease;
        let mut leases = minion.leases;
        leases.reset_clock(max_lease);
        self.events.push(SchedulerEvent::MinionRestarted {
            minion: minion.entry.id.clone(),
            from: minion.incarnation().unwrap_or_default(),
            to: incarnation,
            ended: ended.len(),
            kept: minion.runs.len() - ended.len(),
            since_lease: minion.leases.since_last_sent(now),
            leases_left: leases.over_at(max_lease).saturating_sub(now),
        });
        let mut lost = self.watch_outstanding_starts(key, asked_at, now);
        lost.extend(&ended);
        self.record_end_of_incarnation(key, &lost);
        self.end_runs_of_former_incarnation(&ended, LossReason::MinionRestarted, now);
        if let Some(minion) = self.minions.get_mut(key) {
            minion.reset_for_incarnation(incarnation, max_lease, now);
            minion.restarted_at = Some(now);
        }
    }

    /// Ends runs of a former incarnation of a minion.
    ///
    /// Those of which a start order may be carried out yet are stopped on the present incarnation first.
    pub(in crate::jobs) fn end_runs_of_former_incarnation(
        &mut self,
        runs: &[RunKey],
        reason: LossReason,
        now: Duration,
    ) {
        for &run in runs {
            let state = self.runs.get(run);
            if state.is_some_and(|state| state.transmissions.may_be_carried_out(now)) {
                self.stop_late_start(run, now);
            } else {
                self.mark_run_lost(run, reason);
            }
        }
    }

    /// Ends the runs of suspect or unlisted minions whose leases are certain to have expired.
    pub(in crate::jobs) fn end_expired_runs(&mut self, now: Duration) {
        let margin = self.settings.lease_margin;
        let max_lease = self.settings.max_lease;
        let expired = self.minions.iter().filter(|(_, minion)| {
            let doubtful = minion.suspect || !minion.listed;
            let is_over = now > minion.leases.over_at(max_lease) + margin;
            doubtful && !minion.runs.is_empty() && is_over
        });
        let expired: Vec<MinionKey> = expired.map(|(key, _)| key).collect();
        for key in expired {
            let runs = self.minions[key].runs.iter().copied();
            let runs: Vec<RunKey> = runs.collect();
            for run in runs {
                if !self.has_order_outstanding(run) && !self.may_have_misread_lease(run, now) {
                    self.mark_run_lost(run, LossReason::LeaseExpired);
                }
            }
            self.remove_if_unlisted(key);
        }
    }

    /// Returns whether a run may have been begun by an incarnation that nobody has heard of, whose leases aren't over.
    ///
    /// A run whose begin was confirmed is of the known incarnation.
    fn may_have_misread_lease(&self, key: RunKey, now: Duration) -> bool {
        let run = self.runs.get(key).filter(|run| run.began_at.is_none());
        let minion = run.and_then(|run| self.minions.get(run.minion));
        minion.is_some_and(|minion| {
            let start = minion.entry.started_unix_ms;
            let until = minion.leases.misread_until(self.settings.max_lease);
            minion.incarnations.may_be_new(start) && now <= until + self.settings.lease_margin
        })
    }

    /// Ends all runs of a minion whose VM was taken down as planned, except those with an order in
    /// flight.
    pub(in crate::jobs) fn end_runs_of_vm_taken_down(&mut self, key: MinionKey) {
        for run in self.runs_without_open_orders(key) {
            self.mark_run_lost(run, LossReason::IncarnationGone);
        }
    }

    /// Handles the refusal of a hold by another incarnation: ends all runs of the minion, except those with an order
    /// in flight, unless the hold didn't go to the address at which the minion listed them.
    pub(in crate::jobs) fn handle_other_incarnation(&mut self, to: &Recipient) {
        if self.has_listed_runs_at(to) {
            self.handle_lost_incarnation(to.minion, LossReason::IncarnationGone);
        }
    }

    /// Ends all runs of a minion whose incarnation no longer exists, except those with an order in
    /// flight.
    pub(in crate::jobs) fn handle_lost_incarnation(&mut self, key: MinionKey, reason: LossReason) {
        let ended = self.runs_without_open_orders(key);
        self.end_runs_of_gone_minion(key, &ended, reason);
    }

    /// Returns the runs of a minion for which no order may still be answered.
    fn runs_without_open_orders(&self, key: MinionKey) -> Vec<RunKey> {
        let runs = self.minions.get(key).map(|minion| &minion.runs);
        let runs = runs.into_iter().flatten().copied();
        runs.filter(|&run| !self.has_order_outstanding(run))
            .collect()
    }

    /// Returns whether an order for a run may still be answered.
    fn has_order_outstanding(&self, key: RunKey) -> bool {
        let run = self.runs.get(key);
        run.is_some_and(|run| run.transmissions.is_outstanding())
    }
}
