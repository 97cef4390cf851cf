//! Tests of leases whose end was given on the clock of an earlier incarnation of the minion.

use std::time::Duration;

use rstest::rstest;
use smol_str::SmolStr;
use snipevane_core::jobs::{JobState, SchedulerSettings};
use snipevane_tests::jobs::{FakeMinion, JobSite, entry, job, site, step};

const START: Duration = Duration::from_secs(10);

/// Guards against a task that runs twice at the same time, because the lease of a run counts as expired although its
/// minion has measured it on a clock that started anew.
#[rstest]
fn a_lease_given_on_an_earlier_clock_lasts_as_long_as_the_minion_grants_it(
    #[values(10, 50, 300, 1_000)] silent_after_ms: u64,
) {
    let minions = (0..2).map(|number| FakeMinion::new(entry(number, "p0"), START));
    let settings = SchedulerSettings {
        lease: Duration::from_secs(5),
        ..SchedulerSettings::default()
    };
    let mut built = JobSite::with_settings(site(1, 0), minions.collect(), settings, 1);
    let (restarted, other) = (SmolStr::new_static("i-0"), SmolStr::new_static("i-1"));
    built.run(Duration::from_secs(15));
    built.partitioned.insert(other.clone());
    built.list_minions();
    built.restart_under_its_id(&restarted, Duration::from_millis(300));
    let id = built.submit(1, job("p0", vec![step(1, 1_000, 20_000, &[])]));
    built.run(Duration::from_millis(silent_after_ms));
    built.partitioned.insert(restarted);
    built.partitioned.remove(&other);
    built.list_minions();
    built.run(Duration::from_secs(40));
    assert_eq!(built.records.len(), 2);
    assert_eq!(built.state(id), JobState::Completed);
}
