//! Tests of the scheduler with minions that don't enforce their capacity, and whose room shrinks and
//! grows again: no start brings one over its room. `JobSite` checks each start.

#![allow(clippy::expect_used, reason = "a failed step of a test ends it")]

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use smol_str::SmolStr;
use snipevane_core::jobs::{JobState, Site, StepSpec};
use snipevane_core::placement::Resources;
use snipevane_tests::jobs::{
    FakeMinion, Faults, JobSite, entry, job, long_running_step, site_spec, step,
};

const START: Duration = Duration::from_secs(10);

fn job_site(minions: usize, seed: u64) -> JobSite {
    let mut spec = site_spec(1, 0);
    spec.pools[0].enforces_capacity = false;
    let entries = (0..minions).map(|number| entry(number, "p0"));
    let minions = entries.map(|entry| FakeMinion::without_limit(entry, START));
    let mut built = JobSite::new(Site::new(spec), minions.collect(), seed);
    built.run(Duration::from_millis(100));
    built
}

fn cores(count: u64) -> Resources {
    Resources {
        cpu_millis: count * 1_000,
        memory_mib: 32_768,
        accelerators: 0,
    }
}

fn best_effort_step(tasks: u32) -> StepSpec {
    StepSpec {
        best_effort: true,
        ..step(tasks, 1_000, 900, &[])
    }
}

#[test]
fn a_minion_that_is_over_its_room_gets_no_task_that_needs_none_of_the_missing_kind() {
    let mut built = job_site(1, 1);
    let id = entry(0, "p0").id;
    built.submit(1, job("p0", vec![step(12, 1_000, 20_000, &[])]));
    built.run(Duration::from_millis(300));
    built.set_room(&id, cores(8));
    built.run(Duration::from_secs(6));
    built.submit(2, job("p0", vec![best_effort_step(2)]));
    built.run(Duration::from_secs(4));
    assert_eq!(built.records.len(), 12);
}

/// An order that waits, or is sent again, must still fit when it is sent.
#[test]
fn an_order_that_gets_no_reply_is_not_sent_again_once_the_room_has_shrunk() {
    for seed in 0..20 {
        let mut built = job_site(1, seed);
        let id = entry(0, "p0").id;
        built.faults.lost_request_rate = 1.0;
        built.submit(1, job("p0", vec![step(14, 1_000, 20_000, &[])]));
        built.set_room(&id, cores(4));
        built.run(Duration::from_millis(1_600));
        built.faults = Faults::default();
        built.run(Duration::from_secs(30));
        assert!(built.minions[&id].used().fits_in(&cores(4)), "seed {seed}");
    }
}

/// Runs of a job that the new term doesn't know take up room until they have ended.
#[test]
fn a_new_term_counts_the_runs_of_jobs_that_have_ended() {
    let mut built = job_site(1, 1);
    let id = built.submit(1, job("p0", vec![long_running_step(1)]));
    let big = built.submit(2, job("p0", vec![step(1, 14_000, 60_000, &[])]));
    built.run(Duration::from_secs(1));
    built.cancel(big);
    built.tick();
    built.take_over();
    built.submit(3, job("p0", vec![step(1, 14_000, 1_000, &[])]));
    built.run(Duration::from_secs(4));
    assert_eq!(built.state(big), JobState::Cancelled);
    assert_eq!(built.live_runs(id), 1);
    assert_eq!(built.records.len(), 3);
}

/// A minion that begins anew may be of a smaller kind.
#[test]
fn a_minion_that_has_restarted_gets_no_task_until_its_new_entry_is_known() {
    let mut built = job_site(1, 1);
    let id = entry(0, "p0").id;
    let minion = built.minions.get_mut(&id).expect("the minion");
    minion.show_kind();
    built.list_minions();
    built.submit(1, job("p0", vec![step(12, 1_000, 3_000, &[])]));
    built.run(Duration::from_millis(300));
    let now = built.now;
    let minion = built.minions.get_mut(&id).expect("the minion");
    minion.crash(&mut built.records, now);
    built.run(Duration::from_millis(600));
    let now = built.now;
    let minion = built.minions.get_mut(&id).expect("the minion");
    minion.restart(now);
    minion.set_kind(cores(4), now);
    built.run(Duration::from_millis(1_400));
    let minion = built.minions.get_mut(&id).expect("the minion");
    minion.show_kind();
    built.list_minions();
    built.run(Duration::from_secs(30));
    assert_eq!(
        built.state(snipevane_core::jobs::JobId::new(1)),
        JobState::Completed
    );
}

/// A minion whose room has shrunk can't tell while the list of minions doesn't arrive.
#[test]
fn nothing_is_placed_by_a_list_of_minions_that_is_too_old() {
    let mut built = job_site(1, 1);
    let id = entry(0, "p0").id;
    built.minion_feed_available = false;
    built.set_room(&id, cores(2));
    built.run(Duration::from_secs(6));
    let waiting = built.submit(1, job("p0", vec![step(4, 1_000, 500, &[])]));
    built.run(Duration::from_secs(5));
    assert_eq!(built.records.len(), 0);
    built.minion_feed_available = true;
    built.list_minions();
    built.run(Duration::from_secs(5));
    assert_eq!(built.state(waiting), JobState::Completed);
}

#[test]
fn no_start_brings_a_minion_over_its_room_under_random_faults() {
    for seed in 0..60 {
        let mut random = StdRng::seed_from_u64(seed);
        let mut built = job_site(5, seed);
        built.faults = Faults {
            lost_reply_rate: 0.1,
            lost_request_rate: 0.1,
            delay_rate: 0.05,
            hold_delay_rate: 0.05,
            ..Faults::default()
        };
        built.lists_vms = seed % 2 == 0;
        for round in 0..60 {
            let steps = vec![step(6, 1_500, 700, &[]), best_effort_step(2)];
            let id = built.submit(round + 1, job("p0", steps));
            let ids: Vec<SmolStr> = built.minions.keys().cloned().collect();
            let minion = ids[random.random_range(0..ids.len())].clone();
            match random.random_range(0..12) {
                0..4 => built.set_room(&minion, cores(random.random_range(1..17))),
                4 => built.crash_minion(&minion),
                5 | 6 => built.cancel(id),
                7 => built.take_over(),
                _ => {}
            }
            built.run(Duration::from_millis(random.random_range(100..800)));
        }
    }
}
