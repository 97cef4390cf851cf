//! Operators' queries for this process's time line.

use snipevane_core::clock::Clock;
use snipevane_core::timeline::Filter;
use snipevane_proto::operator::Events;

use crate::control::{Control, Platform};

impl<P: Platform, C: Clock> Control<P, C> {
    /// Returns the events that match a query, and the peers that are currently unreachable.
    pub(super) fn events(&self, query: &str) -> Events {
        let mut events = self.node.journal.select(&parse_filter(query));
        let state = self.node.state();
        let unreachable = state.peers.iter().filter(|(_, peer)| !peer.reachable);
        events.unreachable = unreachable.map(|(vm, _)| vm.to_string()).collect();
        events
    }
}

/// Parses a query such as `since_ms=1&team=ledger&vm=a`. Unknown parameters are ignored, and an
/// invalid `since_ms` counts as 0.
fn parse_filter(query: &str) -> Filter {
    let mut filter = Filter::default();
    for (name, value) in form_urlencoded::parse(query.as_bytes()) {
        match name.as_ref() {
            "since_ms" => filter.since_ms = value.parse().unwrap_or(0),
            "team" => filter.team = Some(value.as_ref().into()),
            "vm" => filter.vm = Some(value.as_ref().into()),
            _ => {}
        }
    }
    filter
}
