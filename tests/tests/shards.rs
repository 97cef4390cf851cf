//! Shards: allocated units sum to the total, an identifier has one owner, and a shard has one
//! holder at a time.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use proptest::prelude::{any, proptest};
use rstest::rstest;
use snipevane_core::shards::{
    AcquireContext, Acquisition, ConcentrationSettings, Holder, IdOwners, Owner, ShardLock,
    ShardName, ShardRow, ShardSet, allocate, decide_acquisition, shard_of,
};
use snipevane_tests::requests::{seeded, shards};
use uuid::{Builder, Uuid};

const LONGEST_RUN: Duration = Duration::from_secs(10);

#[rstest]
#[case("a/0", true)]
#[case("region/a/17", true)]
#[case("a/01", false)]
#[case("a/+1", false)]
#[case("/1", false)]
#[case("a", false)]
#[case("a/65536", false)]
fn a_shard_has_one_spelling(#[case] text: &str, #[case] valid: bool) {
    let parsed: Result<ShardName, _> = text.parse();
    assert_eq!(parsed.is_ok(), valid);
    if let Ok(name) = parsed {
        assert_eq!(name.to_string(), text);
    }
}

proptest! {
    #![proptest_config(seeded(256))]

    #[test]
    fn units_sum_to_the_total_and_differ_by_one(total in 0_u32..5000, count in 1_u16..120) {
        let units = allocate(total, &shards(count), "ledger");
        assert_eq!(units.iter().sum::<u32>(), total);
        let (least, most) = (units.iter().min().unwrap(), units.iter().max().unwrap());
        assert!(most - least <= 1);
    }

    #[test]
    fn a_larger_total_never_shrinks_the_units_of_a_shard(total in 0_u32..500, count in 1_u16..120) {
        let smaller = allocate(total, &shards(count), "ledger");
        let larger = allocate(total + 1, &shards(count), "ledger");
        assert!(smaller.iter().zip(&larger).all(|(small, large)| small <= large));
    }

    #[test]
    fn an_identifier_keeps_its_owner_unless_that_is_removed(id in any::<u128>(), count in 2_u16..120) {
        let (id, all) = (Uuid::from_u128(id), shards(count));
        let fewer = &all[..all.len() - 1];
        let owner = shard_of(&all, id).unwrap();
        if owner < fewer.len() {
            assert_eq!(shard_of(fewer, id), Some(owner));
        }
    }
}

#[test]
fn small_limits_of_different_teams_are_spread_over_the_shards() {
    let all = shards(7);
    let holders: BTreeSet<usize> = (0..40)
        .filter_map(|team| {
            allocate(1, &all, &format!("team-{team}"))
                .iter()
                .position(|&u| u == 1)
        })
        .collect();
    assert_eq!(holders.len(), 7);
}

#[rstest]
#[case::no_row(None, Some((100, Duration::ZERO)))]
#[case::released(Some(("other", 2, 500, true)), Some((500, Duration::ZERO)))]
#[case::mine(Some(("me", 1, 500, false)), None)]
#[case::earlier_incarnation(Some(("me", 2, 50, false)), Some((100, LONGEST_RUN)))]
#[case::gone(Some(("gone", 2, 500, false)), Some((500, LONGEST_RUN)))]
#[case::other(Some(("other", 2, 500, false)), None)]
fn a_shard_is_taken_only_from_a_holder_that_cannot_use_it(
    #[case] row: Option<(&str, u128, u64, bool)>,
    #[case] taken: Option<(u64, Duration)>,
) {
    let row = row.map(|(vm, incarnation, ceiling_ms, released)| ShardRow {
        vm: vm.into(),
        incarnation: Uuid::from_u128(incarnation),
        epoch: 6,
        ceiling_ms,
        released,
    });
    let me = Holder {
        vm: "me".into(),
        incarnation: Uuid::from_u128(1),
    };
    let decision = decide_acquisition(row.as_ref(), &me, |vm| vm == "gone", 100, LONGEST_RUN);
    match (decision, taken) {
        (
            Acquisition::Acquire {
                next,
                floor_ms,
                usable_delay,
            },
            Some(expected),
        ) => {
            assert_eq!((floor_ms, usable_delay), expected);
            assert_eq!(next.epoch, row.map_or(1, |row| row.epoch + 1));
            assert_eq!(next.ceiling_ms, floor_ms);
        }
        (Acquisition::AlreadyHeld, None) => assert_eq!(row.unwrap().vm, "me"),
        (Acquisition::HeldByOther, None) => assert_eq!(row.unwrap().vm, "other"),
        (decision, _) => panic!("{decision:?}"),
    }
}

