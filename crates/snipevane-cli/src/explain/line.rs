//! Parsing of the daemons' log lines.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Number of hexadecimal digits in a job's identifier.
const JOB_ID_DIGITS: usize = 16;

/// A log line, which holds an event and its fields.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LogLine {
    /// Wall-clock time of the process, in milliseconds since the Unix epoch.
    pub unix_ms: u64,
    /// Name of the VM that the process runs on.
    pub node: String,
    /// Message of the event's kind.
    pub text: String,
    /// Number of the event's kind, or `None` if the line isn't an event.
    pub event: Option<u16>,
    /// Remaining fields of the line.
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

    /// Returns whether the line concerns a job, step or task, a part of it, or what it is part of.
    ///
    /// The identifier may be in the `job`, `step`, `task` or `cause` field, or the last segment of `path`.
    pub fn concerns(&self, id: &str) -> bool {
        let named = ["job", "step", "task", "cause"].iter();
        let mut named = named.filter_map(|name| self.field(name));
        let related = |other: &str| is_part_of(id, other) || is_part_of(other, id);
        let in_path = self.field("path").is_some_and(|path| {
            let last = path.rsplit('/').next().unwrap_or_default();
            is_id(last) && related(last)
        });
        in_path || named.any(|other| related(&other))
    }
}

/// Parses the lines of a log.
///
/// Text before the JSON object of a line is skipped, and so are lines without a valid object.
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

/// Returns whether the identifier `part` is equal to `whole` or names a part of it.
fn is_part_of(part: &str, whole: &str) -> bool {
    part == whole
        || part
            .strip_prefix(whole)
            .is_some_and(|rest| rest.starts_with('.'))
}
