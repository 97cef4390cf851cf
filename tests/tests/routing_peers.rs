//! Tests that requests are forwarded to peers with free slots or shorter queues, and that no
//! routing strategy overloads a server.

use std::time::{Duration, Instant};

use rstest::rstest;
use slotmap::SlotMap;
use snipevane_core::ids::ServiceKey;
use snipevane_core::routing::{Distance, Load, LoadReporter, PeerKey, Peers};
use snipevane_measure::routing::measure;

const SLOTS: u16 = 8;

fn service() -> ServiceKey {
    SlotMap::with_key().insert(())
}

fn load(free: u32, waiting: u32) -> Load {
    Load {
        free,
        waiting,
        slots: 10,
    }
}

fn peers(service: ServiceKey, loads: &[(&str, Distance, Load)], now: Instant) -> Peers {
    let mut peers = Peers::default();
    for &(vm, distance, load) in loads {
        peers.upsert(vm, distance);
        peers.on_load_report(vm, service, load, now);
    }
    peers
}

#[test]
fn free_slots_in_the_same_zone_are_used_first_and_only_once() {
    let (service, now) = (service(), Instant::now());
    let mut peers = peers(
        service,
        &[
            ("far", Distance::Region, load(2, 0)),
            ("near", Distance::Zone, load(1, 0)),
        ],
        now,
    );
    let chosen: Vec<PeerKey> = (0..5)
        .filter_map(|random| peers.pick_with_free_slot(service, random, now))
        .collect();
    let names: Vec<&str> = chosen
        .iter()
        .filter_map(|&peer| Some(peers.vm(peer)?.as_str()))
        .collect();
    assert_eq!(names, ["near", "far", "far"]);
}

#[rstest]
#[case::clearly_shorter(load(0, 9), load(0, 3), true)]
#[case::about_the_same(load(0, 9), load(0, 6), false)]
#[case::no_slot_here(Load::default(), load(0, 50), true)]
fn a_request_waits_where_the_queue_per_slot_is_clearly_shorter(
    #[case] own: Load,
    #[case] peer: Load,
    #[case] forwards: bool,
) {
    let (service, now) = (service(), Instant::now());
    let mut peers = peers(service, &[("peer", Distance::Zone, peer)], now);
    let chosen = peers.pick_with_shorter_wait(service, own, now);
    assert_eq!(chosen.is_some(), forwards);
}

#[test]
fn outdated_reports_and_non_serving_peers_attract_no_requests() {
    let (service, now) = (service(), Instant::now());
    let mut peers = peers(service, &[("peer", Distance::Zone, load(5, 0))], now);
    peers.set_serving("peer", false);
    assert!(peers.pick_with_free_slot(service, 0, now).is_none());
    assert!(peers.peers_to_ask(service, 0, now).is_empty());
    peers.set_serving("peer", true);
    let later = now + Duration::from_secs(3);
    assert!(peers.pick_with_free_slot(service, 0, later).is_none());
    assert_eq!(peers.peers_to_ask(service, 0, later), ["peer"]);
}

#[test]
fn idle_slots_are_offered_to_requesting_peers_in_turn() {
    let (service, now) = (service(), Instant::now());
    let mut reporter = LoadReporter::default();
    assert!(reporter.on_idle(service, load(1, 0), now).is_none());
    reporter.on_slot_request("a", service, now);
    reporter.on_slot_request("b", service, now);
    let told: Vec<String> = (0..3)
        .filter_map(|_| reporter.on_idle(service, load(1, 0), now))
        .map(String::from)
        .collect();
    assert_eq!(told, ["a", "b", "a"]);
    // Requests that wait here come first, and a slot request expires.
    assert!(reporter.on_idle(service, load(1, 1), now).is_none());
    let later = now + Duration::from_millis(150);
    assert!(reporter.on_idle(service, load(1, 0), later).is_none());
}

#[test]
fn no_routing_strategy_exceeds_the_slots_of_a_server() {
    let figures = measure(3, Duration::from_secs(5)).unwrap();
    assert_eq!(figures.len(), 4 * 7);
    for row in figures {
        assert!(row.most_running <= SLOTS, "{row:?}");
    }
}
