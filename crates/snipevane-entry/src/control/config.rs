//! Fetches new configuration versions from the platform and from peers, and puts them in force.

use std::sync::Arc;

use smol_str::SmolStr;
use snipevane_core::clock::Clock;
use snipevane_core::config::in_force::{OfferOutcome, PeerOffer, Proof, Source, evaluate_offer};
use snipevane_core::shards::ShardName;
use snipevane_platform::{Check, Row, Transaction};
use snipevane_proto::manifest::Manifest;
use snipevane_proto::rows::{
    CONFIG_HEAD_KEY, CONFIG_VERSION_PREFIX, ConfigHead, ConfigVersion, SHARD_PREFIX,
};
use tokio_util::sync::CancellationToken;

use super::{Control, Platform, manifest_object};
use crate::journal::kinds;
use crate::node::Node;
use crate::peer::{Peer, received_text};

impl<P: Platform, C: Clock> Control<P, C> {
    /// Fetches the newest known configuration version from a peer or the platform, and puts it in
    /// force.
    pub(crate) async fn poll_config(&self) {
        // Peers are polled first, since a read from the platform may block until it times out.
        self.poll_peer_configs().await;
        let Some((row, head)) = self.read_head().await else {
            return;
        };
        match self.next_source(Some(head.version)) {
            Some(Source::Platform) => self.fetch_from_platform(&row, &head).await,
            Some(Source::Peer(vm)) => self.fetch_from_peer(&vm).await,
            None => {}
        }
        self.fetch_missing_versions().await;
    }

    /// Fetches a configuration version from a peer as soon as a heartbeat announces it, until
    /// `stop` is cancelled.
    pub(super) async fn watch_peer_versions(&self, stop: &CancellationToken) {
        loop {
            tokio::select! {
                () = stop.cancelled() => return,
                () = self.node.newer_version.notified() => {}
            }
            self.poll_peer_configs().await;
        }
    }

    async fn poll_peer_configs(&self) {
        if let Some(Source::Peer(vm)) = self.next_source(None) {
            self.fetch_from_peer(&vm).await;
        }
    }

    /// Puts the accepted version in force, right after this entry VM has seen its acceptance.
    pub(crate) async fn apply_accepted_config(&self) {
        if let Some((row, head)) = self.read_head().await {
            self.fetch_from_platform(&row, &head).await;
        }
        self.fetch_missing_versions().await;
    }

    async fn read_head(&self) -> Option<(Row, ConfigHead)> {
        let read = self.platform.read(CONFIG_HEAD_KEY).await;
        self.record_platform_result(&read);
        let row = read.ok()??;
        let head: ConfigHead = self.parse_row(&row)?;
        self.node.state().config_row = Some((row.version, head.version));
        Some((row, head))
    }

    /// Selects the source from which to fetch a newer version now; `None` if there is nothing to
    /// fetch.
    fn next_source(&self, head: Option<u64>) -> Option<Source> {
        let (in_force, peers) = {
            let state = self.node.state();
            let offer = |(vm, peer): (&SmolStr, &Peer)| PeerOffer {
                vm: vm.clone(),
                zone: peer.zone.clone(),
                reachable: peer.reachable,
                version: peer.version,
            };
            let peers: Vec<_> = state.peers.iter().map(offer).collect();
            (state.site.version, peers)
        };
        let mut selector = self.source_selector.lock();
        selector.select_source(self.node.now(), in_force, head, &peers)
    }

    async fn fetch_from_platform(&self, row: &Row, head: &ConfigHead) {
        if !self.is_newer(row, head.version).await {
            return;
        }
        let text = self.fetch_manifest(&head.hash).await;
        let former = self.shards_with_rows().await;
        let (Some(text), Some(former)) = (text, former) else {
            let mut selector = self.source_selector.lock();
            return selector.record_failure(Source::Platform, self.node.now());
        };
        self.node
            .put_in_force(head.version, text, former, "platform");
    }

    /// Returns whether a version read from the table may be put in force.
    ///
    /// The read may be stale, so the first version after a start is put in force only if a commit
    /// without writes shows that `config/head` still has the version that was read.
    async fn is_newer(&self, row: &Row, version: u64) -> bool {
        let in_force = self.node.state().site.version;
        match evaluate_offer(in_force, version, Proof::Read) {
            OfferOutcome::NotNewer => false,
            OfferOutcome::PutInForce => true,
            OfferOutcome::NeedsCheck => {
                let check = Check {
                    key: CONFIG_HEAD_KEY.into(),
                    expected: Some(row.version),
                };
                let tx = Transaction::new(vec![check], Vec::new());
                self.platform.commit(tx).await.is_ok()
            }
        }
    }

