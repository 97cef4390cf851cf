//! Tests of start orders that were never answered and outlive their runs, on a minion that restarts under its id.

#![allow(clippy::expect_used, reason = "a failed step of a test ends it")]

use std::time::Duration;

use rstest::rstest;
use smol_str::SmolStr;
use snipevane_core::jobs::{JobState, SchedulerEvent};
use snipevane_tests::jobs::{FakeMinion, Faults, JobSite, entry, job, site, step};

const START: Duration = Duration::from_secs(10);

/// Time within which a late call is carried out.
const MAX_CALL_DELAY: Duration = Duration::from_secs(6);

/// Returns a site whose one minion has done a task of which the first start order has no answer and may be carried out
/// yet.
fn site_with_late_start(seed: u64) -> JobSite {
    let minion = FakeMinion::new(entry(0, "p0"), START);
    let mut built = JobSite::new(site(1, 0), vec![minion], seed);
    built.run(Duration::from_secs(2));
    built.faults = Faults {
        delay_rate: 1.0,
        delayed_orders_outlive_incarnation: true,
        ..Faults::default()
    };
    let id = built.submit(1, job("p0", vec![step(1, 1_000, 20, &[])]));
    while built.starts_sent == 0 {
        built.tick();
    }
    built.faults.delay_rate = 0.0;
    while built.state(id) != JobState::Completed {
        built.tick();
    }
    built
}

/// Guards against a task that runs again after it was done, as the next incarnation carries its start order out.
#[rstest]
fn a_start_order_without_an_answer_runs_no_done_task_after_a_restart(
    #[values(1, 2, 3, 4, 5, 6)] seed: u64,
    #[values(0, 50)] lost_replies_percent: u32,
) {
    let mut built = site_with_late_start(seed);
    built.faults.lost_reply_rate = f64::from(lost_replies_percent) / 100.0;
    let id = SmolStr::new_static("i-0");
    built.restart_minion_after(&id, Duration::from_millis(50), None);
    built.run(MAX_CALL_DELAY);
    assert_eq!(built.records.len(), 1, "seed {seed}");
}

/// Guards against calls that nothing needs: without a restart, the incarnation refuses such an order by itself.
#[test]
fn a_start_order_without_an_answer_is_stopped_only_after_a_restart() {
    let mut built = site_with_late_start(1);
    built.run(MAX_CALL_DELAY);
    let events = built.scheduler.take_events();
    let mut stops = events.iter();
    let has_stopped = stops.any(|event| matches!(event, SchedulerEvent::LateStartStopped { .. }));
    assert!(!has_stopped, "{events:?}");
    assert_eq!(built.records.len(), 1);
}
