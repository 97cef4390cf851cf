//! Planned operations on VMs: maintenance waves keep their limit of unavailable VMs, long-running
//! tasks are evicted one by one, and VMs move to the pools with demand.

#![allow(clippy::expect_used, reason = "a failed step of a test ends it")]

mod evictions;
mod moves;
mod vm_site;

use std::time::Duration;

use rstest::rstest;
use smol_str::SmolStr;
use snipevane_core::jobs::{
    JobState, MaintenancePlanner, MaintenanceWave, StepSpec, VmState, WaveProgress,
};
use snipevane_tests::jobs::{job, long_running_step, step};

use crate::vm_site::VmSite;

#[test]
fn a_wave_takes_each_vm_down_once_and_no_more_at_once_than_it_allows() {
    let mut site = VmSite::new(9, 3);
    let wave = MaintenanceWave {
        number: 1,
        vms: site.vms.iter().map(|vm| vm.name.clone()).collect(),
        time_limit_ms: 60_000,
        max_unavailable: 3,
    };
    site.jobs.submit(1, job("p0", vec![long_running_step(5)]));
    site.jobs
        .submit(2, job("p0", vec![step(30, 2_000, 900, &[])]));
    site.run(Duration::from_secs(2));
    site.add_wave(&wave, None);
    site.run(Duration::from_secs(60));
    assert_eq!(site.maintained.len(), 12);
    assert!(site.max_down <= 3);
    assert!(!site.maintenance.has_active_wave());
}

/// Guards against tasks that run twice after a takeover during maintenance.
///
/// If a scheduler fails before it has stored that the maintenance of a VM was done, its successor
/// drains the VM again and repeats the order. The platform confirms the order without any effect,
/// and the successor took the runs on the VM, which continue, for ended.
#[test]
fn an_upkeep_that_is_confirmed_again_ends_no_tasks() {
    let mut site = VmSite::new(6, 0);
    let wave = MaintenanceWave {
        number: 1,
        vms: site.vms.iter().map(|vm| vm.name.clone()).collect(),
        time_limit_ms: 30_000,
        max_unavailable: 3,
    };
    site.add_wave(&wave, None);
    site.run(Duration::from_secs(12));
    assert_eq!(site.maintained.len(), 6);
    let id = site
        .jobs
        .submit(1, job("p0", vec![step(12, 4_000, 15_000, &[])]));
    site.jobs.run(Duration::from_secs(1));
    site.jobs.take_over();
    site.maintenance = MaintenancePlanner::default();
    site.add_wave(&wave, None);
    // `JobSite` checks each start against the active runs.
    site.run(Duration::from_secs(12));
    assert!(
        site.repeated_confirmations >= 3,
        "at least the VMs with tasks are confirmed again"
    );
    site.run(Duration::from_secs(10));
    assert_eq!(site.jobs.records.len(), 12);
    assert_eq!(site.jobs.state(id), JobState::Completed);
}

/// Guards against more VMs down than a wave allows after a takeover.
///
/// A new term must count the VMs whose maintenance an earlier term started as down.
#[test]
fn a_new_term_counts_the_vms_that_are_down_already() {
    let mut site = VmSite::new(9, 0);
    let wave = MaintenanceWave {
        number: 1,
        vms: site.vms.iter().map(|vm| vm.name.clone()).collect(),
        time_limit_ms: 60_000,
        max_unavailable: 3,
    };
    site.add_wave(&wave, None);
    site.plan();
    assert_eq!(site.max_down, 3);
    let progress = site.maintenance.take_changes();
    site.maintenance = MaintenancePlanner::default();
    site.add_wave(&wave, progress.first());
    site.run(Duration::from_secs(30));
    assert_eq!(site.maintained.len(), 9);
    assert_eq!(site.max_down, 3);
}

/// Guards against too few available tasks of a long-running step during maintenance.
///
/// Tasks on unreachable minions, for example after the loss of a rack, must count as unavailable
/// when another task of the step is to be evicted.
#[test]
fn upkeep_moves_no_lasting_task_while_another_of_its_step_is_out_of_reach() {
    let mut site = VmSite::new(6, 0);
    let id = site.jobs.submit(1, job("p0", vec![long_running_step(4)]));
    site.run(Duration::from_secs(2));
    assert_eq!(site.jobs.live_runs(id), 4);
    let lost = site.jobs.records[0].minion.clone();
    let moved = site.jobs.records[1].minion.clone();
    site.jobs.partitioned.insert(lost);
    site.run(Duration::from_secs(3));
    let vms = site
        .vms
        .iter()
        .filter(|vm| vm.minion.as_ref() == Some(&moved));
    let wave = MaintenanceWave {
        number: 1,
        vms: vms.map(|vm| vm.name.clone()).collect(),
        time_limit_ms: 60_000,
        max_unavailable: 1,
    };
    site.add_wave(&wave, None);
    site.run(Duration::from_millis(800));
    assert_eq!(site.maintained.len(), 0);
    let ended = site
        .jobs
        .records
        .iter()
        .filter(|record| record.to.is_some());
    assert_eq!(ended.count(), 0);
    site.run(Duration::from_secs(20));
    assert_eq!(site.maintained.len(), 1);
}

