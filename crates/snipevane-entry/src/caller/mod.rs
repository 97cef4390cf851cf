//! Listener for callers and the load balancer's health checks.

mod listener;

pub(crate) use listener::serve_connection;
