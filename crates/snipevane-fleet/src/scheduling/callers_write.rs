//! Writes changes of callers together with the scheduler's row, so that both wait for one write while the
//! store is slow.

use std::time::Duration;

use smol_str::SmolStr;
use snipevane_adapter::rows::Transaction;
use snipevane_core::batch_limit::BatchLimit;
use snipevane_core::jobs::JobId;
use tokio::sync::MutexGuard;
use tokio::time::timeout;

use crate::clock::Clock;
use crate::metrics;
use crate::store::{CommitOutcome, StoreError};

use super::leader::Leader;
use super::own_changes::OwnChanges;
use super::row_write::commit_once;
use super::storing::{
    ROW_ENTRIES, builder_with_row, end_rejected_term, handle_rejection, is_write_due, prepare_row,
};

/// Time for which changes of callers wait for their turn to be written. The scheduler's own write keeps
/// its turn until its outcome is known, which takes as long as an outage of the store.
const CALLERS_TURN_TIMEOUT: Duration = Duration::from_millis(800);

/// Turn to write changes of callers.
pub(crate) struct CallersTurn<'a> {
    _turn: MutexGuard<'a, ()>,
    /// Time for which the turn was awaited.
    waited: Duration,
}

/// Waits for the turn to write changes of callers; returns `None` if it takes too long or the term is
/// over.
pub(super) async fn callers_turn<C: Clock>(leader: &Leader<C>) -> Option<CallersTurn<'_>> {
    let queued_at = leader.node.clock.now();
    leader.callers_waiting.set(true);
    let turn = timeout(CALLERS_TURN_TIMEOUT, leader.write_turn.lock()).await;
    leader.callers_waiting.set(false);
    let turn = turn.ok()?;
    if leader.ended.get() || leader.row.borrow().released {
        return None;
    }
    let waited = leader.node.clock.now().saturating_sub(queued_at);
    Some(CallersTurn {
        _turn: turn,
        waited,
    })
}

/// Commits changes of callers together with the scheduler's row, so that the write renews the term, and
/// with changes of the scheduler that are due, so that these need no write of their own.
///
/// # Errors
///
/// Returns an error that tells whether the changes of callers may be committed nevertheless.
pub(super) async fn commit_for_callers<C: Clock>(
    leader: &Leader<C>,
    turn: CallersTurn<'_>,
    changes: &Transaction,
) -> Result<CommitOutcome, StoreError> {
    prepare_row(leader);
    let (mut own_changes, transaction) = add_due_changes(leader, changes);
    let entries = transaction.entry_count() + ROW_ENTRIES;
    metrics::record_transaction("submissions", entries, turn.waited);
    let mut result = commit_once(leader, &transaction).await;
    if result == Err(StoreError::Rejected) {
        let left_out = own_changes.take();
        result = commit_after_rejection(leader, changes, left_out.is_some()).await;
        if let Some(left_out) = left_out {
            settle_left_out(leader, left_out, result.is_ok());
        }
    }
    drop(turn);
    if let Some(own_changes) = own_changes {
        settle_own_changes(leader, own_changes, &result);
    } else if is_write_due(leader, leader.node.clock.now()) {
        leader.callers_carry_changes.set(false);
    }
    result
}

/// Settles changes of the scheduler that shared a transaction with those of callers.
fn settle_own_changes<C: Clock>(
    leader: &Leader<C>,
    own_changes: OwnChanges,
    result: &Result<CommitOutcome, StoreError>,
) {
    let stored = matches!(result, Ok(CommitOutcome::Committed(_)));
    if matches!(result, Err(StoreError::NoAnswer | StoreError::HistoryGone)) {
        own_changes.mark_unknown(leader);
    }
    own_changes.settle(leader, stored);
    // The scheduler's writer takes the next turn for what had no room or wasn't committed.
    let has_more =
        leader.scheduler.borrow().has_changes() || !leader.pending_waves.borrow().is_empty();
    leader.callers_carry_changes.set(stored && !has_more);
}

/// Adds the scheduler's changes, if they are due and have room, to changes of callers.
fn add_due_changes<C: Clock>(
    leader: &Leader<C>,
    callers_changes: &Transaction,
) -> (Option<OwnChanges>, Transaction) {
    let now = leader.node.clock.now();
    // A transaction may contain a row only once, and both could write the rows of such a job.
    let mut conditions = callers_changes.conditions.iter();
    let is_exclusive = leader.is_releasing()
        || !is_write_due(leader, now)
        || leader.batch_limit.get() != BatchLimit::default()
        || conditions.any(|(_, key, _)| has_change_of(leader, key));
    if is_exclusive {
        return (None, callers_changes.clone());
    }
    let mut builder = builder_with_row(leader);
    if !builder.add(callers_changes.clone()) {
        return (None, callers_changes.clone());
    }
    let changes = OwnChanges::take(leader, &mut builder, usize::MAX);
    (Some(changes), builder.build())
}

/// Settles changes of the scheduler that were left out of a transaction of callers after the store had rejected
/// both together. They are at fault if it has accepted those of the callers. The scheduler's writer takes the
/// next turn for them.
fn settle_left_out<C: Clock>(leader: &Leader<C>, left_out: OwnChanges, others_accepted: bool) {
    leader.callers_carry_changes.set(false);
    if others_accepted && left_out.count() > 0 {
        handle_rejection(leader, left_out);
    } else {
        left_out.settle(leader, false);
    }
    leader.store_wake.notify_one();
}

/// Commits changes of callers without those of the scheduler, after the store has rejected a transaction.
///
/// If it rejects a single change too, the scheduler's row is written alone, which shows whether the row is at
/// fault. Several changes are split first.
async fn commit_after_rejection<C: Clock>(
    leader: &Leader<C>,
    changes: &Transaction,
    had_own_changes: bool,
) -> Result<CommitOutcome, StoreError> {
    if had_own_changes {
        let result = commit_once(leader, changes).await;
        if result != Err(StoreError::Rejected) {
            return result;
        }
    }
    let is_single = changes.conditions.len() == 1;
    if is_single && commit_once(leader, &Transaction::default()).await == Err(StoreError::Rejected)
    {
        end_rejected_term(leader);
        return Err(StoreError::NotApplied);
    }
    Err(StoreError::Rejected)
}

/// Returns whether the scheduler has changes of the job with a key to store.
fn has_change_of<C: Clock>(leader: &Leader<C>, job_key: &SmolStr) -> bool {
    let id = job_key.parse::<JobId>();
    id.is_ok_and(|id| leader.scheduler.borrow().has_change_of(id))
}
