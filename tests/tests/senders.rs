//! Senders: which entry VM sends a start order on behalf of the scheduler, and until when it may.
//!
//! The load: start orders are half of what the scheduler's VM sends, and a link of 10 Mbit/s carries less.

#![allow(clippy::expect_used, reason = "a failed step of a test ends it")]

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rstest::rstest;
use smol_str::{SmolStr, format_smolstr};
use snipevane_core::candidates::VmCapacity;
use snipevane_core::jobs::{
    JobId, JobState, MinionKey, Recipient, RunKey, StartOrder, StepId, TaskId,
};
use snipevane_core::senders::{
    Assignment, Permission, SenderOffer, SenderPool, SenderSettings, TermGrant,
    max_orders_in_flight,
};
use snipevane_fleet::peers::messages::{Heartbeat, WatchRequest};
use snipevane_fleet::senders::OutcomeLines;
use snipevane_fleet::senders::messages::StartsRequest;
use snipevane_tests::jobs::{FakeMinion, Faults, JobSite, TICK, entry, site};

const SMALL: VmCapacity = VmCapacity {
    cores: 0.12,
    link_mbps: 10.0,
};

const LARGE: VmCapacity = VmCapacity {
    cores: 2.0,
    link_mbps: 100.0,
};

const START: Duration = Duration::from_secs(10);

fn at(millis: u64) -> Duration {
    START + Duration::from_millis(millis)
}

fn name(number: usize) -> SmolStr {
    format_smolstr!("vm-{number}")
}

fn offer(capacity: VmCapacity) -> SenderOffer {
    SenderOffer {
        zone: "a".into(),
        address: "127.0.0.1:1".into(),
        capacity,
        clock_ms: 5_000,
        permitted_fence: 7,
    }
}

/// Returns a pool that has heard VMs of these capacities in zone `a` at [`START`].
fn pool(capacities: &[VmCapacity]) -> SenderPool {
    let mut pool = SenderPool::new(SenderSettings::default());
    for (number, capacity) in capacities.iter().enumerate() {
        pool.record_offer(&name(number), offer(*capacity), START);
    }
    pool
}

fn order(minion: usize, job: u64, payload: &str) -> StartOrder {
    StartOrder {
        to: Recipient {
            minion: MinionKey::default(),
            id: format_smolstr!("i-{minion}"),
            address: "127.0.0.1:2".into(),
            fence: 7,
        },
        run: RunKey::default(),
        task: TaskId {
            step: StepId {
                job: JobId::new(job),
                occurrence: 0,
                step: 0,
            },
            index: u32::try_from(minion).expect("a small number"),
        },
        attempt: 1,
        payload: payload.into(),
        lease_end_ms: 1_000,
        checkpoint: SmolStr::default(),
        permit: SmolStr::default(),
        transmission: 1,
    }
}

fn orders(count: usize) -> Vec<StartOrder> {
    (0..count).map(|minion| order(minion, 1, "text")).collect()
}

fn assign(pool: &mut SenderPool, orders: Vec<StartOrder>, now: Duration) -> Assignment {
    pool.assign(orders, |_| Some("a".into()), now)
}

/// Returns the sender of each minion, each with its own assignment, so that no sender runs out of room.
fn sender_of_each(
    pool: &mut SenderPool,
    minions: usize,
    now: Duration,
) -> BTreeMap<usize, SmolStr> {
    let mut senders = BTreeMap::new();
    for minion in 0..minions {
        for batch in assign(pool, vec![order(minion, 1, "text")], now).batches {
            pool.record_outcome(&batch.vm, &batch.starts[0].to.id, Some(true));
            senders.insert(minion, batch.vm);
        }
    }
    senders
}

fn granted(remaining_ms: u64) -> TermGrant {
    TermGrant {
        fence: 7,
        remaining_ms,
    }
}

/// Guards against orders under a term that has ended: the time for which the response was under way, or
/// the sender was frozen, must count.
#[test]
fn a_permission_ends_with_the_remaining_time_after_the_request() {
    let mut permission = Permission::default();
    assert!(!permission.allows(7, at(0)), "nothing was granted");
    permission.renew(granted(1_000), at(0));
    assert!(permission.allows(7, at(999)));
    assert!(!permission.allows(7, at(1_000)));
    permission.renew(granted(1_400), at(900));
    assert!(permission.allows(7, at(2_299)));
    assert!(!permission.allows(7, at(2_300)));
}

