//! Rate limits for log lines, per event.

use std::collections::BTreeMap;

use crate::events;

const MILLIS_PER_SECOND: u64 = 1_000;

/// Lines per second for each event that has no other limit.
const DEFAULT_LIMIT: u64 = 40;

/// Lines per second for each event that is logged once per job or step. Without these lines, the
/// course of a job can't be reconstructed.
const JOB_EVENT_LIMIT: u64 = 150;

/// Lines per second for each event that reports on a request or job that wasn't served as asked.
/// Complaints are looked up by these lines.
const FAILURE_EVENT_LIMIT: u64 = 400;

const JOB_EVENTS: [u16; 6] = [
    events::JOB_ACCEPTED.number,
    events::CANCELLATION_STORED.number,
    events::TOMBSTONE_STORED.number,
    events::SUBMISSION_CANCELLED.number,
    events::JOB_ENQUEUED.number,
    events::TASKS_PLACED.number,
];

const FAILURE_EVENTS: [u16; 8] = [
    events::REQUEST_REFUSED.number,
    events::JOB_REJECTED.number,
    events::JOB_UNHELD.number,
    events::RUN_FAILED.number,
    events::RUN_LOST.number,
    events::JOB_ENDED.number,
    events::TASK_GIVEN_UP.number,
    events::ROW_UNREADABLE.number,
];

/// The limiter's decision on a line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The line is written, after a line with the number of dropped lines if there are any.
    Admitted {
        /// Number of lines of the event that were dropped since the last one written.
        dropped: u64,
    },
    /// The line is dropped.
    Dropped,
}

/// Counts of one event's lines in the current second.
#[derive(Clone, Copy, Debug, Default)]
struct Window {
    /// Second since the Unix epoch.
    second: u64,
    admitted: u64,
    /// Lines dropped since the last one written, also in earlier seconds.
    dropped: u64,
}

/// Limits the log lines of each event per second of wall-clock time.
#[derive(Clone, Debug, Default)]
pub struct RateLimiter {
    windows: BTreeMap<u64, Window>,
}

impl RateLimiter {
    /// Decides whether a line of the event `number` may be written at the time `unix_ms`, in Unix
    /// milliseconds.
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

/// Returns the lines per second that an event may log.
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
