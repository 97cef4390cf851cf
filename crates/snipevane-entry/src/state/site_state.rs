//! State of an entry VM, guarded by one lock.

use std::sync::Arc;
use std::time::{Duration, Instant};

use rustc_hash::{FxHashMap, FxHashSet};
use slotmap::{Key, SecondaryMap};
use smol_str::SmolStr;
use snipevane_core::claims::ClaimOutcome;
use snipevane_core::config::Site;
use snipevane_core::ids::{ServiceKey, TeamKey};
use snipevane_core::keys::KeyStore;
use snipevane_core::limits::{AllocationRollout, TeamLimiter, VersionAllocation};
use snipevane_core::members::{Members, MembershipSettings};
use snipevane_core::routing::{
    RequestOutcome, RetryBudget, RetrySettings, Router, RouterSettings, Slot,
};
use snipevane_core::shards::{ShardName, ShardSet, shard_names};
use snipevane_core::shares::{FairQueue, QueueSettings};
use snipevane_platform::VmEntry;
use snipevane_proto::manifest::Manifest;
use uuid::Uuid;

use super::{CachedResponse, GrantParts, HeldShard, PoolRows, ServerLog, Waiter};
use crate::peer::Peers;

/// Number of earlier versions from which deltas for peers can be computed.
const RECENT_VERSIONS: usize = 4;
/// Weight of requests without an API key in open queues.
const OPEN_QUEUE_WEIGHT: u32 = 1;

/// In-memory state of an entry VM.
pub(crate) struct State {
    /// Name of this entry VM.
    pub(crate) vm: SmolStr,
    /// Zone of this entry VM.
    pub(crate) zone: SmolStr,
    /// Configuration in force.
    pub(crate) site: Site,
    /// Text of the manifest in force, as accepted.
    pub(crate) manifest: Arc<str>,
    /// Versions that were in force before, oldest first, with the texts of their manifests.
    pub(crate) recent_manifests: Vec<(u64, Arc<str>)>,
    /// Shards of the configuration in force.
    pub(crate) shards: ShardSet,
    /// Allocation of the limits under the version in force.
    pub(crate) limit_allocation: VersionAllocation,
    /// Shards that had a holder when the version in force was accepted, or later.
    pub(crate) former: Vec<ShardName>,
    /// Shards that this entry VM holds.
    pub(crate) held: Vec<HeldShard>,
    /// Last version within whose allocation this entry VM runs.
    pub(crate) settled_version: u64,
    /// Units of the teams' limits in use here, and the allowances.
    pub(crate) limits: TeamLimiter,
    /// Rollout of new allocations of the limits.
    pub(crate) limit_rollout: AllocationRollout,
    /// Rollout of new allocations of the slots in this zone, by service.
    pub(crate) slot_rollout: AllocationRollout,
    /// Router of requests to backend servers.
    pub(crate) router: Router,
    /// Waiting requests by service.
    pub(crate) waiting: SecondaryMap<ServiceKey, FairQueue<Waiter>>,
    /// API keys of the teams.
    pub(crate) keys: KeyStore,
    /// Health signals and list entries of the VMs.
    pub(crate) members: Members,
    /// Changes of backend servers that have been logged.
    pub(crate) server_log: ServerLog,
    /// Retry budgets of the teams.
    pub(crate) retries: RetryBudget,
    /// Other entry VMs.
    pub(crate) peers: Peers,
    /// The platform's VM list, as last read.
    pub(crate) list: Vec<VmEntry>,
    /// All VMs that this process has ever seen in the list.
    pub(crate) ever_listed: FxHashSet<SmolStr>,
    /// Whether this process has read the list at least once.
    pub(crate) list_read: bool,
    /// Time of the platform's last response.
    pub(crate) platform_last_response: Option<Instant>,
    /// Time since which the platform has been unreachable; `None` while it responds.
    pub(crate) platform_unreachable_since: Option<Instant>,
    /// Version of the row `config/head` and of the configuration that it names, as last read.
    pub(crate) config_row: Option<(u64, u64)>,
    /// Time of the last heartbeat from an entry VM in another zone.
    pub(crate) other_zone_last_heartbeat: Option<Instant>,
    /// Highest ceiling announced by the holders of each shard, in Unix milliseconds.
    pub(crate) ceilings: FxHashMap<ShardName, u64>,
    /// Rows of pools and VMs.
    pub(crate) pool_rows: PoolRows,
    /// Whether new claims on identifiers are blocked until every shard is known to use the same
    /// list of shards.
    pub(crate) claims_blocked: bool,
}

