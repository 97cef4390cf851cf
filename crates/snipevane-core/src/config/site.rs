//! The configuration in force, as arenas of items that refer to each other by key.

use std::collections::HashMap;
use std::time::Duration;

use slotmap::SlotMap;
use smol_str::SmolStr;
use snipevane_proto::manifest::{Manifest, Urgency};

use crate::ids::{PoolKey, QueueKey, ServiceKey, TeamKey, ZoneKey};

/// An availability zone.
#[derive(Clone, Debug, PartialEq)]
pub struct Zone {
    /// Unique name.
    pub name: SmolStr,
    /// Region of the zone.
    pub region: SmolStr,
    /// Number of shards of the zone, normally one for each of its entry VMs.
    pub shards: u16,
}

/// A team of a customer.
#[derive(Clone, Debug, PartialEq)]
pub struct Team {
    /// Unique name.
    pub name: SmolStr,
    /// Customer that the team belongs to.
    pub customer: SmolStr,
    /// Weight of the team when capacity is divided because the fleet is full.
    pub share: u32,
    /// Maximum number of requests and tasks that the team runs at once over the whole fleet.
    pub limit: u32,
}

/// A pool of VMs as the manifest defines it.
#[derive(Clone, Debug, PartialEq)]
pub struct SitePool {
    /// Unique name.
    pub name: SmolStr,
    /// Jobs that the pool hosts.
    pub jobs: Vec<SmolStr>,
    /// Minimum number of VMs that the pool keeps.
    pub min_vms: u32,
    /// Whether the pool holds the spare VMs.
    pub spare: bool,
    /// VMs that belong to the pool at first, until they are moved to another one.
    pub vms: Vec<SmolStr>,
}

/// A service that the backend servers of one pool provide.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Unique name.
    pub name: SmolStr,
    /// Pool that hosts the service.
    pub pool: PoolKey,
    /// Maximum number of requests that one backend server runs at once.
    pub slots: u16,
    /// Maximum number of connections that one backend server accepts.
    pub connections: u16,
    /// Maximum time that a request may run.
    pub longest_run: Duration,
    /// Maximum part of the backend servers, in percent, that may be unavailable at once.
    pub unavailable_budget_percent: u8,
}

/// A queue to which callers send requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Queue {
    /// Unique name.
    pub name: SmolStr,
    /// Service that runs the queue's requests.
    pub service: ServiceKey,
    /// Whether requests need no API key.
    pub open: bool,
    /// Whether a request may be run more than once.
    pub idempotent: bool,
    /// Urgency, by which waiting requests are ordered.
    pub urgency: Urgency,
    /// Total time that a request has if it doesn't state a deadline.
    pub deadline: Duration,
    /// Maximum number of requests that wait at one entry VM.
    pub max_waiting: u32,
    /// Maximum size of a request's body, in bytes.
    pub max_body_bytes: u32,
}

/// The configuration in force.
///
/// An item keeps its key in later versions that have an item of the same name, so that state held
/// by key elsewhere stays valid.
#[derive(Clone, Debug, Default)]
pub struct Site {
    /// Version in force, or 0 if there is none yet.
    pub version: u64,
    /// Time for which a zone that is cut off accepts API keys that it can't check.
    pub cut_off_serve: Duration,
    /// Availability zones.
    pub zones: SlotMap<ZoneKey, Zone>,
    /// Teams.
    pub teams: SlotMap<TeamKey, Team>,
    /// Pools.
    pub pools: SlotMap<PoolKey, SitePool>,
    /// Services.
    pub services: SlotMap<ServiceKey, Service>,
    /// Queues.
    pub queues: SlotMap<QueueKey, Queue>,
    zone_names: HashMap<SmolStr, ZoneKey>,
    team_names: HashMap<SmolStr, TeamKey>,
    pool_names: HashMap<SmolStr, PoolKey>,
    service_names: HashMap<SmolStr, ServiceKey>,
    queue_names: HashMap<SmolStr, QueueKey>,
}

