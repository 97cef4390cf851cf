//! Numbered events: the log and, for the time line, a bounded ring in memory.

pub mod kinds;
mod record;
mod setup;

pub use kinds::CATALOGUE;
pub use record::Journal;
pub use setup::init_log;
pub use snipevane_core::events::EventKind;