/// Guards against orders of a term that another one has followed.
#[test]
fn a_permission_is_for_one_fencing_token() {
    let mut permission = Permission::default();
    permission.renew(granted(1_000), at(0));
    assert!(!permission.allows(6, at(10)));
    assert!(!permission.allows(8, at(10)));
    let next = TermGrant {
        fence: 8,
        remaining_ms: 500,
    };
    permission.renew(next, at(100));
    permission.renew(granted(1_400), at(200));
    assert!(!permission.allows(7, at(210)), "the earlier term is over");
    assert!(permission.allows(8, at(210)));
    assert!(!permission.allows(8, at(600)));
}

#[test]
fn a_grant_is_never_longer_than_the_term() {
    assert_eq!(TermGrant::new(7, at(0), at(1)), None);
    let grant = TermGrant::new(7, at(1_400), at(200) + Duration::from_micros(1));
    assert_eq!(grant, Some(granted(1_199)));
}

#[rstest]
#[case::few(2, false)]
#[case::enough(3, true)]
fn senders_are_used_in_zones_with_three_of_them(#[case] vms: usize, #[case] used: bool) {
    let mut pool = pool(&vec![LARGE; vms]);
    let assignment = assign(&mut pool, orders(10), at(100));
    assert_eq!(assignment.direct.is_empty(), used);
    let elsewhere = pool.assign(orders(10), |_| Some("b".into()), at(100));
    assert_eq!(elsewhere.direct.len(), 10);
}

#[test]
fn a_vm_that_was_not_heard_for_a_second_or_is_stopping_sends_nothing() {
    let mut pool = pool(&[LARGE; 4]);
    assert_eq!(pool.usable(at(999)), 4);
    assert_eq!(pool.usable(at(1_000)), 0);
    for number in 0..4 {
        pool.record_offer(&name(number), offer(LARGE), at(1_000));
    }
    pool.record_no_offer(&name(0));
    let senders = sender_of_each(&mut pool, 100, at(1_100));
    assert_eq!(senders.len(), 100);
    assert!(senders.values().all(|vm| *vm != name(0)));
}

/// A minion's orders come from one VM, which has a connection to it, for as long as that VM is there.
#[test]
fn only_the_minions_of_a_vm_that_leaves_are_reassigned() {
    let mut pool = pool(&[LARGE; 10]);
    let before = sender_of_each(&mut pool, 500, at(100));
    pool.record_no_offer(&name(3));
    let after = sender_of_each(&mut pool, 500, at(100));
    for (minion, vm) in &before {
        let stays = *vm != name(3);
        assert_eq!(stays, after[minion] == *vm, "minion {minion}");
    }
}

#[test]
fn minions_are_assigned_in_proportion_to_bandwidth() {
    let mut pool = pool(&[SMALL, SMALL, SMALL, LARGE]);
    let senders = sender_of_each(&mut pool, 2_000, at(100));
    let of_large = senders.values().filter(|vm| **vm == name(3)).count();
    // 100 of 130 Mbit/s.
    assert!((1_450..1_630).contains(&of_large), "{of_large}");
}

/// Guards against an overload of VMs with 0.12 of a core and 10 Mbit/s by a burst.
#[test]
fn a_burst_does_not_exceed_the_orders_in_flight_of_small_vms() {
    let mut pool = pool(&[SMALL; 3]);
    let assignment = assign(&mut pool, orders(200), at(100));
    let mut in_flight: BTreeMap<SmolStr, usize> = BTreeMap::new();
    for batch in &assignment.batches {
        *in_flight.entry(batch.vm.clone()).or_default() += batch.starts.len();
    }
    assert_eq!(max_orders_in_flight(&SMALL), 40);
    assert!(
        in_flight.values().all(|orders| *orders == 40),
        "{in_flight:?}"
    );
    assert_eq!(assignment.direct.len(), 80);
    for _ in 0..40 {
        pool.record_outcome(&name(0), &"i-0".into(), Some(true));
    }
    let next = assign(&mut pool, orders(200), at(200));
    assert_eq!(next.direct.len(), 160);
}

