//! Best-effort tasks use the CPU that others leave idle, and never keep a latency-sensitive task
//! over its target for long.

use std::time::Duration;

use rstest::rstest;
use snipevane_core::jobs::StepSpec;
use snipevane_tests::jobs::{FakeMinion, JobSite, TICK, entry, job, long_running_step, site, step};

const START: Duration = Duration::from_secs(10);

/// Longest time for which a latency-sensitive task may exceed its target because of best-effort
/// tasks.
const MAX_TIME_OVER_TARGET: Duration = Duration::from_millis(4_000);

fn latency_sensitive(target_ms: u64) -> StepSpec {
    StepSpec {
        tail_latency_target_ms: target_ms,
        ..long_running_step(2)
    }
}

fn best_effort(tasks: u32) -> StepSpec {
    StepSpec {
        best_effort: true,
        long_running: true,
        ..step(tasks, 4_000, 1_000, &[])
    }
}

/// The tail latency of a latency-sensitive task is 50 ms, and 40 ms more for each best-effort task
/// beside it.
#[rstest]
#[case::some_room(120)]
#[case::no_room(60)]
fn a_latency_sensitive_task_exceeds_its_target_only_briefly(#[case] target_ms: u64) {
    let minions = (0..2).map(|number| FakeMinion::new(entry(number, "p0"), START));
    let mut sim = JobSite::new(site(1, 0), minions.collect(), 1);
    sim.run(Duration::from_millis(100));
    sim.submit(1, job("p0", vec![latency_sensitive(target_ms)]));
    sim.run(Duration::from_secs(2));
    sim.submit(2, job("p0", vec![best_effort(8)]));
    let mut over = Duration::ZERO;
    let mut longest = Duration::ZERO;
    let mut shares = 0;
    let rounds = 3_000;
    for _ in 0..rounds {
        sim.run(TICK);
        let missed = sim.minions.values().any(|minion| {
            minion.tail_ms() > target_ms as f64 && minion.best_effort_cpu_share() > 0
        });
        over = if missed { over + TICK } else { Duration::ZERO };
        longest = longest.max(over);
        shares += sim
            .minions
            .values()
            .map(FakeMinion::best_effort_cpu_share)
            .sum::<u32>();
    }
    assert!(
        longest < MAX_TIME_OVER_TARGET,
        "over its target for {longest:?}"
    );
    if target_ms > 90 {
        let mean = f64::from(shares) / f64::from(rounds);
        assert!(mean > 100.0, "the best-effort tasks keep running: {mean} %");
    }
}

#[test]
fn best_effort_tasks_get_the_full_cpu_share_without_latency_sensitive_ones() {
    let minions = (0..2).map(|number| FakeMinion::new(entry(number, "p0"), START));
    let mut sim = JobSite::new(site(1, 0), minions.collect(), 1);
    sim.run(Duration::from_millis(100));
    sim.submit(1, job("p0", vec![best_effort(4)]));
    sim.run(Duration::from_secs(3));
    let shares = sim.minions.values().map(FakeMinion::best_effort_cpu_share);
    assert_eq!(shares.sum::<u32>(), 400);
}
