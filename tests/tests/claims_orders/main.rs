//! No identifier runs twice over takeovers, freezes, restarts, lost answers and changed shards.

mod event;
mod fleet;
mod table;

use proptest::prelude::proptest;
use proptest::strategy::{Strategy, ValueTree};
use proptest::test_runner::TestRunner;
use rstest::rstest;
use snipevane_tests::requests::seeded;

use crate::event::{Event, Rule, event};
use crate::fleet::Fleet;

fn run(rule: Rule, events: Vec<Event>) -> Fleet {
    let mut fleet = Fleet::new(rule);
    for event in events {
        fleet.step(event);
        if fleet.broken.is_some() {
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
        assert_eq!(run(Rule::Full, events).broken, None);
    }
}

/// Shows that the test above finds what it looks for, and that the model does run requests.
#[rstest]
#[case::full(Rule::Full, false)]
#[case::memory_only(Rule::MemoryOnly, true)]
#[case::list_at_once(Rule::ListAtOnce, true)]
#[case::list_unsettled(Rule::ListUnsettled, true)]
#[case::witness_ignored(Rule::WitnessIgnored, true)]
fn a_mechanism_that_is_taken_out_is_missed(#[case] rule: Rule, #[case] breaks: bool) {
    let mut runner = TestRunner::new(seeded(1));
    let strategy = proptest::collection::vec(event(), 500);
    let mut executed = 0;
    let broken = (0..2000).any(|_| {
        let fleet = run(rule, strategy.new_tree(&mut runner).unwrap().current());
        executed += fleet.executed.len();
        fleet.broken.is_some()
    });
    assert_eq!(broken, breaks);
    assert!(breaks || executed > 2000, "{executed}");
}
