//! Limits of what the clients of a listener can take from a process, whatever they send.
//!
//! A [`Gate`] accepts the connections of a listener. It bounds their number, the memory of the kernel for each,
//! and the memory of all bodies together. Where something is used up, the connection that has waited longest
//! without an end is closed: one that is idle, or whose head or body isn't complete. A connection whose request is
//! being handled is never closed for another one.
//!
//! What a process does with a connection stays its own: it drops the connection once [`Connection::closed`]
//! completes, and reads bodies with [`Connection::read_body`].

mod body;
mod connection;
mod gate;
mod incident;
mod limits;
mod table;

pub use body::{Body, BodyError};
pub use connection::Connection;
pub use gate::Gate;
pub use incident::{Incident, Observer};
pub use limits::Limits;