impl State {
    /// Creates the state of an entry VM that has no configuration yet.
    pub(crate) fn new(vm: SmolStr, zone: SmolStr) -> Self {
        Self {
            vm,
            zone,
            site: Site::default(),
            manifest: Arc::from(""),
            recent_manifests: Vec::new(),
            shards: ShardSet::new(Vec::new()),
            limit_allocation: VersionAllocation::default(),
            former: Vec::new(),
            held: Vec::new(),
            settled_version: 0,
            limits: TeamLimiter::default(),
            limit_rollout: AllocationRollout::new(),
            slot_rollout: AllocationRollout::new(),
            router: Router::new(RouterSettings::default()),
            waiting: SecondaryMap::new(),
            keys: KeyStore::default(),
            members: Members::new(MembershipSettings::default()),
            server_log: ServerLog::default(),
            retries: RetryBudget::new(RetrySettings::default()),
            peers: Peers::default(),
            list: Vec::new(),
            ever_listed: FxHashSet::default(),
            list_read: false,
            platform_last_response: None,
            platform_unreachable_since: None,
            config_row: None,
            other_zone_last_heartbeat: None,
            ceilings: FxHashMap::default(),
            pool_rows: PoolRows::default(),
            claims_blocked: false,
        }
    }

    /// Puts a configuration in force and returns `true`; a version that isn't newer than the one in
    /// force is ignored.
    ///
    /// `former` lists the shards that had a holder when the version was accepted, or later.
    pub(crate) fn put_in_force(
        &mut self,
        version: u64,
        manifest: &Manifest,
        text: Arc<str>,
        former: Vec<ShardName>,
        now: Instant,
    ) -> bool {
        if version <= self.site.version {
            return false;
        }
        let first = self.site.version == 0;
        self.recent_manifests.push((
            self.site.version,
            std::mem::replace(&mut self.manifest, text),
        ));
        if self.recent_manifests.len() > RECENT_VERSIONS {
            self.recent_manifests.remove(0);
        }
        self.site.load(version, manifest);
        let names = shard_names(&self.site);
        if !first && names != self.shards.names() {
            // An identifier may now belong to another shard, whose holder has no record of it.
            self.claims_blocked = true;
        }
        self.shards = ShardSet::new(names);
        self.limit_allocation = VersionAllocation::of_site(&self.site, former.clone());
        self.limit_rollout
            .put_in_force(self.limit_allocation.clone());
        self.slot_rollout
            .put_in_force(self.slot_allocation(&self.site, &former));
        self.former = former;
        self.sync_teams();
        self.sync_queues(now);
        self.refresh_allowances();
        self.sync_servers(now);
        true
    }

    /// Records the allocations of a version that was never in force here.
    pub(crate) fn record_version(
        &mut self,
        version: u64,
        manifest: &Manifest,
        former: &[ShardName],
    ) {
        let mut site = Site::default();
        site.load(version, manifest);
        self.limit_rollout
            .record_version(VersionAllocation::of_site(&site, former.to_vec()));
        self.slot_rollout
            .record_version(self.slot_allocation(&site, former));
        self.refresh_allowances();
    }

    /// Sets the teams' allowances from the allocations.
    pub(crate) fn refresh_allowances(&mut self) {
        for (key, team) in &self.site.teams {
            let units = self.limit_rollout.total_allowance(&team.name);
            self.limits.set_allowance(key, units);
        }
    }

