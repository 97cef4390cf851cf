//! The policy keeps its promises on seeded demand and faults at a user's size.

use rstest::rstest;
use snipevane_measure::fleet::{Report, Setting, measure};

/// Part of the fleet, in percent, that may be off share in the mean minute while it's full.
const OFF_SHARE_PERCENT: f64 = 2.0;

/// Time within which urgent work starts, in seconds.
const URGENT_START_SECS: f64 = 7.7;

fn policy(report: &Report, name: &str) -> f64 {
    let row = report.rows.iter().find(|row| row.name == name);
    row.and_then(|row| row.policy).unwrap_or(f64::NAN)
}

#[rstest]
#[case::seed_7(7)]
#[case::seed_8(8)]
#[case::seed_9(9)]
fn kandyan_loses_and_doubles_nothing_and_comes_near_its_shares(#[case] seed: u64) {
    let report = measure(Setting::Kandyan, seed);
    for name in [
        "urgent late",
        "deferred late",
        "lost",
        "doubled",
        "over budget",
    ] {
        assert_eq!(policy(&report, name), 0.0, "{name}\n{report}");
    }
    assert!(
        policy(&report, "urgent, worst start") <= URGENT_START_SECS,
        "{report}"
    );
    assert!(
        policy(&report, "off share, mean minute") <= OFF_SHARE_PERCENT,
        "{report}"
    );
}
