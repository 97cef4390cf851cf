//! Tests of acknowledgements of ends: none reaches another incarnation that has ends of its own, and all come in time.

#![allow(clippy::expect_used, reason = "a failed step of a test ends it")]

use std::time::Duration;

use rstest::rstest;
use smol_str::SmolStr;
use snipevane_core::jobs::{
    Acknowledgement, Action, EndedRun, HoldReply, JobId, JobState, Recipient, RunEnd, RunList,
    StepId, TaskId,
};
use snipevane_tests::jobs::{FakeMinion, JobSite, Network, TICK, entry, job, site, step};

const START: Duration = Duration::from_secs(10);

/// Time within which a late call is carried out.
const MAX_CALL_DELAY: Duration = Duration::from_secs(6);

/// Time within which ends are to be acknowledged.
const MAX_ACK_TIME: Duration = Duration::from_secs(4);

fn job_site(minions: usize) -> JobSite {
    let minions = (0..minions).map(|number| FakeMinion::new(entry(number, "p0"), START));
    let mut built = JobSite::new(site(1, 0), minions.collect(), 1);
    built.run(Duration::from_secs(2));
    built
}

/// Returns whether a minion has an end that no list has shown.
fn has_unread_end(built: &JobSite, id: &SmolStr) -> bool {
    let incarnation = built.minions[id].incarnation;
    let mut runs = built.records.iter();
    runs.any(|run| {
        let here = run.minion == *id && run.incarnation == incarnation;
        here && run.end.is_some() && !run.listed_before_lapse
    })
}

/// Guards against a task that is started again after it was done, because an acknowledgement for an earlier incarnation
/// makes its minion forget the end.
#[rstest]
fn a_late_acknowledgement_loses_no_end_of_the_next_incarnation(
    #[values(200, 600)] downtime_ms: u64,
    #[values(60, 100, 300)] run_ms: u64,
) {
    let mut built = job_site(1);
    let id = SmolStr::new_static("i-0");
    built.delay_next_ack(&id);
    let first = built.submit(1, job("p0", vec![step(4, 1_000, 200, &[])]));
    while built.delayed_ack().is_none() {
        built.tick();
    }
    let sent_at = built.delayed_ack().expect("a delayed hold");
    built.restart_under_its_id(&id, Duration::from_millis(downtime_ms));
    let second = built.submit(2, job("p0", vec![step(2, 1_000, run_ms, &[])]));
    while built.now < sent_at + MAX_CALL_DELAY && !has_unread_end(&built, &id) {
        built.tick();
    }
    built.carry_out_delayed_ack();
    built.run(Duration::from_secs(10));
    assert_eq!(built.state(first), JobState::Completed);
    assert_eq!(built.state(second), JobState::Completed);
    let of_second = built
        .records
        .iter()
        .filter(|run| run.task.step.job == second);
    assert_eq!(of_second.count(), 2, "each task has run once");
}

/// Guards against a task that is started again after it was done, because its end has the number of one that the
/// earlier incarnation has listed, in a reply that took long.
#[rstest]
fn a_quick_restart_on_a_slow_link_loses_no_end(
    #[values(100, 300, 600)] downtime_ms: u64,
    #[values(150, 300, 450)] latency_ms: u64,
    #[values(0, 70, 140, 210, 280, 350, 420, 490)] phase_ms: u64,
) {
    let mut built = job_site(1);
    built.network = Some(Network::new(
        10_000_000.0,
        Duration::from_millis(latency_ms),
    ));
    let id = SmolStr::new_static("i-0");
    let submit = |built: &mut JobSite, number: u64| {
        built.submit(number, job("p0", vec![step(1, 1_000, 50, &[])]));
        built.run(Duration::from_millis(50));
    };
    for number in 1..=40 {
        submit(&mut built, number);
    }
    built.run(Duration::from_millis(phase_ms));
    let now = built.now;
    let minion = built.minions.get_mut(&id).expect("a minion");
    minion.crash(&mut built.records, now);
    let up_at = built.now + Duration::from_millis(downtime_ms);
    for number in 41..=120 {
        submit(&mut built, number);
        let now = built.now;
        let minion = built.minions.get_mut(&id).expect("a minion");
        if !minion.up && now >= up_at {
            minion.restart(now);
        }
    }
    built.run(Duration::from_secs(20));
    let lost = (1..=120).filter(|&job| built.state(JobId::new(job)) != JobState::Completed);
    assert_eq!(lost.count(), 0);
}

