//! The manifest: the whole configuration of a site.

use serde_json::Value;

use crate::repair::{RepairedPaths, repair};
use crate::schema::{self, Mismatch};

pub use crate::generated::manifest::{
    ChangedItems, Difference, KeyPolicy, Maintenance, Manifest, Pool, Queue, RemovedItems, Service,
    Team, Urgency, Zone,
};

/// Schema of manifests.
pub const SCHEMA: &str = include_str!("../schemas/manifest.schema.json");

/// Returns the one text of a manifest, from which its hash is made.
///
/// Manifests that differ only in layout, order of members or items, or stated defaults have the
/// same text.
///
/// # Errors
///
/// Returns an error if the manifest can't be written as JSON.
pub fn canonical_text(manifest: &Manifest) -> serde_json::Result<String> {
    let mut sorted = manifest.clone();
    sorted.zones.sort_by(|a, b| a.name.cmp(&b.name));
    sorted.teams.sort_by(|a, b| a.name.cmp(&b.name));
    sorted.pools.sort_by(|a, b| a.name.cmp(&b.name));
    sorted.services.sort_by(|a, b| a.name.cmp(&b.name));
    sorted.queues.sort_by(|a, b| a.name.cmp(&b.name));
    serde_json::to_string(&sorted)
}

/// A manifest that was read, with all that doesn't follow the schema.
#[derive(Clone, Debug, PartialEq)]
pub struct ParsedManifest {
    /// The manifest, with placeholders where the text doesn't follow the schema; absent if the
    /// text can't be read at all.
    pub manifest: Option<Manifest>,
    /// Places of the placeholders.
    pub repaired: RepairedPaths,
    /// All mismatches.
    pub mismatches: Vec<Mismatch>,
}

impl ParsedManifest {
    /// Reads the text of a manifest.
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
        // A member that stands twice is lost in a value; only the typed reader tells.
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
