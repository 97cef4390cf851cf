//! Stores the scheduler's changes and renews its term with each write.
//!
//! Submissions and cancellations share a transaction with the scheduler's changes that are due, so that
//! both wait for one write while the store is slow.
//!
//! Every write replaces the scheduler's row, on condition that the row still has the version of the
//! write before. So the writes of a term take effect in order, and none takes effect after another
//! process has won the term.

use std::rc::Rc;
use std::time::Duration;

use smol_str::SmolStr;
use snipevane_adapter::rows::{Row, Transaction};
use snipevane_core::batch_limit::{BatchLimit, Fault};
use snipevane_core::jobs::{JobId, Scheduler};
use tokio::time::{sleep, timeout};

use crate::clock::Clock;
use crate::events;
use crate::metrics;
use crate::rows::{self, SCHEDULER_KEY, SCHEDULERS_TABLE, SchedulerRow};
use crate::store::{CommitOutcome, StoreError, TransactionBuilder};

use super::leader::Leader;
use super::own_changes::OwnChanges;

/// Number of entries that the scheduler's row takes: a condition and a write.
const ROW_ENTRIES: usize = 2;

/// Number of bytes by which the scheduler's row may grow between the build of a transaction and its last
/// attempt: its times get longer.
const ROW_GROWTH_BYTES: usize = 100;

/// Time for which changes that aren't urgent are batched.
const BATCH_DELAY: Duration = Duration::from_millis(250);

/// Time for which urgent changes are batched: ends of jobs, for which callers may be waiting,
/// minions and VMs to record in the scheduler's row, and pending rows.
const URGENT_BATCH_DELAY: Duration = Duration::from_millis(20);

/// Time for which changes of callers wait for their turn to be written. The scheduler's own write keeps
/// its turn until its outcome is known, which takes as long as an outage of the store.
const CALLERS_TURN_TIMEOUT: Duration = Duration::from_millis(800);

/// Delay before a failed write is retried.
const RETRY_DELAY: Duration = Duration::from_millis(80);

/// Stores changes until the term ends.
pub(super) async fn store_changes<C: Clock>(leader: Rc<Leader<C>>) {
    while !leader.ended.get() {
        wait_until_write_due(&leader).await;
        let queued_at = leader.node.clock.now();
        let turn = leader.write_turn.lock().await;
        let now = leader.node.clock.now();
        if !is_write_due(&leader, now) || leaves_turn_to_callers(&leader) {
            drop(turn);
            continue;
        }
        let (changes, transaction) = build_transaction(&leader);
        let entries = transaction.entry_count() + ROW_ENTRIES;
        metrics::record_transaction("changes", entries, now.saturating_sub(queued_at));
        let result = commit(&leader, &transaction).await;
        drop(turn);
        leader.callers_carry_changes.set(true);
        match result {
            CommitResult::Rejected => handle_rejection(&leader, changes),
            CommitResult::Committed | CommitResult::TermLost => {
                let stored = result == CommitResult::Committed;
                if stored {
                    record_accepted(&leader);
                }
                changes.settle(&leader, stored);
                if leader.row.borrow().released {
                    leader.ended.set(true);
                }
            }
        }
    }
}

fn record_accepted<C: Clock>(leader: &Leader<C>) {
    let mut limit = leader.batch_limit.get();
    limit.record_accepted();
    leader.batch_limit.set(limit);
}

/// Handles a transaction that the store rejects for good: its changes are split further, the one at fault is
/// given up, or the term ends if the scheduler's row itself is rejected.
fn handle_rejection<C: Clock>(leader: &Leader<C>, changes: OwnChanges) {
    let mut limit = leader.batch_limit.get();
    let fault = limit.record_rejected(changes.count());
    leader.batch_limit.set(limit);
    match fault {
        Fault::SomeChange => changes.settle(leader, false),
        Fault::Change => changes.give_up(leader),
        Fault::Common => {
            changes.settle(leader, false);
            end_rejected_term(leader);
        }
    }
}

/// Ends the term because the store rejects the scheduler's row, so that another process takes over.
fn end_rejected_term<C: Clock>(leader: &Leader<C>) {
    report_rejected(leader, "term", SCHEDULER_KEY);
    leader.end("the store rejects the scheduler's row");
}

/// Reports a change that the store rejects for good.
pub(super) fn report_rejected<C: Clock>(leader: &Leader<C>, kind: &'static str, key: &str) {
    let fence = leader.row.borrow().fence;
    metrics::record_rejected_change(kind);
    events::record(&events::CHANGE_REJECTED, &[&kind, &key, &fence]);
}

/// Returns whether callers' changes wait for a turn and their transactions have room for the scheduler's
/// changes, so that a write for these alone would only take up the store's time.
fn leaves_turn_to_callers<C: Clock>(leader: &Leader<C>) -> bool {
    let callers_carry_changes =
        leader.callers_carry_changes.get() && leader.batch_limit.get() == BatchLimit::default();
    leader.callers_waiting.get() && callers_carry_changes && !leader.is_releasing()
}

