//! Listeners of the process, each with its share of the VM's memory and descriptors.

mod recorder;
mod serving;
mod shares;

pub use recorder::Recorder;
pub(crate) use serving::serve_until_closed;
pub use shares::Shares;

/// Gate of a listener of this process.
pub(crate) type Gate = snipevane_listeners::Gate<Recorder>;

/// Connection to a listener of this process.
pub(crate) type Connection = snipevane_listeners::Connection<Recorder>;
