//! Listener for callers and the load balancer's health checks.

mod head_timeout_io;
mod head_timer;
mod listener;

pub(crate) use listener::serve_connection;
