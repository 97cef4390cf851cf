//! Tests of the scheduler with tasks on trial whose minions are silent after a takeover: only a crash counts as one.

#![allow(clippy::expect_used, reason = "a failed step of a test ends it")]

use std::time::Duration;

use rstest::rstest;
use smol_str::SmolStr;
use snipevane_core::jobs::{JobId, JobState, StepSpec};
use snipevane_tests::jobs::{FakeMinion, JobSite, entry, job, long_running_step, site, step};

const START: Duration = Duration::from_secs(10);

/// Number of minions; at first, only one of them is listed.
const MINIONS: usize = 16;

/// Time for which a minion that restarts is down.
const DOWNTIME: Duration = Duration::from_millis(600);

/// Time in which tasks start, one job after another, on a minion that has restarted.
const RESTART_TIME: Duration = Duration::from_secs(6);

/// Time after a takeover in which all leases of the former term end, also those that a restarted minion may have on its
/// earlier clock.
const LEASE_TIME: Duration = Duration::from_secs(24);

/// Time in which a job completes whose tasks start once more.
const END_TIME: Duration = Duration::from_secs(200);

/// Longest time until a minion that has been silent is asked for its runs again.
const MAX_HOLD_PAUSE: Duration = Duration::from_secs(4);

/// Run time of a task, in milliseconds.
const RUN_MS: u64 = 90_000;

fn short(tasks: u32) -> StepSpec {
    step(tasks, 500, RUN_MS, &[])
}

fn gang(tasks: u32) -> StepSpec {
    StepSpec {
        gang: true,
        ..short(tasks)
    }
}

fn speculative(tasks: u32) -> StepSpec {
    StepSpec {
        speculative: true,
        ..short(tasks)
    }
}

/// Jobs whose tasks work on one minion, on trial, as it has crashed once under them.
struct OnTrial {
    built: JobSite,
    jobs: Vec<JobId>,
    minion: SmolStr,
}

impl OnTrial {
    fn new(jobs: u64, step: &StepSpec) -> Self {
        let minions = (0..MINIONS).map(|number| FakeMinion::new(entry(number, "p0"), START));
        let mut built = JobSite::new(site(1, 0), minions.collect(), 1);
        let minion = entry(0, "p0").id;
        let others = (1..MINIONS).map(|number| entry(number, "p0").id);
        built.partitioned.extend(others);
        built.list_minions();
        built.run(Duration::from_millis(100));
        let jobs = (1..=jobs).map(|number| built.submit(number, job("p0", vec![step.clone()])));
        let jobs: Vec<JobId> = jobs.collect();
        built.run(Duration::from_millis(700));
        built.restart_minion_after(&minion, DOWNTIME, None);
        built.run(DOWNTIME + RESTART_TIME);
        Self {
            built,
            jobs,
            minion,
        }
    }

    /// Starts the next term, in which the minion doesn't answer any more and the others do.
    fn take_over_without_minion(&mut self) {
        self.built.partitioned.clear();
        self.built.take_over();
        self.built.partitioned.insert(self.minion.clone());
    }

    /// Ends the silence of the minion.
    fn join(&mut self) {
        self.built.partitioned.clear();
        self.built.list_minions();
    }

    fn states(&self) -> Vec<JobState> {
        let states = self.jobs.iter().map(|&id| self.built.state(id));
        states.collect()
    }

    fn assert_states(&self, expected: JobState) {
        assert_eq!(self.states(), vec![expected; self.jobs.len()]);
    }

    /// Returns the largest number of crashes that are stored for one task.
    fn stored_crashes(&self) -> usize {
        let progress = self.jobs.iter().map(|&id| self.built.stored_progress(id));
        let crashed = progress.flat_map(|progress| &progress.crashed);
        let counts = crashed.map(|crashed| crashed.attempts.len());
        counts.max().unwrap_or(0)
    }
}

