//! Settings of the daemon, validated as a whole before anything starts.

mod load;
mod resolved;
mod vm_memory;

pub use load::{load, parse};
pub use resolved::{PeerSeed, Settings, Timings};
