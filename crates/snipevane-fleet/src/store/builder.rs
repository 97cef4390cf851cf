//! Builder of transactions that stay within the store's limits.

use smol_str::SmolStr;
use snipevane_adapter::rows::{MAX_TRANSACTION_BYTES, MAX_TRANSACTION_ENTRIES, Transaction};

/// Builds a transaction from parts, each of which is added as a whole or not at all.
///
/// Every transaction with changes that may be many or large is built here, so that none exceeds the limits
/// of the store, which would reject it for good.
#[derive(Debug, Default)]
pub(crate) struct TransactionBuilder {
    transaction: Transaction,
    /// Entries and bytes that are kept free for what is added later.
    reserved_entries: usize,
    reserved_bytes: usize,
}

impl TransactionBuilder {
    /// Creates a builder that keeps room for a part that is added later.
    pub(crate) fn with_reserve(later: &Transaction) -> Self {
        Self {
            transaction: Transaction::default(),
            reserved_entries: later.entry_count(),
            reserved_bytes: later.max_encoded_bytes(),
        }
    }

    /// Creates a builder that keeps room for one row of this size, with a condition on it.
    pub(crate) fn with_room_for_row(row_bytes: usize) -> Self {
        let key = SmolStr::default();
        Self::with_reserve(&Transaction {
            conditions: vec![(key.clone(), key.clone(), 0)],
            writes: vec![(key.clone(), key, vec![0; row_bytes])],
            ..Transaction::default()
        })
    }

    /// Adds a part if the transaction stays within the limits; returns whether it does.
    pub(crate) fn add(&mut self, part: Transaction) -> bool {
        let entries = self.transaction.entry_count() + part.entry_count();
        let bytes = self.transaction.max_encoded_bytes() + part.max_encoded_bytes();
        let fits = entries + self.reserved_entries <= MAX_TRANSACTION_ENTRIES
            && bytes + self.reserved_bytes <= MAX_TRANSACTION_BYTES;
        if fits {
            self.transaction.append(part);
        }
        fits
    }

    /// Returns the number of entries, including those that are kept free.
    pub(crate) fn entry_count(&self) -> usize {
        self.transaction.entry_count() + self.reserved_entries
    }

    /// Returns the transaction, without the part that is to be added later.
    pub(crate) fn build(self) -> Transaction {
        self.transaction
    }
}
