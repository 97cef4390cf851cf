//! Benchmarks of one decision round on moves of VMs between pools, by number of pools.

use std::hint::black_box;
use std::time::Duration;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use slotmap::SlotMap;
use snipevane_core::ids::PoolKey;
use snipevane_core::pools::{MovePlanner, MoveSettings, PoolLoad, UnixMs};

/// Numbers of pools; the last one is the target size.
const SIZES: [usize; 3] = [5, 14, 56];

fn move_round(c: &mut Criterion) {
    let mut group = c.benchmark_group("move_round");
    for pools in SIZES {
        let mut keys: SlotMap<PoolKey, ()> = SlotMap::with_key();
        let keys = (0..pools).map(|_| keys.insert(()));
        let loads: Vec<PoolLoad> = keys.enumerate().map(load).collect();
        let mut planner = MovePlanner::new(MoveSettings {
            min_shortage_duration: Duration::ZERO,
            cooldown: Duration::ZERO,
            ..MoveSettings::default()
        });
        let mut now = 0;
        group.bench_function(BenchmarkId::from_parameter(pools), |b| {
            b.iter(|| {
                now += 1000;
                black_box(planner.decide(&loads, UnixMs(now)))
            });
        });
    }
    group.finish();
}

/// Returns the load of a pool.
///
/// Of every three pools, one has more demand than VMs and one has VMs to spare.
fn load((index, pool): (usize, PoolKey)) -> PoolLoad {
    PoolLoad {
        pool,
        serving: 46,
        arriving: 0,
        min_vms: 2,
        configured_vms: 46,
        spare: false,
        demand: [60.0, 35.0, 10.0][index % 3],
        backlog: 0.0,
    }
}

criterion_group!(benches, move_round);
criterion_main!(benches);
