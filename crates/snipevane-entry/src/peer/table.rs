//! Table of the peers of this entry VM.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rustc_hash::FxHashMap;
use smol_str::SmolStr;
use snipevane_core::limits::VersionAllocation;
use snipevane_core::shards::ShardName;
use snipevane_proto::peer::{DrainedVm, Heartbeat};
use uuid::Uuid;

/// State of a peer, from its last heartbeat.
#[derive(Clone, Debug)]
pub(crate) struct Peer {
    /// The peer's availability zone.
    pub(crate) zone: SmolStr,
    /// Address of the peer's peer listener.
    pub(crate) address: SocketAddr,
    /// Incarnation of the peer's process, once a heartbeat was received.
    pub(crate) incarnation: Option<Uuid>,
    /// Time of the last heartbeat from the peer.
    pub(crate) last_heartbeat_at: Option<Instant>,
    /// Whether the peer was reachable at the last check.
    pub(crate) reachable: bool,
    /// Whether the peer is shutting down and accepts no more requests.
    pub(crate) stopping: bool,
    /// Configuration version in force at the peer.
    pub(crate) version: u64,
    /// Latest version whose allocation all requests of the peer comply with.
    pub(crate) settled_version: u64,
    /// Time since the platform's last response to the peer, as of the peer's last heartbeat.
    pub(crate) platform_age: Duration,
    /// Shards that the peer holds.
    pub(crate) shards: Vec<ShardName>,
    /// Draining VMs on which the peer runs no requests.
    pub(crate) drained: Vec<DrainedVm>,
    /// Sequence number of the peer's last key change that was merged here.
    pub(crate) keys_merged: u64,
    /// Sequence number of the last local key change that the peer has merged.
    pub(crate) keys_confirmed: u64,
    clock_ahead: bool,
    free_units: FxHashMap<SmolStr, u32>,
    free_slots: FxHashMap<SmolStr, u32>,
    /// Last heartbeat that the peer accepted, and the incarnation that accepted it.
    last_accepted: Option<(Heartbeat, Uuid)>,
    /// Whether free units or slots of the peer were used since its last heartbeat, so that the
    /// counts may be out of date.
    capacity_used: bool,
}

impl Peer {
    fn new(zone: SmolStr, address: SocketAddr) -> Self {
        Self {
            zone,
            address,
            incarnation: None,
            last_heartbeat_at: None,
            reachable: false,
            stopping: false,
            version: 0,
            settled_version: 0,
            platform_age: Duration::MAX,
            shards: Vec::new(),
            drained: Vec::new(),
            keys_merged: 0,
            keys_confirmed: 0,
            clock_ahead: false,
            free_units: FxHashMap::default(),
            free_slots: FxHashMap::default(),
            last_accepted: None,
            capacity_used: false,
        }
    }

    /// Tells whether the peer's current process has accepted a heartbeat with the same content.
    fn has_accepted(&self, heartbeat: &Heartbeat) -> bool {
        let last_accepted = self.last_accepted.as_ref();
        last_accepted.is_some_and(|(last_accepted, process)| {
            Some(*process) == self.incarnation && *last_accepted == without_timestamps(heartbeat)
        })
    }

    /// Tells whether a heartbeat of the peer came within a time.
    pub(crate) fn was_heard_within(&self, time: Duration, now: Instant) -> bool {
        let heard_at = self.last_heartbeat_at;
        heard_at.is_some_and(|at| now.saturating_duration_since(at) <= time)
    }

    /// Tells whether requests may be forwarded to the peer.
    pub(crate) fn accepts_requests(&self) -> bool {
        self.reachable && !self.stopping && self.version > 0
    }

    fn units(&self, team: &str) -> u32 {
        self.free_units.get(team).copied().unwrap_or(0)
    }

    fn slots(&self, service: &str) -> u32 {
        self.free_slots.get(service).copied().unwrap_or(0)
    }
}

/// All known peers, by VM name.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    by_vm: BTreeMap<SmolStr, Peer>,
}

/// Requirements of a request on the peer that is to run it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RequestNeeds<'a> {
    /// Service of which a slot is needed.
    pub(crate) service: &'a str,
    /// Team of which a unit is needed; `None` if a unit is already held or none is needed.
    pub(crate) team: Option<&'a str>,
    /// Preferred availability zone.
    pub(crate) zone: &'a str,
}

