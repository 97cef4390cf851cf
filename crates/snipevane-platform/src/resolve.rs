//! Finds out what became of a transaction whose answer was lost.

use std::time::Duration;

use smol_str::SmolStr;

use crate::error::{CommitError, PlatformError};
use crate::table::{Committed, Row, Table, Transaction, Write};

/// Rounds of reading back and sending again.
const MAX_ROUNDS: u32 = 4;
/// Pause before the second round; it doubles with each further one.
const BASE_DELAY: Duration = Duration::from_millis(50);

/// Commits a transaction, and finds out what became of it if the answer was lost.
///
/// Each value that the transaction puts must be unlike any other value ever written to its row, by
/// an identifier of the write for example. After a lost answer the rows written are read back:
///
/// - a row holds the transaction's value: it took effect;
/// - a row's version is one above the version checked, with another value: it can't take effect;
/// - no row was written since the check: the transaction may still be on its way. It's sent again
///   if it's [repeatable](Transaction::is_repeatable), since its checks let only one copy through;
/// - anything else: the rows were written over, and the outcome stays unknown.
///
/// # Errors
///
/// Returns [`CommitError::Unknown`] if the table can't be read or the rows don't tell, and any other
/// error only if the transaction had no effect and will have none.
pub async fn commit_resolved<T: Table>(
    table: &T,
    tx: Transaction,
) -> Result<Committed, CommitError> {
    let mut cause = match table.commit(tx.clone()).await {
        Err(CommitError::Unknown(cause)) => cause,
        known => return known,
    };
    for round in 0..MAX_ROUNDS {
        if round > 0 {
            tokio::time::sleep(BASE_DELAY * (1 << (round - 1))).await;
        }
        match read_back(table, &tx).await {
            Ok(Evidence::Applied(committed)) => return Ok(committed),
            Ok(Evidence::Superseded(keys)) => return Err(CommitError::Conflict { keys }),
            Ok(Evidence::Overwritten) => return Err(CommitError::Unknown(cause)),
            Ok(Evidence::Untouched) => {}
            Err(error) => {
                cause = error;
                continue;
            }
        }
        if !tx.is_safe_to_retry() {
            continue;
        }
        match table.commit(tx.clone()).await {
            Ok(committed) => return Ok(committed),
            // A conflict may be with the first copy; the next round tells. A copy that was not
            // applied leaves the first one's fate open.
            Err(CommitError::Conflict { .. }) => {}
            Err(CommitError::NotApplied(error) | CommitError::Unknown(error)) => cause = error,
        }
    }
    Err(CommitError::Unknown(cause))
}

/// What the rows written by a transaction tell of it.
enum Evidence {
    /// It took effect.
    Applied(Committed),
    /// Another write took its place in these rows.
    Superseded(Vec<SmolStr>),
    /// The rows were written more than once since.
    Overwritten,
    /// No write since the checks was seen.
    Untouched,
}

async fn read_back<T: Table>(table: &T, tx: &Transaction) -> Result<Evidence, PlatformError> {
    let mut superseded = Vec::new();
    let mut overwritten = false;
    for write in &tx.writes {
        let Write::Put { key, value } = write else {
            continue;
        };
        let row = table.read(key).await?;
        if row.as_ref().is_some_and(|row| row.value == *value) {
            return Ok(Evidence::Applied(committed_versions(table, tx).await));
        }
        match compare_version(tx, key, row.as_ref()) {
            Some(RowEvidence::Untouched) => {}
            Some(RowEvidence::Superseded) => superseded.push(key.clone()),
            Some(RowEvidence::Overwritten) | None => overwritten = true,
        }
    }
    if !superseded.is_empty() {
        return Ok(Evidence::Superseded(superseded));
    }
    if overwritten {
        return Ok(Evidence::Overwritten);
    }
    Ok(Evidence::Untouched)
}

/// What one row with another value tells.
enum RowEvidence {
    Untouched,
    Superseded,
    Overwritten,
}

fn compare_version(tx: &Transaction, key: &str, row: Option<&Row>) -> Option<RowEvidence> {
    let expected = tx.check_on(key)?.expected;
    let version = row.map(|row| row.version);
    if version == expected {
        return Some(RowEvidence::Untouched);
    }
    // A row that had to be absent may be deleted again before a late copy arrives.
    let expected = expected?;
    match version {
        Some(version) if version == expected + 1 => Some(RowEvidence::Superseded),
        // A row older than the check is a late read and tells nothing.
        Some(version) if version < expected => Some(RowEvidence::Untouched),
        _ => Some(RowEvidence::Overwritten),
    }
}

/// Returns the versions that a transaction gave its rows, as far as its checks or the rows tell.
async fn committed_versions<T: Table>(table: &T, tx: &Transaction) -> Committed {
    let mut versions = Vec::new();
    for write in &tx.writes {
        let key = write.key();
        let expected = tx.check_on(key).and_then(|check| check.expected);
        if let Some(version) = expected {
            versions.push((key.clone(), version + 1));
            continue;
        }
        let Write::Put { value, .. } = write else {
            continue;
        };
        if let Ok(Some(row)) = table.read(key).await
            && row.value == *value
        {
            versions.push((key.clone(), row.version));
        }
    }
    Committed { versions }
}
