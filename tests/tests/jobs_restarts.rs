//! Tests of the scheduler with minions that restart under their identifiers while orders to them are on their way: an
//! order that began no run isn't a crash under its task.

#![allow(clippy::expect_used, reason = "a failed step of a test ends it")]

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;
use smol_str::{SmolStr, format_smolstr};
use snipevane_core::jobs::{
    CrashEvidence, CrashedRuns, JobId, JobState, StepSpec, TaskId, Verdict,
};
use snipevane_tests::jobs::{FakeMinion, JobSite, entry, job, site, step};

const START: Duration = Duration::from_secs(10);

/// Number of minions.
const MINIONS: usize = 8;

/// Number of tasks of a step.
const TASKS: u32 = 2;

/// Number of seeds of a case.
const SEEDS: u64 = 60;

/// Number of seeds of a case in which a minion leaves.
const LEAVING_SEEDS: u64 = 20;

/// Time in which a job has ended after its minions are back.
const END_TIME: Duration = Duration::from_secs(20);

/// Longest time for which a minion that restarts is down, in milliseconds.
const MAX_DOWNTIME_MS: u64 = 600;

/// Time in which an order is on its way and in which minions crash around it, in milliseconds.
const ORDER_TRAVEL_MS: u64 = 80;

fn job_site(seed: u64) -> JobSite {
    let minions = (0..MINIONS).map(|number| FakeMinion::new(entry(number, "p0"), START));
    let mut built = JobSite::new(site(1, 0), minions.collect(), seed);
    built.lists_vms = true;
    built.max_order_travel = Duration::from_millis(ORDER_TRAVEL_MS);
    built.run(Duration::from_millis(200));
    built
}

fn apart() -> StepSpec {
    StepSpec {
        max_per_minion: Some(1),
        ..step(TASKS, 1_000, 4_000, &[])
    }
}

fn gang() -> StepSpec {
    StepSpec {
        gang: true,
        ..apart()
    }
}

fn speculative() -> StepSpec {
    StepSpec {
        speculative: true,
        ..apart()
    }
}

/// Returns the minions that run nothing.
fn idle_minions(built: &JobSite) -> Vec<SmolStr> {
    let up = built.minions.values().filter(|minion| minion.up);
    let idle = up.filter(|minion| {
        let mut runs = built.records.iter();
        !runs.any(|run| run.to.is_none() && run.minion == minion.entry.id)
    });
    idle.map(|minion| minion.entry.id.clone()).collect()
}

/// Loses the minion of a job's last task for good, waits until the task is placed again, and restarts most of the
/// minions that run nothing about then.
fn lose_one_and_restart_others(built: &mut JobSite, random: &mut StdRng, moves: bool) {
    let lost = built.records.last().expect("the task runs").minion.clone();
    built.lose_minion(&lost);
    let (sent, end) = (built.starts_sent, built.now + Duration::from_secs(2));
    while built.starts_sent == sent && built.now < end {
        built.tick();
    }
    built.run(Duration::from_millis(
        random.random_range(0..ORDER_TRAVEL_MS),
    ));
    for id in idle_minions(built) {
        if random.random_bool(0.8) {
            let downtime = Duration::from_millis(random.random_range(20..MAX_DOWNTIME_MS));
            let address = format_smolstr!("10.1.{}", built.minions[&id].entry.address);
            let address = (moves && random.random_bool(0.5)).then_some(address);
            built.restart_minion_after(&id, downtime, address);
        }
    }
}

/// Returns what is wrong with the end of a job, from the runs that minions began.
fn finding(built: &JobSite, id: JobId, tasks: &[TaskId]) -> Option<String> {
    let crashes = built.most_crashes_under(tasks);
    match built.state(id) {
        JobState::Completed => None,
        JobState::Failed if crashes >= 2 => None,
        state => Some(format!("{state:?} after {crashes} crashes under one task")),
    }
}

/// Guards against a job that fails after one crash, as an order that began no run counts as another.
#[rstest]
fn a_job_fails_only_if_two_minions_crashed_under_runs_of_one_task_that_began(
    #[values(apart(), gang(), speculative())] step: StepSpec,
    #[values(false, true)] moves: bool,
    #[values(false, true)] with_takeover: bool,
) {
    let findings = (0..SEEDS).filter_map(|seed| {
        let mut built = job_site(seed);
        let mut random = StdRng::seed_from_u64(seed);
        let id = built.submit(1, job("p0", vec![step.clone()]));
        let tasks: Vec<TaskId> = (0..TASKS).map(|index| built.task_id(1, 0, index)).collect();
        built.run(Duration::from_millis(random.random_range(500..2_500)));
        lose_one_and_restart_others(&mut built, &mut random, moves);
        if with_takeover {
            built.run(Duration::from_millis(
                random.random_range(0..MAX_DOWNTIME_MS),
            ));
            built.take_over();
        }
        built.run(END_TIME);
        finding(&built, id, &tasks).map(|finding| format!("seed {seed}: {finding}"))
    });
    let findings: Vec<String> = findings.collect();
    assert!(
        findings.is_empty(),
        "{} of {SEEDS} seeds: {findings:#?}",
        findings.len()
    );
}

