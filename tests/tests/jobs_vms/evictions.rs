//! Evictions of long-running tasks by maintenance waves.

use std::time::Duration;

use snipevane_core::jobs::{MaintenanceWave, RunEnd, StepSpec};
use snipevane_tests::jobs::{job, long_running_step};

use crate::vm_site::VmSite;

/// Guards against tasks that are evicted again and again, as they start on VMs that the same wave takes down
/// later: each eviction interrupts the task's users, and the wave ends late.
///
/// Half of the VMs are due for maintenance, and the others have room for all tasks.
#[test]
fn a_wave_evicts_each_long_running_task_once_at_most() {
    let mut site = VmSite::new(16, 0);
    let steps = (0..4).map(|_| StepSpec {
        max_per_minion: Some(1),
        ..long_running_step(6)
    });
    for (number, step) in steps.enumerate() {
        site.jobs.submit(number as u64 + 1, job("p0", vec![step]));
    }
    site.run(Duration::from_secs(3));
    let wave = MaintenanceWave {
        number: 1,
        vms: site
            .vms
            .iter()
            .step_by(2)
            .map(|vm| vm.name.clone())
            .collect(),
        time_limit_ms: 20_000,
        max_unavailable: 4,
    };
    site.add_wave(&wave, None);
    site.run(Duration::from_secs(60));
    assert!(!site.maintenance.has_active_wave(), "the wave ends");
    let evicted = site.jobs.records.iter();
    let mut evicted: Vec<_> = evicted
        .filter(|run| run.end == Some(RunEnd::Stopped))
        .map(|run| run.task)
        .collect();
    let evictions = evicted.len();
    evicted.sort();
    evicted.dedup();
    assert!(evictions > 0, "no VM of the wave had a task");
    assert_eq!(evictions, evicted.len(), "evictions and evicted tasks");
}
