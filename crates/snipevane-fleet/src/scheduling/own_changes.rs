//! The scheduler's changes in one write: which ones a transaction has room for, and what follows from its
//! outcome.

use snipevane_adapter::rows::Transaction;
use snipevane_core::jobs::{Changes, JobChange, JobId, WaveProgress};

use crate::clock::Clock;
use crate::events;
use crate::job_rows;
use crate::progress_rows::{self, TooLarge};
use crate::rows::{self, JOBS_TABLE, PROGRESS_TABLE};
use crate::store::TransactionBuilder;

use super::leader::Leader;
use super::storing::report_rejected;
use super::wave_rows;
use crate::minion_rows::{self, MinionInUse, MinionRows, RowPlace};

/// Maximum number of waves whose progress one transaction contains, so that changes of jobs have room beside
/// any number of waves.
const MAX_WAVES: usize = 8;

/// Maximum number of entries in one transaction for the changes of jobs.
const MAX_JOB_ENTRIES: usize = 70;

/// Maximum number of jobs that ended long ago, or were cancelled before they were stored, whose rows one transaction
/// removes.
const MAX_EXPIRED: usize = 40;

/// The scheduler's changes in one write.
#[derive(Default)]
pub(super) struct OwnChanges {
    /// Rows that name minions in use.
    minion_rows: Vec<(RowPlace, Vec<MinionInUse>)>,
    waves: Vec<WaveProgress>,
    jobs: Changes,
    /// Jobs that ended long ago, whose progress is removed.
    expired: Vec<JobId>,
}

impl OwnChanges {
    /// Takes up to `max_changes` changes that a transaction has room for, and adds them to it: first the
    /// minions in use, without which nothing new is placed on them, then a few waves, then jobs.
    pub(super) fn take<C: Clock>(
        leader: &Leader<C>,
        builder: &mut TransactionBuilder,
        max_changes: usize,
    ) -> Self {
        leader.changes_written_at.set(leader.node.clock.now());
        let mut taken = Self::default();
        taken.take_minion_rows(leader, builder, max_changes);
        taken.take_waves(leader, builder, max_changes);
        taken.take_jobs(leader, builder, max_changes);
        taken.take_expired(leader, builder, max_changes);
        taken
    }

    /// Returns the number of changes, of which each is stored as a whole.
    pub(super) fn count(&self) -> usize {
        let expired = usize::from(!self.expired.is_empty());
        self.minion_rows.len() + self.waves.len() + self.jobs.jobs.len() + expired
    }

    fn take_minion_rows<C: Clock>(
        &mut self,
        leader: &Leader<C>,
        builder: &mut TransactionBuilder,
        max_changes: usize,
    ) {
        let now = leader.node.clock.now();
        let minions = leader.scheduler.borrow().minions_in_use(now);
        let wanted = MinionRows::new(&minions);
        for (place, row) in wanted.changes_from(&leader.minion_rows.borrow()) {
            if self.count() >= max_changes || !builder.add(minion_rows::encode(place, &row)) {
                return;
            }
            self.minion_rows.push((place, row));
        }
    }

    fn take_waves<C: Clock>(
        &mut self,
        leader: &Leader<C>,
        builder: &mut TransactionBuilder,
        max_changes: usize,
    ) {
        let mut pending = leader.pending_waves.borrow_mut();
        while self.count() < max_changes
            && self.waves.len() < MAX_WAVES
            && let Some(wave) = pending.front()
            && builder.add(wave_rows::encode(wave))
        {
            self.waves.extend(pending.pop_front());
        }
    }

    fn take_jobs<C: Clock>(
        &mut self,
        leader: &Leader<C>,
        builder: &mut TransactionBuilder,
        max_changes: usize,
    ) {
        let max_entries = builder.entry_count() + MAX_JOB_ENTRIES;
        let mut room = max_changes.saturating_sub(self.count());
        let mut parts: Vec<(JobId, u32)> = Vec::new();
        let mut too_large: Option<JobChange> = None;
        let admit = |change: &JobChange| {
            if room == 0 {
                return false;
            }
            let encoded = encode_change(leader, change);
            let Ok((part, further)) = encoded else {
                too_large = Some(change.clone());
                return false;
            };
            if builder.entry_count() + part.entry_count() > max_entries || !builder.add(part) {
                return false;
            }
            room -= 1;
            if further > 0 {
                parts.push((change.id, further));
            }
            true
        };
        let mut scheduler = leader.scheduler.borrow_mut();
        self.jobs = scheduler.take_changes(admit);
        for (id, further) in parts {
            scheduler.record_progress_parts(id, further);
        }
        drop(scheduler);
        if let Some(change) = too_large {
            give_up_job(leader, &change);
        }
    }

