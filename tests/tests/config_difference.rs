//! Tests that applying a difference gives the other manifest, and that the difference is small for
//! a small change.

use proptest::prelude::*;
use snipevane_core::config::{apply_difference, difference};
use snipevane_proto::manifest::{Difference, Manifest, canonical_text};
use snipevane_tests::target_manifest::{SEED, target_manifest};

/// Control traffic that a node may cause at the target fleet size, in bytes per second.
const CONTROL_BYTES_PER_SECOND: usize = 8 * 1024;
/// Changes of the configuration per day at the target fleet size.
const CHANGES_PER_DAY: usize = 2_200;
/// Length of a day, in seconds.
const DAY_SECONDS: usize = 24 * 60 * 60;
/// Number of entry VMs of a zone that fetch from the zone's fetcher, at the target fleet size.
const ZONE_PEERS: usize = 5;

/// Applies random edits, which change, remove, add and move items.
fn edit(manifest: &mut Manifest, edits: &[(u8, usize, u32)]) {
    for &(kind, at, value) in edits {
        let (teams, queues) = (manifest.teams.len(), manifest.queues.len());
        match kind {
            0 if teams > 1 => drop(manifest.teams.remove(at % teams)),
            1 => manifest.teams[at % teams].limit = value,
            2 => {
                let mut team = manifest.teams[at % teams].clone();
                team.name = format!("new-{value}");
                manifest.teams.retain(|other| other.name != team.name);
                manifest.teams.insert(at % manifest.teams.len(), team);
            }
            3 if queues > 1 => drop(manifest.queues.remove(at % queues)),
            4 => {
                let pools = manifest.pools.len();
                let vm = manifest.pools[at % pools].vms.pop();
                manifest.pools[(at + 1) % pools].vms.extend(vm);
            }
            5 => manifest.services[0].slots = u16::try_from(value % 9).unwrap_or(0),
            6 => manifest.zones[0].shards += 1,
            7 => manifest.keys = None,
            _ => manifest.site = format!("site-{value}"),
        }
    }
}

fn edits() -> impl Strategy<Value = Vec<(u8, usize, u32)>> {
    prop::collection::vec((0..9_u8, 0..64_usize, 0..50_u32), 0..12)
}

fn kandyan() -> Manifest {
    serde_json::from_str(include_str!("../../samples/kandyan.json")).unwrap_or_else(|error| {
        panic!("{error}");
    })
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 512,
        rng_seed: prop::test_runner::RngSeed::Fixed(22),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Compares the manifest rebuilt from a difference with the canonical text of the whole one.
    #[test]
    fn a_difference_gives_the_same_text_as_the_whole(first in edits(), second in edits()) {
        let (mut from, mut to) = (kandyan(), kandyan());
        edit(&mut from, &first);
        edit(&mut to, &second);
        let sent = serde_json::to_string(&difference(&from, &to)).unwrap();
        let received: Difference = serde_json::from_str(&sent).unwrap();
        let text = canonical_text(&apply_difference(&from, &received)).unwrap();
        prop_assert_eq!(text, canonical_text(&to).unwrap());
    }
}

#[test]
fn reordered_lists_give_an_empty_difference() {
    let mut reordered = kandyan();
    reordered.teams.reverse();
    reordered.queues.reverse();
    let change = difference(&kandyan(), &reordered);
    assert_eq!((change.put, change.removed), Default::default());
}

/// A day's changes use less than a tenth of a node's budget for control traffic, even if each is the
/// largest usual one, which replaces two whole pools.
#[test]
fn changes_at_the_target_size_fit_the_control_traffic_budget() {
    let from = target_manifest(SEED);
    let mut limit = from.clone();
    limit.teams[7].limit += 1;
    let mut moved = from.clone();
    let vm = moved.pools[3].vms.pop();
    moved.pools[4].vms.extend(vm);
    let whole = canonical_text(&from).unwrap().len();
    for (what, to) in [("a team's limit", limit), ("a VM's pool", moved)] {
        let bytes = serde_json::to_string(&difference(&from, &to))
            .unwrap()
            .len();
        println!("{what}: {bytes} bytes, the whole manifest {whole} bytes");
        assert!(bytes * ZONE_PEERS * CHANGES_PER_DAY < CONTROL_BYTES_PER_SECOND * DAY_SECONDS / 10);
    }
}
