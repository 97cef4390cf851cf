//! Selection of the source from which an entry VM fetches a newer configuration.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use smol_str::SmolStr;

/// Settings of the selection of a source.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FetchSettings {
    /// Time for which an entry VM waits for its zone's fetcher before it fetches from the platform
    /// or from another zone itself.
    pub zone_timeout: Duration,
    /// Time after a failed fetch during which its source isn't selected again.
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

/// Source of a configuration.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Source {
    /// The platform's object store.
    Platform,
    /// A peer, identified by the name of its VM.
    Peer(SmolStr),
}

/// Version that a peer offers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerOffer {
    /// Name of the peer's VM.
    pub vm: SmolStr,
    /// Zone of the peer's VM.
    pub zone: SmolStr,
    /// Whether the peer's heartbeats arrive.
    pub reachable: bool,
    /// Version that the peer has in force.
    pub version: u64,
}

/// Selects the source from which an entry VM fetches a newer version.
///
/// The reachable entry VM with the lowest name in a zone is the zone's fetcher. It fetches from the
/// platform, and the other entry VMs of the zone fetch from it, so that a zone loads the platform
/// once for each version.
#[derive(Clone, Debug)]
pub struct SourceSelector {
    vm: SmolStr,
    zone: SmolStr,
    settings: FetchSettings,
    /// Version in force when the wait for the zone's fetcher began, and the time when it began.
    waiting_since: Option<(u64, Instant)>,
    /// Time of the last failure of each source.
    failed: HashMap<Source, Instant>,
}

impl SourceSelector {
    /// Creates the selector of the entry VM `vm` in `zone`.
    pub fn new(vm: impl Into<SmolStr>, zone: impl Into<SmolStr>, settings: FetchSettings) -> Self {
        Self {
            vm: vm.into(),
            zone: zone.into(),
            settings,
            waiting_since: None,
            failed: HashMap::new(),
        }
    }

    /// Records that a fetch from a source failed.
    pub fn record_failure(&mut self, source: Source, now: Instant) {
        self.failed.insert(source, now);
    }

    /// Returns the source to fetch from now, if any.
    ///
    /// `in_force` is the version in force at this entry VM. `head` is the version that the
    /// platform's table names, `None` if the table wasn't read or the platform didn't reply.
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

    /// Returns the peer with the highest version among those without a recent failure. Of several
    /// with the same version, it is the one with the lowest name.
    fn best_peer<'a>(&self, peers: impl Iterator<Item = &'a PeerOffer>) -> Option<Source> {
        peers
            .map(|peer| (peer.version, Source::Peer(peer.vm.clone()), &peer.vm))
            .filter(|(_, source, _)| !self.failed.contains_key(source))
            .max_by(|a, b| (a.0, b.2).cmp(&(b.0, a.2)))
            .map(|(_, source, _)| source)
    }

    /// Returns whether this entry VM has the lowest name among the reachable ones of its zone.
    fn is_zone_fetcher(&self, peers: &[PeerOffer]) -> bool {
        let mut zone = peers
            .iter()
            .filter(|peer| peer.reachable && peer.zone == self.zone);
        zone.all(|peer| self.vm < peer.vm)
    }

    /// Returns whether the zone's fetcher has had [`FetchSettings::zone_timeout`] to fetch a newer
    /// version; starts the wait if none is under way or the version in force has changed.
    fn has_zone_timeout_expired(&mut self, now: Instant, in_force: u64) -> bool {
        let (version, since) = self.waiting_since.unwrap_or((in_force, now));
        let since = if version == in_force { since } else { now };
        self.waiting_since = Some((in_force, since));
        now.saturating_duration_since(since) >= self.settings.zone_timeout
    }
}
