//! Validation of JSON text against a schema, which reports all mismatches.

use jsonschema::ValidationError;
use jsonschema::error::ValidationErrorKind;
use serde_json::Value;

/// Length in characters above which a message is shortened; messages quote the value.
const MAX_MESSAGE_CHARS: usize = 200;

/// Kind of a mismatch between a value and its schema.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MismatchKind {
    /// The schema doesn't define the member.
    UnknownMember,
    /// A value has the wrong type, is out of range, is missing or breaks another rule of the
    /// schema.
    Value,
}

/// A location at which a value doesn't match its schema.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Mismatch {
    /// Kind of the mismatch.
    pub kind: MismatchKind,
    /// JSON pointer of the location.
    pub pointer: String,
    /// Description of the mismatch.
    pub message: String,
    /// Advice on how to correct it.
    pub hint: String,
}

impl Mismatch {
    /// Creates a mismatch that concerns the whole document.
    pub(crate) fn of_document(message: String) -> Self {
        Self {
            kind: MismatchKind::Value,
            pointer: String::new(),
            message,
            hint: String::new(),
        }
    }
}

/// Parses JSON text and validates it against a schema.
///
/// # Errors
///
/// Returns all mismatches. A text that isn't valid JSON or an invalid schema gives a single one.
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

/// Returns all mismatches between a value and a schema.
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
    // A value of the wrong type is also not a value of the enumeration; one mismatch is enough.
    list.dedup_by(|later, earlier| later.pointer == earlier.pointer);
    list
}

/// Converts a validation error to one mismatch for each location that it names.
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

/// Escapes a member name for a JSON pointer.
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
    // The start of a message quotes the value and its end says what was expected, so both are kept.
    let half = MAX_MESSAGE_CHARS / 2;
    let start: String = message.chars().take(half).collect();
    let skipped = message.chars().count() - half;
    let end: String = message.chars().skip(skipped).collect();
    format!("{start} … {end}")
}

fn single_mismatch(message: String) -> Vec<Mismatch> {
    vec![Mismatch::of_document(message)]
}
