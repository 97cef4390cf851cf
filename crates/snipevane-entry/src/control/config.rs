//! Learns of new configuration versions from the platform and from peers.

use std::sync::Arc;

use smol_str::SmolStr;
use snipevane_core::clock::Clock;
use snipevane_core::config::in_force::{Acceptance, Proof, acceptance};
use snipevane_core::shards::ShardName;
use snipevane_platform::{Check, Row, Transaction};
use snipevane_proto::manifest::Manifest;
use snipevane_proto::rows::{CONFIG_HEAD, CONFIG_VERSION, ConfigHead, ConfigVersion, SHARD};

use super::{Control, Platform, manifest_object};
use crate::journal::kinds;
use crate::node::Node;

impl<P: Platform, C: Clock> Control<P, C> {
    /// Reads the accepted version and puts it in force if it's newer.
    pub(crate) async fn poll_config(&self) {
        self.fetch_from_peer().await;
        let read = self.platform.read(CONFIG_HEAD).await;
        self.note_platform(&read);
        let Ok(Some(row)) = read else {
            return;
        };
        let Some(head) = self.parse_row::<ConfigHead>(&row) else {
            return;
        };
        self.node.state().config_row = Some((row.version, head.version));
        if self.is_newer(&row, head.version).await
            && let Some(text) = self.fetch_manifest(&head.hash).await
            && let Some(former) = self.shards_with_rows().await
        {
            self.node
                .put_in_force(head.version, text, former, "platform");
        }
        self.fetch_missing().await;
    }

    /// Returns whether a version that was read is to be put in force.
    async fn is_newer(&self, row: &Row, version: u64) -> bool {
        let in_force = self.node.state().site.version;
        match acceptance(in_force, version, Proof::Read) {
            Acceptance::Older => false,
            Acceptance::InForce => true,
            Acceptance::NeedsCheck => {
                let check = Check {
                    key: CONFIG_HEAD.into(),
                    expected: Some(row.version),
                };
                let tx = Transaction::new(vec![check], Vec::new());
                self.platform.commit(tx).await.is_ok()
            }
        }
    }

    /// Fetches the configuration of a peer that has a newer one in force.
    pub(crate) async fn fetch_from_peer(&self) {
        let newer = {
            let state = self.node.state();
            let version = state.site.version;
            let ahead = state.peers.iter().filter(|(_, peer)| peer.reachable);
            ahead
                .map(|(_, peer)| (peer.version, peer.address))
                .filter(|(v, _)| *v > version)
                .max()
        };
        let Some((_, address)) = newer else {
            return;
        };
        if let Ok(body) = self.peers.config(address).await {
            let former = body
                .former
                .iter()
                .filter_map(|name| name.parse().ok())
                .collect();
            self.node
                .put_in_force(body.version, body.manifest.into(), former, "peer");
        }
    }

    /// Fetches the versions that are needed to decide on raises and were never in force here.
    async fn fetch_missing(&self) {
        let mut missing = {
            let state = self.node.state();
            let mut missing = state.limit_deals.missing_versions();
            missing.extend(state.slot_deals.missing_versions());
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
                .read(&format!("{CONFIG_VERSION}{version}"))
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
                self.node.state().learn_version(version, &manifest, &former);
            }
        }
    }

    /// Lists the shards that have a row; `None` if the table can't be read.
    async fn shards_with_rows(&self) -> Option<Vec<ShardName>> {
        let rows = self.platform.scan(SHARD).await;
        self.note_platform(&rows);
        let names = rows.ok()?.into_iter();
        Some(
            names
                .filter_map(|row| row.key.strip_prefix(SHARD)?.parse().ok())
                .collect(),
        )
    }

    async fn fetch_manifest(&self, hash: &str) -> Option<Arc<str>> {
        let body = self.platform.get(&manifest_object(hash)).await;
        self.note_platform(&body);
        let body = body.ok()??;
        // A body that doesn't have the hash that the row names was cut or mixed up.
        if blake3::hash(&body).to_hex().as_str() != hash {
            return None;
        }
        Some(Arc::from(String::from_utf8(body.to_vec()).ok()?))
    }
}

impl<C: Clock> Node<C> {
    /// Puts a configuration in force unless it's older than the present one.
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
