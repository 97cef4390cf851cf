//! HTTP client for backend servers and peers, with pooled connections.

mod pool;

pub(crate) use pool::{BufferedResponse, ConnectionPool, ExchangeError, PoolSettings};
