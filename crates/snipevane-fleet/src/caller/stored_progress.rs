//! Reads the progress of a job from the store.

use snipevane_core::jobs::{JobId, JobState, Progress};

use crate::clock::Clock;
use crate::node::Node;
use crate::rows::{self, PROGRESS_TABLE};
use crate::store::{Purpose, StoreError};

/// Maximum number of attempts to read a row from the store while it doesn't answer. A store that refuses a read is
/// asked again only when the caller comes back.
const MAX_READ_ATTEMPTS: u32 = 2;

/// What the store has of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StoredJob {
    /// No row.
    Absent,
    /// A row that this version can't decode, as a later one may have written it.
    Unreadable,
    /// A tombstone: the job was cancelled before it was stored.
    Tombstone,
    /// A job in this state, with the version of its progress row.
    Present {
        /// State of the job.
        state: JobState,
        /// Version of its progress row.
        version: u64,
    },
}

impl StoredJob {
    /// Returns what the row of a job's progress says, given its version and its value.
    pub(super) fn decode(id: JobId, version: u64, value: Option<&[u8]>) -> Self {
        let Some(value) = value.filter(|_| version > 0) else {
            return Self::Absent;
        };
        match rows::decode::<Progress>(&rows::job_key(id), value) {
            None => Self::Unreadable,
            Some(progress) if progress.tombstone => Self::Tombstone,
            Some(progress) => Self::Present {
                state: progress.state,
                version,
            },
        }
    }
}

/// Reads what the store has of a job.
pub(super) async fn read_job<C: Clock>(node: &Node<C>, id: JobId) -> Result<StoredJob, StoreError> {
    let found = read_progress_row(node, id).await?;
    Ok(found.map_or(StoredJob::Absent, |(value, version)| {
        StoredJob::decode(id, version, Some(&value))
    }))
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
