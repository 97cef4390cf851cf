//! Budgets of lines a second, by kind of event.

use std::collections::BTreeMap;

use crate::events;

const MILLIS_PER_SECOND: u64 = 1_000;

/// Lines a second of an ordinary kind.
const DEFAULT_LIMIT: u64 = 40;

/// Lines a second of kinds with a line a job or step, without which a job's life can't be told.
const JOB_EVENT_LIMIT: u64 = 150;

/// Lines a second of kinds that tell of a request or job that wasn't served as asked: they are what
/// a complaint is looked up by.
const FAILURE_EVENT_LIMIT: u64 = 400;

const JOB_EVENTS: [u16; 4] = [
    events::JOB_ACCEPTED.number,
    events::CANCELLATION_STORED.number,
    events::JOB_ENQUEUED.number,
    events::TASKS_PLACED.number,
];

const FAILURE_EVENTS: [u16; 5] = [
    events::REQUEST_REFUSED.number,
    events::RUN_FAILED.number,
    events::RUN_LOST.number,
    events::JOB_ENDED.number,
    events::ROW_UNREADABLE.number,
];

/// Whether a line may be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It may, after a line that counts those of the kind that were left out.
    Admitted {
        /// Number of lines left out since the last one of the kind.
        dropped: u64,
    },
    /// It is left out.
    Dropped,
}

#[derive(Clone, Copy, Debug, Default)]
struct Window {
    second: u64,
    admitted: u64,
    dropped: u64,
}

/// Counts lines by kind and second.
#[derive(Clone, Debug, Default)]
pub struct RateLimiter {
    windows: BTreeMap<u64, Window>,
}

impl RateLimiter {
    /// Decides on a line of a kind at a time, in Unix milliseconds.
    pub fn admit(&mut self, number: u64, unix_ms: u64) -> Admission {
        let window = self.windows.entry(number).or_default();
        let second = unix_ms / MILLIS_PER_SECOND;
        if window.second != second {
            window.second = second;
            window.admitted = 0;
        }
        if window.admitted >= limit(number) {
            window.dropped += 1;
            return Admission::Dropped;
        }
        window.admitted += 1;
        Admission::Admitted {
            dropped: std::mem::take(&mut window.dropped),
        }
    }
}

fn limit(number: u64) -> u64 {
    let is_any = |numbers: &[u16]| numbers.iter().any(|listed| u64::from(*listed) == number);
    if is_any(&FAILURE_EVENTS) {
        FAILURE_EVENT_LIMIT
    } else if is_any(&JOB_EVENTS) {
        JOB_EVENT_LIMIT
    } else {
        DEFAULT_LIMIT
    }
}
