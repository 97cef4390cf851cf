//! Writes of the scheduler's row, with changes beside it, and what follows from their outcome.
//!
//! Every write replaces the row, on condition that the row still has the version of the write before. So
//! the writes of a term take effect in order, and none takes effect after another process has won the term.

use std::time::Duration;

use smol_str::SmolStr;
use snipevane_adapter::rows::{Row, Transaction};
use snipevane_core::jobs::SilentMinion;
use tokio::time::sleep;

use crate::clock::Clock;
use crate::rows::{self, SCHEDULER_KEY, SCHEDULERS_TABLE, SchedulerRow};
use crate::store::{CommitOutcome, Purpose, StoreError};

use super::leader::Leader;

/// Delay before a failed write is retried.
const RETRY_DELAY: Duration = Duration::from_millis(80);

/// Result of a write of the scheduler's changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CommitResult {
    /// The transaction is committed.
    Committed,
    /// Another process has won the term.
    TermLost,
    /// The store rejects the transaction for good.
    Rejected,
}

/// Commits changes and the scheduler's row, with retries until the outcome is known.
pub(super) async fn commit<C: Clock>(leader: &Leader<C>, changes: &Transaction) -> CommitResult {
    // A write without a response may be committed at any time after it was first sent. A reported
    // commit is the one of the last attempt, so the term counts from `last_sent`. If a conflict
    // shows that an earlier attempt was committed, only `first_sent` is certain to be no later
    // than the time at which that attempt was sent.
    let first_sent = leader.node.clock.now();
    let mut last_sent = first_sent;
    loop {
        let transaction = with_row(leader, changes);
        let silent_minions = leader.row.borrow().silent_minions.clone();
        match leader
            .node
            .store
            .commit(Purpose::TermWrite, &transaction)
            .await
        {
            Ok(CommitOutcome::Committed(version)) => {
                record_commit_time(leader, last_sent);
                record_silent_minions_stored(leader, &silent_minions);
                record_commit(leader, version, last_sent);
                return CommitResult::Committed;
            }
            Ok(CommitOutcome::Conflict(rows)) => match resolve_conflict(leader, &rows) {
                RowConflict::Committed(version) => {
                    record_commit(leader, version, first_sent);
                    return CommitResult::Committed;
                }
                RowConflict::EarlierWrite | RowConflict::None => {}
                RowConflict::TermLost => return CommitResult::TermLost,
            },
            Err(StoreError::Rejected) => return CommitResult::Rejected,
            Err(StoreError::HistoryGone | StoreError::NotApplied | StoreError::NoAnswer) => {
                sleep(RETRY_DELAY).await;
            }
        }
        last_sent = leader.node.clock.now();
    }
}

/// Commits a transaction together with the scheduler's row, without retries.
pub(super) async fn commit_once<C: Clock>(
    leader: &Leader<C>,
    transaction: &Transaction,
) -> Result<CommitOutcome, StoreError> {
    let sent_at = leader.node.clock.now();
    let transaction = with_row(leader, transaction);
    let silent_minions = leader.row.borrow().silent_minions.clone();
    match leader
        .node
        .store
        .commit(Purpose::TermWrite, &transaction)
        .await?
    {
        CommitOutcome::Committed(version) => {
            record_commit_time(leader, sent_at);
            record_silent_minions_stored(leader, &silent_minions);
            record_commit(leader, version, sent_at);
            Ok(CommitOutcome::Committed(version))
        }
        CommitOutcome::Conflict(rows) => match resolve_conflict(leader, &rows) {
            RowConflict::Committed(version) => {
                record_commit(leader, version, sent_at);
                Ok(CommitOutcome::Committed(version))
            }
            RowConflict::None => Ok(CommitOutcome::Conflict(rows)),
            RowConflict::EarlierWrite => Err(StoreError::NotApplied),
            RowConflict::TermLost => Err(StoreError::NoAnswer),
        },
    }
}

/// Returns the time that observers have to wait, in milliseconds, if it exceeds the term's length.
fn requested_observer_wait_ms<C: Clock>(leader: &Leader<C>) -> Option<u64> {
    let wait = leader
        .settings
        .observer_wait(leader.commit_times.get().longest());
    let is_longer = wait > leader.settings.term;
    is_longer.then(|| u64::try_from(wait.as_millis()).unwrap_or(u64::MAX))
}

