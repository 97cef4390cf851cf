//! Exchanges with backend servers and peers over kept connections.

mod pool;

pub(crate) use pool::{BufferedResponse, ConnectionPool, ExchangeError, PoolSettings};