/// Guards against ends that are never acknowledged because starts are always on their way.
#[rstest]
fn ends_are_acknowledged_in_time_under_steady_load(
    #[values(1, 4)] minions: usize,
    #[values(20, 100, 1_000)] run_ms: u64,
    #[values(0, 20)] latency_ms: u64,
) {
    let mut built = job_site(minions);
    built.network = Some(Network::new(
        10_000_000.0,
        Duration::from_millis(latency_ms),
    ));
    for number in 1..=600 {
        built.submit(number, job("p0", vec![step(1, 1_000, run_ms, &[])]));
        built.run(Duration::from_millis(20));
        let late = built.unacknowledged_ends(built.now.saturating_sub(MAX_ACK_TIME));
        assert_eq!(late.len(), 0, "{late:?}");
    }
}

/// Guards against ends that are never acknowledged because each hold needs a connection of its own.
#[rstest]
fn ends_are_acknowledged_in_time_where_no_connection_lasts(
    #[values(1, 4)] minions: usize,
    #[values(20, 1_000)] run_ms: u64,
    #[values(0, 20)] latency_ms: u64,
) {
    let mut built = job_site(minions);
    built.closes_connections = true;
    built.network = Some(Network::new(
        10_000_000.0,
        Duration::from_millis(latency_ms),
    ));
    for number in 1..=300 {
        built.submit(number, job("p0", vec![step(1, 1_000, run_ms, &[])]));
        built.run(Duration::from_millis(20));
        let late = built.unacknowledged_ends(built.now.saturating_sub(MAX_ACK_TIME));
        assert_eq!(late.len(), 0, "{late:?}");
    }
}

/// Guards against acknowledgements that reach the next incarnation, as a late list counts as one of the time at which it
/// arrives.
#[test]
fn a_late_list_allows_acknowledgements_only_on_connections_from_before_it_was_asked_for() {
    let mut built = job_site(1);
    let id = SmolStr::new_static("i-0");
    built.store_available = false;
    built.submit(1, job("p0", vec![step(4, 1_000, 200, &[])]));
    built.run(Duration::from_secs(1));
    let (key, minion) = built.scheduler.minions().next().expect("a minion");
    assert_eq!((minion.received_seq, minion.stored_seq), (4, 0));
    let to = Recipient {
        minion: key,
        id: id.clone(),
        address: minion.entry.address.clone(),
        fence: 1,
    };
    let list = RunList {
        started_unix_ms: built.minions[&id].incarnation,
        clock_ms: u64::MAX / 2,
        ..RunList::default()
    };
    let asked_at = built.now;
    built.partitioned.insert(id);
    built.run(Duration::from_secs(2));
    let (now, unix_ms) = (built.now, built.unix_ms());
    let reply = HoldReply::Listed(RunList {
        ended: (1..=4).map(ended).collect(),
        ..list
    });
    built
        .scheduler
        .hold_replied_late(&to, reply, asked_at, now, unix_ms);
    built.store_available = true;
    built.tick();
    let acks: Vec<Acknowledgement> = (1..100)
        .flat_map(|tick| built.scheduler.decide(built.now + TICK * tick, unix_ms))
        .filter_map(|action| match action {
            Action::Hold(order) => Some(order.ack),
            _ => None,
        })
        .collect();
    assert!(!acks.is_empty());
    for ack in acks {
        assert_eq!(ack.on_connection(asked_at - TICK), 4, "{ack:?}");
        assert_eq!(ack.on_connection(asked_at), 0, "{ack:?}");
    }
}

/// Returns the end with this number, of a task of the first job.
fn ended(number: u64) -> EndedRun {
    let step = StepId {
        job: JobId::new(1),
        occurrence: 0,
        step: 0,
    };
    EndedRun {
        number,
        task: TaskId {
            step,
            index: number as u32 - 1,
        },
        attempt: 1,
        end: RunEnd::Done,
        checkpoint: SmolStr::default(),
    }
}
