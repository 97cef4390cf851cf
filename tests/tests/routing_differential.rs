//! Differential test: the router and a naive scan make the same decisions over random sequences of
//! operations.

use std::time::{Duration, Instant};

use proptest::prelude::{Just, ProptestConfig, Strategy, any, prop_assert, prop_assert_eq};
use proptest::test_runner::{RngAlgorithm, TestRng, TestRunner};
use proptest::{collection, prop_oneof};
use slotmap::SlotMap;
use snipevane_core::ids::ServiceKey;
use snipevane_core::routing::{RequestOutcome, Router, ServerSpec, Slot};
use snipevane_tests::naive_router::NaiveRouter;

const SERVERS: u16 = 6;
const SEED: [u8; 32] = [41; 32];

#[derive(Clone, Debug)]
enum Op {
    Wait(u64),
    Pick,
    Release(usize, RequestOutcome),
    Quarantine(usize, u64),
    Leave(u16, bool),
    Suspect(u16, bool),
    Sync(Vec<(u16, u16)>),
}

fn op() -> impl Strategy<Value = Op> {
    let answered = RequestOutcome::Answered {
        latency: Duration::from_millis(5),
    };
    let outcome = prop_oneof![
        3 => Just(answered),
        3 => Just(RequestOutcome::Failed),
        1 => Just(RequestOutcome::ConnectFailed),
        1 => Just(RequestOutcome::Declined),
        1 => Just(RequestOutcome::Abandoned),
    ];
    prop_oneof![
        3 => prop_oneof![0_u64..4, 0_u64..3_000].prop_map(Op::Wait),
        8 => Just(Op::Pick),
        6 => (any::<usize>(), outcome).prop_map(|(n, outcome)| Op::Release(n, outcome)),
        1 => (any::<usize>(), prop_oneof![0_u64..8, 0_u64..9_000])
            .prop_map(|(n, ms)| Op::Quarantine(n, ms)),
        1 => (0..SERVERS, any::<bool>()).prop_map(|(n, leaving)| Op::Leave(n, leaving)),
        1 => (0..SERVERS, any::<bool>()).prop_map(|(n, suspect)| Op::Suspect(n, suspect)),
        1 => collection::btree_map(0..SERVERS, 0_u16..4, 0..6)
            .prop_map(|specs| Op::Sync(specs.into_iter().collect())),
    ]
}

fn specs(service: ServiceKey, servers: &[(u16, u16)]) -> Vec<ServerSpec> {
    let spec = |&(n, slots): &(u16, u16)| ServerSpec {
        vm: format!("vm-{n}").into(),
        address: ([127, 0, 0, 1], n).into(),
        service,
        slots,
        connections: 64,
    };
    servers.iter().map(spec).collect()
}

fn vm_of(router: &Router, slot: &Slot) -> String {
    let server = router.server(slot.server());
    server.map_or_else(String::new, |server| server.vm().to_string())
}

#[test]
fn router_matches_naive_scan() {
    let config = ProptestConfig {
        cases: 400,
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let ops = collection::vec(op(), 1..200);
    let result = runner.run(&ops, |ops| {
        let service: ServiceKey = SlotMap::with_key().insert(());
        let mut now = Instant::now();
        let mut router = Router::default();
        let mut naive = NaiveRouter::default();
        let initial = specs(service, &[(0, 2), (1, 2), (2, 3), (3, 1)]);
        naive.sync(&initial, now);
        router.sync(initial, now);
        let mut held: Vec<Slot> = Vec::new();
        for op in ops {
            match op {
                Op::Wait(ms) => now += Duration::from_millis(ms),
                Op::Pick => {
                    let candidates = naive.candidates(now);
                    let slot = router.pick(service, now);
                    prop_assert_eq!(slot.is_none(), candidates.is_empty());
                    if let Some(slot) = slot {
                        let vm = vm_of(&router, &slot);
                        prop_assert!(candidates.contains(&vm), "{vm} not in {candidates:?}");
                        naive.take(&vm);
                        held.push(slot);
                    }
                }
                Op::Release(n, outcome) if !held.is_empty() => {
                    let slot = held.swap_remove(n % held.len());
                    naive.release(&vm_of(&router, &slot), outcome, now);
                    router.release(slot, outcome, now);
                }
                Op::Quarantine(n, ms) if !held.is_empty() => {
                    let slot = held.swap_remove(n % held.len());
                    let until = now + Duration::from_millis(ms);
                    naive.quarantine(&vm_of(&router, &slot), until);
                    router.quarantine(slot, until);
                }
                Op::Release(..) | Op::Quarantine(..) => {}
                Op::Leave(n, leaving) => {
                    router.set_leaving(&format!("vm-{n}"), leaving);
                    naive.set_leaving(&format!("vm-{n}"), leaving);
                }
                Op::Suspect(n, suspect) => {
                    router.set_suspect(&format!("vm-{n}"), suspect);
                    naive.set_suspect(&format!("vm-{n}"), suspect);
                }
                Op::Sync(servers) => {
                    let specs = specs(service, &servers);
                    naive.sync(&specs, now);
                    router.sync(specs, now);
                }
            }
            naive.candidates(now);
            router.tick(now);
            prop_assert_eq!(router.free_slots(service) as usize, naive.free_slots());
            let mut taken: Vec<(String, usize)> = router
                .stats()
                .map(|server| (server.vm.to_string(), server.slots_in_use.into()))
                .collect();
            taken.sort();
            prop_assert_eq!(taken, naive.taken_slots());
        }
        Ok(())
    });
    result.unwrap();
}
