//! Rows of the progress of jobs.
//!
//! Most jobs have one row, of the form that earlier versions wrote, so that these can read it too. If that form is too
//! large for a row, equal entries are stored once with ranges. What is still too large is spread over several rows:
//! the first one has the job's key, its state and the number of the others, which have numbered keys and contain
//! parts of the lists.

use rustc_hash::FxHashMap;
use serde::Serialize;
use smol_str::{SmolStr, format_smolstr};
use snipevane_adapter::rows::{Row, Transaction};
use snipevane_core::jobs::{JobId, Progress};
use thiserror::Error;

use crate::rows::{self, PROGRESS_TABLE};

/// Largest number of rows of one job, which together fit in a transaction.
const MAX_ROWS: usize = 8;

/// Part of a row that is filled, so that its value also fits when it is encoded in Base64.
const FILL_NUMERATOR: usize = 2;
const FILL_DENOMINATOR: usize = 3;

/// Smallest size of an entry, in bytes.
const MIN_ENTRY_BYTES: usize = 40;

/// Size of the encoded state and names of the lists in a row, in bytes, at most.
const ROW_OVERHEAD_BYTES: usize = 160;

/// Error for progress that doesn't fit in the rows that a job may have.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the progress needs {needed_rows} rows")]
pub struct TooLarge {
    /// Number of rows that the progress needs.
    pub needed_rows: usize,
}

/// Returns the entries that store the progress of a job that hasn't ended, and the number of rows beside the first
/// one. Parts of earlier progress may be stored in `stored_parts` further rows; `max_row_bytes` is the largest value
/// that a row may have.
///
/// # Errors
///
/// Returns an error if the progress needs too many rows.
pub fn encode(
    id: JobId,
    progress: &Progress,
    stored_parts: u32,
    max_row_bytes: usize,
) -> Result<(Transaction, u32), TooLarge> {
    let max_bytes = max_row_bytes * FILL_NUMERATOR / FILL_DENOMINATOR;
    if let Some(value) = encode_without_ranges(progress, stored_parts, max_bytes) {
        let transaction = Transaction {
            writes: vec![(PROGRESS_TABLE.into(), rows::job_key(id), value)],
            ..Transaction::default()
        };
        return Ok((transaction, 0));
    }
    let parts = split_to_fit(progress, stored_parts, max_bytes)?;
    let further = parts.len() as u32 - 1;
    let writes = (0..).zip(&parts).map(|(number, part)| {
        let key = row_key(id, number);
        (PROGRESS_TABLE.into(), key, rows::encode(part))
    });
    let transaction = Transaction {
        writes: writes.collect(),
        ..Transaction::default()
    };
    Ok((transaction, further))
}

/// Splits progress into as many parts as a job may have rows.
///
/// The form of earlier versions, which name the finished occurrences with each step, is used if it has room. If even the
/// other form has none, the failures that matter least are left out: the next term doesn't know of them.
fn split_to_fit(
    progress: &Progress,
    stored_parts: u32,
    max_bytes: usize,
) -> Result<Vec<Progress>, TooLarge> {
    let by_step = split(&progress.with_finished_steps(), stored_parts, max_bytes);
    if by_step.len() <= MAX_ROWS {
        return Ok(by_step);
    }
    let mut parts = split(progress, stored_parts, max_bytes);
    let mut reduced = progress.clone();
    let mut max_failures = progress.failed.len() + progress.crashed.len();
    while parts.len() > MAX_ROWS && max_failures > 0 {
        max_failures /= 2;
        reduced.keep_most_failures(max_failures);
        parts = split(&reduced, stored_parts, max_bytes);
    }
    if parts.len() > MAX_ROWS {
        return Err(TooLarge {
            needed_rows: parts.len(),
        });
    }
    Ok(parts)
}

/// Returns the value of the only row, in the form of earlier versions; `None` if that is too large, or other rows may
/// have been written.
fn encode_without_ranges(
    progress: &Progress,
    stored_parts: u32,
    max_bytes: usize,
) -> Option<Vec<u8>> {
    if stored_parts > 0 {
        return None;
    }
    let expanded = progress.without_ranges(max_bytes / MIN_ENTRY_BYTES)?;
    let value = rows::encode(&expanded);
    (value.len() <= max_bytes).then_some(value)
}