    /// Fetches the configuration that a peer has in force; a failure is recorded in the source
    /// selector.
    async fn fetch_from_peer(&self, vm: &SmolStr) {
        if self.try_fetch_from_peer(vm).await.is_none() {
            let mut selector = self.source_selector.lock();
            selector.record_failure(Source::Peer(vm.clone()), self.node.now());
        }
    }

    async fn try_fetch_from_peer(&self, vm: &SmolStr) -> Option<()> {
        let (address, have, own) = {
            let state = self.node.state();
            let address = state.peers.get(vm)?.address;
            (address, state.site.version, state.manifest.clone())
        };
        let mut body = self.peers.config(address, have).await.ok()?;
        let text = match received_text(&body, have, &own) {
            Some(text) => text,
            None => {
                body = self.peers.config(address, 0).await.ok()?;
                received_text(&body, 0, "")?
            }
        };
        let former = body.former.iter();
        let former = former.filter_map(|name| name.parse().ok()).collect();
        self.node.put_in_force(body.version, text, former, "peer");
        Some(())
    }

    /// Fetches the versions that were never in force here but are needed to decide whether
    /// allowances may be raised.
    async fn fetch_missing_versions(&self) {
        let mut missing = {
            let state = self.node.state();
            let mut missing = state.limit_rollout.missing_versions();
            missing.extend(state.slot_rollout.missing_versions());
            missing
        };
        missing.sort_unstable();
        missing.dedup();
        if missing.is_empty() {
            return;
        }
        let Some(former) = self.shards_with_rows().await else {
            return;
        };
        for version in missing {
            let read = self
                .platform
                .read(&format!("{CONFIG_VERSION_PREFIX}{version}"))
                .await;
            let Ok(Some(row)) = read else {
                continue;
            };
            let Some(entry) = self.parse_row::<ConfigVersion>(&row) else {
                continue;
            };
            let Some(text) = self.fetch_manifest(&entry.hash).await else {
                continue;
            };
            if let Ok(manifest) = serde_json::from_str(&text) {
                self.node
                    .state()
                    .record_version(version, &manifest, &former);
            }
        }
    }

    /// Returns the names of the shards that have a row; `None` if the table can't be read.
    async fn shards_with_rows(&self) -> Option<Vec<ShardName>> {
        let rows = self.platform.scan(SHARD_PREFIX).await;
        self.record_platform_result(&rows);
        let names = rows.ok()?.into_iter();
        Some(
            names
                .filter_map(|row| row.key.strip_prefix(SHARD_PREFIX)?.parse().ok())
                .collect(),
        )
    }

    async fn fetch_manifest(&self, hash: &str) -> Option<Arc<str>> {
        let body = self.platform.get(&manifest_object(hash)).await;
        self.record_platform_result(&body);
        let body = body.ok()??;
        // A body whose hash differs from the row's is truncated or belongs to another object.
        if blake3::hash(&body).to_hex().as_str() != hash {
            return None;
        }
        Some(Arc::from(String::from_utf8(body.to_vec()).ok()?))
    }
}

impl<C: Clock> Node<C> {
    /// Parses a manifest and puts it in force, unless its version isn't newer than the one in
    /// force.
    ///
    /// `former` lists the shards that had a holder when the version was accepted, or later. A
    /// manifest that can't be parsed is logged and ignored.
    pub(crate) fn put_in_force(
        &self,
        version: u64,
        text: Arc<str>,
        former: Vec<ShardName>,
        source: &str,
    ) {
        let manifest: Manifest = match serde_json::from_str(&text) {
            Ok(manifest) => manifest,
            Err(error) => {
                let reason = SmolStr::new(error.to_string());
                self.record(&kinds::CONFIG_UNREADABLE, &[&version, &reason]);
                return;
            }
        };
        let now = self.now();
        let (first, changed) = {
            let mut state = self.state();
            let first = state.site.version == 0;
            (
                first,
                state.put_in_force(version, &manifest, text, former, now),
            )
        };
        if !changed {
            return;
        }
        self.record(&kinds::CONFIG_IN_FORCE, &[&version, &source]);
        if first {
            self.record(&kinds::READY, &[&version]);
        }
        self.dispatch();
    }
}
