//! Stores what the scheduler found out, and renews its term with each write.
//!
//! Every write replaces the scheduler's row, whose version it demands. So writes of a term take
//! effect in order, and none does after another process has won the term.

use std::rc::Rc;
use std::time::Duration;

use snipevane_adapter::rows::{Row, Transaction};
use snipevane_core::jobs::{Changes, Scheduler};
use tokio::time::{sleep, timeout};

use crate::clock::Clock;
use crate::events;
use crate::rows::{self, INBOX, PROGRESS, SCHEDULER_KEY, SCHEDULERS, SchedulerRow};
use crate::store::{Commit, StoreError};

use super::lead::Lead;

/// Jobs that one transaction holds; each takes up to three entries.
const MAX_JOBS: usize = 28;

/// Rows of jobs that ended long ago that one transaction removes.
const MAX_EXPIRED: usize = 5;

/// Time for which changes that no caller waits for gather.
const GATHER: Duration = Duration::from_millis(250);

/// Time for which changes that callers wait for gather.
const GATHER_URGENT: Duration = Duration::from_millis(20);

/// Pause after a failed write.
const RETRY: Duration = Duration::from_millis(80);

/// Writes changes until the term is over.
pub(super) async fn store_changes<C: Clock>(lead: Rc<Lead<C>>) {
    let mut written_at = lead.node.clock.now();
    while !lead.over.get() {
        wait_for_changes(&lead, written_at).await;
        written_at = lead.node.clock.now();
        let changes = lead.scheduler.borrow_mut().take_changes(MAX_JOBS);
        let transaction = transaction(&lead, &changes);
        let stored = write(&lead, &transaction).await;
        let mut scheduler = lead.scheduler.borrow_mut();
        if stored {
            log_ends(&lead, &changes);
            scheduler.changes_stored(&changes);
            scheduler.minions_recorded(&lead.row.borrow().minions);
        } else {
            scheduler.changes_lost(&changes);
        }
        drop(scheduler);
        if lead.row.borrow().released {
            lead.over.set(true);
        }
        lead.wake.notify_one();
    }
}

/// Logs the jobs whose end is stored, so that callers see it.
fn log_ends<C: Clock>(lead: &Lead<C>, changes: &Changes) {
    let fence = lead.row.borrow().fence;
    let ended = changes
        .jobs
        .iter()
        .filter(|change| change.progress.state.is_final());
    for change in ended {
        let state = change.progress.state.name();
        let version = lead.version.get();
        events::record(&events::JOB_ENDED, &[&change.id, &state, &fence, &version]);
    }
}

/// Waits until a write is due: for a caller, for gathered changes, or for the term.
async fn wait_for_changes<C: Clock>(lead: &Lead<C>, written_at: Duration) {
    loop {
        let now = lead.node.clock.now();
        let due = {
            let scheduler = lead.scheduler.borrow();
            let renewal = lead.term.borrow().renewal_due();
            if lead.node.stopping.get() {
                now
            } else if is_urgent(lead, &scheduler) {
                renewal.min(written_at + GATHER_URGENT)
            } else if scheduler.has_changes() {
                renewal.min(written_at + GATHER)
            } else {
                renewal
            }
        };
        if due <= now {
            return;
        }
        let _ = timeout(due - now, lead.store_wake.notified()).await;
    }
}

fn is_urgent<C: Clock>(lead: &Lead<C>, scheduler: &Scheduler) -> bool {
    scheduler.has_urgent_changes()
        || scheduler.has_unrecorded_minions()
        || !lead.writes.borrow().is_empty()
}

fn transaction<C: Clock>(lead: &Lead<C>, changes: &Changes) -> Transaction {
    let mut row = lead.row.borrow_mut();
    let scheduler = lead.scheduler.borrow();
    row.write += 1;
    if lead.loaded.get() {
        row.waiting = Some(scheduler.waiting_jobs());
    }
    row.minions = scheduler.minions_in_use(lead.node.clock.now());
    row.released = lead.node.stopping.get();
    let mut transaction = Transaction::default();
    let key = (SCHEDULERS.into(), SCHEDULER_KEY.into());
    transaction.writes.push((key.0, key.1, rows::encode(&*row)));
    drop(scheduler);
    let kept = lead.node.settings.bounds.status_kept;
    let unix_ms = lead.node.clock.unix_ms();
    let expired = lead
        .scheduler
        .borrow_mut()
        .take_expired(kept, unix_ms, MAX_EXPIRED);
    for id in expired {
        transaction
            .removals
            .push((PROGRESS.into(), rows::job_key(id)));
    }
    transaction.writes.append(&mut lead.writes.borrow_mut());
    for change in &changes.jobs {
        let key = rows::job_key(change.id);
        if change.progress.state.is_final() {
            transaction.removals.push((INBOX.into(), key.clone()));
            transaction
                .removals
                .push((INBOX.into(), rows::cancel_key(change.id)));
        }
        transaction
            .writes
            .push((PROGRESS.into(), key, rows::encode(&change.progress)));
    }
    transaction
}

/// Writes a transaction; returns whether it was done.
async fn write<C: Clock>(lead: &Lead<C>, transaction: &Transaction) -> bool {
    let mut transaction = transaction.clone();
    let condition = (SCHEDULERS.into(), SCHEDULER_KEY.into(), lead.version.get());
    transaction.conditions.push(condition);
    // A write without an answer may be done at any time after it was first sent.
    let sent_at = lead.node.clock.now();
    let mut latest = sent_at;
    loop {
        match lead.node.store.commit(&transaction).await {
            Ok(Commit::Done(version)) => {
                lead.version.set(version);
                lead.term.borrow_mut().record_renewal(latest);
                note_own_row(lead, version);
                return true;
            }
            Ok(Commit::Conflict(present)) => return resolve(lead, &present, sent_at),
            Err(StoreError::HistoryGone | StoreError::NothingDone | StoreError::NoAnswer) => {
                sleep(RETRY).await;
            }
        }
        latest = lead.node.clock.now();
    }
}

/// Shows callers of this process what the others read from the store.
fn note_own_row<C: Clock>(lead: &Lead<C>, version: u64) {
    let row = lead.row.borrow().clone();
    let mut view = lead.node.scheduler.borrow_mut();
    view.wrote(&lead.settings, row, version, lead.node.clock.now());
    drop(view);
    lead.written.notify_waiters();
}

/// Tells from the present row whether an earlier copy of a write was done; ends a term that
/// another process has won.
fn resolve<C: Clock>(lead: &Lead<C>, present: &[Row], sent_at: Duration) -> bool {
    let own = lead.row.borrow();
    let row = present.iter().find(|row| row.table == SCHEDULERS);
    let value = row.and_then(|row| Some((row.version, row.value.as_ref()?)));
    let decoded = value.and_then(|(version, value)| {
        rows::decode::<SchedulerRow>(SCHEDULER_KEY, value).map(|value| (version, value))
    });
    match decoded {
        Some((version, value)) if value == *own => {
            lead.version.set(version);
            lead.term.borrow_mut().record_renewal(sent_at);
            drop(own);
            note_own_row(lead, version);
            true
        }
        other => {
            log::debug!("the term is lost to {other:?}");
            lead.end("the row has another holder");
            false
        }
    }
}
