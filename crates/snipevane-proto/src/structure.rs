//! Check of a JSON value against a committed schema: all mismatches at once.
//!
//! Knows the part of JSON Schema that the committed schemas use: `type`, `required`, `properties`,
//! `additionalProperties`, `items`, `enum`, `$ref` to a definition, `minimum` and the formats of
//! unsigned integers.

use serde_json::{Map, Value, json};

/// Largest edit distance at which a known member is suggested for an unknown one.
const MAX_SUGGESTION_DISTANCE: usize = 2;
/// Longest excerpt of a value in a message, in characters.
const MAX_EXCERPT_CHARS: usize = 40;

/// A place at which a value doesn't follow its schema.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Mismatch {
    /// JSON pointer of the place.
    pub pointer: String,
    /// What is wrong.
    pub message: String,
    /// What to do about it.
    pub hint: String,
}

/// A checked value.
#[derive(Clone, Debug, PartialEq)]
pub struct Checked {
    /// The value with a placeholder of the right type wherever it doesn't follow the schema.
    pub value: Value,
    /// All mismatches, in the order of the value.
    pub mismatches: Vec<Mismatch>,
}

/// Checks a value against a schema.
pub fn check(schema: &Value, mut value: Value) -> Checked {
    let mut walk = Walk {
        root: schema,
        mismatches: Vec::new(),
    };
    walk.visit(schema, &mut value, "");
    Checked {
        value,
        mismatches: walk.mismatches,
    }
}

struct Walk<'a> {
    root: &'a Value,
    mismatches: Vec<Mismatch>,
}

impl<'a> Walk<'a> {
    fn visit(&mut self, schema: &'a Value, value: &mut Value, pointer: &str) {
        let schema = self.resolve(schema);
        let expected = Expected::of(schema);
        if !expected.accepts(value) {
            let message = format!("expected {}, found {}", expected.describe(), excerpt(value));
            self.add(pointer, message, expected.hint());
            *value = self.placeholder(schema);
            return;
        }
        match value {
            Value::Object(members) => self.visit_object(schema, members, pointer),
            Value::Array(items) => {
                let Some(item_schema) = schema.get("items") else {
                    return;
                };
                for (i, item) in items.iter_mut().enumerate() {
                    self.visit(item_schema, item, &format!("{pointer}/{i}"));
                }
            }
            _ => {}
        }
    }

    fn visit_object(&mut self, schema: &'a Value, members: &mut Map<String, Value>, pointer: &str) {
        let Some(properties) = schema.get("properties").and_then(Value::as_object) else {
            return;
        };
        if schema.get("additionalProperties") == Some(&Value::Bool(false)) {
            self.remove_unknown(properties, members, pointer);
        }
        for (name, value) in members.iter_mut() {
            if let Some(member_schema) = properties.get(name) {
                self.visit(member_schema, value, &format!("{pointer}/{}", escape(name)));
            }
        }
        for name in required(schema) {
            if members.contains_key(name) {
                continue;
            }
            self.add(
                pointer,
                format!("member \"{name}\" is missing"),
                String::new(),
            );
            if let Some(member_schema) = properties.get(name) {
                members.insert(name.to_owned(), self.placeholder(member_schema));
            }
        }
    }

    fn remove_unknown(
        &mut self,
        properties: &Map<String, Value>,
        members: &mut Map<String, Value>,
        pointer: &str,
    ) {
        members.retain(|name, _| {
            if properties.contains_key(name) {
                return true;
            }
            self.add(
                &format!("{pointer}/{}", escape(name)),
                format!("unknown member \"{name}\""),
                suggest(name, properties),
            );
            false
        });
    }

