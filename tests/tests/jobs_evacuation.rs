//! Evacuation of availability zones, and minions that are cold after their start.
//!
//! The load: three zones whose minions are busy with short jobs that go on arriving while a zone is
//! evacuated, so that each start in the zone that isn't prevented shows up in the record of runs.

#![allow(clippy::expect_used, reason = "a failed step of a test ends it")]

use std::time::Duration;

use rstest::rstest;
use smol_str::{SmolStr, format_smolstr};
use snipevane_core::jobs::{JobId, JobState};
use snipevane_tests::jobs::{FakeMinion, JobSite, entry, job, long_running_step, site, step};

const START: Duration = Duration::from_secs(10);
const ZONES: usize = 3;
const MINIONS: usize = 12;
const EVACUATED: &str = "zone-0";

/// Time in which start orders that were in flight when the zone was evacuated arrive.
const IN_FLIGHT: Duration = Duration::from_millis(50);

const SUBMIT_INTERVAL: Duration = Duration::from_millis(100);

fn zone_of(number: usize) -> SmolStr {
    format_smolstr!("zone-{}", number % ZONES)
}

fn minion(number: usize) -> FakeMinion {
    let mut entry = entry(number, "p0");
    entry.zone = zone_of(number);
    FakeMinion::new(entry, START)
}

fn site_of_zones(seed: u64) -> JobSite {
    let mut built = JobSite::new(site(1, 0), (0..MINIONS).map(minion).collect(), seed);
    built.run(Duration::from_millis(100));
    built
}

/// Submits jobs of eight tasks for this time; `first` is the number of the first one.
fn submit_for(built: &mut JobSite, first: u64, time: Duration) -> Vec<JobId> {
    let end = built.now + time;
    let mut ids = Vec::new();
    while built.now < end {
        let spec = job("p0", vec![step(8, 2_000, 800, &[])]);
        ids.push(built.submit(first + ids.len() as u64, spec));
        built.run(SUBMIT_INTERVAL);
    }
    ids
}

fn ids_in_evacuated_zone(built: &JobSite) -> Vec<SmolStr> {
    let minions = built.minions.values();
    let in_zone = minions.filter(|minion| minion.entry.zone == EVACUATED);
    in_zone.map(|minion| minion.entry.id.clone()).collect()
}

/// Returns the number of runs that started in the evacuated zone from `from` on.
fn starts_in_zone(built: &JobSite, from: Duration) -> usize {
    let ids = ids_in_evacuated_zone(built);
    let runs = built.records.iter().filter(|run| run.from >= from);
    runs.filter(|run| ids.contains(&run.minion)).count()
}

fn evacuate(built: &mut JobSite) -> Duration {
    built.evacuated.insert(EVACUATED.into());
    built.now + IN_FLIGHT
}

fn unfinished(built: &JobSite, ids: &[JobId]) -> usize {
    let unfinished = ids
        .iter()
        .filter(|&&id| built.state(id) != JobState::Completed);
    unfinished.count()
}

#[rstest]
fn nothing_starts_in_an_evacuated_zone_and_all_jobs_end(#[values(1, 2, 3)] seed: u64) {
    let mut built = site_of_zones(seed);
    let mut ids = submit_for(&mut built, 1, Duration::from_secs(2));
    assert!(starts_in_zone(&built, START) > 0, "the zone was in use");
    let since = evacuate(&mut built);
    ids.extend(submit_for(&mut built, 1_000, Duration::from_secs(4)));
    built.run(Duration::from_secs(4));
    assert_eq!(starts_in_zone(&built, since), 0);
    assert_eq!(unfinished(&built, &ids), 0);
}

/// A start without a reply must not be sent again once the zone is evacuated, although the run is booked:
/// neither while its reply is overdue (a short loss) nor after its timeout (a long one).
#[rstest]
fn a_start_that_got_no_reply_is_not_sent_again(
    #[values(1, 2, 3)] seed: u64,
    #[values(100, 600)] loss_ms: u64,
) {
    let mut built = site_of_zones(seed);
    built.faulty_minions = ids_in_evacuated_zone(&built).into_iter().collect();
    let mut ids = submit_for(&mut built, 5_000, Duration::from_millis(500));
    built.faults.lost_request_rate = 1.0;
    ids.extend(submit_for(&mut built, 1, Duration::from_millis(loss_ms)));
    let since = evacuate(&mut built);
    built.faults.lost_request_rate = 0.0;
    ids.extend(submit_for(&mut built, 1_000, Duration::from_secs(1)));
    built.run(Duration::from_secs(15));
    assert_eq!(starts_in_zone(&built, since), 0);
    assert_eq!(unfinished(&built, &ids), 0);
}

/// Orders that are carried out seconds late may start runs in the zone. These end or are stopped, and no
/// task runs twice at a time, which `JobSite` checks at each start.
#[rstest]
fn late_orders_in_an_evacuated_zone_do_no_harm(#[values(1, 2, 3, 4, 5)] seed: u64) {
    let mut built = site_of_zones(seed);
    built.faults.delay_rate = 0.4;
    let mut ids = submit_for(&mut built, 1, Duration::from_secs(2));
    evacuate(&mut built);
    ids.extend(submit_for(&mut built, 1_000, Duration::from_secs(2)));
    built.faults.delay_rate = 0.0;
    built.run(Duration::from_secs(25));
    assert_eq!(unfinished(&built, &ids), 0);
}

