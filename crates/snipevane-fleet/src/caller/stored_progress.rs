//! Reads the progress of a job from the store.

use snipevane_core::jobs::{JobId, Progress};

use crate::clock::Clock;
use crate::node::Node;
use crate::rows::{self, PROGRESS_TABLE};
use crate::store::{Purpose, StoreError};

/// Maximum number of attempts to read a row from the store while it doesn't answer. A store that refuses a read is
/// asked again only when the caller comes back.
const MAX_READ_ATTEMPTS: u32 = 2;

/// Reads a job's progress and its row's version; none if the row is missing or can't be decoded.
pub(super) async fn read_progress<C: Clock>(
    node: &Node<C>,
    id: JobId,
) -> Result<Option<(Progress, u64)>, StoreError> {
    let found = read_progress_row(node, id).await?;
    let decoded = found.and_then(|(value, row_version)| {
        rows::decode::<Progress>(&rows::job_key(id), &value).map(|progress| (progress, row_version))
    });
    Ok(decoded)
}

/// Reads the value and the version of a job's progress row; none if the row is missing.
pub(super) async fn read_progress_row<C: Clock>(
    node: &Node<C>,
    id: JobId,
) -> Result<Option<(Vec<u8>, u64)>, StoreError> {
    if node.store.is_unreachable() {
        return Err(StoreError::NotApplied);
    }
    let key = rows::job_key(id);
    let mut attempts = 0;
    loop {
        attempts += 1;
        match node
            .store
            .get(Purpose::CallersRead, PROGRESS_TABLE, &key)
            .await
        {
            Ok(row) => return Ok(row.and_then(|row| Some((row.value?, row.version)))),
            Err(error) if attempts >= MAX_READ_ATTEMPTS || error == StoreError::NotApplied => {
                log::debug!(
                    "reading the progress of job {id} failed after {attempts} attempts: {error}"
                );
                return Err(error);
            }
            Err(_) => {}
        }
    }
}
