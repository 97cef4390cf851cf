//! Tests of answers of the next incarnation of a minion to calls for the earlier one.

#![allow(clippy::expect_used, reason = "a failed step of a test ends it")]

use std::time::Duration;

use rstest::rstest;
use smol_str::SmolStr;
use snipevane_core::jobs::{
    Action, HoldReply, LossReason, MinionEntry, Recipient, RunList, SchedulerEvent,
};
use snipevane_tests::jobs::{FakeMinion, Faults, JobSite, TICK, entry, job, site, step};

const START: Duration = Duration::from_secs(10);

fn job_site() -> JobSite {
    let minion = FakeMinion::new(entry(0, "p0"), START);
    let mut built = JobSite::new(site(1, 0), vec![minion], 1);
    built.run(Duration::from_secs(2));
    built
}

fn id() -> SmolStr {
    entry(0, "p0").id
}

/// Guards against ends that are never acknowledged, because the next incarnation has answered an acknowledgement for the
/// earlier one.
#[test]
fn the_answer_to_an_acknowledgement_counts_for_no_later_incarnation() {
    let mut built = job_site();
    built.delay_next_ack(&id());
    built.submit(1, job("p0", vec![step(4, 1_000, 200, &[])]));
    while built.delayed_ack().is_none() {
        built.tick();
    }
    let asked_at = built.delayed_ack().expect("a delayed hold");
    built.restart_under_its_id(&id(), Duration::from_millis(200));
    built.run(Duration::from_secs(1));
    let (key, minion) = built.scheduler.minions().next().expect("a minion");
    let to = Recipient {
        minion: key,
        id: id(),
        address: minion.entry.address.clone(),
        fence: 1,
    };
    let list = RunList {
        started_unix_ms: built.minions[&id()].incarnation,
        clock_ms: 10_000,
        ..RunList::default()
    };
    let (now, unix_ms) = (built.now, built.unix_ms());
    let reply = HoldReply::Listed(list);
    built
        .scheduler
        .hold_replied_late(&to, reply, asked_at, now, unix_ms);
    let minion = built.scheduler.minion(key).expect("a minion");
    assert_eq!(minion.acked_seq, 0);
}

/// Guards against tasks that run twice, because a minion that may have restarted is given a lease on its earlier clock.
#[rstest]
fn a_minion_that_may_have_restarted_is_asked_without_a_lease(
    #[values(0, 1, 2, 3, 4, 5, 6, 7)] ticks: u32,
) {
    let mut built = job_site();
    built.submit(1, job("p0", vec![step(1, 1_000, 20_000, &[])]));
    built.run(Duration::from_secs(1) + TICK * ticks);
    let restarted = MinionEntry {
        started_unix_ms: u64::MAX / 2,
        ..built.minions[&id()].entry.clone()
    };
    built.scheduler.upsert_minion(restarted, built.now);
    let unix_ms = built.unix_ms();
    let actions = built.scheduler.decide(built.now, unix_ms);
    let leases = actions.iter().filter_map(|action| match action {
        Action::Hold(order) => order.lease_end_ms,
        _ => None,
    });
    assert_eq!(leases.count(), 0);
}

/// Guards against a task that starts later after a crash, because one of its orders was unanswered long before.
#[test]
fn a_start_that_was_unanswered_long_ago_delays_no_restart_of_its_task() {
    let mut built = job_site();
    built.faults.lost_reply_rate = 1.0;
    built.submit(1, job("p0", vec![step(1, 1_000, 60_000, &[])]));
    built.run(Duration::from_secs(1));
    built.faults = Faults::default();
    built.run(Duration::from_secs(17));
    built.scheduler.take_events();
    built.restart_under_its_id(&id(), Duration::from_millis(500));
    built.run(Duration::from_secs(1));
    let events = built.scheduler.take_events();
    let is_lost = |event: &&SchedulerEvent| {
        let reason = LossReason::MinionRestarted;
        matches!(event, SchedulerEvent::RunLost { reason: lost, .. } if *lost == reason)
    };
    assert_eq!(events.iter().filter(is_lost).count(), 1);
}
