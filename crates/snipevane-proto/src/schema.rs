//! Checks JSON text against a committed schema and reports everything that doesn't fit.

use serde_json::Value;

/// A place that doesn't fit the schema.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Mismatch {
    /// JSON pointer of the place.
    pub pointer: String,
    /// What doesn't fit.
    pub message: String,
}

/// Parses a text and lists every place that doesn't fit the schema.
///
/// # Errors
///
/// Returns all mismatches; a text that is no JSON, or a schema that is none, gives one.
pub fn parse(schema: &str, text: &str) -> Result<Value, Vec<Mismatch>> {
    let value: Value = serde_json::from_str(text).map_err(|error| one(error.to_string()))?;
    let schema: Value = serde_json::from_str(schema).map_err(|error| one(error.to_string()))?;
    let validator = jsonschema::validator_for(&schema).map_err(|error| one(error.to_string()))?;
    let mismatches: Vec<Mismatch> = validator
        .iter_errors(&value)
        .map(|error| Mismatch {
            pointer: error.instance_path().to_string(),
            message: error.to_string(),
        })
        .collect();
    if mismatches.is_empty() {
        Ok(value)
    } else {
        Err(mismatches)
    }
}

fn one(message: String) -> Vec<Mismatch> {
    vec![Mismatch {
        pointer: String::new(),
        message,
    }]
}
