//! Tests that the router stays within the allocated slots, that a server that fails fast doesn't
//! attract requests, and that retries stay within their budget.

use std::time::{Duration, Instant};

use rstest::rstest;
use slotmap::SlotMap;
use snipevane_core::ids::ServiceKey;
use snipevane_core::routing::{
    Health, RequestOutcome, RetryBudget, RetrySettings, Router, ServerSpec, Slot,
};

const ANSWERED: RequestOutcome = RequestOutcome::Answered {
    latency: Duration::from_millis(20),
};

fn service() -> ServiceKey {
    SlotMap::with_key().insert(())
}

fn specs(service: ServiceKey, servers: usize, slots: u16) -> Vec<ServerSpec> {
    let spec = |n: usize| ServerSpec {
        vm: format!("vm-{n}").into(),
        address: ([127, 0, 0, 1], 1000 + n as u16).into(),
        service,
        slots,
        connections: 64,
    };
    (0..servers).map(spec).collect()
}

fn router(service: ServiceKey, servers: usize, slots: u16, now: Instant) -> Router {
    let mut router = Router::default();
    router.sync(specs(service, servers, slots), now);
    router
}

fn vm_of(router: &Router, slot: &Slot) -> String {
    let server = router.server(slot.server());
    server.map_or_else(String::new, |server| server.vm().to_string())
}

#[test]
fn picks_the_least_loaded_server_within_the_allocated_slots() {
    let (service, now) = (service(), Instant::now());
    let mut router = router(service, 3, 2, now);
    let slots: Vec<Slot> = std::iter::from_fn(|| router.pick(service, now)).collect();
    assert_eq!(slots.len(), 6);
    assert!(router.stats().all(|server| server.slots_in_use == 2));
    assert_eq!(router.free_slots(service), 0);
    for slot in slots {
        router.release(slot, ANSWERED, now);
    }
    assert_eq!(router.free_slots(service), 6);
}

#[test]
fn slots_are_limited_by_connections() {
    let (service, now) = (service(), Instant::now());
    let mut router = Router::default();
    let mut spec = specs(service, 1, 8).remove(0);
    spec.connections = 3;
    router.sync([spec], now);
    assert_eq!(router.free_slots(service), 3);
}

#[test]
fn a_slot_in_quarantine_stays_taken_until_its_time() {
    let (service, now) = (service(), Instant::now());
    let mut router = router(service, 1, 1, now);
    let slot = router.pick(service, now).unwrap();
    router.quarantine(slot, now + Duration::from_secs(9));
    assert!(router.pick(service, now + Duration::from_secs(8)).is_none());
    assert!(router.pick(service, now + Duration::from_secs(9)).is_some());
}

#[test]
fn a_removed_server_gets_no_new_requests_and_is_dropped_when_idle() {
    let (service, now) = (service(), Instant::now());
    let mut router = router(service, 1, 2, now);
    let slot = router.pick(service, now).unwrap();
    let key = slot.server();
    router.sync([], now);
    assert!(router.pick(service, now).is_none());
    assert!(router.server(key).is_some());
    router.release(slot, ANSWERED, now);
    assert!(router.server(key).is_none());
    assert_eq!(router.stats().count(), 0);
}

#[test]
fn a_retained_server_keeps_its_key_and_running_requests() {
    let (service, now) = (service(), Instant::now());
    let mut router = router(service, 2, 2, now);
    let slot = router.pick(service, now).unwrap();
    let key = slot.server();
    router.sync(specs(service, 2, 1), now);
    assert_eq!(router.server(key).unwrap().slots_in_use(), 1);
    assert_eq!(router.free_slots(service), 1);
    router.release(slot, ANSWERED, now);
}

#[test]
fn a_leaving_vm_gets_no_new_requests_even_if_added_later() {
    let (service, now) = (service(), Instant::now());
    let mut router = Router::default();
    router.set_leaving("vm-0", true);
    router.sync(specs(service, 2, 4), now);
    let slots: Vec<Slot> = std::iter::from_fn(|| router.pick(service, now)).collect();
    assert!(slots.iter().all(|slot| vm_of(&router, slot) == "vm-1"));
    router.set_leaving("vm-0", false);
    assert_eq!(router.free_slots(service), 4);
    for slot in slots {
        router.release(slot, ANSWERED, now);
    }
}

#[test]
fn suspecting_all_servers_does_not_stop_the_service() {
    let (service, now) = (service(), Instant::now());
    let mut router = router(service, 10, 8, now);
    for n in 0..10 {
        router.set_suspect(&format!("vm-{n}"), true);
    }
    assert_eq!(router.free_slots(service), 7 * 8);
    for n in 0..10 {
        router.set_suspect(&format!("vm-{n}"), false);
    }
    assert_eq!(router.free_slots(service), 10 * 8);
}

