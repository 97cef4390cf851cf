//! The listener for callers and the balancer.

mod listener;

pub(crate) use listener::serve_connection;
