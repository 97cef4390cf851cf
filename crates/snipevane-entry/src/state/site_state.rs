//! The state behind an entry VM's lock.

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

use super::{GrantParts, HeldShard, KeptAnswer, PoolRows, ServerLog, Waiter};
use crate::peer::Peers;

/// Former versions that changes for peers can start from.
const RECENT_VERSIONS: usize = 4;
/// Weight of requests without a key in open queues.
const OPEN_SHARE: u32 = 1;

/// Everything that an entry VM keeps in memory.
pub(crate) struct State {
    /// Name of this entry VM.
    pub(crate) vm: SmolStr,
    /// Zone of this entry VM.
    pub(crate) zone: SmolStr,
    /// Configuration in force.
    pub(crate) site: Site,
    /// Text of the manifest in force, as it was accepted.
    pub(crate) manifest: Arc<str>,
    /// Versions that were in force before, oldest first, with their manifests' texts.
    pub(crate) recent: Vec<(u64, Arc<str>)>,
    /// Shards of the configuration in force.
    pub(crate) shards: ShardSet,
    /// Deal of the limits in force.
    pub(crate) deal: VersionAllocation,
    /// Shards that had a holder when the version in force was accepted, or later.
    pub(crate) former: Vec<ShardName>,
    /// Shards that this entry VM holds.
    pub(crate) held: Vec<HeldShard>,
    /// Last version within whose deal this entry VM runs.
    pub(crate) settled: u64,
    /// Units of the limits.
    pub(crate) limits: TeamLimiter,
    /// Change between deals of the limits.
    pub(crate) limit_deals: AllocationRollout,
    /// Change between deals of the slots in this zone, by service.
    pub(crate) slot_deals: AllocationRollout,
    /// Backend servers.
    pub(crate) router: Router,
    /// Waiting requests by service.
    pub(crate) waiting: SecondaryMap<ServiceKey, FairQueue<Waiter>>,
    /// Keys of the teams.
    pub(crate) keys: KeyStore,
    /// Signs of the VMs' states.
    pub(crate) members: Members,
    /// Backend servers as the events so far describe them.
    pub(crate) server_log: ServerLog,
    /// Retries of the teams.
    pub(crate) retries: RetryBudget,
    /// Other entry VMs.
    pub(crate) peers: Peers,
    /// The platform's list, as read last.
    pub(crate) list: Vec<VmEntry>,
    /// VMs that the list ever had, as far as this process has read it.
    pub(crate) listed: FxHashSet<SmolStr>,
    /// Whether the list was ever read.
    pub(crate) list_read: bool,
    /// Time of the last answer of the platform's table.
    pub(crate) platform_heard: Option<Instant>,
    /// Time since which the platform doesn't answer.
    pub(crate) platform_away_since: Option<Instant>,
    /// Version of the row `config/head` and of the configuration that it names, as read last.
    pub(crate) config_row: Option<(u64, u64)>,
    /// Time of the last heartbeat of an entry VM in another zone.
    pub(crate) other_zone_heard: Option<Instant>,
    /// Highest ceilings that shards' holders have announced, in Unix milliseconds.
    pub(crate) ceilings: FxHashMap<ShardName, u64>,
    /// Rows of pools and VMs.
    pub(crate) pool_rows: PoolRows,
    /// Identifiers are claimed only once every shard is known to use the same list of shards.
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
            recent: Vec::new(),
            shards: ShardSet::new(Vec::new()),
            deal: VersionAllocation::default(),
            former: Vec::new(),
            held: Vec::new(),
            settled: 0,
            limits: TeamLimiter::default(),
            limit_deals: AllocationRollout::new(),
            slot_deals: AllocationRollout::new(),
            router: Router::new(RouterSettings::default()),
            waiting: SecondaryMap::new(),
            keys: KeyStore::default(),
            members: Members::new(MembershipSettings::default()),
            server_log: ServerLog::default(),
            retries: RetryBudget::new(RetrySettings::default()),
            peers: Peers::default(),
            list: Vec::new(),
            listed: FxHashSet::default(),
            list_read: false,
            platform_heard: None,
            platform_away_since: None,
            config_row: None,
            other_zone_heard: None,
            ceilings: FxHashMap::default(),
            pool_rows: PoolRows::default(),
            claims_blocked: false,
        }
    }

    /// Puts a configuration in force; an older one than the present one is ignored.
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
        self.recent.push((
            self.site.version,
            std::mem::replace(&mut self.manifest, text),
        ));
        if self.recent.len() > RECENT_VERSIONS {
            self.recent.remove(0);
        }
        self.site.load(version, manifest);
        let names = shard_names(&self.site);
        if !first && names != self.shards.names() {
            // An identifier may now belong to another shard, whose holder doesn't know it.
            self.claims_blocked = true;
        }
        self.shards = ShardSet::new(names);
        self.deal = VersionAllocation::of_site(&self.site, former.clone());
        self.limit_deals.put_in_force(self.deal.clone());
        self.slot_deals
            .put_in_force(self.slot_deal(&self.site, &former));
        self.former = former;
        self.sync_teams();
        self.sync_queues(now);
        self.refresh_allowances();
        self.sync_servers(now);
        true
    }

    /// Learns the deals of a version that was never in force here.
    pub(crate) fn learn_version(
        &mut self,
        version: u64,
        manifest: &Manifest,
        former: &[ShardName],
    ) {
        let mut site = Site::default();
        site.load(version, manifest);
        self.limit_deals
            .record_version(VersionAllocation::of_site(&site, former.to_vec()));
        self.slot_deals
            .record_version(self.slot_deal(&site, former));
        self.refresh_allowances();
    }

    /// Brings the teams' allowances in line with the deals.
    pub(crate) fn refresh_allowances(&mut self) {
        for (key, team) in &self.site.teams {
            let units = self.limit_deals.total_allowance(&team.name);
            self.limits.set_allowance(key, units);
        }
    }

    /// Takes note that the holder of a shard runs within a version's deal.
    pub(crate) fn confirm(&mut self, shard: &ShardName, version: u64) {
        let units = self.limit_deals.confirm(shard, version);
        let slots = shard.zone == self.zone && self.slot_deals.confirm(shard, version);
        if units || slots {
            self.refresh_allowances();
        }
    }

    /// Settles the version in force as soon as everything here runs within its deal.
    pub(crate) fn settle(&mut self, unix_ms: u64) {
        let version = self.site.version;
        // Requests of a former holder may run until the shard is usable.
        let usable = self.held.iter().all(|held| held.usable);
        if self.settled < version && usable && self.is_within_deal(version) {
            self.settled = version;
            let names: Vec<ShardName> = self.held.iter().map(|shard| shard.name.clone()).collect();
            for name in names {
                self.confirm(&name, version);
            }
        }
        if self.claims_blocked && self.limit_deals.unconfirmed_shards().is_empty() {
            self.claims_blocked = false;
            for shard in &mut self.held {
                shard.claims.raise_floor(unix_ms);
            }
        }
    }

    /// Starts to use the shards whose waiting time has passed.
    pub(crate) fn use_ready_shards(&mut self, now: Instant) {
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
            self.limit_deals.add_shard(name.clone());
            self.slot_deals.add_shard(name);
        }
        self.refresh_allowances();
        self.sync_servers(now);
    }

    /// Decides on an identifier whose shard is held here.
    pub(crate) fn claim(
        &mut self,
        shard: &ShardName,
        id: Uuid,
        body_hash: [u8; 32],
        unix_ms: u64,
    ) -> Option<ClaimOutcome<KeptAnswer>> {
        let held = self.held.iter_mut().find(|held| held.name == *shard)?;
        if self.claims_blocked {
            let known = held.claims.look_up(id, body_hash);
            let retry_after = Duration::from_secs(1);
            return Some(known.unwrap_or(ClaimOutcome::RetryLater { retry_after }));
        }
        Some(held.claims.claim(id, body_hash, unix_ms))
    }

    /// Grants units and slots to waiting requests, as far as there are any.
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

    /// Takes back a unit and a slot, and charges the team for the slot's use.
    pub(crate) fn give_back(&mut self, parts: GrantParts, report: RequestOutcome, now: Instant) {
        let used = now.saturating_duration_since(parts.since);
        self.router.release(parts.slot, report, now);
        if let Some(unit) = parts.unit {
            self.limits.release(unit);
        }
        if let Some(queue) = self.waiting.get_mut(parts.service) {
            queue.charge(parts.team, used.as_secs_f64(), now);
        }
        // The unit may be what the team waits for in the queue of another service.
        for queue in self.waiting.values_mut() {
            queue.resume_team(parts.team);
        }
    }

    /// Drops the waiting requests whose time ran out; their senders get the refusal.
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
            let unit_here = waiting.item.needs_unit && !waiting.team.is_null();
            !unit_here || limits.free(waiting.team) > 0
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
        let parts = self.finish_grant(service, popped.team, slot, unit, now)?;
        Some((popped.item, parts))
    }

    fn finish_grant(
        &mut self,
        service: ServiceKey,
        team: TeamKey,
        slot: Slot,
        unit: Option<snipevane_core::limits::Unit>,
        since: Instant,
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
            since,
        })
    }

    fn slot_deal(&self, site: &Site, former: &[ShardName]) -> VersionAllocation {
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

    /// Tells whether what runs here is within a version's deal.
    pub(crate) fn is_within_deal(&self, version: u64) -> bool {
        let units = self
            .limit_deals
            .can_confirm(version, self.limits.in_use_by_names());
        units
            && self
                .slot_deals
                .can_confirm(version, self.most_slots_in_use())
    }

    /// Returns the most slots in use at one backend server, for each service.
    fn most_slots_in_use(&self) -> impl Iterator<Item = (&str, u32)> {
        self.router.stats().filter_map(|counts| {
            let service = self.site.services.get(counts.service)?;
            Some((service.name.as_str(), u32::from(counts.slots_in_use)))
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
            queue.set_weight(TeamKey::null(), OPEN_SHARE);
            for (team, settings) in &self.site.teams {
                queue.set_weight(team, settings.share);
            }
        }
        self.router.tick(now);
    }
}
