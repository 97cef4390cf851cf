//! Tests of which calls to the store are sent again through other entry VMs.

use std::time::Duration;

use snipevane_core::relay_policy::{RelayPolicy, RelaySettings};

/// Makes calls at a rate for some seconds, all of which fail, and returns how many further attempts they make.
fn count_retries(policy: &mut RelayPolicy, calls_per_s: u32, seconds: u32) -> u32 {
    let mut retries = 0;
    for call in 0..calls_per_s * seconds {
        policy.record_call(Duration::from_secs(1) * call / calls_per_s);
        for _ in 0..2 {
            retries += u32::from(policy.take_retry());
        }
    }
    retries
}

/// Guards against calls that multiply the load of a store which answers nobody in time.
#[test]
fn further_attempts_stay_a_small_part_of_the_calls() {
    let retries = count_retries(&mut RelayPolicy::default(), 10, 100);
    // The budget at the start, a tenth of 1,000 calls, and 0.2 in each of 100 seconds.
    assert!((120..=127).contains(&retries), "{retries}");
}

/// Guards against an entry VM that finds no relay for its few calls when it is cut off from the store.
#[test]
fn few_calls_get_all_attempts() {
    let mut policy = RelayPolicy::default();
    assert_eq!(count_retries(&mut policy, 1, 3), 6);
}

/// Guards against refusals of a store at its limit that are relayed for as long as it lasts, and against a pause
/// that doesn't end.
#[test]
fn refusals_are_relayed_less_and_less_while_relays_are_refused_too() {
    let settings = RelaySettings::default();
    let mut policy = RelayPolicy::new(settings);
    let mut now = Duration::from_secs(10);
    let mut pauses = Vec::new();
    for _ in 0..6 {
        assert!(!policy.is_store_at_limit(now));
        policy.record_relayed_refusal(now, 0.5);
        let began_at = now;
        while policy.is_store_at_limit(now) {
            now += Duration::from_millis(100);
        }
        pauses.push((now - began_at).as_millis());
    }
    assert_eq!(pauses, [500, 1_000, 2_000, 4_000, 8_000, 8_000]);
    now += settings.max_pause * 2;
    policy.record_relayed_refusal(now, 0.5);
    assert!(!policy.is_store_at_limit(now + settings.min_pause));
}

/// Guards against an entry VM that the store turns away alone, and that doesn't use its relays for long.
#[test]
fn an_answer_through_a_relay_ends_the_pause() {
    let mut policy = RelayPolicy::default();
    let now = Duration::from_secs(10);
    policy.record_relayed_refusal(now, 0.5);
    assert!(policy.is_store_at_limit(now));
    policy.record_relayed_answer();
    assert!(!policy.is_store_at_limit(now));
}
