//! Limits of what the clients of each listener can take.

mod answers;
mod body;
mod descriptors;
mod gates;
mod incidents;
mod observer;
mod unread_answer;

pub(crate) use answers::Answers;
pub(crate) use body::{discard_body, read_body};
pub(crate) use gates::Gates;
pub(crate) use incidents::Incidents;
pub(crate) use observer::Counter;

/// Connection of a client of a listener.
pub(crate) type Client = snipevane_listeners::Connection<Counter>;