/// Guards against jobs that are failed because their leases are over on a minion that works on.
#[rstest]
#[case::of_one_task(1, short(1))]
#[case::of_one_job(1, short(4))]
#[case::of_many_jobs(10, short(2))]
#[case::of_a_gang(1, gang(4))]
#[case::of_a_speculative_step(1, speculative(4))]
fn runs_on_trial_on_a_minion_that_is_cut_off_after_a_takeover_fail_no_job(
    #[case] jobs: u64,
    #[case] step: StepSpec,
    #[values(1, 2, 3)] takeovers: usize,
) {
    let mut tried = OnTrial::new(jobs, &step);
    assert_eq!(tried.stored_crashes(), 1);
    for _ in 0..takeovers {
        tried.take_over_without_minion();
        tried.built.run(LEASE_TIME);
    }
    assert_eq!(tried.stored_crashes(), 1);
    tried.join();
    tried.built.run(END_TIME);
    tried.assert_states(JobState::Completed);
}

/// Guards against a long-running task that counts a crash because its minion is cut off after a takeover.
#[rstest]
fn a_long_running_task_on_a_minion_that_is_cut_off_after_a_takeover_counts_no_crash(
    #[values(1, 3)] takeovers: usize,
) {
    let mut tried = OnTrial::new(1, &long_running_step(1));
    for _ in 0..takeovers {
        tried.take_over_without_minion();
        tried.built.run(LEASE_TIME);
        assert!(tried.stored_crashes() <= 1);
    }
    tried.join();
    tried.built.run(LEASE_TIME);
    tried.assert_states(JobState::Running);
    assert_eq!(tried.built.live_runs(tried.jobs[0]), 1);
}

/// What shows that a minion has crashed after a takeover.
#[derive(Clone, Copy, Debug)]
enum Sign {
    /// The list of VMs; the minion never comes back.
    VmList,
    /// The minion itself, once it is back.
    Restart,
}

impl OnTrial {
    /// Starts the next term, at whose start the minion crashes.
    fn take_over_and_crash(&mut self, sign: Sign, downtime: Duration) {
        self.built.partitioned.clear();
        self.built.take_over();
        match sign {
            Sign::VmList => {
                self.built.lists_vms = true;
                self.built.lose_minion(&self.minion);
            }
            Sign::Restart => {
                let minion = self.minion.clone();
                self.built.restart_minion_after(&minion, downtime, None);
            }
        }
    }
}

/// Guards against a crash that is forgotten because its minion isn't heard of before it.
#[rstest]
fn a_second_crash_after_a_takeover_fails_the_only_job_on_trial(
    #[values(short(1), short(4), gang(4), speculative(4))] step: StepSpec,
    #[values(Sign::VmList, Sign::Restart)] sign: Sign,
) {
    let mut tried = OnTrial::new(1, &step);
    tried.take_over_and_crash(sign, DOWNTIME);
    tried.built.run(END_TIME);
    tried.assert_states(JobState::Failed);
}

/// Guards against a verdict on a crash that may have come after the lease was over.
#[rstest]
fn a_crash_that_is_heard_of_after_the_leases_are_over_counts_and_fails_no_job_by_itself(
    #[values(1, 2)] takeovers: usize,
) {
    let mut tried = OnTrial::new(1, &short(1));
    let downtime = LEASE_TIME * takeovers as u32 + DOWNTIME;
    tried.take_over_and_crash(Sign::Restart, downtime);
    for _ in 1..takeovers {
        tried.built.run(LEASE_TIME);
        tried.built.take_over();
    }
    tried.built.run(LEASE_TIME);
    assert_eq!(tried.stored_crashes(), 1);
    tried.built.run(LEASE_TIME);
    assert_eq!(tried.stored_crashes(), 2);
    tried.built.run(END_TIME);
    tried.assert_states(JobState::Completed);
}

