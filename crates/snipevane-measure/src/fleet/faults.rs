//! Seeded faults of workers: failures, pauses past the lease, a rack's loss, broken workers.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::setting::Size;

/// Failures of an ordinary day at the target size; a run has as many, at its own size.
const FAILURES_A_DAY: usize = 14;
const FAILURES_AT: usize = 2600;
const LEAST_FAILURES: usize = 3;

const RACK_WORKERS: usize = 4;
const BROKEN_PART: f64 = 0.02;
const PART_RACK_LOST: f64 = 0.5;

/// What happens to a worker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum FaultKind {
    /// It is down; nothing of its tasks is left.
    Down,
    /// It is paused, and reports late what was nearly done.
    Paused,
    /// It fails everything that it starts.
    Broken,
}

/// A fault of a worker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Fault {
    pub(super) worker: usize,
    pub(super) kind: FaultKind,
    pub(super) from_secs: f64,
    pub(super) to_secs: f64,
}

/// Returns the number of unplanned failures in a run of this size.
pub(super) fn failures(vms: usize) -> usize {
    (FAILURES_A_DAY * vms / FAILURES_AT).max(LEAST_FAILURES)
}

/// Returns the faults of a run.
pub(super) fn faults(size: &Size, seed: u64) -> Vec<Fault> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0xfa17);
    let run_secs = size.tasks_for.as_secs_f64();
    let mut faults = Vec::new();
    for _ in 0..failures(size.workers) {
        for (kind, for_secs) in [(FaultKind::Down, 300.0), (FaultKind::Paused, 30.0)] {
            let from_secs = rng.random_range(0.05..0.9) * run_secs;
            faults.push(Fault {
                worker: rng.random_range(0..size.workers),
                kind,
                from_secs,
                to_secs: from_secs + for_secs,
            });
        }
    }
    let rack = rng.random_range(0..size.workers / RACK_WORKERS) * RACK_WORKERS;
    for worker in rack..rack + RACK_WORKERS {
        faults.push(Fault {
            worker,
            kind: FaultKind::Down,
            from_secs: PART_RACK_LOST * run_secs,
            to_secs: (PART_RACK_LOST + 0.1) * run_secs,
        });
    }
    let broken = ((size.workers as f64 * BROKEN_PART) as usize).max(1);
    for _ in 0..broken {
        faults.push(Fault {
            worker: rng.random_range(0..size.workers),
            kind: FaultKind::Broken,
            from_secs: 0.15 * run_secs,
            to_secs: 0.4 * run_secs,
        });
    }
    faults
}
