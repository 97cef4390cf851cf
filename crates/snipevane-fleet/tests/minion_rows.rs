//! Tests of the rows that name the minions in use: none exceeds the store's limit, and the next term reads all names.

use std::collections::BTreeMap;

use proptest::prelude::*;
use rstest::rstest;
use smol_str::{SmolStr, format_smolstr};
use snipevane_adapter::rows::Row;
use snipevane_fleet::minion_rows::{MinionInUse, MinionRows, encode};

/// Largest value of a row, in bytes, also in Base64.
const MAX_ROW_BYTES: usize = 65_536;

/// Returns minions in ascending order, whose names have this length.
fn minions(numbers: std::ops::Range<usize>, name_bytes: usize) -> Vec<MinionInUse> {
    let minions = numbers.map(|number| {
        let id = format_smolstr!("{number:0name_bytes$}");
        (id, format_smolstr!("{:0name_bytes$}", 7))
    });
    minions.collect()
}

/// Stores the rows that differ, and checks the size of each.
fn store(table: &mut BTreeMap<SmolStr, Vec<u8>>, known: &mut MinionRows, wanted: &MinionRows) {
    for (place, row) in wanted.changes_from(known) {
        for (_, key, value) in encode(place, &row).writes {
            assert!(
                value.len().div_ceil(3) * 4 <= MAX_ROW_BYTES,
                "{}",
                value.len()
            );
            table.insert(key, value);
        }
        known.record_stored(place, row);
    }
}

fn read(table: &BTreeMap<SmolStr, Vec<u8>>) -> MinionRows {
    let rows = table.iter().map(|(key, value)| Row {
        table: "schedulers".into(),
        key: key.clone(),
        version: 1,
        value: Some(value.clone()),
    });
    let rows: Vec<Row> = rows.collect();
    MinionRows::decode(&rows)
}

fn names(rows: &MinionRows) -> Vec<MinionInUse> {
    let mut names: Vec<MinionInUse> = rows.minions().cloned().collect();
    names.sort();
    names
}

/// Guards against rows that outgrow the store's limit, so that every term ends at its first write, and against names
/// that are left over when the fleet shrinks.
#[rstest]
#[case::today(50, 20)]
#[case::target(2_600, 20)]
#[case::long_names(2_600, 200)]
#[case::many(40_000, 20)]
fn all_minions_are_named_in_rows_within_the_limit(#[case] count: usize, #[case] name_bytes: usize) {
    let mut table = BTreeMap::new();
    let mut known = MinionRows::default();
    for numbers in [0..count, 10..count, 0..5, 3..count / 2] {
        let in_use = minions(numbers, name_bytes);
        store(&mut table, &mut known, &MinionRows::new(&in_use));
        assert_eq!(names(&read(&table)), in_use);
    }
}

/// Guards against a write that grows with the fleet: one more minion changes one row.
#[test]
fn a_minion_that_joins_changes_one_row() {
    let before = MinionRows::new(&minions(0..2_600, 20));
    let after = MinionRows::new(&minions(0..2_601, 20));
    assert_eq!(after.changes_from(&before).len(), 1);
}

/// Guards against a row that counts as stored although the write with it wasn't answered.
#[test]
fn a_row_of_unknown_content_is_written_again() {
    let rows = MinionRows::new(&minions(0..50, 20));
    let mut known = rows.clone();
    let (place, _) = rows.changes_from(&MinionRows::default()).remove(0);
    known.mark_unknown(place);
    assert!(known.known_minions().count() < 50);
    assert_eq!(rows.changes_from(&known).len(), 1);
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(51), ..ProptestConfig::default() })]

    /// The same for fleets that change in any order.
    #[test]
    fn any_fleet_is_read_back(steps in prop::collection::vec((0..900_usize, 0..900_usize), 1..6)) {
        let mut table = BTreeMap::new();
        let mut known = MinionRows::default();
        for (from, to) in steps {
            let in_use = minions(from..to.max(from), 180);
            store(&mut table, &mut known, &MinionRows::new(&in_use));
            prop_assert_eq!(names(&read(&table)), in_use);
        }
    }
}