impl Peers {
    /// Adds a peer. If the peer is already known, its address is updated only while the peer is
    /// unreachable.
    pub(crate) fn add(&mut self, vm: &SmolStr, zone: &SmolStr, address: SocketAddr) {
        let peer = self
            .by_vm
            .entry(vm.clone())
            .or_insert_with(|| Peer::new(zone.clone(), address));
        if !peer.reachable {
            peer.address = address;
        }
    }

    /// Removes the peers for which `keep` returns false.
    pub(crate) fn retain(&mut self, mut keep: impl FnMut(&SmolStr, &Peer) -> bool) {
        self.by_vm.retain(|vm, peer| keep(vm, peer));
    }

    /// Returns all peers.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&SmolStr, &Peer)> {
        self.by_vm.iter()
    }

    /// Returns a peer.
    pub(crate) fn get(&self, vm: &str) -> Option<&Peer> {
        self.by_vm.get(vm)
    }

    /// Records whether a peer's clock is too far ahead; returns whether this changed.
    pub(crate) fn set_clock_ahead(&mut self, vm: &str, ahead: bool) -> bool {
        let Some(peer) = self.by_vm.get_mut(vm) else {
            return false;
        };
        std::mem::replace(&mut peer.clock_ahead, ahead) != ahead
    }

    /// Updates a peer from a heartbeat received by this process, whose incarnation is `receiver`.
    /// Returns whether the peer became reachable or restarted.
    pub(crate) fn on_heartbeat(
        &mut self,
        heartbeat: &Heartbeat,
        address: SocketAddr,
        receiver: Uuid,
        now: Instant,
    ) -> bool {
        let vm = SmolStr::new(&heartbeat.vm);
        let zone = SmolStr::new(&heartbeat.zone);
        let peer = self
            .by_vm
            .entry(vm)
            .or_insert_with(|| Peer::new(zone, address));
        let restarted = peer.incarnation != Some(heartbeat.incarnation);
        if restarted {
            // Sequence numbers of key changes are local to a process and restart with it.
            peer.keys_merged = 0;
            peer.keys_confirmed = 0;
        }
        let newly_reachable = restarted || !peer.reachable;
        peer.address = address;
        peer.incarnation = Some(heartbeat.incarnation);
        peer.last_heartbeat_at = Some(now);
        peer.reachable = true;
        peer.stopping = heartbeat.stopping;
        peer.version = heartbeat.config_version;
        peer.settled_version = heartbeat.settled_version;
        peer.platform_age = Duration::from_millis(heartbeat.platform_age_ms);
        peer.shards = heartbeat
            .shards
            .iter()
            .map(|shard| ShardName {
                zone: SmolStr::new(&shard.zone),
                index: shard.index,
            })
            .collect();
        // A list that starts after the last merged change leaves a gap. The sequence number then
        // stays, so that the peer sends the missing changes again.
        if heartbeat.keys_since <= peer.keys_merged {
            peer.keys_merged = peer.keys_merged.max(heartbeat.keys_sequence);
        }
        let of_this_process = heartbeat.keys_seen_of == Some(receiver);
        peer.keys_confirmed = if of_this_process {
            heartbeat.keys_seen
        } else {
            0
        };
        peer.drained.clone_from(&heartbeat.drained);
        let counts = |list: &[snipevane_proto::peer::Free]| {
            list.iter()
                .map(|free| (SmolStr::new(&free.name), free.count))
                .collect()
        };
        peer.free_units = counts(&heartbeat.free_units);
        peer.free_slots = counts(&heartbeat.free_slots);
        peer.capacity_used = false;
        newly_reachable
    }

    /// Tells whether a heartbeat is to be sent to a peer.
    ///
    /// None is due if the peer has accepted the same content and a heartbeat from it was received
    /// within `keep_alive_interval`. If free units or slots of the peer were used, a heartbeat is
    /// due, since the reply brings the current counts.
    pub(crate) fn is_heartbeat_due(
        &self,
        vm: &str,
        heartbeat: &Heartbeat,
        keep_alive_interval: Duration,
        now: Instant,
    ) -> bool {
        let Some(peer) = self.by_vm.get(vm) else {
            return true;
        };
        let heard_recently = peer
            .last_heartbeat_at
            .is_some_and(|at| now.saturating_duration_since(at) < keep_alive_interval);
        let up_to_date = peer.reachable && heard_recently && !peer.capacity_used;
        !up_to_date || !heartbeat.keys.is_empty() || !peer.has_accepted(heartbeat)
    }

    /// Records that a peer's process accepted a heartbeat.
    pub(crate) fn record_accepted(&mut self, vm: &str, heartbeat: &Heartbeat, process: Uuid) {
        if let Some(peer) = self.by_vm.get_mut(vm) {
            peer.last_accepted = Some((without_timestamps(heartbeat), process));
        }
    }

    /// Marks reachable peers without a heartbeat for longer than `timeout` as unreachable; returns
    /// their names.
    pub(crate) fn mark_silent(&mut self, now: Instant, timeout: Duration) -> Vec<SmolStr> {
        let mut lost = Vec::new();
        for (vm, peer) in &mut self.by_vm {
            let late = peer
                .last_heartbeat_at
                .is_none_or(|at| now.duration_since(at) > timeout);
            if peer.reachable && late {
                peer.reachable = false;
                lost.push(vm.clone());
            }
        }
        lost
    }

    /// Marks a peer as unreachable after a failed connection attempt.
    pub(crate) fn mark_unreachable(&mut self, vm: &str) {
        if let Some(peer) = self.by_vm.get_mut(vm) {
            peer.reachable = false;
        }
    }

    /// Picks a peer that meets the needs of a request, and deducts the slot and the unit from its
    /// free counts. Peers in the preferred zone come first, then those with the most free slots.
    pub(crate) fn pick(&mut self, need: RequestNeeds<'_>) -> Option<(SmolStr, SocketAddr)> {
        let fits = |peer: &Peer| {
            let unit = need.team.is_none_or(|team| peer.units(team) > 0);
            peer.accepts_requests() && unit && peer.slots(need.service) > 0
        };
        let (vm, peer) = self
            .by_vm
            .iter_mut()
            .filter(|(_, peer)| fits(peer))
            .max_by_key(|(_, peer)| (peer.zone == need.zone, peer.slots(need.service)))?;
        peer.capacity_used = true;
        decrement(&mut peer.free_slots, need.service);
        if let Some(team) = need.team {
            decrement(&mut peer.free_units, team);
        }
        Some((vm.clone(), peer.address))
    }

    /// Records that a peer had no capacity for a request, contrary to its last heartbeat.
    pub(crate) fn on_no_capacity(&mut self, vm: &str, need: RequestNeeds<'_>) {
        let Some(peer) = self.by_vm.get_mut(vm) else {
            return;
        };
        peer.capacity_used = true;
        // Whether the slot or the unit was missing isn't known, so both count as used up until the
        // next heartbeat.
        peer.free_slots.remove(need.service);
        if let Some(team) = need.team {
            peer.free_units.remove(team);
        }
    }

    /// Returns the peer whose shards have the most units of a team's limit allocated.
    pub(crate) fn largest_holder(
        &self,
        allocation: &VersionAllocation,
        team: &str,
    ) -> Option<(SmolStr, SocketAddr)> {
        let units = |peer: &Peer| -> u32 {
            peer.shards
                .iter()
                .map(|shard| allocation.units(team, shard))
                .sum()
        };
        self.by_vm
            .iter()
            .filter(|(_, peer)| peer.accepts_requests() && units(peer) > 0)
            .max_by_key(|(_, peer)| units(peer))
            .map(|(vm, peer)| (vm.clone(), peer.address))
    }

    /// Returns the reachable peer that holds a shard.
    pub(crate) fn holder(&self, shard: &ShardName) -> Option<(SmolStr, SocketAddr)> {
        self.by_vm
            .iter()
            // A peer that is shutting down serves its shard until it has released it.
            .find(|(_, peer)| peer.reachable && peer.shards.contains(shard))
            .map(|(vm, peer)| (vm.clone(), peer.address))
    }
}

fn decrement(counts: &mut FxHashMap<SmolStr, u32>, name: &str) {
    if let Some(count) = counts.get_mut(name) {
        *count = count.saturating_sub(1);
    }
}

/// Returns a heartbeat without the fields that differ in every heartbeat.
fn without_timestamps(heartbeat: &Heartbeat) -> Heartbeat {
    Heartbeat {
        platform_age_ms: 0,
        logical_time: 0,
        ..heartbeat.clone()
    }
}
