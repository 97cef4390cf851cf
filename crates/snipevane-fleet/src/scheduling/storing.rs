//! Stores the scheduler's changes and renews its term with each write.

use std::rc::Rc;
use std::time::Duration;

use smol_str::SmolStr;
use snipevane_adapter::rows::Transaction;
use snipevane_core::batch_limit::{BatchLimit, Fault};
use snipevane_core::jobs::Scheduler;
use tokio::time::timeout;

use crate::clock::Clock;
use crate::events;
use crate::metrics;
use crate::rows::{self, SCHEDULER_KEY};
use crate::store::TransactionBuilder;

use super::leader::Leader;
use super::own_changes::OwnChanges;
use super::row_write::{CommitResult, commit, with_row};

/// Number of entries that the scheduler's row takes: a condition and a write.
pub(super) const ROW_ENTRIES: usize = 2;

/// Number of bytes by which the scheduler's row may grow between the build of a transaction and its last
/// attempt: its times get longer.
const ROW_GROWTH_BYTES: usize = 100;

/// Time for which changes that aren't urgent are batched.
const BATCH_DELAY: Duration = Duration::from_millis(250);

/// Time for which urgent changes are batched: ends of jobs, for which callers may be waiting,
/// minions and VMs to record in the scheduler's row, and pending rows.
const URGENT_BATCH_DELAY: Duration = Duration::from_millis(20);

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
pub(super) fn handle_rejection<C: Clock>(leader: &Leader<C>, changes: OwnChanges) {
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
pub(super) fn end_rejected_term<C: Clock>(leader: &Leader<C>) {
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

pub(super) fn is_write_due<C: Clock>(leader: &Leader<C>, now: Duration) -> bool {
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
        || scheduler.has_silent_minions_to_release()
        || leader.ordered_vms.borrow().has_unstored()
        || !leader.pending_waves.borrow().is_empty()
}

/// Prepares the scheduler's row for the next write.
pub(super) fn prepare_row<C: Clock>(leader: &Leader<C>) {
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
    row.silent_minions = name_silent_minions(leader, now);
}

/// Returns the silent minions for the row, which get nothing from now on.
fn name_silent_minions<C: Clock>(leader: &Leader<C>, now: Duration) -> Vec<(SmolStr, u64)> {
    let silent = leader.scheduler.borrow_mut().name_silent_minions(now);
    let encoded = silent.into_iter().map(|minion| {
        let left_ms = minion.leases_left.as_millis();
        (minion.id, u64::try_from(left_ms).unwrap_or(u64::MAX))
    });
    encoded.collect()
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
pub(super) fn builder_with_row<C: Clock>(leader: &Leader<C>) -> TransactionBuilder {
    let mut row = with_row(leader, &Transaction::default());
    for (_, _, value) in &mut row.writes {
        // The row is encoded again when it is sent, with other times.
        value.resize(value.len() + ROW_GROWTH_BYTES, 0);
    }
    TransactionBuilder::with_reserve(&row)
}
