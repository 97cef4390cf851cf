//! Refusals of submissions that a slow store doesn't carry in time.

use std::time::Duration;

use snipevane_core::write_queue::WriteQueue;

const LIMIT: Duration = Duration::from_millis(2_500);

/// A store that carries a write of 30 changes in 450 ms, as when it is 60 times slower.
const SLOW: WriteQueue = WriteQueue {
    waiting: 0,
    max_batch: 30,
    is_writing: true,
    commit_time: Duration::from_millis(450),
};

/// A submission that fits in the batches that are written in time must be accepted, and the next one must
/// be refused rather than answered too late.
#[test]
fn a_submission_is_refused_once_the_batches_before_it_take_too_long() {
    // One batch is being written, and four more end by 2.25 s.
    let last = WriteQueue {
        waiting: 119,
        ..SLOW
    };
    assert_eq!(last.answer_time(), Duration::from_millis(2_250));
    assert_eq!(last.retry_delay(LIMIT), None);
    let full = WriteQueue {
        waiting: 120,
        ..SLOW
    };
    assert_eq!(full.retry_delay(LIMIT), Some(Duration::from_millis(2_250)));
}

/// A burst at a sound store must not be refused.
#[test]
fn a_sound_store_refuses_nothing() {
    let burst = WriteQueue {
        waiting: 2_000,
        commit_time: Duration::from_millis(10),
        ..SLOW
    };
    assert_eq!(burst.retry_delay(LIMIT), None);
}

/// Without a measured time, as at the start of a term, nothing may be refused.
#[test]
fn nothing_is_refused_without_a_measured_time() {
    let unmeasured = WriteQueue {
        waiting: usize::MAX - 1,
        commit_time: Duration::ZERO,
        ..SLOW
    };
    assert_eq!(unmeasured.retry_delay(LIMIT), None);
}
