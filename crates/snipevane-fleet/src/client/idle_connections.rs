//! Pool of idle connections.

use std::cell::RefCell;
use std::net::SocketAddr;

use rustc_hash::FxHashMap;

use super::connection::Connection;

/// Maximum number of idle connections kept for each address.
const MAX_IDLE_PER_ADDRESS: usize = 4;

/// Idle connections by address.
#[derive(Default)]
pub(super) struct IdleConnections {
    connections: RefCell<FxHashMap<SocketAddr, Vec<Connection>>>,
}

impl IdleConnections {
    /// Takes the connection that was opened first, which the peer may have closed.
    pub(super) fn take(&self, address: SocketAddr) -> Option<Connection> {
        let mut connections = self.connections.borrow_mut();
        let idle = connections.get_mut(&address)?;
        let ages = idle.iter().enumerate();
        let (oldest, _) = ages.min_by_key(|(_, connection)| connection.opened_at)?;
        Some(idle.swap_remove(oldest))
    }

    /// Keeps a connection, unless it is closed or enough are kept.
    pub(super) fn keep(&self, address: SocketAddr, connection: Connection) {
        if connection.sender.is_closed() {
            return;
        }
        let mut connections = self.connections.borrow_mut();
        let idle = connections.entry(address).or_default();
        if idle.len() < MAX_IDLE_PER_ADDRESS {
            idle.push(connection);
        }
    }

    /// Closes all connections to an address.
    pub(super) fn close(&self, address: SocketAddr) {
        self.connections.borrow_mut().remove(&address);
    }

    /// Closes all connections.
    pub(super) fn close_all(&self) {
        self.connections.borrow_mut().clear();
    }
}
