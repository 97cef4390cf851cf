//! Requests that wait for a unit and a slot.

use std::net::SocketAddr;
use std::time::Instant;

use smol_str::SmolStr;
use snipevane_core::ids::{ServiceKey, TeamKey};
use snipevane_core::limits::Unit;
use snipevane_core::routing::Slot;
use tokio::sync::oneshot;

/// A unit and a slot, granted together.
#[derive(Debug)]
pub(crate) struct GrantParts {
    /// Team that is charged; the null key for open queues.
    pub(crate) team: TeamKey,
    /// Service of the slot.
    pub(crate) service: ServiceKey,
    /// Slot of a backend server.
    pub(crate) slot: Slot,
    /// Unit of the team's limit, if this entry VM holds it.
    pub(crate) unit: Option<Unit>,
    /// VM of the backend server.
    pub(crate) vm: SmolStr,
    /// Address of the backend server.
    pub(crate) address: SocketAddr,
    /// Time of the grant.
    pub(crate) granted_at: Instant,
}

/// A request in a share queue.
#[derive(Debug)]
pub(crate) struct Waiter {
    /// Whether a unit is needed; a forwarded request's sender may hold one.
    pub(crate) needs_unit: bool,
    /// Gets the grant.
    pub(crate) tx: oneshot::Sender<GrantParts>,
}
