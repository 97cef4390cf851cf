//! HTTP API for operators: configuration, keys, pools, status, events and metrics.

mod apply;
mod events;
mod keys;
mod listener;
mod pools;
mod reply;
mod status;

pub(crate) use listener::serve_connection;
