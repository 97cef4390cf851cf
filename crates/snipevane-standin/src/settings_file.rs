//! Reading of settings files, with all invalid fields reported at once.

use std::net::SocketAddr;
use std::path::Path;

use serde::de::DeserializeOwned;
use serde_json::Value;
use snipevane_core::config::Findings;

/// Type of a field in a settings file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FieldKind {
    /// IP address and port.
    Address,
    /// Integer from 0 to 4294967295.
    Number,
    /// String.
    Text,
    /// Array, whose elements are checked during deserialization.
    List,
}

impl FieldKind {
    fn accepts(self, value: &Value) -> bool {
        match self {
            Self::Address => value
                .as_str()
                .is_some_and(|text| text.parse::<SocketAddr>().is_ok()),
            Self::Number => value
                .as_u64()
                .is_some_and(|number| u32::try_from(number).is_ok()),
            Self::Text => value.is_string(),
            Self::List => value.is_array(),
        }
    }

    fn hint(self) -> &'static str {
        match self {
            Self::Address => "use an IP address and port, such as \"127.0.0.1:7300\"",
            Self::Number => "use an integer from 0 to 4294967295",
            Self::Text => "use a string",
            Self::List => "use an array",
        }
    }
}

/// Settings that can be read from a JSON file.
pub trait SettingsFile: DeserializeOwned {
    /// The fields that the file may contain, all optional.
    const FIELDS: &'static [(&'static str, FieldKind)];
}

/// Reads settings from a JSON file.
///
/// # Errors
///
/// Returns a finding for the unreadable file or invalid JSON, or for every invalid field.
pub fn read_settings<T: SettingsFile>(path: &Path) -> Result<T, Findings> {
    let mut findings = Findings::new(path.display().to_string());
    let text = match std::fs::read_to_string(path) {
        Ok(text) => text,
        Err(error) => return Err(append(findings, error.to_string(), "name a readable file")),
    };
    let value: Value = match serde_json::from_str(&text) {
        Ok(value) => value,
        Err(error) => return Err(append(findings, error.to_string(), "write valid JSON")),
    };
    check_fields::<T>(&value, &mut findings);
    let value = findings.into_result(value)?;
    findings = Findings::new(path.display().to_string());
    serde_path_to_error::deserialize(value).map_err(|error| {
        let pointer = pointer_of(error.path());
        findings.add(pointer, error.inner().to_string(), "");
        findings
    })
}

fn append(mut findings: Findings, message: String, hint: &str) -> Findings {
    findings.add("", message, hint);
    findings
}

fn check_fields<T: SettingsFile>(value: &Value, findings: &mut Findings) {
    let Some(object) = value.as_object() else {
        findings.add(
            "",
            "settings must be a JSON object",
            "use {} for the defaults",
        );
        return;
    };
    for (name, value) in object {
        let field = T::FIELDS.iter().find(|(known, _)| known == name);
        let pointer = format!("/{name}");
        let Some((_, kind)) = field else {
            let known: Vec<_> = T::FIELDS.iter().map(|(name, _)| *name).collect();
            let hint = format!("known fields: {}", known.join(", "));
            findings.add(pointer, "unknown field", hint);
            continue;
        };
        if !kind.accepts(value) {
            findings.add(pointer, format!("invalid value {value}"), kind.hint());
        }
    }
}

fn pointer_of(path: &serde_path_to_error::Path) -> String {
    use serde_path_to_error::Segment;

    let mut pointer = String::new();
    for segment in path {
        pointer.push('/');
        match segment {
            Segment::Seq { index } => pointer.push_str(&index.to_string()),
            Segment::Map { key } => pointer.push_str(key),
            Segment::Enum { variant } => pointer.push_str(variant),
            Segment::Unknown => pointer.push('?'),
        }
    }
    pointer
}
