//! Time of a key's check, a unit's way, a claim, an owner's look-up and a new deal.

#![allow(missing_docs)]

use std::hint::black_box;
use std::time::Duration;

use criterion::{BatchSize, BenchmarkId, Criterion, criterion_group, criterion_main};
use slotmap::SlotMap;
use smol_str::SmolStr;
use snipevane_core::claims::{ClaimOutcome, ClaimSettings, Claims, RunOutcome};
use snipevane_core::ids::TeamKey;
use snipevane_core::keys::KeyStore;
use snipevane_core::limits::{Limits, Settlement, VersionDeal};
use snipevane_core::shards::{ShardName, ShardSet};
use uuid::{Builder, Uuid};

const TEAMS: [u32; 3] = [6, 80, 320];
const SHARDS: [u16; 3] = [7, 28, 96];

fn shards(count: u16) -> Vec<ShardName> {
    (0..count)
        .map(|index| ShardName {
            zone: format!("zone-{}", index % 16).into(),
            index: index / 16,
        })
        .collect()
}

fn key_and_limit(c: &mut Criterion) {
    let mut group = c.benchmark_group("key_and_limit");
    for teams in TEAMS {
        let mut arena: SlotMap<TeamKey, ()> = SlotMap::default();
        let (mut keys, mut limits) = (KeyStore::default(), Limits::default());
        let mut requests = Vec::new();
        for number in 0..teams {
            let (team, name) = (arena.insert(()), SmolStr::from(format!("team-{number}")));
            limits.add_team(team, &name);
            limits.set_allowance(team, 4);
            let (_, presented) = keys.issue(name, format!("key-{number}"), [number as u8; 32]);
            requests.push((team, presented));
        }
        let mut next = requests.iter().cycle();
        group.bench_function(BenchmarkId::from_parameter(teams), |b| {
            b.iter(|| {
                let Some((team, presented)) = next.next() else {
                    return;
                };
                let known = keys.verify(black_box(presented)).is_ok();
                if let Some(unit) = limits.try_take(*team).filter(|_| known) {
                    limits.give_back(black_box(unit));
                }
            });
        });
    }
    group.finish();
}

fn id(number: u64) -> Uuid {
    let mut random = [0; 10];
    random[2..].copy_from_slice(&number.wrapping_mul(0x9e37_79b9_7f4a_7c15).to_le_bytes());
    Builder::from_unix_timestamp_millis(1_000_000 + number / 8, &random).into_uuid()
}

fn claim(c: &mut Criterion) {
    let mut group = c.benchmark_group("claim_and_finish");
    for max_claims in [1_000, 10_000, 100_000] {
        let settings = ClaimSettings {
            max_claims,
            ..ClaimSettings::default()
        };
        let mut claims: Claims<()> = Claims::new(settings, 0);
        claims.set_ceiling(u64::MAX);
        let mut number = 0;
        group.bench_function(BenchmarkId::from_parameter(max_claims), |b| {
            b.iter(|| {
                number += 1;
                if let ClaimOutcome::Run(ticket) = claims.claim(id(number), [0; 32], u64::MAX / 2) {
                    claims.finish(ticket, RunOutcome::Completed(()));
                }
            });
        });
    }
    group.finish();
}

fn owner(c: &mut Criterion) {
    let mut group = c.benchmark_group("owner_of_identifier");
    for count in SHARDS {
        let set = ShardSet::new(shards(count));
        let mut number = 0;
        group.bench_function(BenchmarkId::from_parameter(count), |b| {
            b.iter(|| {
                number += 1;
                set.owner(black_box(id(number)))
            });
        });
    }
    group.finish();
}

/// A version with all teams is dealt out and put in force after one that had one shard less.
fn new_deal(c: &mut Criterion) {
    let mut group = c.benchmark_group("new_deal");
    group.measurement_time(Duration::from_secs(2));
    for (teams, count) in TEAMS.into_iter().zip(SHARDS) {
        let limits = || (0..teams).map(|n| (SmolStr::from(format!("team-{n}")), 1 << (n % 9)));
        let mut settlement = Settlement::new();
        let mine = shards(1).remove(0);
        settlement.hold(mine);
        settlement.put_in_force(VersionDeal::new(1, shards(count - 1), Vec::new(), limits()));
        let name = format!("{teams} teams, {count} shards");
        group.bench_function(name, |b| {
            b.iter_batched(
                || settlement.clone(),
                |mut settlement| {
                    let deal = VersionDeal::new(2, shards(count), Vec::new(), limits());
                    settlement.put_in_force(deal);
                    settlement
                },
                BatchSize::SmallInput,
            );
        });
    }
    group.finish();
}

criterion_group!(benches, key_and_limit, claim, owner, new_deal);
criterion_main!(benches);
