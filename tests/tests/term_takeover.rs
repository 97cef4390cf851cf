//! Tests of when an observer takes a term for free whose holder runs but can't write.

use std::time::Duration;

use proptest::prelude::*;
use rstest::rstest;
use snipevane_core::term::{ObservedTerm, TermSettings};

const START: Duration = Duration::from_secs(10);

/// Longest pause between two steps of an observer: the timeout of a heartbeat and the pause after it.
const MAX_STEP_MS: u64 = 800;

/// What an observer does next.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// Gets a heartbeat that shows the version that the observer knows.
    Heartbeat,
    /// Reads the row, which has the version that the observer knows.
    Read,
    /// Is suspended, or busy with something else.
    Pause,
}

fn steps() -> impl Strategy<Value = Vec<(u64, Step)>> {
    let step = prop_oneof![
        3 => Just(Step::Heartbeat),
        2 => Just(Step::Read),
        1 => Just(Step::Pause),
    ];
    prop::collection::vec((1..MAX_STEP_MS, step), 40..80)
}

/// Plays steps with a row that stays at one version; returns the time from the first read until an observer
/// that does as [`ObservedTerm`] says takes over, or `None` if it never does.
fn time_to_takeover(steps: &[(u64, Step)]) -> Option<Duration> {
    let settings = TermSettings::default();
    let mut observed = ObservedTerm::default();
    let mut now = START;
    observed.record_read(&settings, 1, false, now, now);
    for (pause_ms, step) in steps {
        now += Duration::from_millis(*pause_ms);
        let reads = match step {
            // The row is read once heartbeats no longer show that the term is held.
            Step::Heartbeat => observed.is_free(&settings, now),
            Step::Read => true,
            Step::Pause => false,
        };
        if !reads {
            continue;
        }
        observed.record_read(&settings, 1, false, now, now);
        if observed.is_free(&settings, now) {
            return Some(now - START);
        }
    }
    None
}

/// Longest time between two steps that aren't pauses.
fn ends_of_pauses(steps: &[(u64, Step)]) -> Duration {
    let mut longest = 0;
    let mut current = 0;
    for (pause_ms, step) in steps {
        current += pause_ms;
        longest = longest.max(current);
        if !matches!(step, Step::Pause) {
            current = 0;
        }
    }
    Duration::from_millis(longest)
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(51), ..ProptestConfig::default() })]

    /// Guards against a holder that runs but can't write and is never replaced: its heartbeats delayed the
    /// reads of the row, and the delay counted as an outage of the store, again and again.
    #[test]
    fn a_holder_that_cannot_write_is_replaced(steps in steps()) {
        let settings = TermSettings::default();
        let wait = settings.term + settings.margin + settings.outage_grace;
        let bound = wait + ends_of_pauses(&steps) * 2;
        let taken = time_to_takeover(&steps);
        prop_assert!(taken.is_some_and(|at| at <= bound), "{taken:?} exceeds {bound:?}");
    }
}

/// Guards against a takeover right after an outage of the store, during which no holder can renew its term; also
/// after a second one of the same version of the row.
#[rstest]
fn a_holder_may_renew_its_term_after_an_outage(
    #[values(1_300, 1_600, 3_000, 9_000)] outage_ms: u64,
) {
    let settings = TermSettings::default();
    let mut observed = ObservedTerm::default();
    let mut now = START;
    observed.record_read(&settings, 1, false, now, now);
    for _ in 0..2 {
        now += Duration::from_millis(outage_ms);
        observed.record_read_failure();
        observed.record_read(&settings, 1, false, now, now);
        assert!(!observed.is_free(&settings, now));
        assert!(!observed.is_free(&settings, now + settings.outage_grace / 2));
    }
    now += settings.outage_grace;
    observed.record_read(&settings, 1, false, now, now);
    assert!(observed.is_free(&settings, now));
}
