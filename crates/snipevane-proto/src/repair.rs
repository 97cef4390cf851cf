//! Repair of a JSON value that doesn't match its schema, so that the rest of it can be
//! deserialized.

use std::collections::BTreeSet;

use serde_json::{Map, Value, json};

use crate::schema::{Mismatch, MismatchKind, unescape};

/// JSON pointers of the locations in a value that hold a placeholder.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RepairedPaths {
    pointers: BTreeSet<String>,
}

impl RepairedPaths {
    /// Returns whether the value holds no placeholder.
    pub fn is_empty(&self) -> bool {
        self.pointers.is_empty()
    }

    /// Returns whether the location itself, a location inside it or one that contains it is a
    /// placeholder.
    pub fn overlaps(&self, pointer: &str) -> bool {
        if self.pointers.is_empty() {
            return false;
        }
        let ends = pointer.match_indices('/').map(|(end, _)| end);
        let around = ends
            .chain([pointer.len()])
            .any(|end| self.pointers.contains(&pointer[..end]));
        let inside = format!("{pointer}/");
        let next = self.pointers.range(inside.clone()..).next();
        around || next.is_some_and(|place| place.starts_with(&inside))
    }
}

/// Replaces each part of a value that doesn't match its schema by a placeholder of the right type,
/// and removes unknown members.
pub fn repair(schema: &Value, value: &mut Value, mismatches: &[Mismatch]) -> RepairedPaths {
    let mut repaired = RepairedPaths::default();
    for mismatch in mismatches {
        match mismatch.kind {
            MismatchKind::UnknownMember => remove(value, &mismatch.pointer),
            MismatchKind::Value => {
                let expected = schema_at(schema, &mismatch.pointer);
                set(value, &mismatch.pointer, placeholder(schema, expected));
                repaired.pointers.insert(mismatch.pointer.clone());
            }
        }
    }
    repaired
}

fn parent_of<'a>(value: &'a mut Value, pointer: &str) -> Option<(&'a mut Value, String)> {
    let (parent, last) = pointer.rsplit_once('/')?;
    Some((value.pointer_mut(parent)?, unescape(last)))
}

fn remove(value: &mut Value, pointer: &str) {
    if let Some((Value::Object(members), name)) = parent_of(value, pointer) {
        members.remove(&name);
    }
}

fn set(value: &mut Value, pointer: &str, new: Value) {
    if pointer.is_empty() {
        *value = new;
        return;
    }
    match parent_of(value, pointer) {
        Some((Value::Object(members), name)) => {
            members.insert(name, new);
        }
        Some((Value::Array(items), place)) => {
            let item = place.parse().ok().and_then(|i: usize| items.get_mut(i));
            if let Some(item) = item {
                *item = new;
            }
        }
        _ => {}
    }
}

/// Returns the schema of a location.
fn schema_at<'a>(root: &'a Value, pointer: &str) -> &'a Value {
    let mut schema = root;
    for segment in pointer.split('/').skip(1) {
        let properties = schema.get("properties");
        let member = properties.and_then(|members| members.get(unescape(segment)));
        schema = resolve_ref(root, member.or(schema.get("items")).unwrap_or(&Value::Null));
    }
    schema
}

fn resolve_ref<'a>(root: &'a Value, schema: &'a Value) -> &'a Value {
    let reference = schema.get("$ref").and_then(Value::as_str);
    reference
        .and_then(|reference| root.pointer(reference.trim_start_matches('#')))
        .unwrap_or(schema)
}

fn placeholder(root: &Value, schema: &Value) -> Value {
    let schema = resolve_ref(root, schema);
    if let Some(default) = schema.get("default") {
        return default.clone();
    }
    match schema.get("type").and_then(Value::as_str) {
        Some("object") => Value::Object(required_members(root, schema)),
        Some("array") => json!([]),
        Some("string") => json!(""),
        Some("integer") => schema.get("minimum").cloned().unwrap_or(json!(0)),
        Some("boolean") => json!(false),
        _ => Value::Null,
    }
}

fn required_members(root: &Value, schema: &Value) -> Map<String, Value> {
    let names = schema.get("required").and_then(Value::as_array);
    names
        .into_iter()
        .flatten()
        .filter_map(Value::as_str)
        .filter_map(|name| {
            let member = schema.get("properties")?.get(name)?;
            Some((name.to_owned(), placeholder(root, member)))
        })
        .collect()
}