    fn resolve(&self, schema: &'a Value) -> &'a Value {
        let target = schema
            .get("$ref")
            .and_then(Value::as_str)
            .and_then(|reference| self.root.pointer(reference.trim_start_matches('#')));
        target.unwrap_or(schema)
    }

    fn placeholder(&self, schema: &'a Value) -> Value {
        let schema = self.resolve(schema);
        if let Some(default) = schema.get("default") {
            return default.clone();
        }
        match Expected::of(schema) {
            Expected::OneOf(values) => values.first().cloned().unwrap_or_default(),
            Expected::Object => {
                let properties = schema.get("properties").and_then(Value::as_object);
                let members = required(schema).filter_map(|name| {
                    let member = properties?.get(name)?;
                    Some((name.to_owned(), self.placeholder(member)))
                });
                Value::Object(members.collect())
            }
            Expected::Array => json!([]),
            Expected::String => json!(""),
            Expected::Integer { min, .. } => json!(min),
            Expected::Boolean => json!(false),
            Expected::Any => Value::Null,
        }
    }

    fn add(&mut self, pointer: &str, message: String, hint: String) {
        self.mismatches.push(Mismatch {
            pointer: pointer.to_owned(),
            message,
            hint,
        });
    }
}

/// What a schema expects at a place.
enum Expected<'a> {
    Object,
    Array,
    String,
    Boolean,
    Integer { min: u64, max: u64 },
    OneOf(&'a [Value]),
    Any,
}

impl<'a> Expected<'a> {
    fn of(schema: &'a Value) -> Self {
        if let Some(values) = schema.get("enum").and_then(Value::as_array) {
            return Self::OneOf(values);
        }
        match schema.get("type").and_then(Value::as_str) {
            Some("object") => Self::Object,
            Some("array") => Self::Array,
            Some("string") => Self::String,
            Some("boolean") => Self::Boolean,
            Some("integer") => Self::Integer {
                min: schema.get("minimum").and_then(Value::as_u64).unwrap_or(0),
                max: largest(schema),
            },
            _ => Self::Any,
        }
    }

    fn accepts(&self, value: &Value) -> bool {
        match self {
            Self::Object => value.is_object(),
            Self::Array => value.is_array(),
            Self::String => value.is_string(),
            Self::Boolean => value.is_boolean(),
            Self::Integer { min, max } => value
                .as_u64()
                .is_some_and(|number| (*min..=*max).contains(&number)),
            Self::OneOf(values) => values.contains(value),
            Self::Any => true,
        }
    }

    fn describe(&self) -> String {
        match self {
            Self::Object => "an object".to_owned(),
            Self::Array => "an array".to_owned(),
            Self::String => "a string".to_owned(),
            Self::Boolean => "true or false".to_owned(),
            Self::Integer { min, max } => format!("an integer from {min} to {max}"),
            Self::OneOf(values) => {
                let names: Vec<_> = values.iter().map(Value::to_string).collect();
                format!("one of {}", names.join(", "))
            }
            Self::Any => "any value".to_owned(),
        }
    }

    fn hint(&self) -> String {
        match self {
            Self::Integer { .. } => "write a number without quotes, sign or fraction".to_owned(),
            _ => String::new(),
        }
    }
}

/// Returns the largest value of an integer's format.
fn largest(schema: &Value) -> u64 {
    match schema.get("format").and_then(Value::as_str) {
        Some("uint8") => u8::MAX.into(),
        Some("uint16") => u16::MAX.into(),
        Some("uint32") => u32::MAX.into(),
        _ => u64::MAX,
    }
}

fn required(schema: &Value) -> impl Iterator<Item = &str> {
    schema
        .get("required")
        .and_then(Value::as_array)
        .into_iter()
        .flatten()
        .filter_map(Value::as_str)
}

/// Escapes a member's name for a JSON pointer.
fn escape(name: &str) -> String {
    name.replace('~', "~0").replace('/', "~1")
}

fn excerpt(value: &Value) -> String {
    match value {
        Value::Object(_) => "an object".to_owned(),
        Value::Array(_) => "an array".to_owned(),
        _ => {
            let text = value.to_string();
            if text.chars().count() <= MAX_EXCERPT_CHARS {
                return text;
            }
            let start: String = text.chars().take(MAX_EXCERPT_CHARS).collect();
            format!("{start}…")
        }
    }
}

fn suggest(name: &str, properties: &Map<String, Value>) -> String {
    let nearest = properties
        .keys()
        .map(|known| (distance(name, known), known))
        .min();
    match nearest {
        Some((steps, known)) if steps <= MAX_SUGGESTION_DISTANCE => {
            format!("did you mean \"{known}\"?")
        }
        _ => {
            let known: Vec<_> = properties.keys().map(String::as_str).collect();
            format!("known members: {}", known.join(", "))
        }
    }
}

/// Returns the Levenshtein distance of two names.
fn distance(a: &str, b: &str) -> usize {
    let b: Vec<char> = b.chars().collect();
    let mut row: Vec<usize> = (0..=b.len()).collect();
    for (i, a_char) in a.chars().enumerate() {
        let mut diagonal = i;
        row[0] = i + 1;
        for (j, b_char) in b.iter().enumerate() {
            let replaced = diagonal + usize::from(a_char != *b_char);
            diagonal = row[j + 1];
            row[j + 1] = replaced.min(diagonal + 1).min(row[j] + 1);
        }
    }
    row[b.len()]
}
