//! Candidates for the scheduler's term: the larger VM is preferred once it has been present for a while.

use std::time::Duration;

use rstest::rstest;
use smol_str::format_smolstr;
use snipevane_core::candidates::{Candidates, VmCapacity};

const SMALL: VmCapacity = VmCapacity {
    cores: 1.0,
    link_mbps: 100.0,
};

const LARGE: VmCapacity = VmCapacity {
    cores: 4.0,
    link_mbps: 1_000.0,
};

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[rstest]
#[case::both(LARGE, SMALL, true)]
#[case::reverse(SMALL, LARGE, false)]
#[case::equal(LARGE, LARGE, false)]
#[case::link_alone(VmCapacity { link_mbps: 200.0, ..SMALL }, SMALL, true)]
#[case::slightly(VmCapacity { cores: 1.5, link_mbps: 150.0 }, SMALL, false)]
#[case::larger_and_smaller(VmCapacity { cores: 4.0, link_mbps: 50.0 }, SMALL, false)]
#[case::unknown(VmCapacity::default(), VmCapacity::default(), false)]
fn capacities_are_compared_in_all_respects(
    #[case] one: VmCapacity,
    #[case] other: VmCapacity,
    #[case] larger: bool,
) {
    assert_eq!(one.is_much_larger_than(&other), larger);
}

#[test]
fn a_larger_candidate_counts_once_it_has_been_present_without_a_gap() {
    let mut candidates = Candidates::new(SMALL);
    for time in (0..1_900).step_by(300) {
        candidates.record(&"large".into(), LARGE, at(time));
        assert!(!candidates.has_settled_larger(at(time)));
    }
    candidates.record(&"large".into(), LARGE, at(2_100));
    assert!(candidates.has_settled_larger(at(2_100)));
    assert!(!candidates.has_settled_larger(at(4_000)), "it is gone");
    candidates.record(&"large".into(), LARGE, at(4_000));
    assert!(!candidates.has_settled_larger(at(4_000)), "it is back");
}

#[test]
fn the_largest_candidate_is_one_that_is_present() {
    let mut candidates = Candidates::new(SMALL);
    assert_eq!(candidates.largest(at(0)), None);
    candidates.record(&"large".into(), LARGE, at(0));
    candidates.record(&"small".into(), SMALL, at(1_000));
    assert_eq!(candidates.largest(at(1_000)), Some(LARGE));
    assert_eq!(candidates.largest(at(1_500)), Some(SMALL));
}

#[test]
fn the_largest_candidate_is_found_without_figures_of_links() {
    let mut candidates = Candidates::new(VmCapacity::default());
    for number in 0..8 {
        let capacity = VmCapacity {
            cores: f64::from(8 - number),
            link_mbps: 0.0,
        };
        candidates.record(&format_smolstr!("vm-{number}"), capacity, at(0));
    }
    let largest = candidates.largest(at(0));
    assert_eq!(largest.map(|capacity| capacity.cores), Some(8.0));
}
