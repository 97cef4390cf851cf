//! Load of the peer entry VMs, and selection of the peer that a request is forwarded to.

use std::time::{Duration, Instant};

use rustc_hash::FxHashMap;
use slotmap::{SlotMap, new_key_type};
use smol_str::SmolStr;

use crate::ids::ServiceKey;

new_key_type! {
    /// Key of a peer that requests may be forwarded to.
    pub struct PeerKey;
}

/// Settings of [`Peers`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ForwardingSettings {
    /// Time after which a peer's load report is ignored.
    pub report_validity: Duration,
    /// Minimum difference, in waiting requests per slot, by which a peer's queue must be shorter
    /// than the queue of this entry VM for a request to be forwarded to it.
    pub wait_margin: f64,
    /// Maximum number of peers that are asked for slots at once.
    pub max_peers_asked: usize,
}

impl Default for ForwardingSettings {
    fn default() -> Self {
        Self {
            report_validity: Duration::from_secs(3),
            wait_margin: 0.5,
            max_peers_asked: 6,
        }
    }
}

/// Load of one entry VM for one service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Free slots.
    pub free: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
    /// Slots allocated to the entry VM.
    pub slots: u32,
}

impl Load {
    /// Returns the length of the queue per slot if one more request waited.
    fn waiting_per_slot(self) -> f64 {
        f64::from(self.waiting + 1) / f64::from(self.slots)
    }
}

/// Network distance of a peer; free slots of nearer peers are used first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// The peer is in the same availability zone.
    Zone,
    /// The peer is in another availability zone of the same region.
    Region,
}

#[derive(Clone, Debug)]
struct Peer {
    vm: SmolStr,
    distance: Distance,
    /// Whether requests may be forwarded to the peer.
    serving: bool,
    /// Last load report for each service, with the time of its receipt.
    loads: FxHashMap<ServiceKey, (Load, Instant)>,
}

/// Peers that requests may be forwarded to, with their last load reports.
#[derive(Clone, Debug, Default)]
pub struct Peers {
    settings: ForwardingSettings,
    peers: SlotMap<PeerKey, Peer>,
    by_vm: FxHashMap<SmolStr, PeerKey>,
}