    /// Records that the holder of a shard runs within a version's allocation.
    pub(crate) fn confirm(&mut self, shard: &ShardName, version: u64) {
        let units = self.limit_rollout.confirm(shard, version);
        let slots = shard.zone == self.zone && self.slot_rollout.confirm(shard, version);
        if units || slots {
            self.refresh_allowances();
        }
    }

    /// Settles the version in force once everything here runs within its allocation.
    ///
    /// Also unblocks claims once all shards are confirmed. The floors are raised then, since
    /// identifiers with times up to now may have moved here from another shard.
    pub(crate) fn settle_version(&mut self, unix_ms: u64) {
        let version = self.site.version;
        // Until a shard is usable, requests of its former holder may still be running.
        let usable = self.held.iter().all(|held| held.usable);
        if self.settled_version < version && usable && self.is_within_allocation(version) {
            self.settled_version = version;
            let names: Vec<ShardName> = self.held.iter().map(|shard| shard.name.clone()).collect();
            for name in names {
                self.confirm(&name, version);
            }
        }
        if self.claims_blocked && self.limit_rollout.unconfirmed_shards().is_empty() {
            self.claims_blocked = false;
            for shard in &mut self.held {
                shard.claims.raise_floor(unix_ms);
            }
        }
    }

    /// Puts the shards in use whose waiting time has passed.
    pub(crate) fn activate_ready_shards(&mut self, now: Instant) {
        let mut ready = Vec::new();
        for shard in &mut self.held {
            if !shard.usable && !shard.closing && shard.usable_at <= now {
                shard.usable = true;
                ready.push(shard.name.clone());
            }
        }
        if ready.is_empty() {
            return;
        }
        for name in ready {
            self.limit_rollout.add_shard(name.clone());
            self.slot_rollout.add_shard(name);
        }
        self.refresh_allowances();
        self.sync_servers(now);
    }

    /// Claims an identifier in a shard; `None` if the shard isn't held here.
    ///
    /// While claims are blocked, nothing is claimed: an identifier that is neither known nor at or
    /// below the floor is to be retried after 1 s.
    pub(crate) fn claim(
        &mut self,
        shard: &ShardName,
        id: Uuid,
        body_hash: [u8; 32],
        unix_ms: u64,
    ) -> Option<ClaimOutcome<CachedResponse>> {
        let held = self.held.iter_mut().find(|held| held.name == *shard)?;
        if self.claims_blocked {
            let known = held.claims.look_up(id, body_hash);
            let retry_after = Duration::from_secs(1);
            return Some(known.unwrap_or(ClaimOutcome::RetryLater { retry_after }));
        }
        Some(held.claims.claim(id, body_hash, unix_ms))
    }

    /// Grants the available units and slots to waiting requests.
    pub(crate) fn next_grants(&mut self, now: Instant) -> Vec<(Waiter, GrantParts)> {
        let services: Vec<ServiceKey> = self
            .waiting
            .iter()
            .filter(|(_, queue)| !queue.is_empty())
            .map(|(service, _)| service)
            .collect();
        let mut grants = Vec::new();
        for service in services {
            while let Some(grant) = self.next_grant(service, now) {
                grants.push(grant);
            }
        }
        grants
    }

    /// Releases a unit and a slot, and charges the team for the time for which the slot was used.
    pub(crate) fn release_grant(
        &mut self,
        parts: GrantParts,
        report: RequestOutcome,
        now: Instant,
    ) {
        let used = now.saturating_duration_since(parts.granted_at);
        self.router.release(parts.slot, report, now);
        if let Some(unit) = parts.unit {
            self.limits.release(unit);
        }
        if let Some(queue) = self.waiting.get_mut(parts.service) {
            queue.charge(parts.team, used.as_secs_f64(), now);
        }
        // The team may be waiting for this unit in the queue of another service.
        for queue in self.waiting.values_mut() {
            queue.resume_team(parts.team);
        }
    }

