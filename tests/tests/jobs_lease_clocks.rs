//! Tests of leases whose end was given on the clock of an earlier incarnation of the minion.

#![allow(clippy::expect_used, reason = "a failed step of a test ends it")]

use std::time::Duration;

use rstest::rstest;
use smol_str::SmolStr;
use snipevane_core::jobs::{
    HoldReply, JobState, OrderReply, Recipient, RunList, SchedulerSettings, StartOrder,
};
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

/// Guards against leases that are given on the clock of an earlier incarnation for as long as the next one lives,
/// because an answer of the earlier one arrives after the restart was noticed.
#[test]
fn a_late_answer_of_an_earlier_incarnation_sets_no_clock() {
    let minion = FakeMinion::new(entry(0, "p0"), START);
    let mut built = JobSite::new(site(1, 0), vec![minion], 1);
    let id = SmolStr::new_static("i-0");
    built.run(Duration::from_secs(15));
    built.partitioned.insert(id.clone());
    built.submit(1, job("p0", vec![step(1, 1_000, 20_000, &[])]));
    let task = built.task_id(1, 0, 0);
    built.tick();
    let (key, minion) = built.scheduler.minions().next().expect("a minion");
    let run = *minion.runs.iter().next().expect("a run");
    let to = Recipient {
        minion: key,
        id: id.clone(),
        address: minion.entry.address.clone(),
        fence: 1,
    };
    let sent_at = built.now;
    built.run(Duration::from_millis(100));
    let restarted_at = built.now;
    let list = RunList {
        started_unix_ms: built.minions[&id].incarnation + 100_000,
        clock_ms: 0,
        ..RunList::default()
    };
    let (now, unix_ms) = (built.now, built.unix_ms());
    let reply = HoldReply::Listed(list);
    built
        .scheduler
        .hold_replied(&to, reply, sent_at, now, unix_ms);
    let done = OrderReply::Done {
        clock_ms: Some(15_100),
    };
    let order = StartOrder {
        to,
        run,
        task,
        attempt: 1,
        payload: "".into(),
        lease_end_ms: 0,
        checkpoint: SmolStr::default(),
        permit: SmolStr::default(),
        transmission: 1,
    };
    built.scheduler.start_replied(&order, done, sent_at, now);
    let minion = built.scheduler.minion(key).expect("a minion");
    let clock = minion.clock_lower_bound(now).expect("a clock");
    let age = now - restarted_at;
    assert!(Duration::from_millis(clock) <= age, "{clock} ms");
}
