//! Rate limits of log lines: each event has a limit per second, dropped lines are counted, and
//! events that report failures have the highest limit.

use rstest::rstest;
use snipevane_core::events::EventKind;
use snipevane_fleet::events::{
    JOB_ACCEPTED, JOB_ENDED, MINION_LOST, REQUEST_REFUSED, TASKS_PLACED,
};
use snipevane_fleet::logging::{Admission, RateLimiter};

const START_MS: u64 = 1_790_000_000_000;

/// Requests admission for lines of an event at one time; returns how many are admitted.
fn count_admitted(limiter: &mut RateLimiter, kind: &EventKind, lines: u64, unix_ms: u64) -> u64 {
    let admitted = (0..lines).filter(|_| {
        let admission = limiter.admit(u64::from(kind.number), unix_ms);
        admission != Admission::Dropped
    });
    admitted.count() as u64
}

#[rstest]
#[case::minion(&MINION_LOST, 40)]
#[case::accepted(&JOB_ACCEPTED, 150)]
#[case::placed(&TASKS_PLACED, 150)]
#[case::refused(&REQUEST_REFUSED, 400)]
#[case::ended(&JOB_ENDED, 400)]
fn each_event_has_its_limit_per_second(#[case] kind: &EventKind, #[case] most: u64) {
    let mut limiter = RateLimiter::default();
    assert_eq!(count_admitted(&mut limiter, kind, 10_000, START_MS), most);
    assert_eq!(
        count_admitted(&mut limiter, kind, 10_000, START_MS + 999),
        0
    );
    assert_eq!(
        count_admitted(&mut limiter, kind, 10_000, START_MS + 1_000),
        most
    );
}

#[test]
fn one_event_does_not_use_the_limit_of_another() {
    let mut limiter = RateLimiter::default();
    count_admitted(&mut limiter, &TASKS_PLACED, 10_000, START_MS);
    assert_eq!(
        count_admitted(&mut limiter, &REQUEST_REFUSED, 10, START_MS),
        10
    );
}

#[test]
fn dropped_lines_are_reported_with_the_next_line() {
    let mut limiter = RateLimiter::default();
    count_admitted(&mut limiter, &TASKS_PLACED, 210, START_MS);
    let number = u64::from(TASKS_PLACED.number);
    let next = limiter.admit(number, START_MS + 1_000);
    assert_eq!(next, Admission::Admitted { dropped: 60 });
    let after = limiter.admit(number, START_MS + 1_001);
    assert_eq!(after, Admission::Admitted { dropped: 0 });
}