#[rstest]
fn a_new_term_starts_nothing_in_an_evacuated_zone(#[values(1, 2, 3)] seed: u64) {
    let mut built = site_of_zones(seed);
    let mut ids = submit_for(&mut built, 1, Duration::from_secs(2));
    let since = evacuate(&mut built);
    ids.extend(submit_for(&mut built, 1_000, Duration::from_secs(1)));
    built.take_over();
    ids.extend(submit_for(&mut built, 2_000, Duration::from_secs(2)));
    built.run(Duration::from_secs(12));
    assert_eq!(starts_in_zone(&built, since), 0);
    assert_eq!(unfinished(&built, &ids), 0);
}

/// A minion that restarts during the evacuation registers as an empty, ready one.
#[test]
fn a_minion_that_restarts_in_an_evacuated_zone_gets_nothing() {
    let mut built = site_of_zones(1);
    submit_for(&mut built, 1, Duration::from_secs(1));
    let since = evacuate(&mut built);
    let id = ids_in_evacuated_zone(&built)[0].clone();
    let now = built.now;
    let crashed = built.minions.get_mut(&id).expect("a minion");
    crashed.crash(&mut built.records, now);
    let mut reborn = minion(MINIONS);
    reborn.entry.zone = EVACUATED.into();
    built.minions.insert(reborn.entry.id.clone(), reborn);
    built.list_minions();
    submit_for(&mut built, 1_000, Duration::from_secs(3));
    assert_eq!(starts_in_zone(&built, since), 0);
}

#[test]
fn jobs_wait_while_all_zones_are_evacuated_and_go_on_afterwards() {
    let mut built = site_of_zones(1);
    built.evacuated = (0..ZONES).map(zone_of).collect();
    let ids = submit_for(&mut built, 1, Duration::from_secs(2));
    assert_eq!(built.records.len(), 0);
    built.evacuated.remove("zone-1");
    built.run(Duration::from_secs(8));
    assert_eq!(unfinished(&built, &ids), 0);
}

/// A long-running task stays where it runs; if it ends, it starts in another zone.
#[test]
fn a_long_running_task_restarts_outside_an_evacuated_zone() {
    let mut built = site_of_zones(1);
    built.submit(1, job("p0", vec![long_running_step(6)]));
    built.run(Duration::from_secs(1));
    let since = evacuate(&mut built);
    built.run(Duration::from_secs(3));
    let stopped = built.records.iter().filter(|run| run.to.is_some()).count();
    assert_eq!(stopped, 0, "runs go on in the zone");
    let id = ids_in_evacuated_zone(&built)[0].clone();
    let now = built.now;
    let crashed = built.minions.get_mut(&id).expect("a minion");
    crashed.crash(&mut built.records, now);
    built.list_minions();
    built.run(Duration::from_secs(8));
    assert_eq!(starts_in_zone(&built, since), 0);
}

/// A request that the scheduler may not know yet must not be missed.
#[test]
fn nothing_starts_while_the_requests_are_unconfirmed() {
    let mut built = site_of_zones(1);
    built.scheduler.set_evacuations_confirmed(false);
    let ids = submit_for(&mut built, 1, Duration::from_secs(1));
    assert_eq!(built.scheduler.runs().count(), 0);
    assert_eq!(built.records.len(), 0);
    built.scheduler.set_evacuations_confirmed(true);
    built.run(Duration::from_secs(4));
    assert_eq!(unfinished(&built, &ids), 0);
}

/// Makes the minions of a zone cold for this time. They have half of the others' cores, so that best fit
/// alone would choose them.
fn make_cold(built: &mut JobSite, zone: &str, time: Duration) {
    for minion in built.minions.values_mut() {
        if minion.entry.zone == zone {
            minion.entry.warmup_left_ms = time.as_millis() as u64;
            minion.entry.capacity.cpu_millis = 8_000;
        }
    }
    built.list_minions();
}

#[test]
fn cold_minions_get_work_only_when_no_warm_one_has_room() {
    let mut built = site_of_zones(1);
    make_cold(&mut built, EVACUATED, Duration::from_secs(60));
    // Half of the cores of the warm minions.
    built.submit(1, job("p0", vec![step(32, 2_000, 800, &[])]));
    built.run(Duration::from_millis(300));
    assert_eq!(starts_in_zone(&built, START), 0);
    // More cores than the warm minions have left.
    built.submit(2, job("p0", vec![step(48, 2_000, 800, &[])]));
    built.run(Duration::from_millis(500));
    assert!(starts_in_zone(&built, START) > 0, "cold minions stay idle");
}

/// A cold minion is slow for a known reason, so it must not be put on probation.
#[test]
fn a_cold_minion_is_not_taken_for_a_slow_one() {
    let mut built = site_of_zones(1);
    make_cold(&mut built, EVACUATED, Duration::from_secs(4));
    let cold = ids_in_evacuated_zone(&built);
    for id in &cold {
        built.minions.get_mut(id).expect("a minion").slowdown = 5;
    }
    built.submit(1, job("p0", vec![step(96, 2_000, 800, &[])]));
    built.run(Duration::from_secs(3));
    assert!(starts_in_zone(&built, START) > 0, "cold minions are used");
    for id in &cold {
        let key = built.scheduler.minion_by_id(id).expect("a key");
        let minion = built.scheduler.minion(key).expect("a minion");
        assert!(!minion.on_probation, "{id}");
    }
}
