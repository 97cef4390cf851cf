//! Settings of the entry VM daemon.

pub use crate::generated::entry_settings::{
    CallerLimits, EntrySettings, LogLevel, OperatorLimits, PeerLimits, PeerSettings, Timings,
};

/// JSON schema of the settings of the entry VM daemon.
pub const ENTRY_SCHEMA: &str = include_str!("../schemas/entry-settings.schema.json");
