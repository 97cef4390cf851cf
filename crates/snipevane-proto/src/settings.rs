//! Settings of the daemons.

pub use crate::generated::entry_settings::{
    CallerLimits, EntrySettings, LogLevel, PeerSettings, Timings,
};

/// Schema of the entry VM's settings.
pub const ENTRY_SCHEMA: &str = include_str!("../schemas/entry-settings.schema.json");
