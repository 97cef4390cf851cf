//! Tests that a zone fetches a new configuration from the platform once, and that sources that fail
//! are skipped.

use std::time::{Duration, Instant};

use rstest::rstest;
use snipevane_core::config::in_force::{FetchSettings, PeerOffer, Source, SourceSelector};

const OWN: &str = "b-2";

fn peer(vm: &str, zone: &str, reachable: bool, version: u64) -> PeerOffer {
    PeerOffer {
        vm: vm.into(),
        zone: zone.into(),
        reachable,
        version,
    }
}

#[rstest]
#[case::nothing_new(Some(3), vec![peer("b-1", "b", true, 3)], None)]
#[case::peer_in_zone_has_it(Some(4), vec![peer("b-1", "b", true, 4)], Some("b-1"))]
#[case::zone_fetcher_is_fetching(Some(4), vec![peer("b-1", "b", true, 3)], None)]
#[case::zone_fetcher_is_unreachable(Some(4), vec![peer("b-1", "b", false, 3)], Some("platform"))]
#[case::own_vm_is_zone_fetcher(Some(4), vec![peer("b-3", "b", true, 3), peer("a-1", "a", true, 4)], Some("platform"))]
#[case::platform_unreachable(None, vec![peer("a-1", "a", true, 4), peer("c-1", "c", true, 5)], Some("c-1"))]
#[case::no_source_reachable(None, vec![peer("a-1", "a", false, 4)], None)]
fn the_source_of_a_newer_version(
    #[case] head: Option<u64>,
    #[case] peers: Vec<PeerOffer>,
    #[case] expected: Option<&str>,
) {
    let mut selector = SourceSelector::new(OWN, "b", FetchSettings::default());
    let source = selector.select_source(Instant::now(), 3, head, &peers);
    let expected = expected.map(|name| match name {
        "platform" => Source::Platform,
        vm => Source::Peer(vm.into()),
    });
    assert_eq!(source, expected);
}

#[test]
fn a_stuck_zone_fetcher_or_a_failed_source_is_skipped() {
    let settings = FetchSettings::default();
    let mut selector = SourceSelector::new(OWN, "b", settings);
    let start = Instant::now();
    let peers = [peer("b-1", "b", true, 3), peer("a-1", "a", true, 4)];
    assert_eq!(selector.select_source(start, 3, Some(4), &peers), None);
    let early = start + settings.zone_timeout - Duration::from_millis(1);
    assert_eq!(selector.select_source(early, 3, Some(4), &peers), None);
    let late = start + settings.zone_timeout;
    assert_eq!(
        selector.select_source(late, 3, Some(4), &peers),
        Some(Source::Platform)
    );
    selector.record_failure(Source::Platform, late);
    let other = Some(Source::Peer("a-1".into()));
    assert_eq!(selector.select_source(late, 3, Some(4), &peers), other);
    let again = late + settings.retry_after;
    assert_eq!(
        selector.select_source(again, 3, Some(4), &peers),
        Some(Source::Platform)
    );
}

/// Six entry VMs of a zone together fetch a version from the platform once.
#[test]
fn a_zone_fetches_a_version_from_the_platform_once() {
    let names = ["b-1", "b-2", "b-3", "b-4", "b-5", "b-6"];
    let mut versions = [3_u64; 6];
    let mut selectors = names.map(|vm| SourceSelector::new(vm, "b", FetchSettings::default()));
    let mut from_platform = 0;
    let start = Instant::now();
    for round in 0..5_u32 {
        let now = start + Duration::from_millis(200) * round;
        let before = versions;
        for (i, selector) in selectors.iter_mut().enumerate() {
            let others = (0..names.len()).filter(|other| *other != i);
            let peers: Vec<_> = others
                .map(|o| peer(names[o], "b", true, before[o]))
                .collect();
            match selector.select_source(now, versions[i], Some(4), &peers) {
                Some(Source::Platform) => from_platform += 1,
                Some(Source::Peer(_)) => {}
                None => continue,
            }
            versions[i] = 4;
        }
    }
    assert_eq!((versions, from_platform), ([4; 6], 1));
}