/// Guards against maintenance that ends runs of an earlier term without counting them.
///
/// A minion that hasn't listed its runs to a new term looks idle. Its VM was taken down at once,
/// although another task of the same step was out of reach.
#[test]
fn a_wave_spares_a_vm_whose_minion_has_not_listed_its_runs_to_the_new_term() {
    let mut site = VmSite::new(6, 0);
    let id = site.jobs.submit(1, job("p0", vec![long_running_step(4)]));
    site.run(Duration::from_secs(2));
    assert_eq!(site.jobs.live_runs(id), 4);
    let silent: Vec<SmolStr> = site.jobs.records[..2]
        .iter()
        .map(|record| record.minion.clone())
        .collect();
    site.jobs.partitioned.extend(silent.iter().cloned());
    site.jobs.take_over();
    site.maintenance = MaintenancePlanner::default();
    let vms = site
        .vms
        .iter()
        .filter(|vm| vm.minion.as_ref() == silent.first());
    let wave = MaintenanceWave {
        number: 1,
        vms: vms.map(|vm| vm.name.clone()).collect(),
        time_limit_ms: 60_000,
        max_unavailable: 1,
    };
    site.add_wave(&wave, None);
    site.run(Duration::from_secs(4));
    assert_eq!(site.maintained.len(), 0);
    assert_eq!(site.jobs.live_runs(id), 4);
    site.run(Duration::from_secs(10));
    assert_eq!(site.maintained.len(), 1);
}

/// Guards against takeovers that hold up waiting tasks of a pool for as long as a lease.
///
/// A minion whose VM was taken down right before the takeover never reports to the new term, which
/// waited for it.
#[test]
fn a_vm_taken_down_right_before_a_takeover_holds_up_no_tasks() {
    let mut site = VmSite::new(3, 0);
    let steps = vec![step(4, 1_000, 500, &[]), step(6, 2_000, 300, &[0])];
    let id = site.jobs.submit(1, job("p0", steps));
    site.jobs.run(Duration::from_millis(100));
    let used = site.jobs.records[0].minion.clone();
    let idle = site
        .vms
        .iter()
        .filter(|vm| vm.minion.as_ref() != Some(&used));
    let wave = MaintenanceWave {
        number: 1,
        vms: idle.map(|vm| vm.name.clone()).take(1).collect(),
        time_limit_ms: 60_000,
        max_unavailable: 1,
    };
    site.add_wave(&wave, None);
    site.plan();
    assert_eq!(site.maintained.len(), 1);
    site.jobs.take_over();
    site.run(Duration::from_secs(2));
    assert_eq!(site.jobs.state(id), JobState::Completed);
}

/// Guards against tasks that run twice after a takeover.
///
/// A VM in an unknown state without a minion may still host one, whose runs continue.
#[test]
fn a_vm_whose_state_is_unknown_keeps_its_tasks_after_a_takeover() {
    let mut site = VmSite::new(3, 0);
    let id = site
        .jobs
        .submit(1, job("p0", vec![step(1, 1_000, 20_000, &[])]));
    site.jobs.run(Duration::from_millis(100));
    let silent = site.jobs.records[0].minion.clone();
    site.jobs.partitioned.insert(silent.clone());
    for vm in &mut site.vms {
        if vm.minion.as_ref() == Some(&silent) {
            vm.state = VmState::Unknown;
            vm.minion = None;
        }
    }
    site.jobs.take_over();
    // `JobSite` checks each start against the active runs.
    site.run(Duration::from_secs(9));
    assert_eq!(
        site.jobs.records.len(),
        2,
        "it starts once its lease is over"
    );
    assert_eq!(site.jobs.live_runs(id), 1);
}

/// Guards against pools that wait for a lease after a takeover, as one of their minions has crashed.
#[test]
fn a_new_term_waits_for_no_minion_whose_vm_is_down() {
    let mut site = VmSite::new(3, 0);
    let id = site
        .jobs
        .submit(1, job("p0", vec![step(6, 4_000, 1_000, &[])]));
    site.jobs.run(Duration::from_millis(100));
    let crashed = site.jobs.records[0].minion.clone();
    let now = site.jobs.now;
    let minion = site.jobs.minions.get_mut(&crashed).expect("the minion");
    minion.crash(&mut site.jobs.records, now);
    for vm in &mut site.vms {
        if vm.minion.as_ref() == Some(&crashed) {
            vm.state = VmState::Down;
            vm.minion = None;
        }
    }
    site.jobs.take_over();
    site.run(Duration::from_secs(3));
    assert_eq!(site.jobs.state(id), JobState::Completed);
}

