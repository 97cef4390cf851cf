//! Compares the fair queue with a naive scan of all requests, and its slot usage with weighted
//! max-min fairness.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use proptest::prelude::{Just, ProptestConfig, Strategy, any, prop_assert, prop_assert_eq};
use proptest::test_runner::{RngAlgorithm, TestCaseError, TestRng, TestRunner};
use proptest::{collection, prop_oneof};
use slotmap::SlotMap;
use snipevane_core::ids::TeamKey;
use snipevane_core::shares::{FairQueue, QueueSettings, WaitKey, WaitingRequest};
use snipevane_proto::manifest::Urgency;
use snipevane_tests::naive_queue::{NaiveQueue, max_min};

const TEAMS: usize = 4;
const SEED: [u8; 32] = [43; 32];

#[derive(Clone, Debug)]
enum Op {
    Wait(u64),
    Push(usize, Urgency, u64),
    Pop([bool; TEAMS]),
    Cancel(usize),
    Expire,
    Charge(usize, f64),
    Weight(usize, u32),
}

fn op() -> impl Strategy<Value = Op> {
    let urgency = prop_oneof![
        Just(Urgency::Urgent),
        Just(Urgency::Normal),
        Just(Urgency::Overnight),
    ];
    prop_oneof![
        3 => (0_u64..2_000).prop_map(Op::Wait),
        8 => (0..TEAMS, urgency, 0_u64..60_000).prop_map(|(t, u, ms)| Op::Push(t, u, ms)),
        6 => any::<[bool; TEAMS]>().prop_map(Op::Pop),
        2 => any::<usize>().prop_map(Op::Cancel),
        1 => Just(Op::Expire),
        3 => (0..TEAMS, 0.0..3.0_f64).prop_map(|(t, seconds)| Op::Charge(t, seconds)),
        1 => (0..TEAMS, 0_u32..9).prop_map(|(t, share)| Op::Weight(t, share)),
    ]
}

fn runner(cases: u32) -> TestRunner {
    let config = ProptestConfig {
        cases,
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &SEED))
}

fn teams(count: usize) -> Vec<TeamKey> {
    let mut keys = SlotMap::with_key();
    (0..count).map(|_| keys.insert(())).collect()
}

fn check(ops: Vec<Op>) -> Result<(), TestCaseError> {
    let settings = QueueSettings {
        max_waiting: 24,
        unrestricted_percent: 50,
        half_life: Duration::from_secs(5),
        ..QueueSettings::default()
    };
    let teams = teams(TEAMS);
    let mut now = Instant::now();
    let mut queue = FairQueue::new(settings);
    let mut naive = NaiveQueue::new(settings);
    let mut keys: BTreeMap<u32, WaitKey> = BTreeMap::new();
    let (mut pushed, mut ended) = (BTreeSet::new(), BTreeSet::new());
    for (item, op) in ops.into_iter().enumerate() {
        let item = item as u32;
        match op {
            Op::Wait(ms) => now += Duration::from_millis(ms),
            Op::Push(team, urgency, ms) => {
                let waiting = WaitingRequest {
                    team: teams[team],
                    urgency,
                    start_by: now + Duration::from_millis(ms),
                    item,
                };
                let room = naive.push(&waiting);
                let key = queue.push(waiting, now);
                prop_assert_eq!(key.is_ok(), room);
                if let Ok(key) = key {
                    keys.insert(item, key);
                    pushed.insert(item);
                }
            }
            Op::Pop(free) => {
                let can_start = |team| {
                    teams
                        .iter()
                        .zip(free)
                        .any(|(&known, free)| known == team && free)
                };
                let popped = queue.pop(now, can_start);
                for late in naive.expire(now) {
                    prop_assert!(ended.insert(late));
                    keys.remove(&late);
                }
                let result = naive.check_pop(now, can_start, popped.as_ref());
                prop_assert!(result.is_ok(), "{result:?}");
                if let Some(popped) = popped {
                    prop_assert!(ended.insert(popped.item));
                    keys.remove(&popped.item);
                }
                let late = queue.expire(now);
                prop_assert!(late.iter().all(|item| ended.contains(item)));
            }
            Op::Cancel(n) if !keys.is_empty() => {
                let Some(item) = keys.keys().copied().nth(n % keys.len()) else {
                    continue;
                };
                let key = keys.remove(&item);
                let cancelled = key.and_then(|key| queue.cancel(key));
                prop_assert_eq!(cancelled.map(|waiting| waiting.item), Some(item));
                prop_assert!(ended.insert(item));
                naive.cancel(item);
            }
            Op::Cancel(_) => {}
            Op::Expire => {
                let mut late = queue.expire(now);
                late.sort_unstable();
                prop_assert_eq!(&late, &naive.expire(now));
                for item in late {
                    prop_assert!(ended.insert(item));
                    keys.remove(&item);
                }
            }
            Op::Charge(team, seconds) => {
                queue.charge(teams[team], seconds, now);
                naive.charge(teams[team], seconds, now);
            }
            Op::Weight(team, share) => {
                queue.set_weight(teams[team], share);
                naive.set_weight(teams[team], share);
            }
        }
        prop_assert_eq!(queue.len(), naive.len());
        prop_assert_eq!(queue.len() + ended.len(), pushed.len());
    }
    Ok(())
}

