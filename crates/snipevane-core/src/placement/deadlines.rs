//! When deferred work has to start so that it's done in time.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{Resources, Waiting};
use crate::pools::UnixMs;

/// Deadlines within the same span of this length, in milliseconds, are planned together.
const BUCKET_MS: u64 = 60_000;

/// Time that is left between the planned end and the deadline.
const MARGIN: Duration = Duration::from_secs(120);

/// Part of the fleet that deferred work may count on.
const USABLE_PART: f64 = 0.5;

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    tasks: u64,
    /// Work as seconds of the whole fleet.
    fleet_secs: f64,
    longest: Duration,
}

/// The deferred work by deadline, and the time at which it has to start.
///
/// The latest start of a deadline leaves time for all work with that deadline or an earlier one, at
/// the part of the fleet that it may count on, and for the longest of these tasks.
#[derive(Clone, Debug, Default)]
pub(super) struct Deadlines {
    buckets: BTreeMap<u64, Bucket>,
}

impl Deadlines {
    pub(super) fn add(&mut self, waiting: &Waiting, total: &Resources) {
        let Some(deadline) = waiting.deadline else {
            return;
        };
        let bucket = self.buckets.entry(deadline.0 / BUCKET_MS).or_default();
        bucket.tasks += 1;
        bucket.fleet_secs += fleet_secs(waiting, total);
        bucket.longest = bucket.longest.max(waiting.run_time);
    }

    pub(super) fn remove(&mut self, waiting: &Waiting, total: &Resources) {
        let Some(deadline) = waiting.deadline else {
            return;
        };
        let key = deadline.0 / BUCKET_MS;
        let Some(bucket) = self.buckets.get_mut(&key) else {
            return;
        };
        bucket.tasks = bucket.tasks.saturating_sub(1);
        bucket.fleet_secs = (bucket.fleet_secs - fleet_secs(waiting, total)).max(0.0);
        if bucket.tasks == 0 {
            self.buckets.remove(&key);
        }
    }

    /// Returns the deadline up to which deferred work has to start now.
    pub(super) fn due(&self, now: UnixMs) -> Option<UnixMs> {
        let mut due = None;
        let mut fleet_secs = 0.0;
        let mut longest = Duration::ZERO;
        for (key, bucket) in &self.buckets {
            fleet_secs += bucket.fleet_secs;
            longest = longest.max(bucket.longest);
            let work = Duration::try_from_secs_f64(fleet_secs / USABLE_PART);
            let work = work.unwrap_or(Duration::MAX);
            let needed = work.saturating_add(longest).saturating_add(MARGIN);
            if UnixMs(key * BUCKET_MS).before(needed) <= now {
                due = Some(UnixMs((key + 1) * BUCKET_MS - 1));
            }
        }
        due
    }
}

fn fleet_secs(waiting: &Waiting, total: &Resources) -> f64 {
    waiting.size.dominant_part(total) * waiting.run_time.as_secs_f64()
}
