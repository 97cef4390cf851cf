//! Claims: what is known of an identifier decides whether its request runs.

use std::sync::Arc;
use std::time::Duration;

use rstest::rstest;
use snipevane_core::claims::{Claim, ClaimSettings, Claims, Finish, Testimony, Witness};
use snipevane_core::shards::ShardName;
use uuid::{Builder, Uuid};

const BODY: [u8; 32] = [1; 32];

type Answer = Arc<[u8]>;

/// Makes an identifier of the given time.
fn id(ms: u64, number: u8) -> Uuid {
    Builder::from_unix_timestamp_millis(ms, &[number; 10]).into_uuid()
}

fn claims(max_claims: usize) -> Claims<Answer> {
    let settings = ClaimSettings {
        max_claims,
        max_answers_bytes: 8,
        allowed_skew: Duration::from_secs(2),
        ceiling_retry: Duration::from_millis(100),
        ..ClaimSettings::default()
    };
    let mut claims = Claims::new(settings, 1000);
    claims.set_ceiling(20_000);
    claims
}

#[rstest]
#[case::at_the_floor(id(1000, 1), Claim::Unknown)]
#[case::above_the_clock(id(13_500, 1), Claim::TooNew { retry_after: Duration::from_millis(1500) })]
#[case::random(Uuid::from_u128(0x4000_8000_0000_0000_0000), Claim::NotTimeOrdered)]
fn an_identifier_outside_the_bounds_is_refused(#[case] id: Uuid, #[case] expected: Claim<Answer>) {
    assert_eq!(claims(9).claim(id, BODY, 10_000), expected);
}

#[test]
fn an_identifier_above_the_ceiling_waits_for_it() {
    let (mut claims, id) = (claims(9), id(20_001, 1));
    let retry_after = Duration::from_millis(100);
    assert_eq!(
        claims.claim(id, BODY, 30_000),
        Claim::TooNew { retry_after }
    );
    claims.set_ceiling(20_001);
    assert!(matches!(claims.claim(id, BODY, 30_000), Claim::Run(_)));
}

#[rstest]
#[case::answered(Finish::Answered(vec![7].into()), Claim::Finished(vec![7].into()))]
#[case::unknown(Finish::Unknown, Claim::Unknown)]
fn a_repeat_gets_what_is_known_of_the_first(
    #[case] finish: Finish<Answer>,
    #[case] expected: Claim<Answer>,
) {
    let (mut claims, id) = (claims(9), id(5000, 1));
    let Claim::Run(ticket) = claims.claim(id, BODY, 10_000) else {
        panic!("not run");
    };
    assert_eq!(claims.claim(id, BODY, 10_000), Claim::Running);
    assert_eq!(claims.claim(id, [2; 32], 10_000), Claim::BodyDiffers);
    claims.finish(ticket, finish);
    assert_eq!(claims.claim(id, BODY, 10_000), expected);
    assert_eq!(claims.claim(id, [2; 32], 10_000), Claim::BodyDiffers);
}

#[test]
fn a_request_that_was_not_run_may_run_later() {
    let (mut claims, id) = (claims(9), id(5000, 1));
    let Claim::Run(ticket) = claims.claim(id, BODY, 10_000) else {
        panic!("not run");
    };
    claims.finish(ticket, Finish::NotRun);
    assert!(matches!(claims.claim(id, BODY, 10_000), Claim::Run(_)));
}

#[test]
fn a_closed_shard_covers_every_identifier_that_it_ran() {
    let mut claims = claims(9);
    assert!(matches!(
        claims.claim(id(5000, 1), BODY, 10_000),
        Claim::Run(_)
    ));
    assert_eq!(claims.close(), 5000);
    assert!(matches!(
        claims.claim(id(5001, 1), BODY, 10_000),
        Claim::TooNew { .. }
    ));
}

#[test]
fn memory_is_bounded_and_what_is_forgotten_is_unknown() {
    let mut claims = claims(3);
    for number in 1..=10 {
        let id = id(5000 + u64::from(number), number);
        let Claim::Run(ticket) = claims.claim(id, BODY, 10_000) else {
            panic!("not run");
        };
        claims.finish(ticket, Finish::Answered(vec![0; 4].into()));
    }
    assert!(claims.len() <= 3 && claims.answers_bytes() <= 8);
    for number in 1..=10 {
        let repeat = claims.claim(id(5000 + u64::from(number), number), BODY, 10_000);
        let kept = number > 8;
        assert_eq!(matches!(repeat, Claim::Finished(_)), kept, "{number}");
        assert_eq!(repeat == Claim::Unknown, !kept, "{number}");
    }
}

#[test]
fn a_sealed_witness_promises_nothing_more() {
    let shard: ShardName = "a/0".parse().unwrap();
    let mut witness = Witness::default();
    assert!(witness.promise(&shard, 3, 500));
    assert!(witness.promise(&shard, 3, 400));
    assert_eq!(witness.seal(&shard, 3), 500);
    assert!(!witness.promise(&shard, 3, 600));
    assert!(witness.promise(&shard, 4, 700));
    assert!(!witness.promise(&shard, 3, 800));
    assert_eq!((witness.seal(&shard, 3), witness.seal(&shard, 4)), (0, 700));
}

#[rstest]
#[case::no_witness(Testimony::NotNeeded, 100)]
#[case::no_promise(Testimony::Sealed(0), 100)]
#[case::promised(Testimony::Sealed(150), 150)]
#[case::lost(Testimony::Missing, 1100)]
fn a_floor_covers_what_the_witness_may_have_promised(
    #[case] testimony: Testimony,
    #[case] floor_ms: u64,
) {
    assert_eq!(testimony.floor(100, 1000), floor_ms);
}
