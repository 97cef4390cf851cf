//! An open connection of a listener.

use std::sync::Arc;

use tokio::sync::Notify;

use crate::gate::Gate;
use crate::table::ConnectionKey;

/// Place of an open connection, which is free again once this is dropped.
#[derive(Debug)]
pub struct Connection<O> {
    pub(crate) gate: Arc<Gate<O>>,
    pub(crate) key: ConnectionKey,
    closed: Arc<Notify>,
}

impl<O> Connection<O> {
    pub(crate) fn new(gate: Arc<Gate<O>>) -> Self {
        let closed = Arc::new(Notify::new());
        let key = gate.table.lock().insert(closed.clone());
        Self { gate, key, closed }
    }

    /// Completes once the connection is to be closed for another one. No request is being handled then.
    pub async fn closed(&self) {
        self.closed.notified().await;
    }

    /// Notes that the head of a request was read.
    pub fn on_request(&self) {
        self.gate.table.lock().handle(self.key);
    }

    /// Notes that the answer to a request is ready.
    pub fn on_response(&self) {
        self.gate.table.lock().wait(self.key);
    }
}

impl<O> Drop for Connection<O> {
    fn drop(&mut self) {
        self.gate.table.lock().remove(self.key);
    }
}
