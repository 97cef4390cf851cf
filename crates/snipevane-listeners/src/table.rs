//! The open connections of a listener, and what each waits for.

use std::sync::Arc;

use slotmap::{SlotMap, new_key_type};
use tokio::sync::Notify;

new_key_type! {
    /// Key of a connection in a [`Table`].
    pub(crate) struct ConnectionKey;
}

/// What a connection does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Waits for a head, or for a client that reads an answer.
    Waiting,
    /// Waits for the rest of a body.
    Body,
    /// A request is being handled.
    Handling,
    /// Is being closed.
    Closing,
}

#[derive(Debug)]
struct Entry {
    phase: Phase,
    /// Turn in which the connection began to wait; earlier ones have waited for longer.
    since: u64,
    /// Memory of the body, in bytes.
    body_bytes: usize,
    closed: Arc<Notify>,
}

/// Outcome of a request for room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Room {
    /// There is room.
    Free,
    /// There is room, as this many connections are closed.
    Made(usize),
    /// There is none.
    None,
}

/// Open connections of a listener. Those that are being closed no longer count.
#[derive(Debug, Default)]
pub(crate) struct Table {
    entries: SlotMap<ConnectionKey, Entry>,
    next_turn: u64,
    open: usize,
    body_bytes: usize,
}

impl Table {
    /// Makes room for a connection, so that there are `max_open` with it.
    pub(crate) fn make_room(&mut self, max_open: usize) -> Room {
        let mut displaced = 0;
        while self.open >= max_open {
            let waits = |entry: &Entry| matches!(entry.phase, Phase::Waiting | Phase::Body);
            let Some(key) = self.longest_waiting(waits) else {
                return Room::None;
            };
            self.close(key);
            displaced += 1;
        }
        match displaced {
            0 => Room::Free,
            count => Room::Made(count),
        }
    }

    /// Adds a connection that waits for its first head.
    pub(crate) fn insert(&mut self, closed: Arc<Notify>) -> ConnectionKey {
        self.open += 1;
        let since = self.take_turn();
        self.entries.insert(Entry {
            phase: Phase::Waiting,
            since,
            body_bytes: 0,
            closed,
        })
    }

    /// Removes a connection.
    pub(crate) fn remove(&mut self, key: ConnectionKey) {
        let Some(entry) = self.entries.remove(key) else {
            return;
        };
        if entry.phase != Phase::Closing {
            self.open -= 1;
            self.body_bytes -= entry.body_bytes;
        }
    }

    /// Notes that a head was read.
    pub(crate) fn handle(&mut self, key: ConnectionKey) {
        self.set_phase(key, Phase::Handling);
    }

    /// Notes that a body is awaited.
    pub(crate) fn await_body(&mut self, key: ConnectionKey) {
        self.set_phase(key, Phase::Body);
    }

    /// Notes that an answer is ready, and that the next head is awaited.
    pub(crate) fn wait(&mut self, key: ConnectionKey) {
        self.set_phase(key, Phase::Waiting);
    }

    /// Returns whether a connection is being closed.
    pub(crate) fn is_closing(&self, key: ConnectionKey) -> bool {
        self.entries
            .get(key)
            .is_none_or(|entry| entry.phase == Phase::Closing)
    }

    /// Gives a body `bytes` more, so that all have `max_bytes` at most; one alone may have more.
    ///
    /// There is no room if the body itself has waited longest.
    pub(crate) fn hold(&mut self, key: ConnectionKey, bytes: usize, max_bytes: usize) -> Room {
        let mut displaced = 0;
        while self.body_bytes + bytes > max_bytes && !self.is_alone(key) {
            let holds = |entry: &Entry| entry.phase == Phase::Body && entry.body_bytes > 0;
            match self.longest_waiting(holds) {
                Some(other) if other != key => self.close(other),
                _ => return Room::None,
            }
            displaced += 1;
        }
        let Some(entry) = self.entries.get_mut(key) else {
            return Room::None;
        };
        if entry.phase == Phase::Closing {
            return Room::None;
        }
        entry.body_bytes += bytes;
        self.body_bytes += bytes;
        match displaced {
            0 => Room::Free,
            count => Room::Made(count),
        }
    }

    /// Returns whether no body but this one holds anything.
    fn is_alone(&self, key: ConnectionKey) -> bool {
        let own_bytes = self.entries.get(key).map_or(0, |entry| entry.body_bytes);
        own_bytes == self.body_bytes
    }

    /// Takes back what a body holds.
    pub(crate) fn release(&mut self, key: ConnectionKey) {
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        self.body_bytes -= std::mem::take(&mut entry.body_bytes);
    }

    fn set_phase(&mut self, key: ConnectionKey, phase: Phase) {
        let since = self.take_turn();
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        if entry.phase != Phase::Closing {
            entry.phase = phase;
            entry.since = since;
        }
    }

    fn take_turn(&mut self) -> u64 {
        self.next_turn += 1;
        self.next_turn
    }

    /// Returns the connection that has waited longest, of those that `qualifies` accepts.
    fn longest_waiting(&self, qualifies: impl Fn(&Entry) -> bool) -> Option<ConnectionKey> {
        let entries = self.entries.iter();
        let waiting = entries.filter(|(_, entry)| qualifies(entry));
        waiting
            .min_by_key(|(_, entry)| entry.since)
            .map(|(key, _)| key)
    }

    /// Closes a connection; what it holds counts as free at once.
    fn close(&mut self, key: ConnectionKey) {
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        entry.phase = Phase::Closing;
        entry.closed.notify_one();
        self.open -= 1;
        self.body_bytes -= std::mem::take(&mut entry.body_bytes);
    }
}
