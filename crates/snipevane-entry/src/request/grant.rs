//! A unit and a slot, held until a request has surely ended.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use smol_str::SmolStr;
use snipevane_core::clock::Clock;
use snipevane_core::limits::Unit;
use snipevane_core::routing::RequestOutcome;

use crate::node::Node;
use crate::state::GrantParts;

/// A granted unit and slot; dropping it gives both back.
pub(crate) struct Grant<C: Clock> {
    node: Arc<Node<C>>,
    parts: Option<GrantParts>,
    outcome: RequestOutcome,
}

impl<C: Clock> Grant<C> {
    /// Takes charge of what was granted.
    pub(crate) fn new(node: Arc<Node<C>>, parts: GrantParts) -> Self {
        Self {
            node,
            parts: Some(parts),
            outcome: RequestOutcome::Abandoned,
        }
    }

    /// Returns the VM of the backend server.
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

    /// Sets what was seen of the exchange, for when the slot is given back.
    pub(crate) fn set_outcome(&mut self, outcome: RequestOutcome) {
        self.outcome = outcome;
    }

    /// Keeps unit and slot until a request that may still run has surely ended.
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
        self.node.state().give_back(parts, self.outcome, now);
        self.node.dispatch();
    }
}

/// A unit that is held for a request which runs at a peer; dropping it gives it back.
pub(crate) struct UnitGuard<C: Clock> {
    node: Arc<Node<C>>,
    unit: Option<Unit>,
}

impl<C: Clock> UnitGuard<C> {
    /// Takes charge of a unit.
    pub(crate) fn new(node: Arc<Node<C>>, unit: Unit) -> Self {
        Self {
            node,
            unit: Some(unit),
        }
    }

    /// Keeps the unit until a request that may still run has surely ended.
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