/// Returns a transaction with the scheduler's row, on condition that the row still has the version of
/// the write before.
pub(super) fn with_row<C: Clock>(leader: &Leader<C>, changes: &Transaction) -> Transaction {
    let mut row = leader.row.borrow_mut();
    row.sent_clock_ms = leader.node.store.latest_clock_ms();
    row.observer_wait_ms = requested_observer_wait_ms(leader);
    let mut transaction = changes.clone();
    transaction.conditions.push((
        SCHEDULERS_TABLE.into(),
        SCHEDULER_KEY.into(),
        leader.version.get(),
    ));
    transaction.writes.push((
        SCHEDULERS_TABLE.into(),
        SCHEDULER_KEY.into(),
        rows::encode(&*row),
    ));
    transaction
}

/// Records that a row with these silent minions was stored. A commit that shows only in a conflict doesn't count, as
/// it may be of an earlier attempt whose row named other minions.
fn record_silent_minions_stored<C: Clock>(leader: &Leader<C>, named: &[(SmolStr, u64)]) {
    let stored = named.iter().map(|(id, left_ms)| SilentMinion {
        id: id.clone(),
        leases_left: Duration::from_millis(*left_ms),
    });
    let stored: Vec<SilentMinion> = stored.collect();
    leader.scheduler.borrow_mut().silent_minions_stored(&stored);
}

/// Records how long a write took whose commit was reported. A commit that shows only in a conflict tells
/// more about lost answers than about the time that the store needs.
fn record_commit_time<C: Clock>(leader: &Leader<C>, sent_at: Duration) {
    let now = leader.node.clock.now();
    let mut commit_times = leader.commit_times.get();
    commit_times.record(now.saturating_sub(sent_at), now);
    leader.commit_times.set(commit_times);
}

/// Records that the scheduler's row was committed by a write that was sent at `sent_at` or later.
fn record_commit<C: Clock>(leader: &Leader<C>, version: u64, sent_at: Duration) {
    leader.version.set(version);
    leader.term.borrow_mut().record_renewal(sent_at);
    publish_row(leader, version);
}

/// Updates this process's own view of the scheduler with the written row, as other processes do by
/// reading it from the store, and notifies watchers.
fn publish_row<C: Clock>(leader: &Leader<C>, version: u64) {
    let mut row = leader.row.borrow().clone();
    // Heartbeats carry the counts also if these have no room in the row.
    row.waiting.clone_from(&leader.waiting.borrow());
    leader.ordered_vms.borrow_mut().mark_stored();
    let mut view = leader.node.scheduler_view.borrow_mut();
    view.record_write(&leader.settings, row, version, leader.node.clock.now());
    drop(view);
    leader.row_written.notify_waiters();
}

/// What the rows in the response to a write that conflicts tell about the scheduler's row.
enum RowConflict {
    /// The write was committed by an earlier attempt, and the row has this version.
    Committed(u64),
    /// An earlier write of this term, whose outcome wasn't known, has been committed meanwhile.
    EarlierWrite,
    /// The row is the expected one, so that the conflict is due to other rows.
    None,
    /// Another process has won the term.
    TermLost,
}

/// Determines from the current row why a write conflicts. Adopts the row's version if it is of an
/// earlier write of this term, and ends the term if another process has won it.
fn resolve_conflict<C: Clock>(leader: &Leader<C>, current_rows: &[Row]) -> RowConflict {
    let row = current_rows
        .iter()
        .find(|row| row.table == SCHEDULERS_TABLE);
    if row.is_some_and(|row| row.version == leader.version.get()) {
        return RowConflict::None;
    }
    let value = row.and_then(|row| Some((row.version, row.value.as_ref()?)));
    let decoded = value.and_then(|(version, value)| {
        rows::decode::<SchedulerRow>(SCHEDULER_KEY, value).map(|value| (version, value))
    });
    match decoded {
        Some((version, value)) if value.is_same_write(&leader.row.borrow()) => {
            RowConflict::Committed(version)
        }
        Some((version, value)) if value.is_of_same_term(&leader.row.borrow()) => {
            leader.version.set(version);
            RowConflict::EarlierWrite
        }
        other => {
            log::debug!("term lost; the scheduler's row is now {other:?}");
            leader.end("another process holds the term");
            RowConflict::TermLost
        }
    }
}
