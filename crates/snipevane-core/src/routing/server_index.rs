//! Index of the backend servers of one service, ordered by load.

use std::collections::BTreeSet;

use crate::ids::ServerKey;

/// Sort key of a server in its [`ServerIndex`].
///
/// Servers with the same load are used in round-robin order: the least recently picked one comes
/// first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Rank {
    /// Load relative to the server's capacity; see [`Server::score`](super::Server::score).
    pub(super) score: u32,
    /// Number of picks so far when the server was last picked or last regained a free slot.
    pub(super) pick_number: u64,
}

/// The servers of a service that have a free slot, least loaded first, and totals over all of its
/// servers.
#[derive(Clone, Debug, Default)]
pub(super) struct ServerIndex {
    ready: BTreeSet<(Rank, ServerKey)>,
    /// Total number of slots that requests may use, including those in use.
    pub(super) slots: u32,
    /// Total number of free slots.
    pub(super) free: u32,
    /// Number of servers that are neither leaving nor removed.
    pub(super) members: u32,
    /// Number of members that are ejected or suspect.
    pub(super) excluded: u32,
}

impl ServerIndex {
    /// Returns the least loaded server that has a free slot.
    pub(super) fn first(&self) -> Option<ServerKey> {
        self.ready.first().map(|&(_, server)| server)
    }

    /// Returns the least loaded server that has a free slot, other than `except`.
    pub(super) fn first_except(&self, except: ServerKey) -> Option<ServerKey> {
        self.ready
            .iter()
            .map(|&(_, server)| server)
            .find(|&server| server != except)
    }

    /// Adds a server with a free slot.
    pub(super) fn insert(&mut self, rank: Rank, server: ServerKey) {
        self.ready.insert((rank, server));
    }

    /// Removes the entry of a server, which must have been added with the same rank.
    pub(super) fn remove(&mut self, rank: Rank, server: ServerKey) {
        self.ready.remove(&(rank, server));
    }
}
