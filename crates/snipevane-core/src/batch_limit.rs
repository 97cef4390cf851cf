//! Limit of the changes in a transaction while the store rejects transactions for good.

/// Number of changes above which a transaction is no longer limited; more than any contains.
const UNLIMITED_FROM: usize = 128;

/// Number of changes that the next transaction may contain.
///
/// A transaction that the store rejects for good is never accepted, so it isn't sent again. Its changes are
/// split until the one at fault is known. The load: one change among many that the store doesn't accept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BatchLimit {
    max_changes: usize,
    /// Whether the next transaction contains no change, so that the term is renewed whatever the changes are.
    renews_first: bool,
}

/// Which part of a rejected transaction is at fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// One of several changes; smaller transactions will tell which.
    SomeChange,
    /// The only change.
    Change,
    /// What every transaction contains, as there was no change.
    Common,
}

impl Default for BatchLimit {
    fn default() -> Self {
        Self {
            max_changes: usize::MAX,
            renews_first: false,
        }
    }
}

impl BatchLimit {
    /// Returns the largest number of changes in the next transaction; 0 if it is to contain none.
    pub fn max_changes(&self) -> usize {
        if self.renews_first {
            0
        } else {
            self.max_changes
        }
    }

    /// Lets the next transaction contain changes even after a rejection, for a writer that needn't renew a term.
    pub fn skip_renewal(&mut self) {
        self.renews_first = false;
    }

    /// Records that the store has accepted a transaction.
    pub fn record_accepted(&mut self) {
        if self.renews_first {
            self.renews_first = false;
        } else {
            self.max_changes = self.max_changes.saturating_mul(2);
        }
        if self.max_changes >= UNLIMITED_FROM {
            *self = Self::default();
        }
    }

    /// Records that the store has rejected a transaction with this number of changes for good; returns what
    /// is at fault.
    pub fn record_rejected(&mut self, changes: usize) -> Fault {
        if changes == 0 {
            return Fault::Common;
        }
        self.renews_first = true;
        self.max_changes = (changes / 2).max(1);
        if changes == 1 {
            Fault::Change
        } else {
            Fault::SomeChange
        }
    }
}
