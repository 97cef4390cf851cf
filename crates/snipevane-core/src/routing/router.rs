//! Picks a backend server for each request and tracks the health of the servers by the outcomes.

use std::time::{Duration, Instant};

use rustc_hash::{FxHashMap, FxHashSet};
use slotmap::SlotMap;
use smol_str::SmolStr;

use super::server::{Health, RequestOutcome, Server, ServerSpec, ServerStats, Slot};
use super::server_index::{Rank, ServerIndex};
use super::timers::{Timer, Timers};
use crate::ids::{ServerKey, ServiceKey};

/// Settings of a [`Router`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RouterSettings {
    /// Number of consecutive failures after which a server is ejected.
    pub failure_threshold: u32,
    /// Length of the first ejection; each consecutive one is twice as long.
    pub base_ejection: Duration,
    /// Maximum length of an ejection.
    pub max_ejection: Duration,
    /// Maximum percentage of a service's servers that may be ejected or suspect at the same time.
    pub max_ejected_percent: u32,
    /// Back-off after the first declined request; each consecutive one is twice as long.
    pub base_decline_backoff: Duration,
    /// Maximum back-off after declined requests.
    pub max_decline_backoff: Duration,
    /// Half-life of the failure rate of a server.
    pub failure_half_life: Duration,
}

impl Default for RouterSettings {
    fn default() -> Self {
        Self {
            failure_threshold: 3,
            base_ejection: Duration::from_secs(1),
            max_ejection: Duration::from_secs(30),
            max_ejected_percent: 30,
            base_decline_backoff: Duration::from_millis(50),
            max_decline_backoff: Duration::from_secs(1),
            failure_half_life: Duration::from_secs(10),
        }
    }
}

/// Failure rate below which the rate is reset to zero.
const NEGLIGIBLE_FAILURE_RATE: f32 = 0.01;

/// Load balancer over the backend servers of which this entry VM has slots.
#[derive(Clone, Debug, Default)]
pub struct Router {
    settings: RouterSettings,
    servers: SlotMap<ServerKey, Server>,
    by_vm: FxHashMap<SmolStr, Vec<ServerKey>>,
    by_service: FxHashMap<ServiceKey, ServerIndex>,
    /// VMs that are leaving, including those that have no server here.
    leaving: FxHashSet<SmolStr>,
    timers: Timers,
    /// Number of slots picked so far.
    picks: u64,
}