/// Guards against long-running tasks that are evicted and started again on the draining VM.
#[test]
fn a_draining_vm_gets_no_tasks() {
    let mut site = VmSite::new(4, 0);
    site.jobs.submit(1, job("p0", vec![long_running_step(3)]));
    site.run(Duration::from_secs(2));
    let draining = site.jobs.records[0].minion.clone();
    let vms = site
        .vms
        .iter()
        .filter(|vm| vm.minion.as_ref() == Some(&draining));
    let wave = MaintenanceWave {
        number: 1,
        vms: vms.map(|vm| vm.name.clone()).collect(),
        time_limit_ms: 60_000,
        max_unavailable: 1,
    };
    site.add_wave(&wave, None);
    site.run(Duration::from_secs(6));
    assert_eq!(site.maintained.len(), 1);
    let starts = site
        .jobs
        .records
        .iter()
        .filter(|record| record.minion == draining);
    assert_eq!(starts.count(), 1);
}

/// Guards against waves that exceed their time limit after takeovers.
///
/// The time limit must run from when the first term saw the wave, so that a later term drains more
/// VMs at a time when little time is left. When each term took the wave for new, two of 27 VMs were
/// late.
#[rstest]
#[case::in_the_first_term(None, 3)]
#[case::with_little_time_left(Some(20_000), 6)]
fn a_new_term_keeps_the_time_of_a_wave(#[case] seen_ms_ago: Option<u64>, #[case] draining: usize) {
    let mut site = VmSite::new(12, 0);
    site.jobs.submit(1, job("p0", vec![long_running_step(12)]));
    site.jobs.run(Duration::from_secs(2));
    let wave = MaintenanceWave {
        number: 1,
        vms: site.vms.iter().map(|vm| vm.name.clone()).collect(),
        time_limit_ms: 26_000,
        max_unavailable: 6,
    };
    let progress = seen_ms_ago.map(|ago| WaveProgress {
        number: 1,
        settled: Vec::new(),
        completed: false,
        seen_unix_ms: site.jobs.unix_ms() - ago,
    });
    site.add_wave(&wave, progress.as_ref());
    site.plan();
    let begun = site
        .vms
        .iter()
        .filter(|vm| site.maintenance.is_in_progress(&vm.name));
    assert_eq!(begun.count(), draining);
}

/// Guards against a long-running task that is evicted while every other place for it is on a VM that is cordoned
/// for the same wave, and then waits although minions look free.
///
/// Two tasks a minion at most, three quarters of the places taken, and half of the pool drains at once.
#[test]
fn a_long_running_task_is_evicted_only_once_another_minion_has_room() {
    let mut site = VmSite::new(8, 0);
    let id = site.jobs.submit(
        1,
        job(
            "p0",
            vec![StepSpec {
                max_per_minion: Some(2),
                max_unavailable: Some(12),
                ..long_running_step(12)
            }],
        ),
    );
    site.run(Duration::from_secs(2));
    let wave = MaintenanceWave {
        number: 1,
        vms: site.vms.iter().take(4).map(|vm| vm.name.clone()).collect(),
        time_limit_ms: 1_000,
        max_unavailable: 4,
    };
    site.add_wave(&wave, None);
    // A stop takes 0.3 s, so an evicted task that finds room at once runs again well within this time.
    let restart_time = Duration::from_millis(1_000);
    let mut longest = Duration::ZERO;
    let mut waiting_since = None;
    for _ in 0..300 {
        site.run(Duration::from_millis(100));
        if site.jobs.scheduler.runs().count() >= 12 {
            waiting_since = None;
        } else {
            let since = *waiting_since.get_or_insert(site.jobs.now);
            longest = longest.max(site.jobs.now.saturating_sub(since));
        }
    }
    assert!(!site.maintenance.has_active_wave(), "the wave ends");
    assert_eq!(site.jobs.state(id), JobState::Running);
    assert!(longest < restart_time, "a task waited {longest:?}");
}

/// The list of VMs is read less often while nothing depends on it. Guards against moves, maintenance and
/// losses of minions that are seen late.
#[test]
fn work_on_vms_and_silent_minions_need_the_list_of_vms_often() {
    let mut site = VmSite::new(6, 3);
    // VMs of the idle pool move to the standby pool first.
    site.run(Duration::from_secs(15));
    assert!(site.moves.is_idle() && site.pending_shutdowns.is_empty());
    assert!(!site.jobs.scheduler.awaits_vm_list());
    let wave = MaintenanceWave {
        number: 1,
        vms: vec![site.vms[0].name.clone()],
        time_limit_ms: 30_000,
        max_unavailable: 1,
    };
    site.add_wave(&wave, None);
    assert!(site.maintenance.has_active_wave());
    site.run(Duration::from_secs(12));
    assert!(!site.maintenance.has_active_wave(), "the wave is done");
    site.jobs
        .submit(1, job("p0", vec![step(200, 2_000, 3_000, &[])]));
    site.jobs.run(Duration::from_millis(100));
    site.plan();
    assert!(!site.moves.is_idle(), "VMs move to the pool");
    let busy = site.jobs.records.last().expect("a run").minion.clone();
    site.jobs.partitioned.insert(busy);
    site.jobs.run(Duration::from_secs(3));
    assert!(site.jobs.scheduler.awaits_vm_list());
}
