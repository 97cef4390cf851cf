//! The platform's transactional table.

use std::future::Future;

use serde_json::Value;
use smol_str::SmolStr;
use uuid::Uuid;

use crate::error::{CommitError, PlatformError};

/// A row of the table.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    /// Key of the row.
    pub key: SmolStr,
    /// Number of writes to the row so far, including deletions.
    pub version: u64,
    /// Content of the row.
    pub value: Value,
}

/// A precondition of a transaction on the version of one row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Check {
    /// Key of the row.
    pub key: SmolStr,
    /// Version that the row must have, or `None` if the row must be absent.
    pub expected: Option<u64>,
}

/// One write of a transaction.
#[derive(Clone, Debug, PartialEq)]
pub enum Write {
    /// Writes a row.
    Put {
        /// Key of the row.
        key: SmolStr,
        /// New content of the row.
        value: Value,
    },
    /// Deletes a row.
    Delete {
        /// Key of the row.
        key: SmolStr,
    },
}

impl Write {
    /// Returns the key of the row that is written or deleted.
    pub fn key(&self) -> &SmolStr {
        match self {
            Self::Put { key, .. } | Self::Delete { key } => key,
        }
    }
}

/// Writes that are applied atomically if all checks hold, and not at all otherwise.
#[derive(Clone, Debug, PartialEq)]
pub struct Transaction {
    /// Identifier, which the platform only records.
    pub id: Uuid,
    /// Preconditions of the transaction.
    pub checks: Vec<Check>,
    /// Writes of the transaction.
    pub writes: Vec<Write>,
}

impl Transaction {
    /// Creates a transaction with a new unique identifier.
    pub fn new(checks: Vec<Check>, writes: Vec<Write>) -> Self {
        Self {
            id: Uuid::now_v7(),
            checks,
            writes,
        }
    }

    /// Returns the check on a row, if the transaction has one.
    pub fn check_on(&self, key: &str) -> Option<&Check> {
        self.checks.iter().find(|check| check.key == key)
    }

    /// Returns whether the transaction takes effect at most once, however often it's sent.
    ///
    /// This is the case if it checks the version of a row that it writes: versions only increase,
    /// so the check fails once the transaction took effect. A check that a row is absent doesn't
    /// ensure this, since the row may be deleted in between.
    pub fn is_safe_to_retry(&self) -> bool {
        self.writes.iter().any(|write| {
            self.check_on(write.key())
                .is_some_and(|check| check.expected.is_some())
        })
    }
}

/// A transaction that took effect.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Committed {
    /// Keys of the rows written, each with its new version.
    pub versions: Vec<(SmolStr, u64)>,
}

/// A transactional table.
///
/// The version of a row increases by one with each write, including deletions, and never decreases.
pub trait Table: Send + Sync + 'static {
    /// Reads a row, or returns `None` if it's absent.
    ///
    /// The read may be stale: the row may be older than its latest write.
    ///
    /// # Errors
    ///
    /// Returns an error if the table didn't answer.
    fn read(&self, key: &str) -> impl Future<Output = Result<Option<Row>, PlatformError>> + Send;

    /// Reads all rows whose keys start with `prefix`, sorted by key.
    ///
    /// # Errors
    ///
    /// Returns an error if the table didn't answer.
    fn scan(&self, prefix: &str) -> impl Future<Output = Result<Vec<Row>, PlatformError>> + Send;

    /// Commits a transaction, which is sent only once.
    ///
    /// # Errors
    ///
    /// Returns an error that tells whether the transaction conflicted, had no effect for another
    /// reason, or may have taken effect.
    fn commit(
        &self,
        tx: Transaction,
    ) -> impl Future<Output = Result<Committed, CommitError>> + Send;
}