impl Router {
    /// Creates a router that has no servers.
    pub fn new(settings: RouterSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Replaces the set of servers.
    ///
    /// A server that remains (same VM and service) keeps its key, its running requests and its
    /// health state. A server that is missing from `specs` gets no new requests and is removed when
    /// its last request ends.
    pub fn sync(&mut self, specs: impl IntoIterator<Item = ServerSpec>, now: Instant) {
        self.tick(now);
        let mut kept = FxHashSet::default();
        for spec in specs {
            kept.insert(self.upsert(spec));
        }
        let missing: Vec<ServerKey> = self
            .servers
            .keys()
            .filter(|server| !kept.contains(server))
            .collect();
        for server in missing {
            self.update(server, |server| server.removed = true);
            self.remove_if_idle(server);
        }
        self.readmit_over_budget(now);
    }

    /// Takes a slot of the least loaded server of a service.
    ///
    /// Returns `None` if none of the slots allocated to this entry VM is free.
    pub fn pick(&mut self, service: ServiceKey, now: Instant) -> Option<Slot> {
        self.tick(now);
        let server = self.by_service.get(&service)?.first()?;
        Some(self.take_slot(server))
    }

    /// Takes a slot of the least loaded server other than the one where the first attempt failed.
    ///
    /// Returns `None` if the other servers have no free slot.
    pub fn pick_other(
        &mut self,
        service: ServiceKey,
        failed: ServerKey,
        now: Instant,
    ) -> Option<Slot> {
        self.tick(now);
        let server = self.by_service.get(&service)?.first_except(failed)?;
        Some(self.take_slot(server))
    }

    /// Releases a slot and updates the server's health state by the outcome of the request.
    pub fn release(&mut self, slot: Slot, outcome: RequestOutcome, now: Instant) {
        self.tick(now);
        let key = slot.server;
        self.return_slot(key);
        match outcome {
            RequestOutcome::Answered { latency } => {
                self.update(key, |server| server.record_response(latency))
            }
            RequestOutcome::Failed | RequestOutcome::ConnectFailed => self.on_failure(key, now),
            RequestOutcome::Declined => self.on_decline(key, now),
            RequestOutcome::Abandoned => {}
        }
        self.remove_if_idle(key);
    }

    /// Keeps a slot taken until the given time, by which a request that may still be running has
    /// certainly ended.
    pub fn quarantine(&mut self, slot: Slot, until: Instant) {
        self.update(slot.server, |server| server.quarantined += 1);
        self.timers.add(until, Timer::QuarantineEnds, slot.server);
    }

    /// Processes the timers that are due: ends quarantines, back-offs and ejections, and halves
    /// failure rates.
    pub fn tick(&mut self, now: Instant) {
        while let Some((timer, server)) = self.timers.pop_due(now) {
            match timer {
                Timer::QuarantineEnds => {
                    self.update(server, |server| server.quarantined -= 1);
                    self.return_slot(server);
                    self.remove_if_idle(server);
                }
                Timer::PauseEnds => self.end_pause(server, now),
                Timer::FailuresDecay => self.decay_failures(server, now),
            }
        }
    }

    /// Sets whether a VM is leaving, in which case its servers get no new requests.
    ///
    /// This also applies to servers that are added on the VM later.
    pub fn set_leaving(&mut self, vm: &str, leaving: bool) {
        let changed = match leaving {
            true => self.leaving.insert(vm.into()),
            false => self.leaving.remove(vm),
        };
        if !changed {
            return;
        }
        let Some(servers) = self.by_vm.get(vm) else {
            return;
        };
        for server in servers.clone() {
            self.update(server, |server| server.leaving = leaving);
        }
    }

    /// Sets whether a VM is suspected of leaving, in which case its servers get no new requests.
    ///
    /// Suspect servers count against the ejection budget, so that signals with a cause other than
    /// leaving can't stop a service. A server beyond the budget isn't marked as suspect; callers
    /// must repeat the call regularly, since the budget may allow it later.
    pub fn set_suspect(&mut self, vm: &str, suspect: bool) {
        let Some(servers) = self.by_vm.get(vm) else {
            return;
        };
        for key in servers.clone() {
            let allowed = self
                .servers
                .get(key)
                .is_some_and(|server| server.is_excluded() || self.may_exclude(server));
            self.update(key, |server| server.suspect = suspect && allowed);
        }
    }

    /// Returns the server with the given key.
    ///
    /// A server exists at least as long as one of its slots is taken.
    pub fn server(&self, server: ServerKey) -> Option<&Server> {
        self.servers.get(server)
    }

    /// Returns the number of requests of a service that this entry VM could start now.
    pub fn free_slots(&self, service: ServiceKey) -> u32 {
        self.by_service.get(&service).map_or(0, |index| index.free)
    }

    /// Returns the number of a service's slots that this entry VM may use.
    ///
    /// Servers that are leaving, suspect, ejected or removed don't count.
    pub fn slots(&self, service: ServiceKey) -> u32 {
        self.by_service.get(&service).map_or(0, |index| index.slots)
    }

    /// Returns the statistics of each server for the status report.
    pub fn stats(&self) -> impl Iterator<Item = ServerStats> {
        self.servers.values().map(Server::stats)
    }

    /// Adds a server, or updates the one with the same VM and service.
    fn upsert(&mut self, spec: ServerSpec) -> ServerKey {
        let known = self.by_vm.get(&spec.vm).and_then(|servers| {
            servers
                .iter()
                .copied()
                .find(|&server| self.servers[server].spec.service == spec.service)
        });
        if let Some(server) = known {
            self.update(server, |server| {
                server.spec = spec;
                server.removed = false;
            });
            return server;
        }
        let vm = spec.vm.clone();
        let leaving = self.leaving.contains(&vm);
        // The server is inserted as removed, so that the update below adds it to its index.
        let server = self.servers.insert(Server {
            removed: true,
            leaving,
            ..Server::new(spec)
        });
        self.by_vm.entry(vm).or_default().push(server);
        self.update(server, |server| server.removed = false);
        server
    }

    fn take_slot(&mut self, server: ServerKey) -> Slot {
        self.picks += 1;
        let pick_number = self.picks;
        self.update_with_pick(server, pick_number, |server| server.slots_in_use += 1);
        Slot { server }
    }

    /// Changes a server and updates its position and the totals in the index of its service.
    fn update(&mut self, key: ServerKey, change: impl FnOnce(&mut Server)) {
        let pick_number = match self.servers.get(key) {
            Some(server) => server.rank.map_or(self.picks, |rank| rank.pick_number),
            None => return,
        };
        self.update_with_pick(key, pick_number, change);
    }

    /// Like [`Self::update`], and sets the pick number that orders servers with the same load.
    fn update_with_pick(
        &mut self,
        key: ServerKey,
        pick_number: u64,
        change: impl FnOnce(&mut Server),
    ) {
        let Some(server) = self.servers.get_mut(key) else {
            return;
        };
        let index = self.by_service.entry(server.spec.service).or_default();
        let (was_member, was_excluded) = (server.is_member(), server.is_excluded());
        let had_slots = server.usable_slots();
        change(server);

        index.members += u32::from(server.is_member());
        index.members -= u32::from(was_member);
        index.excluded += u32::from(server.is_member() && server.is_excluded());
        index.excluded -= u32::from(was_member && was_excluded);

        index.slots += u32::from(server.usable_slots());
        index.slots -= u32::from(had_slots);

        let free = server.free_slots();
        index.free = index.free + u32::from(free) - u32::from(server.counted_free);
        server.counted_free = free;

        let rank = (free > 0).then(|| Rank {
            score: server.score(),
            pick_number,
        });
        if rank == server.rank {
            return;
        }
        if let Some(old) = server.rank {
            index.remove(old, key);
        }
        if let Some(new) = rank {
            index.insert(new, key);
        }
        server.rank = rank;
    }

    fn return_slot(&mut self, server: ServerKey) {
        self.update(server, |server| server.slots_in_use -= 1);
    }

    fn on_failure(&mut self, key: ServerKey, now: Instant) {
        self.update(key, Server::record_failure);
        let Some(server) = self.servers.get(key) else {
            return;
        };
        if !server.decay_pending {
            self.schedule_decay(key, now);
        }
        let Some(server) = self.servers.get(key) else {
            return;
        };
        let should_eject = match server.health {
            Health::Probing => true,
            Health::Ejected(_) => false,
            Health::Serving | Health::BackingOff(_) => {
                server.is_failing(self.settings.failure_threshold)
            }
        };
        if !should_eject {
            return;
        }
        if self.may_exclude(server) {
            self.eject(key, now);
        } else {
            // An ejection would leave the service too few servers, so this server is throttled to
            // one request at a time instead.
            self.update(key, |server| {
                server.health = Health::Serving;
                server.throttle();
            });
        }
    }

    fn on_decline(&mut self, key: ServerKey, now: Instant) {
        let Some(server) = self.servers.get(key) else {
            return;
        };
        if server.is_ejected() {
            return;
        }
        let delay = exponential_delay(
            self.settings.base_decline_backoff,
            server.consecutive_declines,
            self.settings.max_decline_backoff,
        );
        let until = now + delay;
        self.update(key, |server| {
            server.consecutive_declines += 1;
            // A declined probe says nothing about the failures; probing continues after the
            // back-off.
            server.health = Health::BackingOff(until);
        });
        self.timers.add(until, Timer::PauseEnds, key);
    }

    /// Returns whether the ejection budget of the server's service allows one more ejected or
    /// suspect server.
    fn may_exclude(&self, server: &Server) -> bool {
        let Some(index) = self.by_service.get(&server.spec.service) else {
            return false;
        };
        index.excluded < self.ejection_budget(index)
    }

    /// Returns how many members of a service may be ejected or suspect at the same time.
    fn ejection_budget(&self, index: &ServerIndex) -> u32 {
        if index.members < 2 {
            return 0;
        }
        (index.members * self.settings.max_ejected_percent / 100).max(1)
    }

    fn eject(&mut self, key: ServerKey, now: Instant) {
        let Some(server) = self.servers.get(key) else {
            return;
        };
        let delay = exponential_delay(
            self.settings.base_ejection,
            server.consecutive_ejections,
            self.settings.max_ejection,
        );
        let until = now + delay;
        self.update(key, |server| {
            server.health = Health::Ejected(until);
            server.consecutive_ejections += 1;
            server.consecutive_failures = 0;
        });
        self.timers.add(until, Timer::PauseEnds, key);
    }

    /// Ends the back-off or the ejection of a server if it is due.
    fn end_pause(&mut self, key: ServerKey, now: Instant) {
        self.update(key, |server| match server.health {
            Health::BackingOff(until) if until <= now => {
                server.health = match server.consecutive_ejections {
                    0 => Health::Serving,
                    _ => Health::Probing,
                };
            }
            Health::Ejected(until) if until <= now => server.health = Health::Probing,
            _ => {}
        });
    }

    fn schedule_decay(&mut self, key: ServerKey, now: Instant) {
        let at = now + self.settings.failure_half_life;
        self.update(key, |server| server.decay_pending = true);
        self.timers.add(at, Timer::FailuresDecay, key);
    }

    fn decay_failures(&mut self, key: ServerKey, now: Instant) {
        self.update(key, |server| {
            server.decay_pending = false;
            server.failure_rate /= 2.0;
            if server.failure_rate < NEGLIGIBLE_FAILURE_RATE {
                server.failure_rate = 0.0;
            }
        });
        let Some(server) = self.servers.get(key) else {
            return;
        };
        if server.failure_rate > 0.0 {
            self.schedule_decay(key, now);
        }
    }

    /// Readmits ejected and suspect servers of services whose members have become so few that the
    /// ejection budget is exceeded.
    fn readmit_over_budget(&mut self, now: Instant) {
        let excluded: Vec<ServerKey> = self
            .servers
            .iter()
            .filter(|(_, server)| server.is_member() && server.is_excluded())
            .map(|(key, _)| key)
            .collect();
        for key in excluded {
            let Some(index) = self.by_service.get(&self.servers[key].spec.service) else {
                continue;
            };
            if index.excluded <= self.ejection_budget(index) {
                continue;
            }
            self.update(key, |server| {
                server.suspect = false;
                if server.is_ejected() {
                    // The ejection is due now, so that the call below ends it at once.
                    server.health = Health::Ejected(now);
                }
            });
            self.end_pause(key, now);
        }
    }

    fn remove_if_idle(&mut self, key: ServerKey) {
        let Some(server) = self.servers.get(key) else {
            return;
        };
        if !server.removed || server.slots_in_use > 0 {
            return;
        }
        let vm = server.spec.vm.clone();
        self.servers.remove(key);
        if let Some(servers) = self.by_vm.get_mut(&vm) {
            servers.retain(|&server| server != key);
            if servers.is_empty() {
                self.by_vm.remove(&vm);
            }
        }
    }
}

/// Returns a delay that doubles with each repetition, up to a maximum.
fn exponential_delay(base: Duration, repetitions: u32, max: Duration) -> Duration {
    let factor = 1_u32.checked_shl(repetitions.min(16)).unwrap_or(1);
    base.saturating_mul(factor).min(max)
}
