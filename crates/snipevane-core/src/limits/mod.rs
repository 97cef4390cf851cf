//! Upper limits of teams: units of an entry VM, and how a changed deal comes into force.

mod deals;
mod history;
mod settlement;
mod units;

pub use deals::VersionDeal;
pub use settlement::Settlement;
pub use units::{Limits, Unit};
