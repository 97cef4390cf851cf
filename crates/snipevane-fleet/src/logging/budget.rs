//! Budgets of lines a second, by kind of event.

use std::collections::BTreeMap;

use crate::events;

const MILLIS_PER_SECOND: u64 = 1_000;

/// Lines a second of an ordinary kind.
const USUAL: u64 = 40;

/// Lines a second of kinds with a line a job or step, without which a job's life can't be told.
const OF_JOBS: u64 = 150;

/// Lines a second of kinds that tell of a request or job that wasn't served as asked: they are what
/// a complaint is looked up by.
const OF_FAILURES: u64 = 400;

const JOBS: [u16; 4] = [
    events::ACCEPTED.number,
    events::CANCELLED.number,
    events::JOB_TAKEN.number,
    events::PLACED.number,
];

const FAILURES: [u16; 5] = [
    events::REFUSED.number,
    events::RUN_FAILED.number,
    events::RUN_LOST.number,
    events::JOB_ENDED.number,
    events::ROW_UNREADABLE.number,
];

/// Whether a line may be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It may, after a line that counts those of the kind that were left out.
    Written {
        /// Number of lines left out since the last one of the kind.
        dropped: u64,
    },
    /// It is left out.
    Dropped,
}

#[derive(Clone, Copy, Debug, Default)]
struct Window {
    second: u64,
    written: u64,
    dropped: u64,
}

/// Counts lines by kind and second.
#[derive(Clone, Debug, Default)]
pub struct Budget {
    kinds: BTreeMap<u64, Window>,
}

impl Budget {
    /// Decides on a line of a kind at a time, in Unix milliseconds.
    pub fn admit(&mut self, number: u64, unix_ms: u64) -> Admission {
        let window = self.kinds.entry(number).or_default();
        let second = unix_ms / MILLIS_PER_SECOND;
        if window.second != second {
            window.second = second;
            window.written = 0;
        }
        if window.written >= budget(number) {
            window.dropped += 1;
            return Admission::Dropped;
        }
        window.written += 1;
        Admission::Written {
            dropped: std::mem::take(&mut window.dropped),
        }
    }
}

fn budget(number: u64) -> u64 {
    let is_any = |kinds: &[u16]| kinds.iter().any(|kind| u64::from(*kind) == number);
    if is_any(&FAILURES) {
        OF_FAILURES
    } else if is_any(&JOBS) {
        OF_JOBS
    } else {
        USUAL
    }
}
