//! Tasks that fill use what others leave and never keep one that serves over its target for long.

use std::time::Duration;

use rstest::rstest;
use snipevane_core::jobs::StepSpec;
use snipevane_tests::jobs::{FakeMinion, JobSite, STEP, entry, job, long_running_step, site, step};

const START: Duration = Duration::from_secs(10);

/// Longest time for which a task that serves may be over its target because of what fills.
const INTERFERENCE: Duration = Duration::from_millis(4_000);

fn serving(target_ms: u64) -> StepSpec {
    StepSpec {
        tail_latency_target_ms: target_ms,
        ..long_running_step(2)
    }
}

fn filling(tasks: u32) -> StepSpec {
    StepSpec {
        best_effort: true,
        long_running: true,
        ..step(tasks, 4_000, 1_000, &[])
    }
}

/// A task that serves has a tail of 50 ms, and of 40 ms more for each task that fills beside it.
#[rstest]
#[case::some_room(120)]
#[case::no_room(60)]
fn a_task_that_serves_is_over_its_target_only_briefly(#[case] target_ms: u64) {
    let minions = (0..2).map(|number| FakeMinion::new(entry(number, "p0"), START));
    let mut built = JobSite::new(site(1, 0), minions.collect(), 1);
    built.run(Duration::from_millis(100));
    built.submit(1, job("p0", vec![serving(target_ms)]));
    built.run(Duration::from_secs(2));
    built.submit(2, job("p0", vec![filling(8)]));
    let mut over = Duration::ZERO;
    let mut longest = Duration::ZERO;
    let mut shares = 0;
    let rounds = 3_000;
    for _ in 0..rounds {
        built.run(STEP);
        let missed = built
            .minions
            .values()
            .any(|minion| minion.tail_ms() > target_ms as f64 && minion.filling() > 0);
        over = if missed { over + STEP } else { Duration::ZERO };
        longest = longest.max(over);
        shares += built.minions.values().map(FakeMinion::filling).sum::<u32>();
    }
    assert!(longest < INTERFERENCE, "over its target for {longest:?}");
    if target_ms > 90 {
        let mean = f64::from(shares) / f64::from(rounds);
        assert!(mean > 100.0, "the tasks that fill work on: {mean} %");
    }
}

#[test]
fn tasks_that_fill_work_at_full_share_where_none_serves() {
    let minions = (0..2).map(|number| FakeMinion::new(entry(number, "p0"), START));
    let mut built = JobSite::new(site(1, 0), minions.collect(), 1);
    built.run(Duration::from_millis(100));
    built.submit(1, job("p0", vec![filling(4)]));
    built.run(Duration::from_secs(3));
    let shares = built.minions.values().map(FakeMinion::filling);
    assert_eq!(shares.sum::<u32>(), 400);
}
