//! Requests waiting for a unit and a slot.

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
    /// Team that is charged; the null key for requests without a key in open queues.
    pub(crate) team: TeamKey,
    /// Service of the slot.
    pub(crate) service: ServiceKey,
    /// Slot of a backend server.
    pub(crate) slot: Slot,
    /// Unit of the team's limit, if it's held by this entry VM.
    pub(crate) unit: Option<Unit>,
    /// VM of the backend server.
    pub(crate) vm: SmolStr,
    /// Address of the backend server.
    pub(crate) address: SocketAddr,
    /// Time of the grant.
    pub(crate) granted_at: Instant,
}

/// A request in a fair queue.
#[derive(Debug)]
pub(crate) struct Waiter {
    /// Whether the request needs a unit here; for a forwarded request, the sender may hold one.
    pub(crate) needs_unit: bool,
    /// Channel on which the grant is sent to the request.
    pub(crate) tx: oneshot::Sender<GrantParts>,
}
