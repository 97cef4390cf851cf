//! Tests of the backoff between attempts of a call that fails.

use std::time::Duration;

use proptest::prelude::*;
use snipevane_core::backoff::Backoff;

const FIRST: Duration = Duration::from_millis(100);
const MAX: Duration = Duration::from_millis(700);

/// Guards against calls that are repeated at full rate for as long as a service refuses them.
#[test]
fn delays_double_up_to_the_limit_and_a_success_resets_them() {
    let mut backoff = Backoff::new(FIRST, MAX);
    let delays: Vec<u128> = (0..5)
        .map(|_| backoff.next_delay(1.0).as_millis())
        .collect();
    assert_eq!(delays, [100, 200, 400, 700, 700]);
    backoff.reset();
    assert_eq!(backoff.next_delay(1.0), FIRST);
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(57), ..ProptestConfig::default() })]

    /// Guards against a delay of zero, beyond the limit, or without jitter.
    #[test]
    fn delays_stay_within_their_bounds(failures in 0_u32..200, random in 0.0..1.0_f64) {
        let mut backoff = Backoff::new(FIRST, MAX);
        for _ in 0..failures {
            backoff.next_delay(random);
        }
        let delay = backoff.next_delay(random);
        prop_assert!(delay >= FIRST.mul_f64(0.6) && delay <= MAX);
        let full = backoff.next_delay(1.0);
        prop_assert!(random > 0.99 || backoff.next_delay(random) < full || full < MAX);
    }
}
