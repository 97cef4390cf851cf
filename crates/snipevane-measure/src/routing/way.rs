//! Ways of routing with owned slots.

use std::time::Duration;

use super::entry_vm::Ownership;

/// How peers learn of free slots.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Notify {
    /// By regular notices every 100 ms.
    Regular,
    /// Besides, all peers hear at once of a slot that becomes idle.
    Broadcast,
    /// By regular notices every second; a peer that wants a slot hears at once of an idle one, and
    /// answers to forwarded requests carry the load.
    OnDemand,
}

impl Notify {
    /// Returns the time between two regular notices.
    pub(super) fn every(self) -> Duration {
        match self {
            Self::Regular | Self::Broadcast => Duration::from_millis(100),
            Self::OnDemand => Duration::from_secs(1),
        }
    }
}

/// A way of routing with owned slots.
#[derive(Clone, Copy, Debug)]
pub(super) struct Way {
    pub(super) name: &'static str,
    pub(super) ownership: Ownership,
    pub(super) notify: Notify,
    /// Whether a request also goes to a peer to wait there, if it would wait less.
    pub(super) balances_waits: bool,
}

/// All ways that are compared.
pub(super) const OWNED_WAYS: [Way; 5] = [
    Way {
        name: "dealt",
        ownership: Ownership::Dealt,
        notify: Notify::Regular,
        balances_waits: false,
    },
    Way {
        name: "dealt, broadcast",
        ownership: Ownership::Dealt,
        notify: Notify::Broadcast,
        balances_waits: false,
    },
    Way {
        name: "dealt, br., waits",
        ownership: Ownership::Dealt,
        notify: Notify::Broadcast,
        balances_waits: true,
    },
    Way {
        name: "dealt, on demand",
        ownership: Ownership::Dealt,
        notify: Notify::OnDemand,
        balances_waits: true,
    },
    Way {
        name: "home",
        ownership: Ownership::Home,
        notify: Notify::Regular,
        balances_waits: false,
    },
];
