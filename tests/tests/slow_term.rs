//! The scheduler's term while its writes take up to 1.45 s each, as at a store that is 60 times slower and
//! has a second's worth of writes queued.

use std::time::Duration;

use snipevane_core::term::{CommitTimes, ObservedTerm, Term, TermSettings};

/// Times of successive writes as the queue of the store fills: a transaction of 250 ms, an answer of
/// 200 ms, and up to a second behind others.
const COMMIT_TIMES_MS: [u64; 12] = [
    450, 450, 700, 700, 950, 950, 1_200, 1_200, 1_450, 1_450, 1_450, 1_450,
];

/// Longest time until an observer sees a write: a pause between heartbeats, and the heartbeat's way.
const OBSERVATION_MS: u64 = 400;

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Plays a holder whose next write is sent when the one before is answered; returns whether an observer
/// ever takes the term for free. `asks` tells whether rows ask for more time.
fn is_ever_free(asks: bool) -> bool {
    let settings = TermSettings::default();
    let mut times = CommitTimes::default();
    let mut observed = ObservedTerm::default();
    let mut sent_at = millis(10_000);
    let mut free = false;
    observed.record_read(&settings, 1, false, sent_at, sent_at);
    for (number, commit_ms) in COMMIT_TIMES_MS.into_iter().enumerate() {
        let wait = settings.observer_wait(times.longest());
        let answered_at = sent_at + millis(commit_ms);
        // Every other write is seen at once, and the ones between late.
        let delay_ms = if number % 2 == 0 { OBSERVATION_MS } else { 0 };
        let seen_at = answered_at + millis(delay_ms);
        free |= observed.is_free(&settings, seen_at - millis(1));
        // The row tells when it was sent.
        observed.record_read(&settings, number as u64 + 2, false, sent_at, seen_at);
        observed.set_requested_wait(if asks { wait } else { Duration::ZERO });
        times.record(millis(commit_ms), answered_at);
        sent_at = answered_at;
    }
    free
}

#[test]
fn a_sound_holder_keeps_its_term_while_its_writes_slow_down() {
    assert!(!is_ever_free(true));
    assert!(is_ever_free(false), "the load must need the longer wait");
}

/// The longer wait of observers must not lengthen the time for which orders are sent.
#[test]
fn orders_end_as_early_as_with_a_fast_store() {
    let settings = TermSettings::default();
    let mut term = Term::new(settings, millis(1_000));
    term.record_renewal(millis(2_000));
    assert!(term.is_valid(millis(3_399)));
    assert!(!term.is_valid(millis(3_400)));
    let longest = settings.observer_wait(millis(60_000));
    assert_eq!(longest, settings.max_observer_wait);
    assert!(settings.observer_wait(Duration::ZERO) >= settings.term);
}

/// A write that was slow long ago must not delay the takeover from a holder that is killed later.
#[test]
fn slow_writes_are_forgotten() {
    let mut times = CommitTimes::default();
    times.record(millis(1_000), millis(20_000));
    assert_eq!(times.longest(), millis(1_000));
    for at in (20_100..31_000).step_by(400) {
        times.record(millis(10), millis(at));
    }
    assert_eq!(times.longest(), millis(10));
    times.record(millis(900), millis(31_000));
    times.record(millis(10), millis(90_000));
    assert_eq!(times.longest(), millis(10));
}