/// Number of times that a task may be started after three minions have crashed under it.
const MAX_STARTS_AFTER_THIRD_CRASH: usize = 2;

/// Guards against a task that crashes minions and is excused by orders whose fate isn't known.
#[rstest]
fn a_task_that_crashes_minions_is_given_up_while_others_restart_under_their_ids(
    #[values(apart(), speculative())] step: StepSpec,
    #[values(10, 1_500)] crashes_after_ms: u64,
) {
    for seed in 0..10 {
        let mut built = job_site(seed);
        built.crashed_minions_keep_ids = true;
        let mut random = StdRng::seed_from_u64(seed);
        let id = built.submit(1, job("p0", vec![step.clone()]));
        let task = built.task_id(1, 0, 0);
        built.make_crashing(task, Duration::from_millis(crashes_after_ms));
        for _ in 0..40 {
            built.run(Duration::from_millis(random.random_range(100..1_500)));
            for id in idle_minions(&built) {
                if random.random_bool(0.2) {
                    let downtime = Duration::from_millis(random.random_range(20..MAX_DOWNTIME_MS));
                    built.restart_minion_after(&id, downtime, None);
                }
            }
        }
        built.run(END_TIME);
        let starts = built.starts_after_third_crash(task);
        assert!(
            starts <= MAX_STARTS_AFTER_THIRD_CRASH,
            "seed {seed}: {starts}"
        );
        assert!(built.crashes_under(task).len() >= 2, "seed {seed}");
        assert_eq!(built.state(id), JobState::Failed, "seed {seed}");
    }
}

/// Guards against a verdict on a task of which no run is known to have begun.
#[rstest]
#[case::of_a_short_task(false, 0, 1, Verdict::Suspect)]
#[case::often(false, 0, 9, Verdict::Suspect)]
#[case::beside_one_crash(false, 1, 9, Verdict::Suspect)]
#[case::beside_two_crashes(false, 2, 0, Verdict::Cause)]
#[case::of_a_long_running_task(true, 0, 9, Verdict::Sound)]
#[case::beside_four_crashes_of_a_long_running_task(true, 4, 9, Verdict::Suspect)]
fn orders_whose_fate_is_not_known_make_a_task_a_suspect_at_most(
    #[case] long_running: bool,
    #[case] crashes: usize,
    #[case] unconfirmed: usize,
    #[case] expected: Verdict,
) {
    let evidence = CrashEvidence {
        long_running,
        crashes,
        unconfirmed,
        attributed: crashes,
        ..CrashEvidence::default()
    };
    assert_eq!(evidence.verdict(), expected);
}

/// Guards against stored records that the last version, or this one, can't read.
#[test]
fn records_of_crashes_are_read_and_written_as_by_the_last_version() {
    let stored = r#"{"occurrence":0,"step":1,"task":2,"attempts":[1],"attributed":1,"on_trial":{"attempt":2,"minion":"i-1","incarnation":9000}}"#;
    let record: CrashedRuns = serde_json::from_str(stored).expect("a record");
    assert!(record.on_trial.as_ref().is_some_and(|trial| !trial.began));
    assert_eq!(record.unconfirmed, Vec::<u32>::new());
    assert_eq!(serde_json::to_string(&record).expect("JSON"), stored);
}

/// Guards against a minion that leaves as planned during a takeover and counts as one that has crashed.
#[rstest]
fn a_minion_that_leaves_during_a_takeover_has_not_crashed(
    #[values(apart(), gang())] step: StepSpec,
) {
    let failed = (0..LEAVING_SEEDS).filter(|&seed| {
        let mut built = job_site(seed);
        let mut random = StdRng::seed_from_u64(seed);
        let id = built.submit(1, job("p0", vec![step.clone()]));
        built.run(Duration::from_millis(random.random_range(500..1_500)));
        let lost = built.records.last().expect("the task runs").clone();
        built.lose_minion(&lost.minion);
        built.run(Duration::from_millis(random.random_range(1_000..2_000)));
        let mut runs = built.records.iter();
        let run = runs.rfind(|run| run.task == lost.task);
        let leaving = run.expect("the task runs again").minion.clone();
        let minion = built.minions.get_mut(&leaving).expect("a known minion");
        minion.entry.draining = true;
        built.list_minions();
        built.run(Duration::from_millis(random.random_range(200..800)));
        built.lose_minion(&leaving);
        built.take_over();
        built.run(END_TIME);
        built.state(id) != JobState::Completed
    });
    let failed: Vec<u64> = failed.collect();
    assert!(failed.is_empty(), "seeds {failed:?} of {LEAVING_SEEDS}");
}
