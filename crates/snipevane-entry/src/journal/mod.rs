//! Numbered events: the log and, for the time line, a bounded ring in memory.

mod catalogue;
mod record;
mod setup;

pub use catalogue::{CATALOGUE, EventKind};
pub use record::{Journal, Recorded};
pub use setup::init_log;

pub(crate) use catalogue as kinds;