impl Peers {
    /// Creates an empty set of peers.
    pub fn new(settings: ForwardingSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Adds a peer, or updates the distance of a known one.
    pub fn upsert(&mut self, vm: &str, distance: Distance) -> PeerKey {
        if let Some(&key) = self.by_vm.get(vm) {
            self.peers[key].distance = distance;
            return key;
        }
        let key = self.peers.insert(Peer {
            vm: vm.into(),
            distance,
            serving: true,
            loads: FxHashMap::default(),
        });
        self.by_vm.insert(vm.into(), key);
        key
    }

    /// Removes a peer and its load reports.
    pub fn remove(&mut self, vm: &str) {
        if let Some(key) = self.by_vm.remove(vm) {
            self.peers.remove(key);
        }
    }

    /// Sets whether requests may be forwarded to a peer.
    pub fn set_serving(&mut self, vm: &str, serving: bool) {
        if let Some(peer) = self.peer_of(vm) {
            peer.serving = serving;
        }
    }

    /// Returns the VM name of a peer.
    pub fn vm(&self, peer: PeerKey) -> Option<&SmolStr> {
        self.peers.get(peer).map(|peer| &peer.vm)
    }

    /// Records a peer's load report; an unknown peer is ignored.
    pub fn on_load_report(&mut self, vm: &str, service: ServiceKey, load: Load, now: Instant) {
        if let Some(peer) = self.peer_of(vm) {
            peer.loads.insert(service, (load, now));
        }
    }

    /// Returns a bounded number of serving peers that may have an idle slot of a service.
    ///
    /// Peers that are known to have requests waiting themselves are left out. `random` is a random
    /// number that sets where the selection starts.
    pub fn peers_to_ask(&self, service: ServiceKey, random: u64, now: Instant) -> Vec<SmolStr> {
        let first = usize::try_from(random).unwrap_or(0) % self.peers.len().max(1);
        let rotated = self.peers.values().skip(first);
        rotated
            .chain(self.peers.values().take(first))
            .filter(|peer| peer.serving && !self.is_busy(peer, service, now))
            .map(|peer| peer.vm.clone())
            .take(self.settings.max_peers_asked)
            .collect()
    }

    /// Records that a peer declined a request because it had no free slot.
    pub fn on_declined(&mut self, vm: &str, service: ServiceKey) {
        let load = self
            .peer_of(vm)
            .and_then(|peer| peer.loads.get_mut(&service));
        if let Some((load, _)) = load {
            load.free = 0;
        }
    }

    /// Picks one of the nearest peers with a free slot, at random, weighted by their free slots.
    ///
    /// `random` is a random number. The slot counts as taken until the peer's next load report.
    pub fn pick_with_free_slot(
        &mut self,
        service: ServiceKey,
        random: u64,
        now: Instant,
    ) -> Option<PeerKey> {
        let candidates = || {
            self.recent_loads(service, now)
                .filter(|(_, _, load)| load.free > 0)
        };
        let distance = candidates().map(|(_, distance, _)| distance).min()?;
        let nearest = || candidates().filter(|&(_, peer_distance, _)| peer_distance == distance);
        let total_free: u64 = nearest().map(|(.., load)| u64::from(load.free)).sum();
        let mut remaining = random % total_free;
        let mut chosen = None;
        for (key, _, load) in nearest() {
            let free = u64::from(load.free);
            if remaining < free {
                chosen = Some(key);
                break;
            }
            remaining -= free;
        }
        let key = chosen?;
        if let Some(load) = self.load_mut(key, service) {
            load.free -= 1;
        }
        Some(key)
    }

    /// Picks the peer with the shortest queue per slot if that is clearly shorter than here.
    ///
    /// "Clearly" means by more than [`ForwardingSettings::wait_margin`]. The request counts as
    /// waiting at the peer until the peer's next load report.
    pub fn pick_with_shorter_wait(
        &mut self,
        service: ServiceKey,
        own: Load,
        now: Instant,
    ) -> Option<PeerKey> {
        let (key, shortest) = self
            .recent_loads(service, now)
            .filter(|(_, _, load)| load.slots > 0)
            .map(|(key, _, load)| (key, load.waiting_per_slot()))
            .min_by(|a, b| a.1.total_cmp(&b.1))?;
        // An entry VM without slots of its own can't run the request at all, so it always forwards.
        if own.slots > 0 && own.waiting_per_slot() <= shortest + self.settings.wait_margin {
            return None;
        }
        if let Some(load) = self.load_mut(key, service) {
            load.waiting += 1;
        }
        Some(key)
    }

    /// Returns the serving peers with a recent load report for a service, and that load.
    fn recent_loads(
        &self,
        service: ServiceKey,
        now: Instant,
    ) -> impl Iterator<Item = (PeerKey, Distance, Load)> {
        let validity = self.settings.report_validity;
        self.peers.iter().filter_map(move |(key, peer)| {
            let &(load, at) = peer.loads.get(&service)?;
            let recent = now.saturating_duration_since(at) < validity;
            (peer.serving && recent).then_some((key, peer.distance, load))
        })
    }

    /// Returns whether a peer's recent load report shows waiting requests of a service.
    fn is_busy(&self, peer: &Peer, service: ServiceKey, now: Instant) -> bool {
        peer.loads.get(&service).is_some_and(|&(load, at)| {
            let recent = now.saturating_duration_since(at) < self.settings.report_validity;
            recent && load.waiting > 0
        })
    }

    fn peer_of(&mut self, vm: &str) -> Option<&mut Peer> {
        let key = *self.by_vm.get(vm)?;
        self.peers.get_mut(key)
    }

    fn load_mut(&mut self, peer: PeerKey, service: ServiceKey) -> Option<&mut Load> {
        let peer = self.peers.get_mut(peer)?;
        peer.loads.get_mut(&service).map(|(load, _)| load)
    }
}