/// Returns the entries that store the end of a job: its state alone stays, and further rows of its progress are
/// removed.
pub fn encode_end(id: JobId, progress: &Progress, stored_parts: u32) -> Transaction {
    let further = 1..=stored_parts;
    let removals = further.map(|number| (PROGRESS_TABLE.into(), row_key(id, number)));
    Transaction {
        writes: vec![(
            PROGRESS_TABLE.into(),
            rows::job_key(id),
            rows::encode(progress),
        )],
        removals: removals.collect(),
        ..Transaction::default()
    }
}

/// Splits progress into parts of up to `max_bytes`, with at least `min_further` parts beside the first one, so
/// that no part of an earlier write is left over.
fn split(progress: &Progress, min_further: u32, max_bytes: usize) -> Vec<Progress> {
    let mut splitter = Splitter::new(progress, max_bytes);
    for entry in &progress.done {
        splitter.room_for(entry).done.push(entry.clone());
    }
    for entry in &progress.finished {
        splitter.room_for(entry).finished.push(*entry);
    }
    for entry in &progress.failed {
        splitter.room_for(entry).failed.push(entry.clone());
    }
    for entry in &progress.crashed {
        splitter.room_for(entry).crashed.push(entry.clone());
    }
    let mut parts = splitter.parts;
    let min_parts = min_further as usize + 1;
    if parts.len() < min_parts {
        parts.resize(min_parts, empty_part(progress));
    }
    parts[0].parts = parts.len() as u32 - 1;
    parts
}

/// Returns a part without entries.
fn empty_part(progress: &Progress) -> Progress {
    Progress {
        state: progress.state,
        ended_unix_ms: progress.ended_unix_ms,
        ..Progress::default()
    }
}

/// Parts of progress, of which the last one is being filled.
struct Splitter<'a> {
    progress: &'a Progress,
    parts: Vec<Progress>,
    max_bytes: usize,
    /// Size of the last part, in bytes.
    used_bytes: usize,
}

impl<'a> Splitter<'a> {
    fn new(progress: &'a Progress, max_bytes: usize) -> Self {
        Self {
            progress,
            parts: vec![empty_part(progress)],
            max_bytes,
            used_bytes: ROW_OVERHEAD_BYTES,
        }
    }

    /// Returns the part that has room for a further entry.
    fn room_for<T: Serialize>(&mut self, entry: &T) -> &mut Progress {
        // A comma follows each entry but the last.
        let bytes = rows::encode(entry).len() + 1;
        if self.used_bytes + bytes > self.max_bytes {
            self.parts.push(empty_part(self.progress));
            self.used_bytes = ROW_OVERHEAD_BYTES;
        }
        self.used_bytes += bytes;
        let last = self.parts.len() - 1;
        &mut self.parts[last]
    }
}

/// Returns the key of a row of a job's progress; the first row has number 0.
fn row_key(id: JobId, number: u32) -> SmolStr {
    match number {
        0 => rows::job_key(id),
        number => format_smolstr!("{id}.{number}"),
    }
}

/// Parses the key of a row of a job's progress.
fn parse_key(key: &str) -> Option<(JobId, u32)> {
    match key.split_once('.') {
        None => Some((key.parse().ok()?, 0)),
        Some((id, number)) => Some((id.parse().ok()?, number.parse().ok()?)),
    }
}

/// Decodes the progress of all jobs in the rows of the table. Rows that can't be decoded are left out.
pub fn decode_all(rows: &[Row]) -> FxHashMap<JobId, Progress> {
    let decoded = rows.iter().filter_map(|row| {
        let (id, number) = parse_key(&row.key)?;
        let part: Progress = rows::decode(&row.key, row.value.as_ref()?)?;
        Some((id, number, part))
    });
    let (first, further): (Vec<_>, Vec<_>) = decoded.partition(|(_, number, _)| *number == 0);
    let first = first.into_iter().map(|(id, _, progress)| (id, progress));
    let mut all: FxHashMap<JobId, Progress> = first.collect();
    for (id, number, part) in further {
        if let Some(progress) = all.get_mut(&id)
            && number <= progress.parts
        {
            progress.merge(part);
        }
    }
    all
}
