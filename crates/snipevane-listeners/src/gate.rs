//! Accepts the connections of a listener.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use parking_lot::Mutex;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::sleep;

use crate::connection::Connection;
use crate::incident::{Incident, Observer};
use crate::limits::Limits;
use crate::table::{Room, Table};

/// Accepts the connections of a listener within its limits.
#[derive(Debug)]
pub struct Gate<O> {
    name: &'static str,
    limits: Limits,
    observer: O,
    pub(crate) table: Mutex<Table>,
}

impl<O: Observer> Gate<O> {
    /// Creates the gate of a listener; `name` is that of the listener in incidents.
    pub fn new(name: &'static str, limits: Limits, observer: O) -> Arc<Self> {
        Arc::new(Self {
            name,
            limits,
            observer,
            table: Mutex::default(),
        })
    }

    /// Returns the limits of the listener.
    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Binds the listener. Its connections get the sizes of its buffers.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub fn bind(&self, address: SocketAddr) -> io::Result<TcpListener> {
        let socket = match address {
            SocketAddr::V4(_) => TcpSocket::new_v4()?,
            SocketAddr::V6(_) => TcpSocket::new_v6()?,
        };
        socket.set_reuseaddr(true)?;
        // The number of connections bounds their memory also where the system keeps its own sizes.
        if let Err(error) = self.set_buffers(&socket) {
            self.record(Incident::BufferUnset(error));
        }
        socket.bind(address)?;
        socket.listen(self.limits.backlog)
    }

    fn set_buffers(&self, socket: &TcpSocket) -> io::Result<()> {
        let size = |bytes: usize| u32::try_from(bytes).unwrap_or(u32::MAX);
        socket.set_recv_buffer_size(size(self.limits.receive_buffer_bytes))?;
        match self.limits.send_buffer_bytes {
            Some(bytes) => socket.set_send_buffer_size(size(bytes)),
            None => Ok(()),
        }
    }

    /// Waits for the next connection and makes room for it, if the head of a request has up to `max_head_bytes`.
    ///
    /// Pauses after a failure: without free descriptors the next attempt would fail at once.
    pub async fn accept(
        self: &Arc<Self>,
        listener: &TcpListener,
        max_head_bytes: impl Fn() -> usize,
    ) -> (TcpStream, Arc<Connection<O>>) {
        loop {
            let stream = match listener.accept().await {
                Ok((stream, _)) => stream,
                Err(error) => {
                    self.record(Incident::AcceptFailed(error));
                    sleep(self.limits.accept_retry_delay).await;
                    continue;
                }
            };
            if let Some(connection) = self.admit(max_head_bytes()) {
                return (stream, connection);
            }
        }
    }

    /// Makes room for a connection; returns `None` if a request is being handled on each of the others.
    fn admit(self: &Arc<Self>, max_head_bytes: usize) -> Option<Arc<Connection<O>>> {
        let max_open = self.limits.connections(max_head_bytes);
        let room = self.table.lock().make_room(max_open);
        match room {
            Room::Free => {}
            Room::Made(count) => {
                (0..count).for_each(|_| self.record(Incident::ConnectionDisplaced));
            }
            Room::None => {
                self.record(Incident::ConnectionRefused);
                return None;
            }
        }
        Some(Arc::new(Connection::new(self.clone())))
    }

    pub(crate) fn record(&self, incident: Incident) {
        self.observer.record(self.name, &incident);
    }
}
