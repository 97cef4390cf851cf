//! What a gate tells its process.

use std::io;

/// Something that a client's limits made happen, or that went wrong with a listener.
#[derive(Debug)]
pub enum Incident {
    /// A connection that waited was closed for a new one.
    ConnectionDisplaced,
    /// A new connection was closed, as a request is being handled on each of the others.
    ConnectionRefused,
    /// A connection whose body wasn't complete was closed for the body of another one.
    BodyDisplaced,
    /// A body was refused, as the memory for bodies is used up and none has waited for longer.
    BodyRefused,
    /// A body was refused, as it wasn't complete in time.
    BodyLate,
    /// A connection couldn't be accepted; the next one is tried after a pause.
    AcceptFailed(io::Error),
    /// The system doesn't set the size of a socket's buffers.
    BufferUnset(io::Error),
}

impl Incident {
    /// Returns a name for metrics and logs.
    pub fn name(&self) -> &'static str {
        match self {
            Self::ConnectionDisplaced => "connection_displaced",
            Self::ConnectionRefused => "connection_refused",
            Self::BodyDisplaced => "body_displaced",
            Self::BodyRefused => "body_refused",
            Self::BodyLate => "body_late",
            Self::AcceptFailed(_) => "accept_failed",
            Self::BufferUnset(_) => "buffer_unset",
        }
    }
}

/// Records incidents.
pub trait Observer {
    /// Records an incident at the listener with this name.
    fn record(&self, listener: &'static str, incident: &Incident);
}
