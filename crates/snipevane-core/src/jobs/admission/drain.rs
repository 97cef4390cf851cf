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
        let present = millicores_to_cores(self.cpu_millis);
        let all_cores = present + millicores_to_cores(self.incoming_cpu_millis);
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

    /// Returns the time, in milliseconds, for which all processors, with the incoming ones, are busy with the
    /// work of teams, of which each uses at most its quota; 0 if the quotas leave processors free from the start.
    ///
    /// `teams` has the work of each in milliseconds of a core, and its quota in thousandths of a core.
    pub(super) fn busy_ms(&self, teams: &[(u64, Option<u64>)]) -> f64 {
        let all_cores = millicores_to_cores(self.cpu_millis + self.incoming_cpu_millis);
        if all_cores <= 0.0 {
            return 0.0;
        }
        let total: f64 = teams.iter().map(|&(work, _)| work as f64).sum();
        let mut busy_ms = total / all_cores;
        // Teams that aren't done by then use their quota all the time, and the others have the rest. Each round
        // shortens the time and so adds teams that aren't done.
        for _ in teams {
            let (mut finished, mut capped_cores) = (0.0, 0.0);
            for &(work, quota) in teams {
                let cores = quota.map_or(f64::INFINITY, millicores_to_cores);
                if work as f64 <= cores * busy_ms {
                    finished += work as f64;
                } else {
                    capped_cores += cores;
                }
            }
            if capped_cores >= all_cores {
                break;
            }
            busy_ms = finished / (all_cores - capped_cores);
        }
        busy_ms
    }

    /// Returns the work that the present processors do in this time, in milliseconds of a core.
    pub(in crate::jobs) fn work_in(&self, time: Duration) -> u64 {
        (millicores_to_cores(self.cpu_millis) * time.as_secs_f64() * MILLIS_PER_UNIT) as u64
    }
}

pub(super) fn millicores_to_cores(cpu_millis: u64) -> f64 {
    cpu_millis as f64 / MILLIS_PER_UNIT
}