#[test]
fn a_sender_that_failed_gets_no_orders_for_a_while_and_others_take_over() {
    let mut pool = pool(&[LARGE; 3]);
    assert!(pool.exclude(&name(1), at(0)), "it was usable");
    assert!(!pool.exclude(&name(1), at(10)), "it was excluded before");
    let senders = sender_of_each(&mut pool, 100, at(100));
    let used: BTreeSet<SmolStr> = senders.values().cloned().collect();
    assert_eq!(used, BTreeSet::from([name(0), name(2)]));
    for number in 0..3 {
        pool.record_offer(&name(number), offer(LARGE), at(2_010));
        assert!(pool.exclude(&name(number), at(2_010)));
    }
    let assignment = assign(&mut pool, orders(10), at(2_020));
    assert_eq!(assignment.direct.len(), 10, "the scheduler sends itself");
}

/// A VM that reaches the scheduler but no minions mustn't make the minions count as silent.
#[test]
fn a_sender_fails_once_several_minions_in_a_row_do_not_reply_to_it() {
    let mut pool = pool(&[LARGE; 3]);
    let minion = |number: usize| format_smolstr!("i-{number}");
    let outcomes = [false, false, false, true, false, false, false];
    for (number, answered) in outcomes.into_iter().enumerate() {
        assert!(!pool.record_outcome(&name(0), &minion(number), Some(answered)));
    }
    assert!(pool.record_outcome(&name(0), &minion(7), Some(false)));
}

/// Guards against the exclusion of a sender because one of its minions is gone: the orders of a batch to that
/// minion all time out at once.
#[test]
fn a_sender_does_not_fail_because_one_minion_does_not_reply() {
    let mut pool = pool(&[LARGE; 3]);
    for _ in 0..10 {
        assert!(!pool.record_outcome(&name(0), &"i-0".into(), Some(false)));
    }
}

/// An order without a reply is sent again by the scheduler, in case its sender is the reason.
#[test]
fn the_scheduler_sends_repeats_and_large_payloads_itself() {
    let mut pool = pool(&[LARGE; 3]);
    let repeat = StartOrder {
        transmission: 2,
        ..order(0, 1, "text")
    };
    let large = order(1, 2, &"x".repeat(70_000));
    let assignment = assign(&mut pool, vec![repeat, large, order(2, 3, "text")], at(0));
    assert_eq!(assignment.direct.len(), 2);
    assert_eq!(assignment.batches.len(), 1);
}

#[test]
fn batches_are_limited_in_orders_and_bytes() {
    let capacity = VmCapacity {
        cores: 8.0,
        link_mbps: 1_000.0,
    };
    let mut pool = pool(&[capacity; 3]);
    let assignment = assign(&mut pool, orders(600), at(0));
    assert!(
        assignment
            .batches
            .iter()
            .all(|batch| batch.starts.len() <= 64)
    );
    let payload = "x".repeat(30_000);
    let several = (0..30).map(|minion| order(minion, minion as u64, &payload));
    let assignment = assign(&mut pool, several.collect(), at(0));
    assert!(
        assignment
            .batches
            .iter()
            .all(|batch| batch.starts.len() <= 2)
    );
}

#[test]
fn a_batch_carries_each_payload_once_and_all_that_minions_get() {
    let mut pool = pool(&[LARGE; 3]);
    let payload = "x".repeat(1_000);
    let orders: Vec<StartOrder> = (0..60)
        .map(|minion| order(minion, minion as u64 % 2, &payload))
        .collect();
    let assignment = assign(&mut pool, orders, at(0));
    for batch in &assignment.batches {
        let request = StartsRequest::new(batch);
        assert!(request.payloads.len() <= 2);
        let json = serde_json::to_vec(&request).expect("JSON");
        let bound = 2 * 1_100 + batch.starts.len() * 200;
        assert!(
            json.len() < bound,
            "{} bytes for {}",
            json.len(),
            batch.starts.len()
        );
        let decoded: StartsRequest = serde_json::from_slice(&json).expect("a request");
        assert_eq!(decoded.into_orders().as_ref(), Some(&batch.starts));
    }
}