/// Entry VMs of different releases have to agree on the allocation.
#[test]
fn the_allocation_is_the_same_in_all_releases() {
    let all = shards(7);
    insta::assert_json_snapshot!(
        "deal",
        [
            allocate(3, &all, "ledger"),
            allocate(10, &all, "ledger"),
            allocate(3, &all, "audit"),
        ]
    );
    let owners: Vec<_> = (0..8)
        .map(|id| shard_of(&all, Uuid::from_u128(id << 64)))
        .collect();
    insta::assert_json_snapshot!("owners", owners);
}

fn context(now: Instant) -> AcquireContext {
    let min_floor_ms = 0;
    AcquireContext {
        now,
        min_floor_ms,
        longest_run: LONGEST_RUN,
    }
}

#[test]
fn an_acquisition_without_a_reply_takes_effect_once_the_row_is_read() {
    let (me, now) = (
        Holder {
            vm: "me".into(),
            incarnation: Uuid::from_u128(1),
        },
        Instant::now(),
    );
    let gone = ShardRow {
        vm: "gone".into(),
        incarnation: Uuid::from_u128(2),
        epoch: 6,
        ceiling_ms: 500,
        released: false,
    };
    let mut lock = ShardLock::new(me);
    let row = lock.on_row(Some(&gone), |_| true, context(now)).unwrap();
    assert!(!lock.is_usable(now + 2 * LONGEST_RUN));
    assert_eq!(lock.on_row(Some(&row), |_| true, context(now)), None);
    assert_eq!(lock.held().unwrap().floor_ms, 500);
    assert!(!lock.is_usable(now + LONGEST_RUN - Duration::from_millis(1)));
    assert!(lock.is_usable(now + LONGEST_RUN));
    // A stale read that returns the former row changes nothing.
    assert_eq!(lock.on_row(Some(&gone), |_| true, context(now)), None);
    assert!(lock.held().is_some());
}

#[test]
fn a_released_shard_is_not_held_again_by_an_older_row() {
    let (me, now) = (
        Holder {
            vm: "me".into(),
            incarnation: Uuid::from_u128(1),
        },
        Instant::now(),
    );
    let mut lock = ShardLock::new(me);
    let row = lock.on_row(None, |_| false, context(now)).unwrap();
    lock.on_row(Some(&row), |_| false, context(now));
    let released = lock.release(900).unwrap();
    assert!(released.released && released.ceiling_ms == 900);
    assert_eq!(lock.on_row(Some(&row), |_| false, context(now)), None);
    assert_eq!(lock.held(), None);
    let next = lock
        .on_row(Some(&released), |_| false, context(now))
        .unwrap();
    assert_eq!((next.epoch, next.ceiling_ms), (2, 900));
}

#[test]
fn an_identifier_changes_its_owner_only_above_the_bound_of_a_settled_version() {
    let (former, later) = (shards(2), shards(3)[1..].to_vec());
    let mut owners = IdOwners::default();
    owners.add(1, 0, former.clone());
    owners.add(4, 1000, later.clone());
    let id = |ms: u64, number| Builder::from_unix_timestamp_millis(ms, &[number; 10]).into_uuid();
    for number in 0..50 {
        let below = former[shard_of(&former, id(1000, number)).unwrap()].clone();
        assert_eq!(owners.owner(id(1000, number), 3), Owner::Shard(&below));
        let above = later[shard_of(&later, id(1001, number)).unwrap()].clone();
        assert_eq!(owners.owner(id(1001, number), 3), Owner::Unsettled);
        assert_eq!(owners.owner(id(1001, number), 4), Owner::Shard(&above));
    }
    assert_eq!(owners.owner(id(0, 1), 4), Owner::Unknown);
    assert_eq!(owners.owner(Uuid::nil(), 4), Owner::NotUuidV7);
    assert_eq!(owners.shards_after(999), shards(3));
    assert_eq!(owners.shards_after(1000), later);
}

#[rstest]
#[case::one_unit(1, 64, 1)]
#[case::too_few_for_the_zones(5, 64, 1)]
#[case::one_for_each_zone(6, 64, 3)]
#[case::several_holders(300, 64, 4)]
fn a_limit_is_concentrated_on_few_shards(
    #[case] limit: u32,
    #[case] min_units: u32,
    #[case] min_holders: usize,
) {
    let set = ShardSet::new(shards(48));
    let concentration = ConcentrationSettings {
        min_units_per_shard: min_units,
        max_shards_with_units: 16,
        units_per_zone: 1,
    };
    let units = set.allocate_concentrated(limit, "ledger", concentration);
    assert_eq!(units.iter().sum::<u32>(), limit);
    let holders = units.iter().filter(|units| **units > 0).count();
    assert!(
        (min_holders..=min_holders + 3).contains(&holders),
        "{holders}"
    );
    let zones: BTreeSet<_> = set
        .names()
        .iter()
        .zip(&units)
        .filter(|(_, units)| **units > 0)
        .map(|(name, _)| &name.zone)
        .collect();
    assert_eq!(zones.len() == 3, limit >= 6);
}
