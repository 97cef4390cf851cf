//! Model test: no identifier runs twice across takeovers, process pauses, restarts, lost replies
//! and changes to the list of shards.

mod event;
mod fleet;
mod table;

use proptest::prelude::proptest;
use proptest::strategy::{Strategy, ValueTree};
use proptest::test_runner::TestRunner;
use rstest::rstest;
use snipevane_tests::requests::seeded;

use crate::event::{Event, Variant, event};
use crate::fleet::Fleet;

fn run(variant: Variant, events: Vec<Event>) -> Fleet {
    let mut fleet = Fleet::new(variant);
    for event in events {
        fleet.step(event);
        if fleet.violation.is_some() {
            break;
        }
    }
    fleet
}

proptest! {
    #![proptest_config(seeded(2000))]

    #[test]
    fn no_identifier_runs_twice_in_any_order_of_events(
        events in proptest::collection::vec(event(), 0..500),
    ) {
        assert_eq!(run(Variant::Full, events).violation, None);
    }
}

/// Checks that the model finds a violation if a mechanism is missing, and that it runs requests.
#[rstest]
#[case::full(Variant::Full, false)]
#[case::memory_only(Variant::MemoryOnly, true)]
#[case::list_at_once(Variant::ImmediateShardList, true)]
#[case::list_unsettled(Variant::UnsettledShardList, true)]
#[case::witness_ignored(Variant::WitnessIgnored, true)]
fn the_model_detects_a_missing_mechanism(#[case] variant: Variant, #[case] breaks: bool) {
    let mut runner = TestRunner::new(seeded(1));
    let strategy = proptest::collection::vec(event(), 500);
    let mut executed = 0;
    let violation = (0..2000).any(|_| {
        let fleet = run(variant, strategy.new_tree(&mut runner).unwrap().current());
        executed += fleet.executed.len();
        fleet.violation.is_some()
    });
    assert_eq!(violation, breaks);
    assert!(breaks || executed > 2000, "{executed}");
}
