//! The backend servers of one service, ordered by load.

use std::collections::BTreeSet;

use crate::ids::ServerKey;

/// Position of a server in its lane.
///
/// Servers of the same load take turns: the one that was picked longest ago comes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Rank {
    /// Relative load.
    pub(super) score: u32,
    /// Number of the pick that last took the server.
    pub(super) pick_number: u64,
}

/// Servers of a service that have a free slot, least loaded first.
#[derive(Clone, Debug, Default)]
pub(super) struct ServerIndex {
    ready: BTreeSet<(Rank, ServerKey)>,
    /// Sum of the slots that requests may use, taken ones included.
    pub(super) slots: u32,
    /// Sum of the free slots.
    pub(super) free: u32,
    /// Servers that neither leave nor are removed.
    pub(super) members: u32,
    /// Members that are ejected or doubted.
    pub(super) excluded: u32,
}

impl ServerIndex {
    /// Returns the least loaded server that has a free slot.
    pub(super) fn first(&self) -> Option<ServerKey> {
        self.ready.first().map(|&(_, server)| server)
    }

    /// Returns the least loaded server that has a free slot, leaving one server out.
    pub(super) fn first_except(&self, except: ServerKey) -> Option<ServerKey> {
        self.ready
            .iter()
            .map(|&(_, server)| server)
            .find(|&server| server != except)
    }

    /// Adds a server.
    pub(super) fn insert(&mut self, rank: Rank, server: ServerKey) {
        self.ready.insert((rank, server));
    }

    /// Removes a server.
    pub(super) fn remove(&mut self, rank: Rank, server: ServerKey) {
        self.ready.remove(&(rank, server));
    }
}
