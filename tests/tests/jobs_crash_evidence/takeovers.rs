//! Tests of what a new term knows of the crashes before it.

use std::time::Duration;

use rstest::rstest;
use snipevane_tests::jobs::{job, step};

use crate::set_up::{END_TIME, Sign, assert_given_up, job_site};

/// Time from a crash until a new term begins: the minion hasn't answered by then, and isn't back.
const TAKEOVER_AFTER: Duration = Duration::from_millis(2_200);

/// Guards against a first crash that the next term doesn't know of, as only runs on trial and unanswered starts were
/// recorded: a task is started without end if each of its minions is lost right before a takeover.
#[rstest]
fn a_task_that_crashes_its_minions_before_takeovers_is_given_up(
    #[values(50, 300, 1_000, 3_000)] crashes_after_ms: u64,
) {
    for seed in 0..4 {
        let mut built = job_site(8, Sign::SilenceAndRestart, seed);
        built.downtime = Duration::from_secs(4);
        let steps = vec![step(1, 500, crashes_after_ms + 500, &[])];
        let id = built.submit(1, job("p0", steps));
        let task = built.task_id(1, 0, 0);
        built.make_crashing(task, Duration::from_millis(crashes_after_ms));
        for crashes in 0..6 {
            for _ in 0..200 {
                if built.crashes_under(task).len() > crashes {
                    break;
                }
                built.run(Duration::from_millis(100));
            }
            built.run(TAKEOVER_AFTER);
            built.take_over();
        }
        built.run(END_TIME);
        assert_given_up(&built, &(id, vec![task]), seed);
    }
}
