//! Settings of the daemon, validated as a whole before anything starts.

mod load;
mod resolved;

pub use load::{load, parse};
pub use resolved::{PeerSeed, Settings, Timings};
