//! Moves of VMs between pools.

use std::time::Duration;

use rstest::rstest;
use snipevane_core::jobs::{JobDemand, JobState, MoveOutlook, MovePlanner, VmOrderBudget};
use snipevane_tests::jobs::{job, long_running_step, site_spec, step};

use crate::vm_site::{DOWNTIME, VmSite};

/// Guards against moves that end runs of an earlier term.
///
/// At the start of a term, minions that haven't listed their runs yet looked idle, and their VMs
/// moved to a pool with a backlog.
#[test]
fn no_vm_moves_before_its_minion_has_listed_its_runs_to_the_new_term() {
    let mut site = VmSite::with_pools(&[("p0", 6), ("p1", 3)]);
    let id = site.jobs.submit(1, job("p0", vec![long_running_step(3)]));
    site.run(Duration::from_secs(2));
    assert_eq!(site.jobs.live_runs(id), 3);
    site.jobs
        .submit(2, job("p1", vec![step(60, 8_000, 5_000, &[])]));
    site.jobs.run(Duration::from_millis(100));
    site.jobs.take_over();
    site.moves = MovePlanner::default();
    site.plan();
    assert_eq!(site.move_count, 0);
    site.run(Duration::from_secs(2));
    assert_eq!(site.move_count, 3, "the idle VMs move");
    assert_eq!(site.jobs.live_runs(id), 3);
}

#[test]
fn vms_join_a_pool_whose_turn_has_come_and_go_back_when_it_is_over() {
    let mut site = VmSite::new(4, 8);
    site.run(Duration::from_secs(4));
    assert_eq!(
        site.in_pool("p0"),
        3,
        "an idle pool keeps its minimum of VMs"
    );
    for number in 1..=20 {
        site.jobs
            .submit(number, job("p0", vec![step(10, 1_500, 900, &[])]));
    }
    site.run(Duration::from_secs(3));
    let busy = site.in_pool("p0");
    assert!(busy >= 9, "only {busy} VMs are up in the pool");
    site.run(Duration::from_secs(10));
    assert_eq!(site.in_pool("p0"), 3);
    assert!(site.move_count <= 20, "{} moves", site.move_count);
}

/// Guards against pools that keep idle VMs for steps which still wait for other steps.
#[test]
fn blocked_steps_request_no_vms() {
    let mut site = VmSite::new(3, 9);
    let steps = vec![step(1, 1_000, 6_000, &[]), step(200, 4_000, 2_000, &[0])];
    site.jobs.submit(1, job("p0", steps));
    site.run(Duration::from_secs(4));
    assert_eq!(site.in_pool("p0"), 3);
}

/// Each ordered VM is named in the scheduler's row, so a fleet that falls idle must not be moved to standby
/// all at once.
#[test]
fn an_idle_fleet_goes_to_standby_a_few_vms_at_a_time() {
    let mut site = VmSite::new(60, 2);
    site.max_orders = 5;
    site.run(Duration::from_secs(20));
    assert_eq!(site.most_orders, 5);
    assert!(site.move_count >= 50, "{} moves", site.move_count);
}

/// VMs that wait for their order to standby get no work, so only as many may wait as can be ordered; and a pool
/// with a backlog gets its VMs before they do.
#[test]
fn a_pool_with_a_backlog_goes_before_moves_to_standby() {
    let mut site = VmSite::with_pools(&[("p0", 40), ("p1", 3), ("standby", 8)]);
    site.max_orders = 2;
    site.run(Duration::from_secs(3));
    let spec = job("p1", vec![step(96, 2_000, 900, &[])]);
    let id = site.jobs.submit(1, spec);
    site.run(Duration::from_secs(6));
    assert_eq!(site.jobs.state(id), JobState::Completed);
}

/// Guards against rejections because of the processors that a pool has at the beginning of a burst, although VMs
/// move to it within the next seconds.
#[test]
fn nothing_is_rejected_in_a_burst_that_vms_of_a_standby_pool_work_off() {
    let mut site = VmSite::new(2, 10);
    let queue = site_spec(1, 0).queues.remove(0);
    let spec = job(
        "p0",
        vec![step(8, 1_000, 800, &[]), step(8, 1_000, 800, &[0])],
    );
    let demand = JobDemand::new(&spec, &queue).expect("a job with a deadline");
    let value_lasts = queue.time_allowed(spec.critical_path()) * 3;
    let mut submitted = Vec::new();
    let mut rejected_without_moves = 0;
    for round in 0..8_u64 {
        for number in 0..15 {
            let now = site.jobs.now;
            let rejects = |outlook: &MoveOutlook| {
                let scheduler = &site.jobs.scheduler;
                let snapshot = scheduler.admission_snapshot(outlook, DOWNTIME, now);
                let snapshot = snapshot.expect("the work is known");
                snapshot.rejection(&demand, Duration::ZERO).is_some()
            };
            assert!(!rejects(site.moves.outlook()), "rejected in round {round}");
            rejected_without_moves += u32::from(rejects(&MoveOutlook::default()));
            let id = site.jobs.submit(round * 100 + number, spec.clone());
            submitted.push((id, now));
        }
        // Plans once and runs for half a second.
        site.run(Duration::from_millis(500));
    }
    site.run(Duration::from_secs(20));
    assert!(rejected_without_moves > 0, "the load needs the VMs");
    let late = submitted
        .iter()
        .filter(|(id, at)| !site.jobs.completed_by(*id, *at + value_lasts));
    let late = late.count();
    assert!(late * 10 <= submitted.len(), "{late} jobs had no value");
}

/// Number of orders that the platform accepts a second, from all entry VMs together.
const ORDERS_PER_S: f64 = 64.0;

/// Lets all VMs of a pool become idle at once, with or without the budget of orders; returns the most moves that were
/// ordered in a second, and the number of all.
fn move_idle_vms(vms: usize, is_limited: bool) -> (usize, usize) {
    let mut site = VmSite::with_pools(&[("p0", vms), ("standby", 1)]);
    let mut budget = VmOrderBudget::new(ORDERS_PER_S);
    let mut rounds: Vec<(Duration, usize)> = Vec::new();
    for _ in 0..60 {
        site.return_vms();
        if is_limited {
            site.max_orders = budget.available(site.jobs.now);
        }
        let before = site.move_count;
        site.plan();
        let ordered = site.move_count - before;
        budget.record_sent(ordered, site.jobs.now);
        rounds.push((site.jobs.now, ordered));
        site.jobs.run(Duration::from_millis(200));
    }
    let in_second_from = |from: Duration| -> usize {
        let until = from + Duration::from_secs(1);
        let within = rounds.iter().filter(|(at, _)| (from..until).contains(at));
        within.map(|(_, ordered)| ordered).sum()
    };
    let most = rounds.iter().map(|(at, _)| in_second_from(*at)).max();
    (most.unwrap_or(0), site.move_count)
}

/// Guards against orders beyond the platform's rate. Each refused one is planned, stored and sent again in the next
/// round, with those that follow: 300 VMs that become idle at once are 300 orders a round.
#[rstest]
fn moves_of_many_vms_keep_within_the_rate_of_orders(#[values(7, 43, 140, 300)] vms: usize) {
    let (most_without_budget, _) = move_idle_vms(vms, false);
    let (most, all) = move_idle_vms(vms, true);
    assert!(most as f64 <= ORDERS_PER_S, "{most} a second");
    assert_eq!(all, vms - 3, "moves of idle VMs");
    assert_eq!(most_without_budget, vms - 3, "the load of the test");
}
