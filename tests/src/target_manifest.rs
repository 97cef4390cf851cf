//! Generates a manifest at the target size.

use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use snipevane_proto::manifest::{Manifest, Pool, Queue, Service, Team, Urgency, Zone};

/// Seed of the committed sample.
pub const SEED: u64 = 2_600;
/// Regions of the site.
pub const REGIONS: usize = 4;
/// Availability zones.
pub const ZONES: usize = 16;
/// Entry VMs, and so shards, of each zone.
pub const SHARDS: u16 = 6;
/// Teams.
pub const TEAMS: usize = 320;
/// Pools, one of which is the spare pool.
pub const POOLS: usize = 56;
/// VMs of all pools.
pub const VMS: usize = 2_600;
/// Services of each pool.
const SERVICES_PER_POOL: usize = 2;
/// Teams of each customer.
const TEAMS_PER_CUSTOMER: usize = 8;

/// Generates a manifest of 2,600 VMs; the same seed gives the same manifest.
pub fn target_manifest(seed: u64) -> Manifest {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let sizes = pool_sizes(&mut rng);
    let services = services(&mut rng);
    let slots: u64 = services
        .iter()
        .enumerate()
        .map(|(i, service)| u64::from(service.slots) * u64::from(sizes[i / SERVICES_PER_POOL]))
        .sum();
    Manifest {
        site: "target".to_owned(),
        zones: zones(),
        teams: teams(&mut rng, slots),
        pools: pools(&sizes),
        queues: services
            .iter()
            .map(|service| queue(&mut rng, service))
            .collect(),
        services,
        maintenance: None,
        keys: None,
    }
}

fn zones() -> Vec<Zone> {
    let zone = |i: usize| Zone {
        name: format!("zone-{i:02}"),
        region: format!("region-{}", i * REGIONS / ZONES),
        shards: SHARDS,
    };
    (0..ZONES).map(zone).collect()
}

/// Deals the VMs out to the pools: at least 20 each, the rest at random.
fn pool_sizes(rng: &mut impl Rng) -> Vec<u32> {
    let mut sizes = vec![20_u32; POOLS];
    for _ in POOLS * 20..VMS {
        sizes[rng.random_range(0..POOLS)] += 1;
    }
    sizes
}

fn pools(sizes: &[u32]) -> Vec<Pool> {
    let mut vms = (0..VMS).map(|i| format!("vm-{:02}-{i:04}", i % ZONES));
    let pool = |(i, &size): (usize, &u32)| {
        let spare = i == POOLS - 1;
        let jobs = (0..SERVICES_PER_POOL).map(|s| service_name(i * SERVICES_PER_POOL + s));
        Pool {
            name: format!("pool-{i:02}"),
            jobs: if spare { Vec::new() } else { jobs.collect() },
            min_vms: size / 2,
            spare,
            vms: vms
                .by_ref()
                .take(usize::try_from(size).unwrap_or(0))
                .collect(),
        }
    };
    sizes.iter().enumerate().map(pool).collect()
}

fn service_name(i: usize) -> String {
    format!("service-{i:03}")
}

fn services(rng: &mut impl Rng) -> Vec<Service> {
    let service = |i: usize| Service {
        name: service_name(i),
        pool: format!("pool-{:02}", i / SERVICES_PER_POOL),
        slots: 8,
        connections: 64,
        longest_run_ms: rng.random_range(5..60) * 1_000,
        unavailable_budget_percent: rng.random_range(10..30),
    };
    (0..(POOLS - 1) * SERVICES_PER_POOL).map(service).collect()
}

fn queue(rng: &mut impl Rng, service: &Service) -> Queue {
    let urgencies = [Urgency::Urgent, Urgency::Normal, Urgency::Overnight];
    Queue {
        name: service.name.replace("service", "queue"),
        service: service.name.clone(),
        open: rng.random_ratio(1, 20),
        idempotent: rng.random_ratio(2, 3),
        urgency: Some(urgencies[rng.random_range(0..urgencies.len())]),
        deadline_ms: service.longest_run_ms,
        max_waiting: 256,
        max_body_bytes: 1 << 20,
    }
}

fn teams(rng: &mut impl Rng, slots: u64) -> Vec<Team> {
    let shares: Vec<u32> = (0..TEAMS).map(|_| rng.random_range(1..40)).collect();
    let sum: u64 = shares.iter().map(|share| u64::from(*share)).sum();
    let team = |(i, &share): (usize, &u32)| {
        let floor = u32::try_from(slots * u64::from(share) / sum).unwrap_or(u32::MAX);
        Team {
            name: format!("team-{i:03}"),
            customer: format!("customer-{:02}", i / TEAMS_PER_CUSTOMER),
            share,
            limit: floor + rng.random_range(1..=floor.max(1)),
        }
    };
    shares.iter().enumerate().map(team).collect()
}