/// Waits until a write is due: for urgent changes, for other changes, to renew the term, or because
/// the process stops.
async fn wait_until_write_due<C: Clock>(leader: &Leader<C>) {
    loop {
        let now = leader.node.clock.now();
        let due = write_due_at(leader);
        if due <= now {
            return;
        }
        let _ = timeout(due - now, leader.store_wake.notified()).await;
    }
}

fn is_write_due<C: Clock>(leader: &Leader<C>, now: Duration) -> bool {
    write_due_at(leader) <= now
}

/// Returns the time at which the next write is due.
fn write_due_at<C: Clock>(leader: &Leader<C>) -> Duration {
    let scheduler = leader.scheduler.borrow();
    let renewal = leader.term.borrow().renewal_due();
    let written_at = leader.changes_written_at.get();
    if leader.is_releasing() {
        leader.release_due().min(renewal)
    } else if is_urgent(leader, &scheduler) {
        renewal.min(written_at + URGENT_BATCH_DELAY)
    } else if scheduler.has_changes() {
        renewal.min(written_at + BATCH_DELAY)
    } else {
        renewal
    }
}

fn is_urgent<C: Clock>(leader: &Leader<C>, scheduler: &Scheduler) -> bool {
    scheduler.has_urgent_changes()
        || scheduler.has_unrecorded_minions()
        || leader.ordered_vms.borrow().has_unstored()
        || !leader.pending_waves.borrow().is_empty()
}

/// Prepares the scheduler's row for the next write.
fn prepare_row<C: Clock>(leader: &Leader<C>) {
    let mut row = leader.row.borrow_mut();
    row.write += 1;
    if leader.jobs_loaded.get() {
        let waiting = leader.scheduler.borrow().waiting_jobs();
        row.waiting = rows::bounded_counts(&waiting);
        *leader.waiting.borrow_mut() = Some(waiting);
    }
    row.minions.clear();
    let now = leader.node.clock.now();
    row.ordered_vms = Some(leader.ordered_vms.borrow_mut().to_store(now));
}

/// Builds the next write without the scheduler's row: as many of the changes as it has room for.
fn build_transaction<C: Clock>(leader: &Leader<C>) -> (OwnChanges, Transaction) {
    prepare_row(leader);
    leader.row.borrow_mut().released =
        leader.is_releasing() && leader.node.clock.now() >= leader.release_due();
    let mut builder = builder_with_row(leader);
    let max_changes = leader.batch_limit.get().max_changes();
    let changes = OwnChanges::take(leader, &mut builder, max_changes);
    (changes, builder.build())
}

/// Returns a builder that keeps room for the scheduler's row.
fn builder_with_row<C: Clock>(leader: &Leader<C>) -> TransactionBuilder {
    let mut row = with_row(leader, &Transaction::default());
    for (_, _, value) in &mut row.writes {
        // The row is encoded again when it is sent, with other times.
        value.resize(value.len() + ROW_GROWTH_BYTES, 0);
    }
    TransactionBuilder::with_reserve(&row)
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
fn with_row<C: Clock>(leader: &Leader<C>, changes: &Transaction) -> Transaction {
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

/// Result of a write of the scheduler's changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CommitResult {
    Committed,
    /// Another process has won the term.
    TermLost,
    /// The store rejects the transaction for good.
    Rejected,
}

/// Commits changes and the scheduler's row, with retries until the outcome is known.
async fn commit<C: Clock>(leader: &Leader<C>, changes: &Transaction) -> CommitResult {
    // A write without a response may be committed at any time after it was first sent. A reported
    // commit is the one of the last attempt, so the term counts from `last_sent`. If a conflict
    // shows that an earlier attempt was committed, only `first_sent` is certain to be no later
    // than the time at which that attempt was sent.
    let first_sent = leader.node.clock.now();
    let mut last_sent = first_sent;
    loop {
        match leader.node.store.commit(&with_row(leader, changes)).await {
            Ok(CommitOutcome::Committed(version)) => {
                record_commit_time(leader, last_sent);
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

/// Turn to write changes of callers.
pub(crate) struct CallersTurn<'a> {
    _turn: tokio::sync::MutexGuard<'a, ()>,
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
        let stored = matches!(result, Ok(CommitOutcome::Committed(_)));
        if matches!(result, Err(StoreError::NoAnswer | StoreError::HistoryGone)) {
            own_changes.mark_unknown(leader);
        }
        own_changes.settle(leader, stored);
        // The scheduler's writer takes the next turn for what had no room or wasn't committed.
        let has_more =
            leader.scheduler.borrow().has_changes() || !leader.pending_waves.borrow().is_empty();
        let carried = stored && !has_more;
        leader.callers_carry_changes.set(carried);
    } else if is_write_due(leader, leader.node.clock.now()) {
        leader.callers_carry_changes.set(false);
    }
    result
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

/// Commits a transaction together with the scheduler's row, without retries.
async fn commit_once<C: Clock>(
    leader: &Leader<C>,
    transaction: &Transaction,
) -> Result<CommitOutcome, StoreError> {
    let sent_at = leader.node.clock.now();
    let transaction = with_row(leader, transaction);
    match leader.node.store.commit(&transaction).await? {
        CommitOutcome::Committed(version) => {
            record_commit_time(leader, sent_at);
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
