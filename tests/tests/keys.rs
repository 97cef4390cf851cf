//! Keys: verification, permanent withdrawal in any order of messages, and secrets in debug output.

use std::time::{Duration, Instant};

use proptest::prelude::{Just, Strategy, proptest};
use rstest::rstest;
use snipevane_core::keys::{CutOffPolicy, KeyError, KeyRow, KeyStore, MergeOutcome};
use snipevane_tests::requests::seeded;

const RANDOM: [u8; 32] = [7; 32];

#[test]
fn a_key_is_accepted_until_it_is_withdrawn() {
    let mut keys = KeyStore::default();
    let (row, presented) = keys.issue("ledger", "k1", RANDOM);
    assert_eq!(keys.verify(&presented).unwrap().team, "ledger");
    assert!(keys.withdraw("k1"));
    assert_eq!(keys.verify(&presented), Err(KeyError::Withdrawn));
    // Merging the row from before the withdrawal changes nothing.
    assert_eq!(keys.merge(row), MergeOutcome::Unchanged);
    assert_eq!(keys.verify(&presented), Err(KeyError::Withdrawn));
}

#[rstest]
#[case::empty("", KeyError::Malformed)]
#[case::two_parts("sv1.k1", KeyError::Malformed)]
#[case::four_parts("sv1.k1.00.00", KeyError::Malformed)]
#[case::short("sv1.k1.0707", KeyError::Malformed)]
#[case::not_hex(
    "sv1.k1.zz07070707070707070707070707070707070707070707070707070707070707",
    KeyError::Malformed
)]
#[case::other_prefix(
    "sv2.k1.0707070707070707070707070707070707070707070707070707070707070707",
    KeyError::Malformed
)]
#[case::unknown_id(
    "sv1.k2.0707070707070707070707070707070707070707070707070707070707070707",
    KeyError::Unknown
)]
#[case::wrong_secret(
    "sv1.k1.0707070707070707070707070707070707070707070707070707070707070708",
    KeyError::Unknown
)]
fn a_bad_key_is_refused_with_its_reason(#[case] presented: &str, #[case] error: KeyError) {
    let mut keys = KeyStore::default();
    keys.issue("ledger", "k1", RANDOM);
    assert_eq!(keys.verify(presented), Err(error));
}

#[test]
fn secrets_never_appear_in_debug_output() {
    let mut keys = KeyStore::default();
    let (row, presented) = keys.issue("ledger", "k1", RANDOM);
    let secret = presented.rsplit('.').next().unwrap();
    let printed = format!("{row:?} {keys:?}");
    assert!(!printed.contains(secret));
    assert!(!printed.contains(&format!("{:?}", row.hash)));
}

#[test]
fn a_withdrawal_that_arrives_before_the_key_takes_effect() {
    let mut issuer = KeyStore::default();
    let (row, presented) = issuer.issue("ledger", "k1", RANDOM);
    let mut keys = KeyStore::default();
    assert!(!keys.withdraw("k1"));
    keys.merge(row);
    assert_eq!(keys.verify(&presented), Err(KeyError::Withdrawn));
    assert_eq!(keys.get("k1").unwrap().team, "ledger");
}

fn row(id: u8, team: u8, withdrawn: bool) -> KeyRow {
    let (id, team) = (format!("k{id}").into(), format!("t{team}").into());
    KeyRow {
        id,
        team,
        hash: [1; 32],
        withdrawn,
    }
}

proptest! {
    #![proptest_config(seeded(256))]

    /// Compares two stores with each other and with the naive rule: a key is withdrawn if any of
    /// its rows is, or if its rows differ in the team.
    #[test]
    fn stores_agree_whatever_the_order_of_rows(
        (rows, shuffled) in proptest::collection::vec((0_u8..4, 0_u8..2, proptest::bool::ANY), 1..20)
            .prop_flat_map(|rows| (Just(rows.clone()), Just(rows).prop_shuffle()))
    ) {
        let mut stores = [KeyStore::default(), KeyStore::default()];
        for (store, rows) in stores.iter_mut().zip([&rows, &shuffled]) {
            for &(id, team, withdrawn) in rows {
                store.merge(row(id, team, withdrawn));
            }
        }
        let [a, b] = &stores;
        for id in 0_u8..4 {
            let of_id: Vec<_> = rows.iter().filter(|row| row.0 == id).collect();
            let conflict = of_id.iter().any(|row| row.1 != of_id[0].1);
            let withdrawn = conflict || of_id.iter().any(|row| row.2);
            let id = format!("k{id}");
            assert_eq!(a.get(&id), b.get(&id));
            assert_eq!(a.get(&id).map(|row| row.withdrawn), (!of_id.is_empty()).then_some(withdrawn));
        }
    }

    /// A peer that polls for changes ends with the same rows even if it loses some responses.
    #[test]
    fn changes_since_carry_every_row(
        rows in proptest::collection::vec(((0_u8..6, proptest::bool::ANY), proptest::bool::ANY), 1..40)
    ) {
        let (mut source, mut peer, mut sequence) = (KeyStore::default(), KeyStore::default(), 0);
        for ((id, withdrawn), lost) in rows {
            source.merge(row(id, 0, withdrawn));
            let (changed, next) = source.changes_since(sequence);
            if !lost {
                changed.for_each(|row| { peer.merge(row.clone()); });
                sequence = next;
            }
        }
        source.changes_since(sequence).0.for_each(|row| { peer.merge(row.clone()); });
        for row in source.rows() {
            assert_eq!(peer.get(&row.id), Some(row));
        }
    }
}

#[rstest]
#[case::heard_from_platform(Some(1), None, 5, true)]
#[case::heard_from_zone(None, Some(1), 5, true)]
#[case::silent_for_too_long(Some(8), Some(9), 5, false)]
#[case::within_the_setting(Some(8), Some(9), 7, true)]
#[case::refuse_at_once(Some(3), None, 0, false)]
#[case::not_yet_cut_off(Some(1), None, 0, true)]
#[case::never_heard(None, None, 60, false)]
fn a_cut_off_zone_accepts_keys_as_set(
    #[case] platform_ago: Option<u64>,
    #[case] zone_ago: Option<u64>,
    #[case] serve: u64,
    #[case] accepted: bool,
) {
    let start = Instant::now();
    let now = start + Duration::from_secs(100);
    let at = |ago: u64| now - Duration::from_secs(ago);
    let policy = CutOffPolicy {
        silence: Duration::from_secs(2),
        cut_off_serve: Duration::from_secs(serve),
    };
    assert_eq!(
        policy.accepts(now, platform_ago.map(at), zone_ago.map(at)),
        accepted
    );
}
