//! Limit of the changes in a transaction while the store rejects transactions for good.

/// Number of changes above which a transaction is no longer limited; more than any contains.
const UNLIMITED_FROM: usize = 128;

/// Factor by which the limit grows with each accepted transaction once the change at fault has been given up.
const GROWTH: usize = 4;

/// Number of changes that the next transaction may contain.
///
/// A transaction that the store rejects for good is never accepted, so it isn't sent again. Its changes are
/// halved until the one at fault is known. The load: one change among many that the store doesn't accept, while the
/// callers of the others wait for a slow store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BatchLimit {
    max_changes: usize,
    /// Number of the oldest changes among which one is at fault; 0 if nothing is known of them.
    suspects: usize,
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
            suspects: 0,
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
    ///
    /// The change at fault is then among the suspects that it didn't contain.
    pub fn record_accepted(&mut self) {
        if self.renews_first {
            self.renews_first = false;
        } else if self.suspects > self.max_changes {
            self.suspects -= self.max_changes;
            self.max_changes = (self.suspects / 2).max(1);
        } else {
            self.suspects = 0;
            self.max_changes = self.max_changes.saturating_mul(GROWTH);
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
            self.suspects = 0;
            Fault::Change
        } else {
            self.suspects = changes;
            Fault::SomeChange
        }
    }
}
