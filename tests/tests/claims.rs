//! Claims: a request runs at most once per identifier, and retries get the recorded outcome.

use std::sync::Arc;
use std::time::Duration;

use rstest::rstest;
use snipevane_core::claims::{
    ClaimOutcome, ClaimSettings, Claims, RunOutcome, SealOutcome, Witness,
};
use snipevane_core::shards::ShardName;
use uuid::{Builder, Uuid};

const BODY: [u8; 32] = [1; 32];

type Response = Arc<[u8]>;

/// Creates an identifier with the given time.
fn id(ms: u64, number: u8) -> Uuid {
    Builder::from_unix_timestamp_millis(ms, &[number; 10]).into_uuid()
}

fn claims(max_claims: usize) -> Claims<Response> {
    let settings = ClaimSettings {
        max_claims,
        max_stored_response_bytes: 8,
        max_clock_skew: Duration::from_secs(2),
        ceiling_retry_delay: Duration::from_millis(100),
        ..ClaimSettings::default()
    };
    let mut claims = Claims::new(settings, 1000);
    claims.set_ceiling(20_000);
    claims
}

#[rstest]
#[case::at_the_floor(id(1000, 1), ClaimOutcome::Unknown)]
#[case::above_the_clock(id(13_500, 1), ClaimOutcome::RetryLater { retry_after: Duration::from_millis(1500) })]
#[case::random(Uuid::from_u128(0x4000_8000_0000_0000_0000), ClaimOutcome::NotUuidV7)]
fn an_identifier_outside_the_bounds_is_refused(
    #[case] id: Uuid,
    #[case] expected: ClaimOutcome<Response>,
) {
    assert_eq!(claims(9).claim(id, BODY, 10_000), expected);
}

#[test]
fn an_identifier_above_the_ceiling_runs_once_the_ceiling_is_raised() {
    let (mut claims, id) = (claims(9), id(20_001, 1));
    let retry_after = Duration::from_millis(100);
    assert_eq!(
        claims.claim(id, BODY, 30_000),
        ClaimOutcome::RetryLater { retry_after }
    );
    claims.set_ceiling(20_001);
    assert!(matches!(
        claims.claim(id, BODY, 30_000),
        ClaimOutcome::Run(_)
    ));
}

#[rstest]
#[case::answered(RunOutcome::Completed(vec![7].into()), ClaimOutcome::Completed(vec![7].into()))]
#[case::unknown(RunOutcome::Unknown, ClaimOutcome::Unknown)]
fn a_retry_gets_the_outcome_of_the_first_run(
    #[case] outcome: RunOutcome<Response>,
    #[case] expected: ClaimOutcome<Response>,
) {
    let (mut claims, id) = (claims(9), id(5000, 1));
    let ClaimOutcome::Run(ticket) = claims.claim(id, BODY, 10_000) else {
        panic!("not run");
    };
    assert_eq!(claims.claim(id, BODY, 10_000), ClaimOutcome::Running);
    assert_eq!(
        claims.claim(id, [2; 32], 10_000),
        ClaimOutcome::BodyMismatch
    );
    claims.finish(ticket, outcome);
    assert_eq!(claims.claim(id, BODY, 10_000), expected);
    assert_eq!(
        claims.claim(id, [2; 32], 10_000),
        ClaimOutcome::BodyMismatch
    );
}

#[test]
fn a_request_that_was_not_run_may_run_later() {
    let (mut claims, id) = (claims(9), id(5000, 1));
    let ClaimOutcome::Run(ticket) = claims.claim(id, BODY, 10_000) else {
        panic!("not run");
    };
    claims.finish(ticket, RunOutcome::NotRun);
    assert!(matches!(
        claims.claim(id, BODY, 10_000),
        ClaimOutcome::Run(_)
    ));
}

#[test]
fn closing_returns_the_highest_identifier_that_ran() {
    let mut claims = claims(9);
    assert!(matches!(
        claims.claim(id(5000, 1), BODY, 10_000),
        ClaimOutcome::Run(_)
    ));
    assert_eq!(claims.close(), 5000);
    assert!(matches!(
        claims.claim(id(5001, 1), BODY, 10_000),
        ClaimOutcome::RetryLater { .. }
    ));
}

#[test]
fn memory_is_bounded_and_evicted_identifiers_are_unknown() {
    let mut claims = claims(3);
    for number in 1..=10 {
        let id = id(5000 + u64::from(number), number);
        let ClaimOutcome::Run(ticket) = claims.claim(id, BODY, 10_000) else {
            panic!("not run");
        };
        claims.finish(ticket, RunOutcome::Completed(vec![0; 4].into()));
    }
    assert!(claims.len() <= 3 && claims.stored_response_bytes() <= 8);
    for number in 1..=10 {
        let repeat = claims.claim(id(5000 + u64::from(number), number), BODY, 10_000);
        let kept = number > 8;
        assert_eq!(
            matches!(repeat, ClaimOutcome::Completed(_)),
            kept,
            "{number}"
        );
        assert_eq!(repeat == ClaimOutcome::Unknown, !kept, "{number}");
    }
}

#[test]
fn a_sealed_witness_grants_no_higher_ceiling() {
    let shard: ShardName = "a/0".parse().unwrap();
    let mut witness = Witness::default();
    assert!(witness.grant(&shard, 3, 500));
    assert!(witness.grant(&shard, 3, 400));
    assert_eq!(witness.seal(&shard, 3), 500);
    assert!(!witness.grant(&shard, 3, 600));
    assert!(witness.grant(&shard, 4, 700));
    assert!(!witness.grant(&shard, 3, 800));
    assert_eq!((witness.seal(&shard, 3), witness.seal(&shard, 4)), (0, 700));
}

#[rstest]
#[case::no_witness(SealOutcome::NotNeeded, 100)]
#[case::no_grant(SealOutcome::Sealed(0), 100)]
#[case::granted(SealOutcome::Sealed(150), 150)]
#[case::unavailable(SealOutcome::Unavailable, 1100)]
fn the_next_floor_covers_every_ceiling_that_may_have_been_granted(
    #[case] seal_outcome: SealOutcome,
    #[case] floor_ms: u64,
) {
    assert_eq!(seal_outcome.next_floor_ms(100, 1000), floor_ms);
}
