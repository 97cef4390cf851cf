//! Callers' changes that wait to be written.

use std::cell::{Cell, RefCell};
use std::time::Duration;

use smol_str::SmolStr;
use snipevane_adapter::rows::Transaction;

use crate::store::TransactionBuilder;

use super::pending_change::PendingChange;

/// Changes that are written together.
pub(super) struct Batch {
    /// Changes in the order in which they were queued.
    pub(super) changes: Vec<PendingChange>,
    /// Entries of the changes.
    pub(super) transaction: Transaction,
}

/// Changes that wait, oldest first.
#[derive(Default)]
pub(super) struct ChangeQueue {
    waiting: RefCell<Vec<PendingChange>>,
    next_number: Cell<u64>,
}

impl ChangeQueue {
    /// Returns the number of changes that wait.
    pub(super) fn len(&self) -> usize {
        self.waiting.borrow().len()
    }

    /// Returns whether no change waits.
    pub(super) fn is_empty(&self) -> bool {
        self.waiting.borrow().is_empty()
    }

    /// Returns a number for a change that is going to be queued.
    pub(super) fn next_number(&self) -> u64 {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        number
    }

    /// Adds a change.
    pub(super) fn push(&self, change: PendingChange) {
        self.waiting.borrow_mut().push(change);
    }

    /// Puts changes at the front.
    pub(super) fn requeue(&self, mut changes: Vec<PendingChange>) {
        let mut waiting = self.waiting.borrow_mut();
        changes.append(&mut waiting);
        *waiting = changes;
    }

    /// Returns whether a change of this row waits other than the one with this number.
    pub(super) fn has_other(&self, key: &SmolStr, number: Option<u64>) -> bool {
        let waiting = self.waiting.borrow();
        let mut others = waiting
            .iter()
            .filter(|change| Some(change.number) != number);
        others.any(|change| change.key() == key)
    }

    /// Returns the numbers of the changes that were queued before a time.
    pub(super) fn queued_before(&self, time: Duration) -> Vec<u64> {
        let waiting = self.waiting.borrow();
        let early = waiting.iter().filter(|change| change.queued_at < time);
        early.map(|change| change.number).collect()
    }

    /// Removes and returns the change with a number, if it waits and `may_leave` returns true.
    pub(super) fn remove_if(
        &self,
        number: u64,
        may_leave: impl FnOnce(&PendingChange) -> bool,
    ) -> Option<PendingChange> {
        let index = {
            let waiting = self.waiting.borrow();
            let index = waiting.iter().position(|change| change.number == number)?;
            may_leave(&waiting[index]).then_some(index)?
        };
        Some(self.waiting.borrow_mut().remove(index))
    }

    /// Removes and returns all changes.
    pub(super) fn take_all(&self) -> Vec<PendingChange> {
        std::mem::take(&mut *self.waiting.borrow_mut())
    }

    /// Removes the oldest changes that a transaction has room for, up to `max_changes`.
    pub(super) fn take_batch(&self, max_changes: usize, mut builder: TransactionBuilder) -> Batch {
        let mut changes: Vec<PendingChange> = Vec::new();
        let mut rest: Vec<PendingChange> = Vec::new();
        let mut is_full = false;
        for change in self.take_all() {
            // A transaction may contain a row only once, so a later change of a row waits.
            let is_repeated = changes.iter().any(|earlier| earlier.key() == change.key());
            is_full |= changes.len() == max_changes;
            is_full = is_full || !is_repeated && !builder.add(change.entries());
            if is_full || is_repeated {
                rest.push(change);
            } else {
                changes.push(change);
            }
        }
        self.requeue(rest);
        Batch {
            changes,
            transaction: builder.build(),
        }
    }
}
