//! Records events.

use std::fmt::{Display, Write};

use log::log;
use smol_str::SmolStr;

use super::EventKind;

/// Target of the log records.
const TARGET: &str = "snipevane";

/// An event as it was recorded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Recorded {
    /// Number of the kind.
    pub number: u16,
    /// Names and values of the fields.
    pub fields: Vec<(SmolStr, SmolStr)>,
}

/// Records events of one process.
#[derive(Debug, Default)]
pub struct Journal;

impl Journal {
    /// Records an event with its fields, in the order of the catalogue.
    pub fn record(&self, kind: &EventKind, values: &[&dyn Display]) {
        let mut line = format!("SV{} {}", kind.number, kind.text);
        for (name, value) in kind.fields.iter().zip(values) {
            // Writing to a string can't fail.
            let _ = write!(line, " {name}={value}");
        }
        log!(target: TARGET, kind.level, "{line}");
    }
}
