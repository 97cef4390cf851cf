//! Structured logs on standard output, with one JSON object per line.
//!
//! Each event has a rate limit in lines per second. Lines beyond it are dropped, and their number
//! is logged in a separate line. A thread writes the lines from a bounded queue: if the reader of
//! the log blocks, lines are dropped and counted, and the decisions of the process are never
//! delayed.

mod non_blocking;
mod rate_limiter;

use std::io::{self, Write};
use std::time::{SystemTime, UNIX_EPOCH};

use log::LevelFilter;
use log::kv::{Error, Key, Value, VisitSource};
use parking_lot::Mutex;
use serde_json::Map;

use crate::events::{LINES_DROPPED, NUMBER_KEY};

pub use non_blocking::NonBlockingWriter;
pub use rate_limiter::{Admission, RateLimiter};

/// Installs the global logger, which writes to standard output and adds the name of the entry VM,
/// `node`, to each line.
///
/// # Errors
///
/// Returns an error if a logger is already installed.
pub fn start(node: &str, level: LevelFilter) -> Result<(), log::SetLoggerError> {
    let node = node.to_owned();
    let writer: Box<dyn Write + Send> = Box::new(NonBlockingWriter::start(io::stdout()));
    let limiter = Mutex::new(RateLimiter::default());
    fern::Dispatch::new()
        .level(level)
        .format(move |out, message, record| {
            let unix_ms = unix_ms();
            let number = record.key_values().get(Key::from(NUMBER_KEY));
            let number = number.and_then(|number| number.to_u64());
            let admission = number.map(|number| limiter.lock().admit(number, unix_ms));
            if admission == Some(Admission::Dropped) {
                return;
            }
            let mut line = Map::new();
            line.insert("unix_ms".to_owned(), unix_ms.into());
            line.insert("node".to_owned(), node.as_str().into());
            line.insert("level".to_owned(), record.level().as_str().into());
            line.insert("text".to_owned(), message.to_string().into());
            // A field that can't be read is omitted; the rest of the line is still useful.
            let _ = record.key_values().visit(&mut FieldCollector(&mut line));
            let line = serde_json::Value::Object(line);
            match (number, admission) {
                (Some(number), Some(Admission::Admitted { dropped })) if dropped > 0 => {
                    let count = dropped_line(&node, unix_ms, number, dropped);
                    out.finish(format_args!("{count}\n{line}"));
                }
                _ => out.finish(format_args!("{line}")),
            }
        })
        .chain(writer)
        .apply()
}

/// Returns the line that reports how many lines of an event were dropped.
fn dropped_line(node: &str, unix_ms: u64, number: u64, dropped: u64) -> serde_json::Value {
    serde_json::json!({
        "unix_ms": unix_ms,
        "node": node,
        "level": "WARN",
        "text": LINES_DROPPED.text,
        NUMBER_KEY: LINES_DROPPED.number,
        "of_event": number,
        "lines": dropped,
    })
}

fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}

/// Collects a log record's fields into a JSON object.
struct FieldCollector<'a>(&'a mut Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for FieldCollector<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let text = value.to_string();
        let value = match parse_canonical_number(&text) {
            Some(number) => number.into(),
            None => text.into(),
        };
        self.0.insert(key.as_str().to_owned(), value);
        Ok(())
    }
}

/// Maximum number of digits of a value that is written as a JSON number. Job identifiers are
/// longer, so one that consists of decimal digits only stays a string.
const MAX_NUMBER_DIGITS: usize = 15;

/// Parses an integer in canonical decimal form, without a sign or leading zeros.
fn parse_canonical_number(text: &str) -> Option<u64> {
    let number: u64 = text.parse().ok()?;
    let same = text.len() <= MAX_NUMBER_DIGITS && number.to_string() == text;
    same.then_some(number)
}
