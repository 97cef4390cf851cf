//! Listeners of the process, each with its share of the VM's memory and descriptors.

mod recorder;
mod shares;

pub use recorder::Recorder;
pub use shares::Shares;

/// Gate of a listener of this process.
pub(crate) type Gate = snipevane_listeners::Gate<Recorder>;

/// Connection to a listener of this process.
pub(crate) type Connection = snipevane_listeners::Connection<Recorder>;