    /// Removes the waiting requests that have timed out; dropping them refuses the requests.
    pub(crate) fn expire_waiting(&mut self, now: Instant) {
        for queue in self.waiting.values_mut() {
            drop(queue.expire(now));
        }
    }

    fn next_grant(&mut self, service: ServiceKey, now: Instant) -> Option<(Waiter, GrantParts)> {
        let slot = self.router.pick(service, now)?;
        let limits = &self.limits;
        let queue = self.waiting.get_mut(service)?;
        let popped = queue.pop_where(now, |waiting| {
            let needs_local_unit = waiting.item.needs_unit && !waiting.team.is_null();
            !needs_local_unit || limits.free(waiting.team) > 0
        });
        let Some(popped) = popped else {
            self.router.release(slot, RequestOutcome::Abandoned, now);
            return None;
        };
        let needs_unit = popped.item.needs_unit && !popped.team.is_null();
        let unit = if needs_unit {
            self.limits.try_acquire(popped.team)
        } else {
            None
        };
        let parts = self.build_grant(service, popped.team, slot, unit, now)?;
        Some((popped.item, parts))
    }

    fn build_grant(
        &mut self,
        service: ServiceKey,
        team: TeamKey,
        slot: Slot,
        unit: Option<snipevane_core::limits::Unit>,
        granted_at: Instant,
    ) -> Option<GrantParts> {
        let server = self.router.server(slot.server())?;
        let (vm, address) = (server.vm().clone(), server.address());
        Some(GrantParts {
            team,
            service,
            slot,
            unit,
            vm,
            address,
            granted_at,
        })
    }

    fn slot_allocation(&self, site: &Site, former: &[ShardName]) -> VersionAllocation {
        let former = former
            .iter()
            .filter(|shard| shard.zone == self.zone)
            .cloned()
            .collect();
        let names = shard_names(site)
            .into_iter()
            .filter(|shard| shard.zone == self.zone)
            .collect();
        let slots = site.services.values();
        let slots = slots.map(|service| (service.name.clone(), u32::from(service.slots)));
        VersionAllocation::new(site.version, names, former, slots)
    }

    /// Returns whether the units and slots in use here are within a version's allocation.
    pub(crate) fn is_within_allocation(&self, version: u64) -> bool {
        let units = self
            .limit_rollout
            .can_confirm(version, self.limits.in_use_by_names());
        units && self.slot_rollout.can_confirm(version, self.slots_in_use())
    }

    /// Returns the number of slots in use at each backend server, with the name of its service.
    fn slots_in_use(&self) -> impl Iterator<Item = (&str, u32)> {
        self.router.stats().filter_map(|stats| {
            let service = self.site.services.get(stats.service)?;
            Some((service.name.as_str(), u32::from(stats.slots_in_use)))
        })
    }

    fn sync_teams(&mut self) {
        for (key, team) in &self.site.teams {
            self.limits.add_team(key, &team.name);
        }
        let teams = &self.site.teams;
        self.limits.retain_teams(|team| teams.contains_key(team));
    }

    fn sync_queues(&mut self, now: Instant) {
        let services = &self.site.services;
        self.waiting
            .retain(|service, _| services.contains_key(service));
        for service in services.keys() {
            let max_waiting: u32 = self
                .site
                .queues
                .values()
                .filter(|queue| queue.service == service)
                .map(|queue| queue.max_waiting)
                .sum();
            let limits = QueueSettings {
                max_waiting: usize::try_from(max_waiting).unwrap_or(usize::MAX),
                ..QueueSettings::default()
            };
            if !self.waiting.contains_key(service) {
                self.waiting.insert(service, FairQueue::new(limits));
            }
            let Some(queue) = self.waiting.get_mut(service) else {
                continue;
            };
            queue.set_weight(TeamKey::null(), OPEN_QUEUE_WEIGHT);
            for (team, settings) in &self.site.teams {
                queue.set_weight(team, settings.share);
            }
        }
        self.router.tick(now);
    }
}
