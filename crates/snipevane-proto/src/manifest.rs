//! The manifest: the whole configuration of a site.

use serde_json::Value;

use crate::structure::{self, Mismatch};

pub use crate::generated::manifest::{
    KeyPolicy, Maintenance, Manifest, Pool, Queue, Service, Team, Urgency, Zone,
};

/// The committed schema of manifests.
pub const SCHEMA: &str = include_str!("../schemas/manifest.schema.json");

/// A manifest that was read, with all that doesn't follow the schema.
#[derive(Clone, Debug, PartialEq)]
pub struct Parsed {
    /// The manifest, with placeholders wherever the text doesn't follow the schema; absent if the
    /// text isn't JSON.
    pub manifest: Option<Manifest>,
    /// All mismatches.
    pub mismatches: Vec<Mismatch>,
}

impl Parsed {
    /// Reads the text of a manifest.
    pub fn from_text(text: &str) -> Self {
        let value = match serde_json::from_str(text) {
            Ok(value) => value,
            Err(error) => return Self::unreadable(error.to_string()),
        };
        let mut parsed = Self::from_value(value);
        // A member that stands twice is lost in a value; only the typed reader tells.
        if parsed.mismatches.is_empty()
            && let Err(error) = serde_json::from_str::<Manifest>(text)
        {
            parsed.mismatches.push(mismatch(error.to_string()));
        }
        parsed
    }

    /// Reads a manifest that came as part of a message.
    pub fn from_value(value: Value) -> Self {
        let schema: Value = match serde_json::from_str(SCHEMA) {
            Ok(schema) => schema,
            Err(error) => return Self::unreadable(error.to_string()),
        };
        let checked = structure::check(&schema, value);
        match serde_json::from_value(checked.value) {
            Ok(manifest) => Self {
                manifest: Some(manifest),
                mismatches: checked.mismatches,
            },
            Err(error) => Self {
                manifest: None,
                mismatches: [checked.mismatches, vec![mismatch(error.to_string())]].concat(),
            },
        }
    }

    fn unreadable(message: String) -> Self {
        Self {
            manifest: None,
            mismatches: vec![mismatch(message)],
        }
    }
}

fn mismatch(message: String) -> Mismatch {
    Mismatch {
        pointer: String::new(),
        message,
        hint: String::new(),
    }
}
