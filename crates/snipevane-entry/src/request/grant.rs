//! Guards for a unit of a team's limit and a slot, held until the request can no longer run.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use smol_str::SmolStr;
use snipevane_core::clock::Clock;
use snipevane_core::limits::Unit;
use snipevane_core::routing::RequestOutcome;

use crate::node::Node;
use crate::state::GrantParts;

/// Guard for a granted unit and slot; dropping it releases both.
pub(crate) struct Grant<C: Clock> {
    node: Arc<Node<C>>,
    parts: Option<GrantParts>,
    outcome: RequestOutcome,
}

impl<C: Clock> Grant<C> {
    /// Wraps what was granted, with the request counted as abandoned until an outcome is set.
    pub(crate) fn new(node: Arc<Node<C>>, parts: GrantParts) -> Self {
        Self {
            node,
            parts: Some(parts),
            outcome: RequestOutcome::Abandoned,
        }
    }

    /// Returns the name of the backend server's VM.
    pub(crate) fn vm(&self) -> SmolStr {
        self.parts
            .as_ref()
            .map(|parts| parts.vm.clone())
            .unwrap_or_default()
    }

    /// Returns the address of the backend server.
    pub(crate) fn address(&self) -> Option<SocketAddr> {
        self.parts.as_ref().map(|parts| parts.address)
    }

    /// Sets the outcome of the exchange, which is reported when the slot is released.
    pub(crate) fn set_outcome(&mut self, outcome: RequestOutcome) {
        self.outcome = outcome;
    }

    /// Holds the unit and the slot until `until`, when a request that may still run has ended.
    pub(crate) fn hold_until(self, until: Instant) {
        let wait = until.saturating_duration_since(self.node.now());
        tokio::spawn(async move {
            tokio::time::sleep(wait).await;
            drop(self);
        });
    }
}

impl<C: Clock> Drop for Grant<C> {
    fn drop(&mut self) {
        let Some(parts) = self.parts.take() else {
            return;
        };
        let now = self.node.now();
        self.node.state().release_grant(parts, self.outcome, now);
        self.node.dispatch();
    }
}

/// Guard for the unit of a request that runs at a peer; dropping it releases the unit.
pub(crate) struct UnitGuard<C: Clock> {
    node: Arc<Node<C>>,
    unit: Option<Unit>,
}

impl<C: Clock> UnitGuard<C> {
    /// Wraps an acquired unit.
    pub(crate) fn new(node: Arc<Node<C>>, unit: Unit) -> Self {
        Self {
            node,
            unit: Some(unit),
        }
    }

    /// Holds the unit until `until`, when a request that may still run has ended.
    pub(crate) fn hold_until(self, until: Instant) {
        let wait = until.saturating_duration_since(self.node.now());
        tokio::spawn(async move {
            tokio::time::sleep(wait).await;
            drop(self);
        });
    }
}

impl<C: Clock> Drop for UnitGuard<C> {
    fn drop(&mut self) {
        if let Some(unit) = self.unit.take() {
            self.node.state().limits.release(unit);
            self.node.dispatch();
        }
    }
}
