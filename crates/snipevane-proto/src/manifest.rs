//! The manifest, which is the whole configuration of a site.

use serde_json::Value;

use crate::repair::{RepairedPaths, repair};
use crate::schema::{self, Mismatch};

pub use crate::generated::manifest::{
    ChangedItems, Difference, KeyPolicy, Maintenance, Manifest, Pool, Queue, RemovedItems, Service,
    Team, Urgency, Zone,
};

/// JSON schema of manifests.
pub const SCHEMA: &str = include_str!("../schemas/manifest.schema.json");

/// Returns the canonical JSON text of a manifest, from which its hash is computed.
///
/// Manifests have the same canonical text if they differ only in whitespace, in the order of
/// members or items, or in whether default values are written out.
///
/// # Errors
///
/// Returns an error if the manifest can't be serialized.
pub fn canonical_text(manifest: &Manifest) -> serde_json::Result<String> {
    let mut sorted = manifest.clone();
    sorted.zones.sort_by(|a, b| a.name.cmp(&b.name));
    sorted.teams.sort_by(|a, b| a.name.cmp(&b.name));
    sorted.pools.sort_by(|a, b| a.name.cmp(&b.name));
    sorted.services.sort_by(|a, b| a.name.cmp(&b.name));
    sorted.queues.sort_by(|a, b| a.name.cmp(&b.name));
    serde_json::to_string(&sorted)
}

/// A parsed manifest, together with everything in it that doesn't match the schema.
#[derive(Clone, Debug, PartialEq)]
pub struct ParsedManifest {
    /// The manifest, with placeholders where the text doesn't match the schema; `None` if the text
    /// can't be parsed at all.
    pub manifest: Option<Manifest>,
    /// Locations of the placeholders.
    pub repaired: RepairedPaths,
    /// All mismatches with the schema.
    pub mismatches: Vec<Mismatch>,
}

impl ParsedManifest {
    /// Parses the text of a manifest.
    pub fn from_text(text: &str) -> Self {
        match Self::read(text) {
            Ok(parsed) => parsed,
            Err(error) => Self {
                manifest: None,
                repaired: RepairedPaths::default(),
                mismatches: vec![Mismatch::of_document(error.to_string())],
            },
        }
    }

    fn read(text: &str) -> serde_json::Result<Self> {
        let mut value: Value = serde_json::from_str(text)?;
        let mismatches = schema::check(SCHEMA, &value);
        // A `Value` silently drops duplicate members. Only typed deserialization reports them.
        if mismatches.is_empty() {
            return Ok(Self {
                manifest: Some(serde_json::from_str(text)?),
                repaired: RepairedPaths::default(),
                mismatches,
            });
        }
        let schema = serde_json::from_str(SCHEMA)?;
        let repaired = repair(&schema, &mut value, &mismatches);
        Ok(Self {
            manifest: serde_json::from_value(value).ok(),
            repaired,
            mismatches,
        })
    }
}
