//! Recorded events, and a filter for them.

use std::fmt;

use smol_str::SmolStr;
use snipevane_proto::operator::{Event, ProcessId};

use crate::timeline::Hlc;

/// Name of the field that contains a team.
const TEAM_FIELD: &str = "team";
/// Names of the fields that contain a VM.
const VM_FIELDS: [&str; 3] = ["vm", "peer", "server"];

/// Level of an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Level {
    /// A guarantee is at risk; an operator must act.
    Error,
    /// Something failed and is handled; an operator should take a look.
    Warn,
    /// A change in normal operation.
    Info,
    /// A detail for debugging.
    Debug,
}

impl Level {
    /// Returns the level's name.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Error => "error",
            Self::Warn => "warn",
            Self::Info => "info",
            Self::Debug => "debug",
        }
    }
}

impl fmt::Display for Level {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// A field of an event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Field {
    /// Name of the field in the catalogue.
    pub name: SmolStr,
    /// Value as text.
    pub value: SmolStr,
}

impl Field {
    /// Creates a field.
    pub fn new(name: impl Into<SmolStr>, value: impl Into<SmolStr>) -> Self {
        Self {
            name: name.into(),
            value: value.into(),
        }
    }
}

/// A recorded event of a kind in the catalogue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Time of the event.
    pub at: Hlc,
    /// Number in the catalogue.
    pub number: u16,
    /// Level of the event.
    pub level: Level,
    /// Text in the catalogue.
    pub text: SmolStr,
    /// Fields of the event.
    pub fields: Vec<Field>,
}

impl Record {
    /// Returns the event as it is sent to operators.
    pub fn to_event(&self, process: &ProcessId) -> Event {
        let fields = self
            .fields
            .iter()
            .map(|field| (field.name.to_string(), field.value.to_string()))
            .collect();
        Event {
            number: self.number,
            level: self.level.as_str().to_owned(),
            text: self.text.to_string(),
            wall_ms: self.at.wall_ms,
            logical: self.at.logical,
            process: process.clone(),
            fields,
        }
    }

    fn has_field(&self, name: &str, value: &str) -> bool {
        self.fields
            .iter()
            .any(|field| field.name == name && field.value == value)
    }
}

/// Filter for events; the default matches all events.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Filter {
    /// Lowest physical part of the time, in milliseconds since the Unix epoch.
    pub since_ms: u64,
    /// Team that the event must concern.
    pub team: Option<SmolStr>,
    /// VM that must have recorded the event or that the event must concern.
    pub vm: Option<SmolStr>,
}

impl Filter {
    /// Returns whether an event matches that a process on the VM `own_vm` recorded.
    pub fn matches(&self, record: &Record, own_vm: &str) -> bool {
        if record.at.wall_ms < self.since_ms {
            return false;
        }
        if let Some(team) = &self.team
            && !record.has_field(TEAM_FIELD, team)
        {
            return false;
        }
        match &self.vm {
            Some(vm) => vm == own_vm || VM_FIELDS.iter().any(|name| record.has_field(name, vm)),
            None => true,
        }
    }
}
