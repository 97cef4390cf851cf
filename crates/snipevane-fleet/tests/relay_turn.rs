//! Turns of responses that are relayed.

use std::time::Duration;

use snipevane_fleet::peers::RelayTurn;

const START: Duration = Duration::from_secs(100);

#[test]
fn one_response_is_relayed_at_a_time() {
    let turn = RelayTurn::default();
    let first = turn.try_take(START);
    assert!(first.is_some());
    assert!(turn.try_take(START + Duration::from_secs(1)).is_none());
    drop(first);
    assert!(turn.try_take(START + Duration::from_secs(1)).is_some());
}

#[test]
fn a_sender_that_hangs_does_not_keep_the_turn() {
    let turn = RelayTurn::default();
    let hanging = turn.try_take(START);
    let next = turn.try_take(START + Duration::from_secs(8));
    assert!(next.is_some());
    drop(hanging);
    assert!(turn.try_take(START + Duration::from_secs(9)).is_none());
}
