//! Tests of the scheduler with long-running tasks that end by themselves.

use std::time::Duration;

use rstest::rstest;
use snipevane_core::jobs::{JobState, RunEnd, StepSpec};
use snipevane_tests::jobs::{
    FakeMinion, JobSite, Record, entry, job, long_running_step, site, step,
};

const START: Duration = Duration::from_secs(10);

/// Number of tasks of the job.
const TASKS: usize = 3;

/// Longest time for which a task doesn't run after it has ended.
const MAX_PAUSE: Duration = Duration::from_secs(5);

/// Number of starts of one task in a minute that are enough for one that ends at once.
const MAX_STARTS_A_MINUTE: usize = 30;

fn job_site() -> JobSite {
    let minions = (0..4).map(|number| FakeMinion::new(entry(number, "p0"), START));
    JobSite::new(site(1, 0), minions.collect(), 1)
}

/// Guards against a long-running task that isn't started again, and a job that is shown as completed or failed,
/// because its tasks have ended; and against tasks that are started all the time.
#[rstest]
#[case::at_once(100)]
#[case::after_a_while(9_000)]
fn a_long_running_task_starts_again_however_it_ends(
    #[case] ends_after_ms: u64,
    #[values(
        RunEnd::Done,
        RunEnd::Failed,
        RunEnd::Stopped,
        RunEnd::LeaseExpired,
        RunEnd::GangMemberEnded,
        RunEnd::GangIncomplete
    )]
    end: RunEnd,
    #[values(false, true)] after_short_step: bool,
    #[values(false, true)] takeover: bool,
) {
    let mut built = job_site();
    built.long_running_time = Some(Duration::from_millis(ends_after_ms));
    built.long_running_end = end;
    let long_running = long_running_step(TASKS as u32);
    let steps = if after_short_step {
        let after = StepSpec {
            after: vec![0],
            ..long_running
        };
        vec![step(2, 1_000, 500, &[]), after]
    } else {
        vec![long_running]
    };
    let is_long_running = |run: &&Record| run.task.step.step == u32::from(after_short_step);
    let id = built.submit(1, job("p0", steps));
    built.run(Duration::from_secs(30));
    if takeover {
        built.take_over();
    }
    built.run(Duration::from_secs(30));
    built.long_running_time = None;
    let runs = built.records.iter().filter(is_long_running);
    let ends = runs.clone().filter(|run| run.end == Some(end));
    assert!(ends.count() > TASKS, "the tasks end more than once");
    let starts = runs.count();
    assert!(starts <= MAX_STARTS_A_MINUTE * TASKS, "{starts}");
    built.run(MAX_PAUSE + Duration::from_millis(ends_after_ms));
    assert_eq!(built.live_runs(id), TASKS);
    assert_eq!(built.state(id), JobState::Running);
}
