//! Tests of the size of the scheduler's row.

use std::time::Duration;

use smol_str::{SmolStr, format_smolstr};
use snipevane_core::jobs::OrderedVms;
use snipevane_fleet::rows::{SchedulerRow, bounded_counts, encode};

/// Largest value of a row, in bytes.
const MAX_ROW_BYTES: usize = 65_536;

/// Largest number of silent minions in the row.
const MAX_SILENT_MINIONS: usize = 64;

fn counts(queues: usize, name_bytes: usize) -> Vec<(SmolStr, u64)> {
    let names = (0..queues).map(|queue| format_smolstr!("{queue:0name_bytes$}"));
    names.map(|name| (name, 12_345)).collect()
}

/// Guards against counts of waiting jobs that make the scheduler's row too large, so that each term ends at its next
/// write: a configuration may have thousands of queues.
#[test]
fn the_scheduler_row_fits_with_any_number_of_queues_and_vms() {
    let now = Duration::from_secs(100);
    let mut ordered = OrderedVms::default();
    let names = (0..5_000).map(|vm| SmolStr::from(format!("{vm:060}")));
    let reserved = names.filter(|vm| ordered.reserve(vm, now + Duration::from_secs(9)));
    assert!(reserved.count() > 400);
    let ordered_vms = Some(ordered.to_store(now));
    let silent_minions =
        (0..MAX_SILENT_MINIONS).map(|minion| (format_smolstr!("{minion:060}"), u64::MAX));
    let silent_minions: Vec<(SmolStr, u64)> = silent_minions.collect();
    for (queues, name_bytes) in [(0, 0), (300, 20), (2_000, 20), (20_000, 6), (100, 200)] {
        let row = SchedulerRow {
            holder: "n".repeat(200).into(),
            address: "255.255.255.255:65535".into(),
            waiting: bounded_counts(&counts(queues, name_bytes)),
            ordered_vms: ordered_vms.clone(),
            silent_minions: silent_minions.clone(),
            ..SchedulerRow::default()
        };
        let bytes = encode(&row).len();
        assert!(bytes <= MAX_ROW_BYTES, "{bytes} bytes with {queues} queues");
    }
}

/// Guards against counts that are left out although they have room.
#[test]
fn the_counts_of_a_few_hundred_queues_are_in_the_row() {
    let waiting = counts(300, 20);
    assert_eq!(bounded_counts(&waiting), Some(waiting));
}
