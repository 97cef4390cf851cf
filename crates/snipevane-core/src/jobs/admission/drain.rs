//! Time in which a pool works off an amount of work, with processors that it gets later.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Thousandths of a core or of a second in a whole one.
const MILLIS_PER_UNIT: f64 = 1_000.0;

/// Processors of a pool, now and after VMs have moved to it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(in crate::jobs) struct Capacity {
    /// Processors at present, in thousandths of a core.
    #[serde(rename = "now")]
    pub(in crate::jobs) cpu_millis: u64,
    /// Processors that the pool could get in addition, in thousandths of a core.
    #[serde(rename = "more")]
    pub(in crate::jobs) incoming_cpu_millis: u64,
    /// Time until it could have them, in milliseconds.
    #[serde(rename = "in_ms")]
    pub(in crate::jobs) incoming_in_ms: u64,
}

impl Capacity {
    /// Returns the time in which this work, in milliseconds of a core, is worked off at the earliest;
    /// `None` if the pool has no processors and gets none.
    pub(in crate::jobs) fn drain_time(&self, core_ms: u64) -> Option<Duration> {
        let present = cores(self.cpu_millis);
        let all_cores = present + cores(self.incoming_cpu_millis);
        if all_cores <= 0.0 {
            return None;
        }
        // Without present processors, the quotient below would be zero by zero.
        if core_ms == 0 {
            return Some(Duration::ZERO);
        }
        let work = core_ms as f64;
        let until_incoming_ms = self.incoming_in_ms as f64;
        let done_by_then = present * until_incoming_ms;
        let ms = if work <= done_by_then {
            work / present
        } else {
            until_incoming_ms + (work - done_by_then) / all_cores
        };
        Some(Duration::from_secs_f64(ms / MILLIS_PER_UNIT))
    }

    /// Returns the work that the present processors do in this time, in milliseconds of a core.
    pub(in crate::jobs) fn work_in(&self, time: Duration) -> u64 {
        (cores(self.cpu_millis) * time.as_secs_f64() * MILLIS_PER_UNIT) as u64
    }
}

fn cores(cpu_millis: u64) -> f64 {
    cpu_millis as f64 / MILLIS_PER_UNIT
}
