//! Shares of the process's descriptors.

use rustix::process::{Resource, getrlimit};

use crate::settings::Settings;

/// Divisor of the descriptors that gives the share of what isn't a listener's connection: the
/// platform, backend servers, other entry VMs that are called, and files.
const OWN_SHARE: usize = 8;
/// Divisor of the descriptors that gives the largest share of other entry VMs' connections.
const PEERS_SHARE: usize = 4;
/// Divisor of the descriptors that gives the largest share of operators' connections.
const OPERATORS_SHARE: usize = 16;

/// Maximum numbers of connections of the listeners, such that descriptors are left for the rest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct MaxConnections {
    pub(super) callers: usize,
    pub(super) peers: usize,
    pub(super) operators: usize,
}

impl MaxConnections {
    /// Reduces the numbers in the settings to what the process's limit of open files allows.
    pub(super) fn new(settings: &Settings) -> Self {
        let all = getrlimit(Resource::Nofile).current;
        let all = all.map_or(usize::MAX, |all| usize::try_from(all).unwrap_or(usize::MAX));
        let peers = settings.max_peer_connections.min(all / PEERS_SHARE);
        let operators = settings.max_operator_connections.min(all / OPERATORS_SHARE);
        let left = all - all / OWN_SHARE - peers - operators;
        Self {
            callers: settings.max_connections.min(left),
            peers,
            operators,
        }
    }
}