impl Site {
    /// Replaces the items with those of a validated manifest.
    ///
    /// Services and queues that refer to an unknown item are left out;
    /// [`check`](super::check()) reports them.
    pub fn load(&mut self, version: u64, manifest: &Manifest) {
        self.version = version;
        let policy = manifest.keys.clone().unwrap_or_default();
        self.cut_off_serve = Duration::from_millis(policy.cut_off_serve_ms);
        let zones = manifest.zones.iter().map(|zone| Zone {
            name: zone.name.as_str().into(),
            region: zone.region.as_str().into(),
            shards: zone.shards,
        });
        sync_arena(&mut self.zones, &mut self.zone_names, zones, |zone| {
            &zone.name
        });
        let teams = manifest.teams.iter().map(|team| Team {
            name: team.name.as_str().into(),
            customer: team.customer.as_str().into(),
            share: team.share,
            limit: team.limit,
        });
        sync_arena(&mut self.teams, &mut self.team_names, teams, |team| {
            &team.name
        });
        let pools = manifest.pools.iter().map(|pool| SitePool {
            name: pool.name.as_str().into(),
            jobs: pool.jobs.iter().map(SmolStr::from).collect(),
            min_vms: pool.min_vms,
            spare: pool.spare,
            vms: pool.vms.iter().map(SmolStr::from).collect(),
        });
        sync_arena(&mut self.pools, &mut self.pool_names, pools, |pool| {
            &pool.name
        });
        let pool_names = &self.pool_names;
        let services = manifest.services.iter().filter_map(|service| {
            Some(Service {
                name: service.name.as_str().into(),
                pool: *pool_names.get(service.pool.as_str())?,
                slots: service.slots,
                connections: service.connections,
                longest_run: Duration::from_millis(service.longest_run_ms.into()),
                unavailable_budget_percent: service.unavailable_budget_percent,
            })
        });
        sync_arena(
            &mut self.services,
            &mut self.service_names,
            services,
            |service| &service.name,
        );
        let service_names = &self.service_names;
        let queues = manifest.queues.iter().filter_map(|queue| {
            Some(Queue {
                name: queue.name.as_str().into(),
                service: *service_names.get(queue.service.as_str())?,
                open: queue.open,
                idempotent: queue.idempotent,
                urgency: queue.urgency.unwrap_or(Urgency::Normal),
                deadline: Duration::from_millis(queue.deadline_ms.into()),
                max_waiting: queue.max_waiting,
                max_body_bytes: queue.max_body_bytes,
            })
        });
        sync_arena(&mut self.queues, &mut self.queue_names, queues, |queue| {
            &queue.name
        });
    }

    /// Returns the key of the zone with this name, if there is one.
    pub fn zone(&self, name: &str) -> Option<ZoneKey> {
        self.zone_names.get(name).copied()
    }

    /// Returns the key of the team with this name, if there is one.
    pub fn team(&self, name: &str) -> Option<TeamKey> {
        self.team_names.get(name).copied()
    }

    /// Returns the key of the pool with this name, if there is one.
    pub fn pool(&self, name: &str) -> Option<PoolKey> {
        self.pool_names.get(name).copied()
    }

    /// Returns the key of the service with this name, if there is one.
    pub fn service(&self, name: &str) -> Option<ServiceKey> {
        self.service_names.get(name).copied()
    }

    /// Returns the key of the queue with this name, if there is one.
    pub fn queue(&self, name: &str) -> Option<QueueKey> {
        self.queue_names.get(name).copied()
    }
}

/// Replaces the items of an arena with `items` and updates the index `names`.
///
/// An item whose name was there before keeps its key; items whose names are gone are removed.
fn sync_arena<K: slotmap::Key, V>(
    arena: &mut SlotMap<K, V>,
    names: &mut HashMap<SmolStr, K>,
    items: impl Iterator<Item = V>,
    name_of: impl Fn(&V) -> &SmolStr,
) {
    let mut new_names = HashMap::new();
    for item in items {
        let name = name_of(&item).clone();
        let key = match names.remove(&name) {
            Some(key) => {
                arena[key] = item;
                key
            }
            None => arena.insert(item),
        };
        new_names.insert(name, key);
    }
    for (_, key) in names.drain() {
        arena.remove(key);
    }
    *names = new_names;
}