#[test]
fn a_retry_goes_to_another_server() {
    let (service, now) = (service(), Instant::now());
    let mut router = router(service, 2, 4, now);
    let first = router.pick(service, now).unwrap();
    let failed = first.server();
    router.release(first, RequestOutcome::Abandoned, now);
    let second = router.pick_other(service, failed, now).unwrap();
    assert_ne!(second.server(), failed);
    router.release(second, ANSWERED, now);
}

/// A server that fails fast must not attract requests by having free slots all the time. Sends one
/// request every millisecond; `vm-0` fails each at once, the other servers take 20 ms.
#[rstest]
#[case::failed(RequestOutcome::Failed)]
#[case::refused(RequestOutcome::ConnectFailed)]
fn fast_failures_attract_no_requests(#[case] failure: RequestOutcome) {
    let (service, start) = (service(), Instant::now());
    let mut router = router(service, 10, 8, start);
    let mut running: Vec<(Instant, Slot)> = Vec::new();
    let mut failed = 0;
    for ms in 0..20_000 {
        let now = start + Duration::from_millis(ms);
        while running.first().is_some_and(|&(end, _)| end <= now) {
            router.release(running.remove(0).1, ANSWERED, now);
        }
        let slot = router.pick(service, now).unwrap();
        if vm_of(&router, &slot) == "vm-0" {
            failed += 1;
            router.release(slot, failure, now);
        } else {
            running.push((now + Duration::from_millis(20), slot));
        }
    }
    // Three failures eject the server; probes follow 1, 3, 7 and 15 s later at the earliest.
    assert!((3 + 1..=3 + 4).contains(&failed), "{failed}");
}

#[test]
fn an_ejected_server_recovers_through_one_probe() {
    let (service, now) = (service(), Instant::now());
    let mut router = router(service, 4, 4, now);
    let bad = router.pick(service, now).unwrap();
    let key = bad.server();
    router.release(bad, RequestOutcome::Failed, now);
    let mut others = Vec::new();
    while router.server(key).unwrap().health() == Health::Serving {
        let slot = router.pick(service, now).unwrap();
        match slot.server() == key {
            true => router.release(slot, RequestOutcome::Failed, now),
            false => others.push(slot),
        }
    }
    for slot in others {
        router.release(slot, ANSWERED, now);
    }
    assert_eq!(router.free_slots(service), 12);
    let later = now + Duration::from_secs(1);
    router.tick(later);
    assert_eq!(router.server(key).unwrap().health(), Health::Probing);
    assert_eq!(router.free_slots(service), 13);
    let mut slots: Vec<Slot> = std::iter::from_fn(|| router.pick(service, later)).collect();
    let probe = slots.iter().position(|slot| slot.server() == key).unwrap();
    router.release(slots.swap_remove(probe), ANSWERED, later);
    assert_eq!(router.server(key).unwrap().health(), Health::Serving);
    assert_eq!(router.free_slots(service), 4);
}

#[test]
fn a_service_whose_servers_all_fail_still_gets_requests() {
    let (service, start) = (service(), Instant::now());
    let mut router = router(service, 10, 8, start);
    for step in 0..1_000 {
        let now = start + Duration::from_millis(step);
        let slot = router.pick(service, now).unwrap();
        router.release(slot, RequestOutcome::Failed, now);
        let ejected = router
            .stats()
            .filter(|server| matches!(server.health, Health::Ejected(_)));
        assert!(ejected.count() <= 3);
    }
}

#[test]
fn a_server_that_declined_backs_off_briefly() {
    let (service, now) = (service(), Instant::now());
    let mut router = router(service, 1, 8, now);
    let slot = router.pick(service, now).unwrap();
    router.release(slot, RequestOutcome::Declined, now);
    assert_eq!(router.free_slots(service), 0);
    router.tick(now + Duration::from_millis(50));
    assert_eq!(router.free_slots(service), 8);
}

#[test]
fn retries_are_limited_to_a_fraction_of_each_teams_requests() {
    let mut teams = SlotMap::with_key();
    let (one, other) = (teams.insert(()), teams.insert(()));
    let now = Instant::now();
    let mut budget = RetryBudget::new(RetrySettings::default());
    for _ in 0..1_000 {
        budget.on_request(one);
    }
    // Accumulated retries are limited to the burst.
    let retries = (0..10).filter(|_| budget.try_retry(one, now)).count();
    assert_eq!(retries, 3);
    let mut granted = 0;
    for _ in 0..1_000 {
        budget.on_request(one);
        granted += u32::from(budget.try_retry(one, now));
    }
    assert!((99..=100).contains(&granted), "{granted}");
    assert!(budget.try_retry(other, now));
    assert!(budget.try_retry(one, now + Duration::from_secs(10)));
}
