//! What this entry VM knows of each peer.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rustc_hash::FxHashMap;
use smol_str::SmolStr;
use snipevane_core::limits::VersionAllocation;
use snipevane_core::shards::ShardName;
use snipevane_proto::peer::{DrainedVm, Heartbeat};
use uuid::Uuid;

/// A peer as its last heartbeat described it.
#[derive(Clone, Debug)]
pub(crate) struct Peer {
    /// Availability zone.
    pub(crate) zone: SmolStr,
    /// Peer listener.
    pub(crate) address: SocketAddr,
    /// Process, once it was heard.
    pub(crate) incarnation: Option<Uuid>,
    /// Time of the last heartbeat.
    pub(crate) last_heartbeat_at: Option<Instant>,
    /// Whether the peer was reachable at the last check.
    pub(crate) reachable: bool,
    /// Whether the peer stops and wants no requests.
    pub(crate) stopping: bool,
    /// Configuration version in force.
    pub(crate) version: u64,
    /// Last version within whose deal the peer runs.
    pub(crate) settled_version: u64,
    /// Time since the peer heard from the platform, at its last heartbeat.
    pub(crate) platform_age: Duration,
    /// Shards that the peer holds.
    pub(crate) shards: Vec<ShardName>,
    /// Draining VMs on which the peer runs nothing.
    pub(crate) drained: Vec<DrainedVm>,
    /// Last change of a key at the peer that was merged here.
    pub(crate) keys_merged: u64,
    /// Last change of a key here that the peer has merged.
    pub(crate) keys_confirmed: u64,
    clock_ahead: bool,
    free_units: FxHashMap<SmolStr, u32>,
    free_slots: FxHashMap<SmolStr, u32>,
    /// Last heartbeat that the peer took over, and the peer's process that did.
    last_accepted: Option<(Heartbeat, Uuid)>,
    /// Whether what is known of the peer's room was used since its last heartbeat.
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

    /// Tells whether the peer's process took over a heartbeat that says the same.
    fn has_accepted(&self, heartbeat: &Heartbeat) -> bool {
        let last_accepted = self.last_accepted.as_ref();
        last_accepted.is_some_and(|(last_accepted, process)| {
            Some(*process) == self.incarnation && *last_accepted == without_timestamps(heartbeat)
        })
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

/// All known peers by the name of their VM.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    by_vm: BTreeMap<SmolStr, Peer>,
}

/// What a request needs of a peer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RequestNeeds<'a> {
    /// Service whose slot is needed.
    pub(crate) service: &'a str,
    /// Team whose unit is needed; `None` if a unit is held or none is needed.
    pub(crate) team: Option<&'a str>,
    /// Zone that is preferred.
    pub(crate) zone: &'a str,
}

impl Peers {
    /// Adds a peer, or notes its address if it wasn't heard at another one.
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

    /// Takes note of whether a peer's clock is far ahead; returns whether that is news.
    pub(crate) fn set_clock_ahead(&mut self, vm: &str, ahead: bool) -> bool {
        let Some(peer) = self.by_vm.get_mut(vm) else {
            return false;
        };
        std::mem::replace(&mut peer.clock_ahead, ahead) != ahead
    }

    /// Takes note of a heartbeat that reached the process `receiver`; returns whether the peer
    /// became reachable or restarted.
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
            // A new process numbers its changes of keys anew.
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
        // A list that starts later than what was merged leaves a gap, so the peer is asked again.
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
    /// A peer that knows all of it, and was heard within `keep_alive_interval`, needs none. One whose room was
    /// used is asked for what it has now.
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

    /// Takes note that a peer's process took a heartbeat over.
    pub(crate) fn record_accepted(&mut self, vm: &str, heartbeat: &Heartbeat, process: Uuid) {
        if let Some(peer) = self.by_vm.get_mut(vm) {
            peer.last_accepted = Some((without_timestamps(heartbeat), process));
        }
    }

    /// Marks the peers that weren't heard for too long; returns their names.
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

    /// Marks a peer to which no connection could be opened.
    pub(crate) fn mark_unreachable(&mut self, vm: &str) {
        if let Some(peer) = self.by_vm.get_mut(vm) {
            peer.reachable = false;
        }
    }

    /// Chooses a peer that has what a request needs, and counts it as taken there.
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

    /// Takes note that a peer had no room for a request after all.
    pub(crate) fn on_no_capacity(&mut self, vm: &str, need: RequestNeeds<'_>) {
        let Some(peer) = self.by_vm.get_mut(vm) else {
            return;
        };
        peer.capacity_used = true;
        // Which of the two was missing isn't known, so neither is counted on until the next
        // heartbeat.
        peer.free_slots.remove(need.service);
        if let Some(team) = need.team {
            peer.free_units.remove(team);
        }
    }

    /// Chooses the peer to which most units of a team's limit are dealt.
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

    /// Finds the reachable holder of a shard.
    pub(crate) fn holder(&self, shard: &ShardName) -> Option<(SmolStr, SocketAddr)> {
        self.by_vm
            .iter()
            // A stopping peer serves its shard until it has given it back.
            .find(|(_, peer)| peer.reachable && peer.shards.contains(shard))
            .map(|(vm, peer)| (vm.clone(), peer.address))
    }
}

fn decrement(counts: &mut FxHashMap<SmolStr, u32>, name: &str) {
    if let Some(count) = counts.get_mut(name) {
        *count = count.saturating_sub(1);
    }
}

/// Returns a heartbeat without what differs in each.
fn without_timestamps(heartbeat: &Heartbeat) -> Heartbeat {
    Heartbeat {
        platform_age_ms: 0,
        logical_time: 0,
        ..heartbeat.clone()
    }
}
