//! Numbered events, written to the log and kept in a bounded in-memory ring buffer for the time
//! line.

pub mod kinds;
mod record;
mod setup;

pub use kinds::CATALOGUE;
pub use record::Journal;
pub use setup::init_log;
pub use snipevane_core::events::EventKind;
