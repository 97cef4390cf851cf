//! Lines of the daemons' logs.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Hexadecimal digits of a job's identifier.
const JOB_ID_DIGITS: usize = 16;

/// A line of a log: an event with its fields.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LogLine {
    /// Time of day at the process, in Unix milliseconds.
    pub unix_ms: u64,
    /// Name of the process's VM.
    pub node: String,
    /// Text of the event's kind.
    pub text: String,
    /// Number of the event's kind; none for a line that is no event.
    pub event: Option<u16>,
    /// Fields.
    #[serde(flatten)]
    pub fields: BTreeMap<String, Value>,
}

impl LogLine {
    /// Returns a field as text.
    pub fn field(&self, name: &str) -> Option<String> {
        match self.fields.get(name)? {
            Value::String(text) => Some(text.clone()),
            other => Some(other.to_string()),
        }
    }

    /// Returns a field as a number.
    pub fn number(&self, name: &str) -> Option<u64> {
        self.fields.get(name)?.as_u64()
    }

    /// Returns whether the line tells of a job, step or task, or of what it is part of.
    pub fn concerns(&self, id: &str) -> bool {
        let named = ["job", "step", "task"].iter();
        let mut named = named.filter_map(|name| self.field(name));
        let related = |other: &str| is_part_of(id, other) || is_part_of(other, id);
        let in_path = self.field("path").is_some_and(|path| {
            let last = path.rsplit('/').next().unwrap_or_default();
            is_id(last) && related(last)
        });
        in_path || named.any(|other| related(&other))
    }
}

/// Reads the lines of a log; text before the JSON object of a line is passed over, as are lines
/// without one.
pub fn parse_log(text: &str) -> Vec<LogLine> {
    let objects = text
        .lines()
        .filter_map(|line| Some(&line[line.find('{')?..]));
    objects
        .filter_map(|object| serde_json::from_str(object).ok())
        .collect()
}

/// Returns whether a text is the identifier of a job, or of a step or task of one.
pub(super) fn is_id(text: &str) -> bool {
    let mut parts = text.split('.');
    let job = parts.next().unwrap_or_default();
    let is_job = job.len() == JOB_ID_DIGITS && job.bytes().all(|byte| byte.is_ascii_hexdigit());
    let numbers: Vec<&str> = parts.collect();
    let numeric = numbers
        .iter()
        .all(|part| !part.is_empty() && part.bytes().all(|byte| byte.is_ascii_digit()));
    is_job && numeric && matches!(numbers.len(), 0 | 2 | 3)
}

/// Returns whether an identifier is the whole or a part of another.
fn is_part_of(part: &str, whole: &str) -> bool {
    part == whole
        || part
            .strip_prefix(whole)
            .is_some_and(|rest| rest.starts_with('.'))
}
