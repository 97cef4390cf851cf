//! Configurations exchanged between entry VMs, as differences where possible.

use std::sync::Arc;

use snipevane_core::clock::Clock;
use snipevane_core::config::{apply_difference, difference};
use snipevane_proto::manifest::{Manifest, canonical_text};
use snipevane_proto::peer::{ConfigBody, ConfigChange};

use crate::node::Node;

impl<C: Clock> Node<C> {
    /// Builds the configuration to send to a peer that has the version `have` in force.
    ///
    /// It holds the full manifest if the text of that version is no longer stored here or no
    /// difference can be computed.
    pub(crate) fn config_body(&self, have: u64) -> ConfigBody {
        let (version, text, base, former) = {
            let state = self.state();
            let base = state
                .recent_manifests
                .iter()
                .find(|(version, _)| *version == have);
            let former = state.former.iter().map(ToString::to_string).collect();
            (
                state.site.version,
                state.manifest.clone(),
                base.filter(|(version, _)| *version > 0).cloned(),
                former,
            )
        };
        let change = base.and_then(|(from, base)| config_change(from, &base, &text));
        ConfigBody {
            version,
            manifest: change.is_none().then(|| text.to_string()),
            change,
            former,
        }
    }
}

fn config_change(from: u64, base: &str, text: &str) -> Option<ConfigChange> {
    let base: Manifest = serde_json::from_str(base).ok()?;
    let manifest: Manifest = serde_json::from_str(text).ok()?;
    Some(ConfigChange {
        from,
        hash: blake3::hash(text.as_bytes()).to_hex().to_string(),
        difference: serde_json::to_value(difference(&base, &manifest)).ok()?,
    })
}

/// Returns the text of the manifest that a peer sent, given the version and the text in force here.
///
/// Returns `None` if the peer sent a difference that starts from another version, or whose result
/// doesn't have the hash that the peer stated.
pub(crate) fn received_text(body: &ConfigBody, have: u64, current: &str) -> Option<Arc<str>> {
    let Some(change) = &body.change else {
        return body.manifest.as_deref().map(Arc::from);
    };
    if change.from != have {
        return None;
    }
    let base: Manifest = serde_json::from_str(current).ok()?;
    let difference = serde_json::from_value(change.difference.clone()).ok()?;
    let text = canonical_text(&apply_difference(&base, &difference)).ok()?;
    let hash = blake3::hash(text.as_bytes()).to_hex();
    (hash.as_str() == change.hash).then(|| Arc::from(text))
}