/// Guards against orders that leave a sender long after the scheduler has decided them, as it was frozen
/// and has got a new permission since; also against a release of the term before senders are done.
#[test]
fn a_batch_expires_on_the_senders_clock_and_bounds_the_release_of_the_term() {
    let mut pool = pool(&[LARGE; 3]);
    assert_eq!(pool.sending_ends_at(), Duration::ZERO);
    let assignment = assign(&mut pool, orders(1), at(400));
    let batch = &assignment.batches[0];
    // The sender's clock showed 5,000 ms when the offer was made, at 0 ms or earlier.
    assert_eq!(batch.expires_clock_ms, 5_000 + 400 + 250);
    assert_eq!(pool.sending_ends_at(), at(650));
    pool.close_batch(batch.number);
    assert_eq!(pool.sending_ends_at(), Duration::ZERO);
}

#[test]
fn outcomes_are_decoded_as_their_lines_arrive() {
    let mut lines = OutcomeLines::default();
    let text =
        "{\"start\":1,\"reply\":{\"done\":{\"clock_ms\":9}}}\n{\"start\":0,\"reply\":null}\n";
    let (first, second) = text.as_bytes().split_at(50);
    let outcomes = lines.add(first);
    assert_eq!(
        outcomes
            .iter()
            .map(|outcome| outcome.start)
            .collect::<Vec<_>>(),
        [1]
    );
    let outcomes = lines.add(second);
    assert_eq!(outcomes.len(), 1);
    assert_eq!(outcomes[0].reply, None);
}

/// A start order goes two ways if its sender fails: it may have been carried out, or still be. The minions'
/// checks of attempts keep a task from running twice, and no minion counts as silent.
#[rstest]
fn work_goes_on_and_no_task_runs_twice_when_senders_fail(#[values(1, 2, 3, 4)] seed: u64) {
    let minions = (0..20).map(|number| FakeMinion::new(entry(number, "p0"), START));
    let mut built = JobSite::new(site(1, 0), minions.collect(), seed);
    built.run(Duration::from_millis(500));
    built.faults = Faults {
        failed_sender_rate: 0.3,
        ..Faults::default()
    };
    let jobs = built.submit_burst(100, Duration::from_millis(100));
    built.run(Duration::from_secs(15));
    let late: Vec<JobId> = jobs
        .iter()
        // Two steps of 0.8 s, each of which may start 250 ms late, and 600 ms.
        .filter(|(id, submitted)| {
            !built.completed_by(*id, *submitted + Duration::from_millis(2_800))
        })
        .map(|(id, _)| *id)
        .collect();
    assert!(late.len() <= 2, "late: {late:?}");
    assert!(
        jobs.iter()
            .all(|(id, _)| built.state(*id) == JobState::Completed)
    );
    assert_eq!(built.records.len(), 100 * 16, "each task ran once");
    assert!(built.starts_sent > 100 * 16, "some orders were sent twice");
    let suspect = built
        .scheduler
        .minions()
        .filter(|(_, minion)| minion.suspect);
    assert_eq!(suspect.count(), 0);
}

/// A sender that fails says nothing about the minions of its orders: work would avoid them until they have
/// listed their runs.
#[test]
fn no_minion_becomes_suspect_when_its_sender_fails() {
    let minions = (0..10).map(|number| FakeMinion::new(entry(number, "p0"), START));
    let mut built = JobSite::new(site(1, 0), minions.collect(), 1);
    built.run(Duration::from_millis(500));
    built.faults = Faults {
        failed_sender_rate: 1.0,
        ..Faults::default()
    };
    built.submit_burst(1, TICK);
    for _ in 0..100 {
        built.run(TICK);
        let mut minions = built.scheduler.minions();
        assert!(minions.all(|(_, minion)| !minion.suspect));
    }
    assert!(built.starts_sent > 8, "orders were sent again");
}

/// Guards rolling upgrades: a process of the previous version sends neither grants nor offers.
#[test]
fn messages_of_the_previous_version_can_be_read() {
    let heartbeat: Heartbeat = serde_json::from_str(
        r#"{"version":1,"waiting":null,"config_version":1,"config_age_ms":null}"#,
    )
    .expect("a heartbeat");
    assert_eq!(heartbeat.grant, None);
    let request: WatchRequest =
        serde_json::from_str(r#"{"known":1,"vm":"vm-1","capacity":null}"#).expect("a request");
    assert_eq!(request.offer, None);
}