/// Guards against a run that lapsed and counts as a crash once its minion restarts for another reason.
#[test]
fn a_minion_that_is_heard_of_again_and_restarts_then_counts_no_second_crash() {
    let mut tried = OnTrial::new(4, &short(2));
    tried.take_over_without_minion();
    tried.built.run(LEASE_TIME);
    tried.join();
    tried.built.run(MAX_HOLD_PAUSE);
    let minion = tried.minion.clone();
    tried.built.restart_minion_after(&minion, DOWNTIME, None);
    tried.built.run(Duration::from_secs(2));
    tried.built.take_over();
    tried.built.run(LEASE_TIME);
    assert_eq!(tried.stored_crashes(), 1);
    tried.built.run(END_TIME);
    tried.assert_states(JobState::Completed);
}

/// Guards against a minion that leaves as planned while it is silent and counts as one that has crashed.
#[test]
fn a_silent_minion_that_leaves_after_a_takeover_has_not_crashed() {
    let mut tried = OnTrial::new(1, &short(2));
    tried.take_over_without_minion();
    tried.built.run(LEASE_TIME);
    let mut leaving = tried.built.minions[&tried.minion].entry.clone();
    leaving.draining = true;
    tried.built.show_entry(leaving);
    let minion = tried.minion.clone();
    tried.built.lose_minion(&minion);
    tried.built.lists_vms = true;
    tried.built.run(END_TIME);
    tried.assert_states(JobState::Completed);
}

/// Guards against many jobs that are failed by one crash of the minion that they shared.
#[rstest]
#[case::alone(1, JobState::Failed)]
#[case::two_jobs(2, JobState::Completed)]
#[case::ten_jobs(10, JobState::Completed)]
fn a_crash_after_a_takeover_is_attributed_only_to_a_job_that_was_alone_on_trial(
    #[case] jobs: u64,
    #[case] expected: JobState,
    #[values(Sign::VmList, Sign::Restart)] sign: Sign,
    #[values(1, 2)] takeovers: usize,
) {
    let mut tried = OnTrial::new(jobs, &short(2));
    for &id in &tried.jobs {
        let mut progress = tried.built.stored_progress(id).clone();
        for crashed in &mut progress.crashed {
            crashed.attributed = 1;
        }
        tried.built.set_progress(id, progress);
    }
    tried.take_over_and_crash(sign, DOWNTIME);
    for _ in 1..takeovers {
        tried.built.run(Duration::from_millis(300));
        tried.built.take_over();
    }
    tried.built.run(END_TIME);
    tried.assert_states(expected);
}

/// Number of times that a task may be started after three minions have crashed under it.
const MAX_STARTS_AFTER_THIRD_CRASH: usize = 2;

/// Guards against a task that crashes minions and is started without end, as each crash after the first one falls into
/// a takeover and the minions are away for long.
#[rstest]
fn a_task_whose_minions_crash_before_takeovers_is_given_up(
    #[values(Some(1_000), Some(5_000), Some(9_000), Some(12_000), None)] downtime_ms: Option<u64>,
) {
    let minions = (0..MINIONS).map(|number| FakeMinion::new(entry(number, "p0"), START));
    let mut built = JobSite::new(site(1, 0), minions.collect(), 1);
    built.lists_vms = downtime_ms.is_none();
    built.run(Duration::from_millis(100));
    let id = built.submit(1, job("p0", vec![short(1)]));
    let end = built.now + Duration::from_secs(300);
    let mut starts = 0;
    while built.now < end && built.state(id) != JobState::Failed {
        built.tick();
        if built.records.len() == starts {
            continue;
        }
        starts = built.records.len();
        built.run(Duration::from_millis(100));
        let minion = built.records[starts - 1].minion.clone();
        let downtime = downtime_ms
            .filter(|_| starts > 1)
            .map(Duration::from_millis);
        match downtime_ms {
            Some(_) => built.restart_minion_after(&minion, downtime.unwrap_or(DOWNTIME), None),
            None => built.lose_minion(&minion),
        }
        if starts > 1 {
            built.take_over();
        }
    }
    assert_eq!(built.state(id), JobState::Failed, "{starts} starts");
    let task = built.records[0].task;
    let late = built.starts_after_third_crash(task);
    assert!(late <= MAX_STARTS_AFTER_THIRD_CRASH, "{late}");
}
