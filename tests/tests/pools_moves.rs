//! Tests that VMs move between pools only if the expected wait is worth a drain and a reboot.

use rstest::rstest;
use snipevane_core::ids::PoolKey;
use snipevane_core::pools::{Move, MovePlanner, MoveSettings, PoolLoad, UnixMs};
use snipevane_tests::fleet::Keys;

const SECOND_MS: u64 = 1000;
const HOUR_SECS: u64 = 3600;

fn load(pool: PoolKey, serving: u32, demand: f64) -> PoolLoad {
    PoolLoad {
        pool,
        serving,
        arriving: 0,
        min_vms: 2,
        configured_vms: 10,
        spare: false,
        demand,
        backlog: 0.0,
    }
}

fn spare(pool: PoolKey, serving: u32) -> PoolLoad {
    PoolLoad {
        min_vms: 0,
        spare: true,
        ..load(pool, serving, 0.0)
    }
}

/// Runs the planner once per second with the loads of that second, and returns the moves with their
/// second.
fn decide(
    planner: &mut MovePlanner,
    secs: std::ops::Range<u64>,
    loads: impl Fn(u64) -> Vec<PoolLoad>,
) -> Vec<(u64, Move)> {
    let mut moves = Vec::new();
    for sec in secs {
        let decided = planner.decide(&loads(sec), UnixMs(sec * SECOND_MS));
        moves.extend(decided.into_iter().map(|one| (sec, one)));
    }
    moves
}

/// Returns five times `mean` during a burst of 10 s in each interval of 50 s, and a twentieth of
/// `mean` in between.
fn burst(sec: u64, offset: u64, mean: f64) -> f64 {
    const INTERVAL_SECS: u64 = 50;
    const BURST_SECS: u64 = 10;
    let bursting = (sec + offset) % INTERVAL_SECS < BURST_SECS;
    mean * if bursting { 5.0 } else { 0.05 }
}

#[rstest]
#[case::mean_of_half_the_capacity(5.0)]
#[case::mean_near_the_capacity(8.0)]
fn alternating_bursts_cause_no_move(#[case] mean: f64) {
    let keys = Keys::new(0);
    let mut planner = MovePlanner::new(MoveSettings::default());
    let moves = decide(&mut planner, 0..6 * HOUR_SECS, |sec| {
        let mut first = load(keys.pools[0], 10, burst(sec, 0, mean));
        // Work above the capacity waits until the burst is over.
        first.backlog = (first.demand - 10.0).max(0.0) * 10.0;
        vec![first, load(keys.pools[1], 10, burst(sec, 25, mean))]
    });
    assert_eq!(moves, []);
}

#[test]
fn sustained_demand_takes_spare_vms_once_and_returns_them_after_the_cooldown() {
    let keys = Keys::new(0);
    let (pool, reserve) = (keys.pools[0], keys.pools[1]);
    let mut planner = MovePlanner::new(MoveSettings::default());
    let calm = |_| vec![load(pool, 10, 5.0), spare(reserve, 4)];
    assert_eq!(decide(&mut planner, 0..600, calm), []);
    let mut decided_at = None;
    for sec in 600..HOUR_SECS {
        let mut first = load(pool, 10, 12.0);
        match decided_at {
            None => first.backlog = 2.0 * (sec - 600) as f64,
            Some(at) if sec < at + 240 => first.arriving = 4,
            Some(_) => first.serving = 14,
        }
        let left = if decided_at.is_none() { 4 } else { 0 };
        let moves = planner.decide(&[first, spare(reserve, left)], UnixMs(sec * SECOND_MS));
        if !moves.is_empty() {
            assert_eq!(decided_at, None, "VMs must move only once");
            assert_eq!(
                moves,
                [Move {
                    from: reserve,
                    to: pool,
                    vms: 4
                }]
            );
            decided_at = Some(sec);
        }
    }
    let waited = decided_at.unwrap() - 600;
    assert!((120..600).contains(&waited), "decided after {waited} s");
    let returned = decide(&mut planner, HOUR_SECS..3 * HOUR_SECS, |_| {
        vec![load(pool, 14, 2.0), spare(reserve, 0)]
    });
    let (sec, first) = returned[0];
    assert_eq!(
        first,
        Move {
            from: pool,
            to: reserve,
            vms: 4
        }
    );
    assert!(
        sec >= HOUR_SECS + 1800,
        "VMs must be returned only after the cooldown"
    );
}

#[test]
fn sustained_demand_in_bursts_causes_a_move() {
    let keys = Keys::new(0);
    let (pool, reserve) = (keys.pools[0], keys.pools[1]);
    let mut planner = MovePlanner::new(MoveSettings::default());
    let mut backlog: f64 = 0.0;
    let mut moved = Vec::new();
    for sec in 0..HOUR_SECS {
        let mut first = load(pool, 10, burst(sec, 0, 12.0));
        backlog = (backlog + first.demand - 10.0).max(0.0);
        first.backlog = backlog;
        moved.extend(planner.decide(&[first, spare(reserve, 4)], UnixMs(sec * SECOND_MS)));
        if !moved.is_empty() {
            break;
        }
    }
    assert_eq!(moved.len(), 1);
    assert_eq!((moved[0].from, moved[0].to), (reserve, pool));
}

#[test]
fn a_pool_below_its_minimum_gets_vms_at_once() {
    let keys = Keys::new(0);
    let (pool, reserve) = (keys.pools[0], keys.pools[1]);
    let mut planner = MovePlanner::new(MoveSettings::default());
    let moves = planner.decide(&[load(pool, 1, 0.5), spare(reserve, 3)], UnixMs(0));
    assert_eq!(
        moves,
        [Move {
            from: reserve,
            to: pool,
            vms: 1
        }]
    );
}

#[test]
fn a_pool_gives_a_vm_only_if_it_stays_well_below_its_capacity() {
    let keys = Keys::new(0);
    let (pool, other) = (keys.pools[0], keys.pools[1]);
    let busy = |demand| move |_| vec![load(pool, 10, 20.0), load(other, 10, demand)];
    let mut planner = MovePlanner::new(MoveSettings::default());
    assert_eq!(decide(&mut planner, 0..HOUR_SECS, busy(6.0)), []);
    let mut planner = MovePlanner::new(MoveSettings::default());
    let moves = decide(&mut planner, 0..300, busy(2.0));
    assert_eq!(
        moves[0].1,
        Move {
            from: other,
            to: pool,
            vms: 1
        }
    );
}

#[rstest]
#[case::a_wait_shorter_than_drain_and_reboot(100.0, false)]
#[case::a_wait_that_outlasts_them(300.0, true)]
fn a_move_must_save_more_time_than_it_takes(#[case] backlog: f64, #[case] pays: bool) {
    let keys = Keys::new(0);
    let mut planner = MovePlanner::new(MoveSettings::default());
    let moves = decide(&mut planner, 0..HOUR_SECS / 2, |_| {
        // Half a VM is left for the backlog. Twice the time for drain and reboot is 480 s.
        let mut first = load(keys.pools[0], 10, 9.5);
        first.backlog = backlog;
        vec![first, spare(keys.pools[1], 1)]
    });
    assert_eq!(!moves.is_empty(), pays);
}