#[test]
fn queue_matches_a_linear_scan() {
    let ops = collection::vec(op(), 1..200);
    runner(400).run(&ops, check).unwrap();
}

/// Simulates a service with `slots` slots; returns the mean number of slots that each team uses.
///
/// `demands` are pairs of a demand in slots and a weight. Each team sends its demand evenly over
/// time, in requests of one second.
fn mean_slots(slots: usize, demands: &[(f64, u32)]) -> Vec<f64> {
    const STEP_MS: u64 = 10;
    const WARM_UP_MS: u64 = 60_000;
    const END_MS: u64 = 260_000;
    let start = Instant::now();
    let keys = teams(demands.len());
    let mut queue = FairQueue::new(QueueSettings {
        half_life: Duration::from_secs(20),
        ..QueueSettings::default()
    });
    for (&team, &(_, weight)) in keys.iter().zip(demands) {
        queue.set_weight(team, weight);
    }
    let mut pending_demand = vec![0.0; demands.len()];
    let mut used = vec![0.0; demands.len()];
    let mut running: Vec<(u64, usize)> = Vec::new();
    for ms in (0..END_MS).step_by(STEP_MS as usize) {
        let now = start + Duration::from_millis(ms);
        for (n, &(demand, _)) in demands.iter().enumerate() {
            pending_demand[n] += demand * STEP_MS as f64 / 1000.0;
            while pending_demand[n] >= 1.0 {
                pending_demand[n] -= 1.0;
                let waiting = WaitingRequest {
                    team: keys[n],
                    urgency: Urgency::Normal,
                    start_by: now + Duration::from_secs(10),
                    item: n,
                };
                // A refused request is demand that the service doesn't meet.
                let _refused = queue.push(waiting, now).is_err();
            }
        }
        running.retain(|&(end, n)| {
            if end <= ms {
                queue.charge(keys[n], 1.0, now);
            }
            end > ms
        });
        queue.expire(now);
        while running.len() < slots {
            let Some(next) = queue.pop(now, |_| true) else {
                break;
            };
            running.push((ms + 1000, next.item));
        }
        if ms >= WARM_UP_MS {
            for &(_, n) in &running {
                used[n] += STEP_MS as f64 / (END_MS - WARM_UP_MS) as f64;
            }
        }
    }
    used
}

#[test]
fn slot_usage_approximates_weighted_max_min() {
    let demands = collection::vec((0.0..12.0_f64, 1_u32..8), 2..6);
    let result = runner(12).run(&demands, |demands| {
        let slots = 8;
        let mean_used = mean_slots(slots, &demands);
        let fair = max_min(slots as f64, &demands);
        for (mean_used, fair) in mean_used.iter().zip(&fair) {
            let deviation = (mean_used - fair).abs() / slots as f64;
            prop_assert!(
                deviation <= 0.05,
                "{mean_used:.2} slots, {fair:.2} fair, {demands:?}"
            );
        }
        Ok(())
    });
    result.unwrap();
}
