//! Checks JSON text against a committed schema and reports everything that doesn't fit.

use jsonschema::ValidationError;
use jsonschema::error::ValidationErrorKind;
use serde_json::Value;

/// Longest message about a mismatch, in characters; messages quote the value.
const MAX_MESSAGE_CHARS: usize = 200;

/// How a place doesn't fit the schema.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MismatchKind {
    /// The schema knows no such member.
    UnknownMember,
    /// A value is of the wrong type, out of its range or missing.
    Value,
}

/// A place that doesn't fit the schema.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Mismatch {
    /// How the place doesn't fit.
    pub kind: MismatchKind,
    /// JSON pointer of the place.
    pub pointer: String,
    /// What doesn't fit.
    pub message: String,
    /// What to do about it.
    pub hint: String,
}

impl Mismatch {
    /// Creates a mismatch of the text as a whole.
    pub(crate) fn of_document(message: String) -> Self {
        Self {
            kind: MismatchKind::Value,
            pointer: String::new(),
            message,
            hint: String::new(),
        }
    }
}

/// Parses a text and lists every place that doesn't fit the schema.
///
/// # Errors
///
/// Returns all mismatches; a text that is no JSON, or a schema that is none, gives one.
pub fn parse(schema: &str, text: &str) -> Result<Value, Vec<Mismatch>> {
    let value: Value =
        serde_json::from_str(text).map_err(|error| single_mismatch(error.to_string()))?;
    let mismatches = check(schema, &value);
    if mismatches.is_empty() {
        Ok(value)
    } else {
        Err(mismatches)
    }
}

/// Lists every place of a value that doesn't fit the schema.
pub fn check(schema: &str, value: &Value) -> Vec<Mismatch> {
    let schema: Value = match serde_json::from_str(schema) {
        Ok(schema) => schema,
        Err(error) => return single_mismatch(error.to_string()),
    };
    let validator = match jsonschema::validator_for(&schema) {
        Ok(validator) => validator,
        Err(error) => return single_mismatch(error.to_string()),
    };
    let mut list: Vec<_> = validator.iter_errors(value).flat_map(mismatches).collect();
    // A value of the wrong type is also none of the values of an enumeration: one mismatch tells.
    list.dedup_by(|later, earlier| later.pointer == earlier.pointer);
    list
}

/// Turns one error into a mismatch for each place that it names.
fn mismatches(error: ValidationError<'_>) -> Vec<Mismatch> {
    let pointer = error.instance_path().to_string();
    match error.kind() {
        ValidationErrorKind::AdditionalProperties { unexpected } => unexpected
            .iter()
            .map(|name| Mismatch {
                kind: MismatchKind::UnknownMember,
                pointer: format!("{pointer}/{}", escape(name)),
                message: format!("unknown member {name:?}"),
                hint: "remove it or correct its name".to_owned(),
            })
            .collect(),
        ValidationErrorKind::Required { property } => {
            let name = property.as_str().unwrap_or_default();
            vec![Mismatch {
                kind: MismatchKind::Value,
                pointer: format!("{pointer}/{}", escape(name)),
                message: "the member is missing".to_owned(),
                hint: "add it".to_owned(),
            }]
        }
        kind => vec![Mismatch {
            kind: MismatchKind::Value,
            pointer,
            message: shorten(&error.to_string()),
            hint: hint(kind).to_owned(),
        }],
    }
}

fn hint(kind: &ValidationErrorKind) -> &'static str {
    match kind {
        ValidationErrorKind::Type { .. } => "write a value of this type, numbers without quotes",
        ValidationErrorKind::Minimum { .. } | ValidationErrorKind::Maximum { .. } => {
            "write a number within the range"
        }
        ValidationErrorKind::Enum { .. } => "write one of the values",
        _ => "see the schema",
    }
}

/// Escapes a member's name for a JSON pointer.
fn escape(name: &str) -> String {
    name.replace('~', "~0").replace('/', "~1")
}

/// Reverses [`escape`].
pub(crate) fn unescape(segment: &str) -> String {
    segment.replace("~1", "/").replace("~0", "~")
}

fn shorten(message: &str) -> String {
    if message.chars().count() <= MAX_MESSAGE_CHARS {
        return message.to_owned();
    }
    // The end of a message says what was expected, its start quotes the value.
    let half = MAX_MESSAGE_CHARS / 2;
    let start: String = message.chars().take(half).collect();
    let skipped = message.chars().count() - half;
    let end: String = message.chars().skip(skipped).collect();
    format!("{start} … {end}")
}

fn single_mismatch(message: String) -> Vec<Mismatch> {
    vec![Mismatch::of_document(message)]
}
