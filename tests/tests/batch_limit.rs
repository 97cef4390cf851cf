//! Tests of how the change that the store rejects for good is found among others.

use rstest::rstest;
use snipevane_core::batch_limit::{BatchLimit, Fault};

/// Writes changes, oldest first, to a store that rejects each transaction with one of `bad`; returns the changes
/// that were given up and the number of transactions, and checks that the term is renewed between rejections.
fn write_all(changes: usize, bad: &[usize]) -> (Vec<usize>, usize) {
    let mut limit = BatchLimit::default();
    let mut waiting: Vec<usize> = (0..changes).collect();
    let mut given_up = Vec::new();
    let mut transactions = 0;
    let mut rejected_last = false;
    while !waiting.is_empty() {
        transactions += 1;
        let count = limit.max_changes().min(waiting.len());
        let is_rejected = waiting[..count].iter().any(|change| bad.contains(change));
        assert!(
            !(rejected_last && is_rejected),
            "no renewal between two rejections"
        );
        rejected_last = is_rejected;
        if !is_rejected {
            limit.record_accepted();
            waiting.drain(..count);
            continue;
        }
        match limit.record_rejected(count) {
            Fault::Change => given_up.push(waiting.remove(0)),
            Fault::SomeChange => {}
            Fault::Common => unreachable!("a transaction without changes is accepted"),
        }
    }
    (given_up, transactions)
}

/// Guards against a sound change that is given up in place of the one at fault, and against a change at fault
/// that is sent again and again.
#[rstest]
#[case::alone(1, &[0], 3)]
#[case::first(70, &[0], 40)]
#[case::last(70, &[69], 60)]
#[case::several(70, &[3, 4, 50], 110)]
#[case::none(70, &[], 1)]
fn only_the_changes_at_fault_are_given_up(
    #[case] changes: usize,
    #[case] bad: &[usize],
    #[case] max_transactions: usize,
) {
    let (given_up, transactions) = write_all(changes, bad);
    assert_eq!(given_up, bad);
    assert!(transactions <= max_transactions, "{transactions}");
}

/// Guards against a change that is blamed for the rejection of what every transaction contains.
#[test]
fn a_rejection_without_changes_blames_none() {
    let mut limit = BatchLimit::default();
    assert_eq!(limit.record_rejected(8), Fault::SomeChange);
    assert_eq!(limit.max_changes(), 0);
    assert_eq!(limit.record_rejected(0), Fault::Common);
}

/// Guards against a search for the change at fault that takes so many transactions that the callers of the others, who
/// wait 2.5 s for transactions of 50 ms, are refused.
#[rstest]
#[case::few(21)]
#[case::a_full_batch(70)]
fn the_change_at_fault_is_found_in_few_transactions(#[case] changes: usize) {
    // Each halving takes a rejection, a renewal and the acceptance of the other half.
    let halvings = changes.next_power_of_two().ilog2() as usize;
    let max_transactions = 3 * halvings + 3;
    for bad in 0..changes {
        let (given_up, transactions) = write_all(changes, &[bad]);
        assert_eq!(given_up, [bad]);
        assert!(
            transactions <= max_transactions,
            "change {bad}: {transactions} transactions, not {max_transactions}"
        );
    }
}
