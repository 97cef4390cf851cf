//! Choice of the source of a newer configuration.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use smol_str::SmolStr;

/// Times of a fetch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FetchSettings {
    /// Time for which an entry VM waits for another one of its zone to fetch from the platform.
    pub zone_timeout: Duration,
    /// Time for which a source that failed isn't asked again.
    pub retry_after: Duration,
}

impl Default for FetchSettings {
    fn default() -> Self {
        Self {
            zone_timeout: Duration::from_secs(2),
            retry_after: Duration::from_secs(1),
        }
    }
}

/// Where a configuration is fetched.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Source {
    /// The platform's object store.
    Platform,
    /// A peer, by the name of its VM.
    Peer(SmolStr),
}

/// What a peer has in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerOffer {
    /// Name of its VM.
    pub vm: SmolStr,
    /// Zone of its VM.
    pub zone: SmolStr,
    /// Whether its heartbeats arrive.
    pub reachable: bool,
    /// Version that it has in force.
    pub version: u64,
}

/// Decides from whom an entry VM fetches a newer version.
///
/// One entry VM of each zone, the reachable one with the lowest name, fetches from the platform;
/// the others fetch from it, so that a zone loads the platform once for each version.
#[derive(Clone, Debug)]
pub struct SourceSelector {
    vm: SmolStr,
    zone: SmolStr,
    settings: FetchSettings,
    /// Version in force when a newer one was first seen, and when that was.
    waiting_since: Option<(u64, Instant)>,
    failed: HashMap<Source, Instant>,
}

impl SourceSelector {
    /// Creates the plan of an entry VM.
    pub fn new(vm: impl Into<SmolStr>, zone: impl Into<SmolStr>, settings: FetchSettings) -> Self {
        Self {
            vm: vm.into(),
            zone: zone.into(),
            settings,
            waiting_since: None,
            failed: HashMap::new(),
        }
    }

    /// Notes that a source gave nothing.
    pub fn record_failure(&mut self, source: Source, now: Instant) {
        self.failed.insert(source, now);
    }

    /// Returns the source to ask now, if any.
    ///
    /// `in_force` is the own version, `head` the one that the platform's table names if the
    /// platform answers.
    pub fn select_source(
        &mut self,
        now: Instant,
        in_force: u64,
        head: Option<u64>,
        peers: &[PeerOffer],
    ) -> Option<Source> {
        let retry_after = self.settings.retry_after;
        self.failed
            .retain(|_, failed| now.saturating_duration_since(*failed) < retry_after);
        let is_newer = |peer: &&PeerOffer| peer.reachable && peer.version > in_force;
        let offered = peers.iter().filter(is_newer).map(|peer| peer.version).max();
        if head.max(offered).is_none_or(|newest| newest <= in_force) {
            self.waiting_since = None;
            return None;
        }
        let is_newer_in_zone = |peer: &&PeerOffer| is_newer(peer) && peer.zone == self.zone;
        if let Some(peer) = self.best_peer(peers.iter().filter(is_newer_in_zone)) {
            return Some(peer);
        }
        if !self.is_zone_fetcher(peers) && !self.has_zone_timeout_expired(now, in_force) {
            return None;
        }
        let platform = head
            .filter(|head| *head > in_force)
            .map(|_| Source::Platform);
        platform
            .filter(|source| !self.failed.contains_key(source))
            .or_else(|| self.best_peer(peers.iter().filter(is_newer)))
    }

    /// Returns the peer with the highest version that didn't fail, by name among equals.
    fn best_peer<'a>(&self, peers: impl Iterator<Item = &'a PeerOffer>) -> Option<Source> {
        peers
            .map(|peer| (peer.version, Source::Peer(peer.vm.clone()), &peer.vm))
            .filter(|(_, source, _)| !self.failed.contains_key(source))
            .max_by(|a, b| (a.0, b.2).cmp(&(b.0, a.2)))
            .map(|(_, source, _)| source)
    }

    fn is_zone_fetcher(&self, peers: &[PeerOffer]) -> bool {
        let mut zone = peers
            .iter()
            .filter(|peer| peer.reachable && peer.zone == self.zone);
        zone.all(|peer| self.vm < peer.vm)
    }

    /// Returns whether the zone's fetcher had its time since the own version last changed.
    fn has_zone_timeout_expired(&mut self, now: Instant, in_force: u64) -> bool {
        let (version, since) = self.waiting_since.unwrap_or((in_force, now));
        let since = if version == in_force { since } else { now };
        self.waiting_since = Some((in_force, since));
        now.saturating_duration_since(since) >= self.settings.zone_timeout
    }
}
