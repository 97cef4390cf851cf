//! Rows of submitted jobs.
//!
//! Most jobs have one row, with their specification as JSON. A specification that is too large for a row is cut into
//! chunks in numbered rows; the first row then only has their number. Earlier versions can't decode that row, and
//! leave the job alone.

use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};
use smol_str::{SmolStr, format_smolstr};
use snipevane_adapter::rows::{Row, Transaction};
use snipevane_core::jobs::{JobId, JobSpec};

use crate::rows::{self, JOBS_TABLE, JobsTableKey};

/// Part of a row that a chunk fills, so that its value also fits when it is encoded in Base64.
const FILL_NUMERATOR: usize = 2;
const FILL_DENOMINATOR: usize = 3;

/// Largest size of the first row of a job in several rows, in bytes.
const MAX_FIRST_ROW_BYTES: usize = 32;

/// First row of a job whose specification is in several rows.
#[derive(Serialize, Deserialize)]
struct ChunkedJob {
    /// Number of further rows, which contain the specification.
    chunks: u32,
}

/// Rows that store a job.
pub struct JobRows {
    /// Rows to write: table, key, value.
    pub writes: Vec<(SmolStr, SmolStr, Vec<u8>)>,
    /// Number of rows beside the first one.
    pub chunks: u32,
}

/// Returns the rows that store a job. `max_row_bytes` is the largest value that a row may have.
pub fn encode(id: JobId, spec: &JobSpec, max_row_bytes: usize) -> JobRows {
    let value = rows::encode(spec);
    let key = rows::job_key(id);
    if value.len() <= max_row_bytes {
        return JobRows {
            writes: vec![(JOBS_TABLE.into(), key, value)],
            chunks: 0,
        };
    }
    let chunk_bytes = max_row_bytes * FILL_NUMERATOR / FILL_DENOMINATOR;
    let chunks = value.chunks(chunk_bytes.max(1));
    let further = (1..).zip(chunks).map(|(number, chunk)| {
        let key = chunk_key(id, number);
        (JOBS_TABLE.into(), key, chunk.to_vec())
    });
    let further: Vec<(SmolStr, SmolStr, Vec<u8>)> = further.collect();
    let chunks = further.len() as u32;
    let first = rows::encode(&ChunkedJob { chunks });
    let mut writes = vec![(JOBS_TABLE.into(), key, first)];
    writes.extend(further);
    JobRows { writes, chunks }
}

/// Returns the entries that remove the rows of a job and of a request to cancel it.
pub fn removal(id: JobId, chunks: u32) -> Transaction {
    let further = (1..=chunks).map(|number| chunk_key(id, number));
    let keys = [rows::job_key(id), rows::cancel_key(id)];
    let keys = keys.into_iter().chain(further);
    Transaction {
        removals: keys.map(|key| (JOBS_TABLE.into(), key)).collect(),
        ..Transaction::default()
    }
}

/// Returns the range of keys that contains all rows of a job: the first one, and the end, which is excluded.
pub fn key_range(id: JobId) -> (SmolStr, SmolStr) {
    // The smallest key after those that begin with the job's and a dot.
    (rows::job_key(id), format_smolstr!("{id}/"))
}

fn chunk_key(id: JobId, number: u32) -> SmolStr {
    format_smolstr!("{id}.{number}")
}

/// What the rows of a job that were read together contain.
pub enum ReadJob {
    /// The job, and the number of its rows beside the first one.
    Whole(Box<JobSpec>, u32),
    /// Some of its rows are missing among those that were read.
    Incomplete,
}

/// Decodes the jobs among rows of the table that were read together, in the order of their first rows. Jobs that
/// can't be decoded are left out.
pub fn decode_all(read: &[Row]) -> Vec<(JobId, ReadJob)> {
    let present: FxHashMap<&str, &[u8]> = read
        .iter()
        .filter_map(|row| Some((row.key.as_str(), row.value.as_deref()?)))
        .collect();
    let jobs = read.iter().filter_map(|row| {
        let Some(JobsTableKey::Job(id)) = JobsTableKey::parse(&row.key) else {
            return None;
        };
        let value = row.value.as_deref()?;
        Some((id, decode(id, &row.key, value, &present)?))
    });
    jobs.collect()
}

/// Decodes a job from the value of its first row and the other rows; returns `None` if that fails.
fn decode(id: JobId, key: &str, value: &[u8], present: &FxHashMap<&str, &[u8]>) -> Option<ReadJob> {
    let is_short = value.len() <= MAX_FIRST_ROW_BYTES;
    let first = is_short.then(|| serde_json::from_slice::<ChunkedJob>(value).ok());
    let Some(first) = first.flatten() else {
        return Some(ReadJob::Whole(Box::new(rows::decode(key, value)?), 0));
    };
    let mut whole = Vec::new();
    for number in 1..=first.chunks {
        let Some(chunk) = present.get(chunk_key(id, number).as_str()) else {
            return Some(ReadJob::Incomplete);
        };
        whole.extend_from_slice(chunk);
    }
    let spec = Box::new(rows::decode(key, &whole)?);
    Some(ReadJob::Whole(spec, first.chunks))
}
