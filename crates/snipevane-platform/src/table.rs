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
    /// Number of writes to the row, deletions included.
    pub version: u64,
    /// Content of the row.
    pub value: Value,
}

/// A condition of a transaction on one row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Check {
    /// Key of the row.
    pub key: SmolStr,
    /// Version that the row must have; `None` if the row must be absent.
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
    /// Returns the key of the row that is written.
    pub fn key(&self) -> &SmolStr {
        match self {
            Self::Put { key, .. } | Self::Delete { key } => key,
        }
    }
}

/// Writes that take effect together if all checks hold, and not at all otherwise.
#[derive(Clone, Debug, PartialEq)]
pub struct Transaction {
    /// Identifier, kept in the platform's record only.
    pub id: Uuid,
    /// Conditions.
    pub checks: Vec<Check>,
    /// Writes.
    pub writes: Vec<Write>,
}

impl Transaction {
    /// Creates a transaction with an identifier of its own.
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

    /// Returns whether the transaction can take effect at most once, however often it's sent.
    ///
    /// This holds if the version of a row that it writes is checked: versions only rise, so the
    /// check fails from then on. A row that must be absent gives no such hold, since it may be
    /// deleted in between.
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
    /// The rows written with their versions since.
    pub versions: Vec<(SmolStr, u64)>,
}

/// A transactional table.
///
/// The version of a row rises by one with each write, deletions included, and never falls.
pub trait Table: Send + Sync + 'static {
    /// Reads a row; `None` if it's absent.
    ///
    /// The row may be older than the latest write.
    ///
    /// # Errors
    ///
    /// Returns an error if the table didn't answer.
    fn read(&self, key: &str) -> impl Future<Output = Result<Option<Row>, PlatformError>> + Send;

    /// Reads all rows whose keys start with `prefix`, in the order of the keys.
    ///
    /// # Errors
    ///
    /// Returns an error if the table didn't answer.
    fn scan(&self, prefix: &str) -> impl Future<Output = Result<Vec<Row>, PlatformError>> + Send;

    /// Commits a transaction, sending it once.
    ///
    /// # Errors
    ///
    /// Returns whether the transaction conflicts, had no effect, or may have taken effect.
    fn commit(
        &self,
        tx: Transaction,
    ) -> impl Future<Output = Result<Committed, CommitError>> + Send;
}
