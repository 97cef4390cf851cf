//! Table and object store of the platform stand-in.

use std::collections::{BTreeMap, HashMap};

use bytes::Bytes;
use serde_json::Value;
use snipevane_proto::platform::{Check, Row, Transaction, Write, WrittenRow};

/// In-memory table rows and objects.
#[derive(Debug, Default)]
pub(crate) struct Store {
    rows: BTreeMap<String, StoredRow>,
    pub(crate) objects: HashMap<String, Bytes>,
}

/// A row with its previous version; a deleted row keeps its version number.
#[derive(Debug, Default)]
struct StoredRow {
    version: u64,
    value: Option<Value>,
    previous: Option<(u64, Value)>,
}

impl StoredRow {
    fn row(&self, key: &str, stale: bool) -> Option<Row> {
        let latest = self.value.clone().map(|value| (self.version, value));
        let previous = self.previous.clone().filter(|_| stale);
        let (version, value) = if stale && self.version > 1 {
            previous?
        } else {
            latest?
        };
        Some(Row {
            key: key.to_owned(),
            version,
            value,
        })
    }

    fn write(&mut self, value: Option<Value>) -> u64 {
        self.previous = self.value.take().map(|previous| (self.version, previous));
        self.value = value;
        self.version += 1;
        self.version
    }
}

impl Store {
    /// Returns a row, or its state before the latest write if `stale`.
    ///
    /// A row that was written only once is returned as it is even if `stale`.
    pub(crate) fn read(&self, key: &str, stale: bool) -> Option<Row> {
        self.rows.get(key)?.row(key, stale)
    }

    /// Returns the rows whose keys start with `prefix`.
    pub(crate) fn scan(&self, prefix: &str, stale: bool) -> Vec<Row> {
        let from = self.rows.range(prefix.to_owned()..);
        from.take_while(|(key, _)| key.starts_with(prefix))
            .filter_map(|(key, stored)| stored.row(key, stale))
            .collect()
    }

    /// Applies a transaction if all of its checks pass.
    ///
    /// # Errors
    ///
    /// Returns the keys of the rows whose checks failed; nothing is written in that case.
    pub(crate) fn commit(&mut self, tx: &Transaction) -> Result<Vec<WrittenRow>, Vec<String>> {
        let failed = tx.checks.iter().filter(|check| !self.check_passes(check));
        let failed: Vec<_> = failed.map(|check| check.key.clone()).collect();
        if !failed.is_empty() {
            return Err(failed);
        }
        Ok(tx.writes.iter().map(|write| self.write(write)).collect())
    }

    fn check_passes(&self, check: &Check) -> bool {
        let stored = self.rows.get(&check.key);
        let present = stored.filter(|stored| stored.value.is_some());
        present.map(|stored| stored.version) == check.expected
    }

    fn write(&mut self, write: &Write) -> WrittenRow {
        let (key, value) = match write {
            Write::Put(put) => (&put.key, Some(put.value.clone())),
            Write::Delete(delete) => (&delete.key, None),
        };
        let stored = self.rows.entry(key.clone()).or_default();
        WrittenRow {
            key: key.clone(),
            version: stored.write(value),
        }
    }
}
