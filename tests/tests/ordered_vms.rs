//! A VM is recorded in the scheduler's row before it is ordered, and the next terms leave it alone for
//! as long as its order may still be carried out.

#![allow(clippy::expect_used, reason = "a failed step of a test ends it")]

use std::time::Duration;

use rstest::rstest;
use smol_str::SmolStr;
use snipevane_core::jobs::OrderedVms;

const START: Duration = Duration::from_secs(100);

/// Time for which a VM is left alone after its order.
const WINDOW: Duration = Duration::from_millis(3_600);

fn after(millis: u64) -> Duration {
    START + Duration::from_millis(millis)
}

fn vm() -> SmolStr {
    "vm".into()
}

#[test]
fn an_order_may_be_sent_only_once_the_row_is_stored() {
    let mut ordered = OrderedVms::default();
    ordered.reserve(&vm(), START + WINDOW);
    assert!(ordered.has_unstored());
    assert!(!ordered.is_stored(&vm()));
    let row = ordered.to_store(START);
    assert_eq!(row.len(), 1);
    assert!(!ordered.is_stored(&vm()), "the write may fail");
    ordered.mark_stored();
    assert!(ordered.is_stored(&vm()));
    assert!(!ordered.has_unstored());
}

/// The write that drops the name may be under way when the VM is ordered again.
#[test]
fn a_vm_whose_reservation_was_over_is_recorded_again() {
    let mut ordered = OrderedVms::default();
    ordered.reserve(&vm(), after(100));
    ordered.to_store(START);
    ordered.mark_stored();
    let without = ordered.to_store(after(100));
    assert!(without.is_empty());
    ordered.reserve(&vm(), after(200) + WINDOW);
    assert!(!ordered.is_stored(&vm()));
    ordered.mark_stored();
    assert!(!ordered.is_stored(&vm()));
}

/// Only the time since the previous row was seen is known, so that the remaining time counts from there.
#[rstest]
#[case::at_once(0)]
#[case::after_a_silent_holder(1_550)]
fn the_next_term_leaves_the_vm_alone_for_the_rest_of_its_time(#[case] unchanged_ms: u64) {
    let mut first = OrderedVms::default();
    first.reserve(&vm(), START + WINDOW);
    let row = first.to_store(after(1_000));
    // The next term's clock shows another time.
    let seen_at = Duration::from_secs(7);
    let second = OrderedVms::adopt(&row, seen_at);
    let until = second.reserved().get(&vm()).copied();
    let rest = WINDOW - Duration::from_millis(1_000);
    let taken_over_at = seen_at + Duration::from_millis(unchanged_ms);
    assert!(until >= Some(seen_at + rest), "{until:?}");
    assert!(until <= Some(taken_over_at + rest + Duration::from_millis(1)));
}

#[test]
fn terms_that_follow_each_other_at_once_keep_the_reservation() {
    let mut first = OrderedVms::default();
    first.reserve(&vm(), START + WINDOW);
    let row = first.to_store(START);
    let mut second = OrderedVms::adopt(&row, after(100));
    assert!(second.is_stored(&vm()), "its first row names the VM");
    let row = second.to_store(after(200));
    let third = OrderedVms::adopt(&row, after(300));
    let until = third.reserved().get(&vm()).copied();
    assert!(until >= Some(START + WINDOW));
}

/// The stored row names the VM from its first order, but for too short a time.
#[test]
fn a_vm_that_is_ordered_again_is_recorded_for_the_second_order() {
    let mut ordered = OrderedVms::default();
    ordered.reserve(&vm(), START + WINDOW);
    ordered.to_store(START);
    ordered.mark_stored();
    ordered.reserve(&vm(), after(3_000) + WINDOW);
    assert!(!ordered.is_stored(&vm()));
    assert!(ordered.has_unstored());
    ordered.to_store(after(3_000));
    ordered.mark_stored();
    assert!(ordered.is_stored(&vm()));
}

/// A reply shortens the reservation; the row needs no further write for that.
#[test]
fn a_shorter_reservation_needs_no_write() {
    let mut ordered = OrderedVms::default();
    ordered.reserve(&vm(), after(2_000) + WINDOW);
    ordered.to_store(START);
    ordered.mark_stored();
    ordered.reserve(&vm(), after(100) + WINDOW);
    assert!(ordered.is_stored(&vm()));
    assert!(!ordered.has_unstored());
}

/// The scheduler's row names all reserved VMs. A row beyond the store's limit of 64 KB is refused, and the
/// term ends.
#[test]
fn the_most_reservations_fit_in_a_row() {
    let mut ordered = OrderedVms::default();
    let mut number = 0;
    while ordered.room() > 0 {
        let name = format!("host-machine-{number:024}");
        ordered.reserve(&name.into(), START + WINDOW);
        number += 1;
    }
    assert!(number >= 500, "moves must not wait for each other");
    let row = serde_json::to_vec(&ordered.to_store(START)).expect("the row is encoded");
    let encoded_bytes = row.len().div_ceil(3) * 4;
    assert!(encoded_bytes < 60_000, "{encoded_bytes} bytes");
}

/// Guards against a scheduler's row that outgrows the store's limit, which ends the term, because waves order more
/// VMs, or VMs with longer names, than it has room for.
#[rstest]
fn reservations_beyond_the_room_of_the_row_are_refused(#[values(4, 37, 200)] name_bytes: usize) {
    let mut ordered = OrderedVms::default();
    let name = |number: usize| -> SmolStr { format!("{number:0name_bytes$}").into() };
    let accepted = (0..2_600).filter(|&number| ordered.reserve(&name(number), START + WINDOW));
    assert!(accepted.count() >= 150);
    let row = serde_json::to_vec(&ordered.to_store(START)).expect("the row is encoded");
    assert!(row.len() < 48_000, "{} bytes", row.len());
    assert!(ordered.reserve(&name(0), START + WINDOW * 2), "a known VM");
    assert!(!ordered.reserve(&name(2_599), START + WINDOW));
    // Reservations that are over leave room.
    assert!(ordered.to_store(START + WINDOW * 3).is_empty());
    assert!(ordered.reserve(&name(2_599), START + WINDOW * 4));
}
