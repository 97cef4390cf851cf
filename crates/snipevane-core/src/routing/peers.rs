//! What the peers have free and waiting, and which of them a request is forwarded to.

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
    /// Time for which a peer's notice is believed.
    pub report_validity: Duration,
    /// Waiting requests per slot by which a peer's queue must be shorter to send a request there.
    pub wait_margin: f64,
    /// Peers that are asked for slots at once at most.
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

/// What an entry VM has of one service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Free slots.
    pub free: u32,
    /// Waiting requests.
    pub waiting: u32,
    /// Slots that are dealt to it.
    pub slots: u32,
}

impl Load {
    /// Returns the waiting requests per slot that a new request would have to wait for.
    fn waiting_per_slot(self) -> f64 {
        f64::from(self.waiting + 1) / f64::from(self.slots)
    }
}

/// How far a peer is; nearer peers are asked first for free slots.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// Same availability zone.
    Zone,
    /// Another availability zone of the same region.
    Region,
}

#[derive(Clone, Debug)]
struct Peer {
    vm: SmolStr,
    distance: Distance,
    serving: bool,
    loads: FxHashMap<ServiceKey, (Load, Instant)>,
}

/// Peers that requests may be forwarded to, with their last notices.
#[derive(Clone, Debug, Default)]
pub struct Peers {
    settings: ForwardingSettings,
    peers: SlotMap<PeerKey, Peer>,
    by_vm: FxHashMap<SmolStr, PeerKey>,
}

impl Peers {
    /// Creates an empty set.
    pub fn new(settings: ForwardingSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Adds a peer, or sets the distance of a known one.
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

    /// Removes a peer.
    pub fn remove(&mut self, vm: &str) {
        if let Some(key) = self.by_vm.remove(vm) {
            self.peers.remove(key);
        }
    }

    /// Sets whether a peer gets requests.
    pub fn set_serving(&mut self, vm: &str, serving: bool) {
        if let Some(peer) = self.peer_of(vm) {
            peer.serving = serving;
        }
    }

    /// Returns the VM of a peer.
    pub fn vm(&self, peer: PeerKey) -> Option<&SmolStr> {
        self.peers.get(peer).map(|peer| &peer.vm)
    }

    /// Takes over a peer's notice.
    pub fn on_load_report(&mut self, vm: &str, service: ServiceKey, load: Load, now: Instant) {
        if let Some(peer) = self.peer_of(vm) {
            peer.loads.insert(service, (load, now));
        }
    }

    /// Returns some of the serving peers that may have an idle slot of a service.
    ///
    /// Leaves out those that are known to have requests waiting themselves. `random` is a random
    /// number.
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

    /// Notes that a peer declined a request because it had no free slot.
    pub fn on_declined(&mut self, vm: &str, service: ServiceKey) {
        let load = self
            .peer_of(vm)
            .and_then(|peer| peer.loads.get_mut(&service));
        if let Some((load, _)) = load {
            load.free = 0;
        }
    }

    /// Chooses a peer with a free slot, nearer ones first, in proportion to their free slots.
    ///
    /// `random` is a random number. Counts the slot as taken until the peer's next notice.
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

    /// Chooses the peer at which a new request would wait least, if that is clearly less than here.
    ///
    /// Counts the request as waiting there until the peer's next notice.
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
        // Without a slot of its own an entry VM can't run the request at all.
        if own.slots > 0 && own.waiting_per_slot() <= shortest + self.settings.wait_margin {
            return None;
        }
        if let Some(load) = self.load_mut(key, service) {
            load.waiting += 1;
        }
        Some(key)
    }

    /// Returns the serving peers with a recent notice about a service.
    fn recent_loads(
        &self,
        service: ServiceKey,
        now: Instant,
    ) -> impl Iterator<Item = (PeerKey, Distance, Load)> {
        let term = self.settings.report_validity;
        self.peers.iter().filter_map(move |(key, peer)| {
            let &(load, at) = peer.loads.get(&service)?;
            let recent = now.saturating_duration_since(at) < term;
            (peer.serving && recent).then_some((key, peer.distance, load))
        })
    }

    /// Returns whether a peer is known to have requests of a service waiting.
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
