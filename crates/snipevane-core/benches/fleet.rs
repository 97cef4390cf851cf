//! Decision rounds over the fleet: waves, moves and placement, by size.

use std::hint::black_box;
use std::time::Duration;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use slotmap::{SecondaryMap, SlotMap};
use snipevane_core::ids::{PoolKey, ServiceKey, VmKey, ZoneKey};
use snipevane_core::pools::{
    MovePlanner, MoveSettings, OperationId, Place, PoolLoad, RackId, ServiceBudget, UnixMs, VmRow,
};
use snipevane_core::waves::{FleetView, Pace, VmView, Wave, WaveSettings};

/// VMs and pools of each size; the last one is the target.
const SIZES: [(usize, usize); 3] = [(50, 5), (650, 14), (2600, 56)];
const ZONES: usize = 16;
const RACK_VMS: usize = 4;

fn view(vms: usize, pools: usize) -> FleetView {
    let mut pool_keys: SlotMap<PoolKey, ()> = SlotMap::with_key();
    let mut service_keys: SlotMap<ServiceKey, ()> = SlotMap::with_key();
    let mut zone_keys: SlotMap<ZoneKey, ()> = SlotMap::with_key();
    let mut vm_keys: SlotMap<VmKey, ()> = SlotMap::with_key();
    let zones: Vec<ZoneKey> = (0..ZONES).map(|_| zone_keys.insert(())).collect();
    let mut services = SecondaryMap::new();
    for _ in 0..pools {
        let budget = ServiceBudget {
            service: service_keys.insert(()),
            unavailable_percent: 25,
        };
        services.insert(pool_keys.insert(()), vec![budget]);
    }
    let pools: Vec<PoolKey> = services.keys().collect();
    let vms = (0..vms).map(|index| VmView {
        vm: vm_keys.insert(()),
        place: Place {
            zone: zones[index / RACK_VMS % ZONES],
            rack: RackId(u32::try_from(index / RACK_VMS).unwrap_or(u32::MAX)),
        },
        row: VmRow::serving(pools[index % pools.len()], UnixMs(0)),
    });
    FleetView {
        vms: vms.collect(),
        services,
    }
}

fn wave_round(c: &mut Criterion) {
    let mut group = c.benchmark_group("wave_round");
    for (vms, pools) in SIZES {
        let view = view(vms, pools);
        let settings = WaveSettings {
            pace: Pace::Urgent,
            first_batch: u32::MAX,
            ..WaveSettings::default()
        };
        let Ok(wave) = Wave::new(OperationId(1), settings, &view, UnixMs(1)) else {
            continue;
        };
        group.bench_function(BenchmarkId::from_parameter(vms), |b| {
            b.iter_batched(
                || wave.clone(),
                |mut wave| black_box(wave.round(&view, UnixMs(2))),
                criterion::BatchSize::SmallInput,
            );
        });
    }
    group.finish();
}

fn move_round(c: &mut Criterion) {
    let mut group = c.benchmark_group("move_round");
    for (vms, pools) in SIZES {
        let view = view(vms, pools);
        let loads: Vec<PoolLoad> = view.services.keys().enumerate().map(load).collect();
        let mut planner = MovePlanner::new(MoveSettings {
            sustain: Duration::ZERO,
            cooldown: Duration::ZERO,
            ..MoveSettings::default()
        });
        let mut now = 0;
        group.bench_function(BenchmarkId::from_parameter(vms), |b| {
            b.iter(|| {
                now += 1000;
                black_box(planner.decide(&loads, UnixMs(now)))
            });
        });
    }
    group.finish();
}

/// Returns loads of which every third is short and every third can give.
fn load((index, pool): (usize, PoolKey)) -> PoolLoad {
    PoolLoad {
        pool,
        serving: 46,
        arriving: 0,
        min_vms: 2,
        home_vms: 46,
        spare: false,
        demand: [60.0, 35.0, 10.0][index % 3],
        backlog: 0.0,
    }
}

criterion_group!(benches, wave_round, move_round);
criterion_main!(benches);
