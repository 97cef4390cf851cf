//! An outage of 30 minutes at the target size ends without a storm of writes.

use snipevane_measure::outage::{OutageSettings, measure_grouped};

/// Writes a second that the platform takes, of the several hundred that it's stated to handle.
const PLATFORM_WRITES_PER_SECOND: u32 = 300;
/// Time within which a change has to be in force everywhere, in seconds.
const IN_FORCE_S: f64 = 13.0;

#[test]
fn an_outage_of_30_minutes_ends_without_a_storm_of_writes() {
    let settings = OutageSettings {
        writes_per_second: PLATFORM_WRITES_PER_SECOND,
        ..OutageSettings::default()
    };
    let report = measure_grouped(&settings);
    println!("seed {}\n{report}", settings.seed);
    assert!(report.before_mean < f64::from(PLATFORM_WRITES_PER_SECOND));
    assert!(report.outage_peak < PLATFORM_WRITES_PER_SECOND);
    assert!(report.after_peak < PLATFORM_WRITES_PER_SECOND);
    assert!(report.longest_essential_s < IN_FORCE_S);
    assert!(report.caught_up_s.is_some());
}