    fn take_expired<C: Clock>(
        &mut self,
        leader: &Leader<C>,
        builder: &mut TransactionBuilder,
        max_changes: usize,
    ) {
        if self.count() >= max_changes {
            return;
        }
        let retention = leader.node.settings.bounds.status_retention;
        let unix_ms = leader.node.clock.unix_ms();
        let scheduler = leader.scheduler.borrow();
        for id in scheduler.expired_jobs(retention, unix_ms, MAX_EXPIRED) {
            let mut removals = vec![(PROGRESS_TABLE.into(), rows::job_key(id))];
            if scheduler.has_tombstone(id) {
                removals.push((JOBS_TABLE.into(), rows::cancel_key(id)));
            }
            let part = Transaction {
                removals,
                ..Transaction::default()
            };
            if !builder.add(part) {
                return;
            }
            self.expired.push(id);
        }
    }

    /// Records that the transaction may have been committed although there was no answer.
    pub(super) fn mark_unknown<C: Clock>(&self, leader: &Leader<C>) {
        for (place, _) in &self.minion_rows {
            leader.minion_rows.borrow_mut().mark_unknown(*place);
        }
    }

    /// Reports to the scheduler whether the changes were committed; those that weren't are taken again.
    pub(super) fn settle<C: Clock>(self, leader: &Leader<C>, stored: bool) {
        if stored {
            self.record_stored(leader);
        } else {
            self.put_back(leader);
        }
        leader.wake.notify_one();
    }

    fn record_stored<C: Clock>(self, leader: &Leader<C>) {
        let mut scheduler = leader.scheduler.borrow_mut();
        log_ended_jobs(leader, &self.jobs);
        for change in self.jobs.ended() {
            leader.job_chunks.borrow_mut().remove(&change.id);
        }
        scheduler.changes_stored(&self.jobs);
        for id in self.expired {
            scheduler.forget_ended_job(id);
        }
        let mut minion_rows = leader.minion_rows.borrow_mut();
        for (place, row) in self.minion_rows {
            minion_rows.record_stored(place, row);
        }
        if scheduler.has_unrecorded_minions() {
            scheduler.mark_minions_recorded(minion_rows.known_minions());
        }
    }

    fn put_back<C: Clock>(self, leader: &Leader<C>) {
        leader.scheduler.borrow_mut().changes_failed(&self.jobs);
        let mut pending = leader.pending_waves.borrow_mut();
        for wave in self.waves.into_iter().rev() {
            let is_outdated = pending.iter().any(|newer| newer.number == wave.number);
            if !is_outdated {
                pending.push_front(wave);
            }
        }
    }

    /// Gives up the only change, which the store rejects for good, with a definite outcome.
    ///
    /// A job fails. The progress of a wave, or the removal of old rows, stays unstored.
    pub(super) fn give_up<C: Clock>(self, leader: &Leader<C>) {
        for change in &self.jobs.jobs {
            give_up_job(leader, change);
        }
        for wave in &self.waves {
            report_rejected(leader, "wave", &wave.number.to_string());
        }
        for id in &self.expired {
            report_rejected(leader, "removal", &id.to_string());
            leader.scheduler.borrow_mut().forget_ended_job(*id);
        }
        if !self.minion_rows.is_empty() {
            // Without these rows, the next term wouldn't know which minions may have runs.
            report_rejected(leader, "minions", "");
            leader.end("the store rejects the rows of the minions in use");
        }
        leader.wake.notify_one();
    }
}

/// Returns the entries that store the change of a job, and the number of rows of its progress beside the first one.
///
/// # Errors
///
/// Returns an error if the progress needs too many rows.
fn encode_change<C: Clock>(
    leader: &Leader<C>,
    change: &JobChange,
) -> Result<(Transaction, u32), TooLarge> {
    let JobChange {
        id,
        progress,
        stored_parts,
        ..
    } = change;
    if !progress.state.is_final() {
        let max_row_bytes = leader.node.settings.max_row_bytes;
        return progress_rows::encode(*id, progress, *stored_parts, max_row_bytes);
    }
    let chunks = leader.job_chunks.borrow().get(id).copied();
    let mut transaction = progress_rows::encode_end(*id, progress, *stored_parts);
    transaction.append(job_rows::removal(*id, chunks.unwrap_or(0)));
    Ok((transaction, 0))
}

/// Ends a job whose progress can't be stored.
fn give_up_job<C: Clock>(leader: &Leader<C>, change: &JobChange) {
    let unix_ms = leader.node.clock.unix_ms();
    report_rejected(leader, "job", &change.id.to_string());
    let mut scheduler = leader.scheduler.borrow_mut();
    scheduler.change_rejected(change, unix_ms);
}

/// Logs the jobs whose end is now stored and thus visible to callers.
fn log_ended_jobs<C: Clock>(leader: &Leader<C>, changes: &Changes) {
    let fence = leader.row.borrow().fence;
    for change in changes.ended() {
        let state = change.progress.state.name();
        let version = leader.version.get();
        events::record(&events::JOB_ENDED, &[&change.id, &state, &fence, &version]);
    }
}
