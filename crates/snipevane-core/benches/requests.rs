//! Benchmarks of the check of an API key with a team limit, of a claim, of the lookup of the shard
//! that owns an identifier, and of a new allocation of the team limits to the shards.

#![allow(missing_docs)]

use std::hint::black_box;
use std::time::Duration;

use criterion::{BatchSize, BenchmarkId, Criterion, criterion_group, criterion_main};
use slotmap::SlotMap;
use smol_str::SmolStr;
use snipevane_core::claims::{ClaimOutcome, ClaimSettings, Claims, RunOutcome};
use snipevane_core::ids::TeamKey;
use snipevane_core::keys::KeyStore;
use snipevane_core::limits::{AllocationRollout, TeamLimiter, VersionAllocation};
use snipevane_core::shards::{ShardName, ShardSet};
use uuid::{Builder, Uuid};

const TEAM_COUNTS: [u32; 3] = [6, 80, 320];
const SHARD_COUNTS: [u16; 3] = [7, 28, 96];

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
    for teams in TEAM_COUNTS {
        let mut arena: SlotMap<TeamKey, ()> = SlotMap::default();
        let (mut keys, mut limits) = (KeyStore::default(), TeamLimiter::default());
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
                let valid = keys.verify(black_box(presented)).is_ok();
                if let Some(unit) = limits.try_acquire(*team).filter(|_| valid) {
                    limits.release(black_box(unit));
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
    for count in SHARD_COUNTS {
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

/// Allocates the limits of all teams to the shards of a new version and puts it in force. The
/// version before it has one shard less.
fn new_allocation(c: &mut Criterion) {
    let mut group = c.benchmark_group("new_deal");
    group.measurement_time(Duration::from_secs(2));
    for (teams, count) in TEAM_COUNTS.into_iter().zip(SHARD_COUNTS) {
        let limits = || (0..teams).map(|n| (SmolStr::from(format!("team-{n}")), 1 << (n % 9)));
        let mut settlement = AllocationRollout::new();
        let own_shard = shards(1).remove(0);
        settlement.add_shard(own_shard);
        settlement.put_in_force(VersionAllocation::new(
            1,
            shards(count - 1),
            Vec::new(),
            limits(),
        ));
        let name = format!("{teams} teams, {count} shards");
        group.bench_function(name, |b| {
            b.iter_batched(
                || settlement.clone(),
                |mut settlement| {
                    let allocation = VersionAllocation::new(2, shards(count), Vec::new(), limits());
                    settlement.put_in_force(allocation);
                    settlement
                },
                BatchSize::SmallInput,
            );
        });
    }
    group.finish();
}

criterion_group!(benches, key_and_limit, claim, owner, new_allocation);
criterion_main!(benches);
