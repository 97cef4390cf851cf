//! Determines the outcome of a transaction whose response was lost.

use std::time::Duration;

use smol_str::SmolStr;

use crate::error::{CommitError, PlatformError};
use crate::table::{Committed, Row, Table, Transaction, Write};

/// Maximum number of rounds, each of which reads the rows back and may resend the transaction.
const MAX_ROUNDS: u32 = 4;
/// Delay before the second round; it doubles with each further round.
const BASE_DELAY: Duration = Duration::from_millis(50);

/// Commits a transaction and determines its outcome if the response was lost.
///
/// Each value that the transaction writes must differ from every other value ever written to its
/// row, for example by a unique identifier of the write. After a lost response the rows are read
/// back:
///
/// - A row holds the transaction's value: the transaction took effect.
/// - A row has another value, and its version is one above the version checked: another write came
///   first, so the transaction can't take effect any more.
/// - No row was written since the check: the transaction may still be in transit. It's resent if
///   it's [safe to retry](Transaction::is_safe_to_retry), since its checks then let only one copy
///   take effect.
/// - Otherwise the rows were overwritten, and the outcome stays unknown.
///
/// # Errors
///
/// Returns [`CommitError::Unknown`] if the table can't be read or the rows don't show the outcome,
/// and any other error only if the transaction had no effect and will have none.
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
            // The conflict may be with the first copy, which the next round detects. If this copy
            // wasn't applied, the outcome of the first copy is still unknown.
            Err(CommitError::Conflict { .. }) => {}
            Err(CommitError::NotApplied(error) | CommitError::Unknown(error)) => cause = error,
        }
    }
    Err(CommitError::Unknown(cause))
}

/// What the rows show about a transaction that writes them.
enum Evidence {
    /// The transaction took effect.
    Applied(Committed),
    /// Another write gave these rows the version that the transaction would have given them.
    Superseded(Vec<SmolStr>),
    /// The rows were written more than once since the checks, or their versions aren't checked, so
    /// that they don't show the outcome.
    Overwritten,
    /// No write after the checked versions is visible.
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

/// What a row shows whose value isn't the transaction's.
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
    // If the check requires that the row is absent, the row may be deleted again before a delayed
    // copy arrives, which then passes the check.
    let expected = expected?;
    match version {
        Some(version) if version == expected + 1 => Some(RowEvidence::Superseded),
        // A version below the checked one comes from a stale read and shows nothing.
        Some(version) if version < expected => Some(RowEvidence::Untouched),
        _ => Some(RowEvidence::Overwritten),
    }
}

/// Returns the versions that a transaction gave its rows, as far as its checks or the rows show
/// them.
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
