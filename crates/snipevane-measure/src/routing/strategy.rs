//! Ways of routing with owned slots.

use std::time::Duration;

use super::entry_vm::SlotOwnership;

/// How peers learn of free slots.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReportMode {
    /// By regular notices every 100 ms.
    Periodic,
    /// Besides, all peers hear at once of a slot that becomes idle.
    Broadcast,
    /// By regular notices every second; a peer that wants a slot hears at once of an idle one, and
    /// answers to forwarded requests carry the load.
    OnDemand,
}

impl ReportMode {
    /// Returns the time between two regular notices.
    pub(super) fn report_interval(self) -> Duration {
        match self {
            Self::Periodic | Self::Broadcast => Duration::from_millis(100),
            Self::OnDemand => Duration::from_secs(1),
        }
    }
}

/// A way of routing with owned slots.
#[derive(Clone, Copy, Debug)]
pub(super) struct Strategy {
    pub(super) name: &'static str,
    pub(super) ownership: SlotOwnership,
    pub(super) report_mode: ReportMode,
    /// Whether a request also goes to a peer to wait there, if it would wait less.
    pub(super) balances_waits: bool,
}

/// All ways that are compared.
pub(super) const OWNED_SLOT_STRATEGIES: [Strategy; 5] = [
    Strategy {
        name: "dealt",
        ownership: SlotOwnership::AllEntryVms,
        report_mode: ReportMode::Periodic,
        balances_waits: false,
    },
    Strategy {
        name: "dealt, broadcast",
        ownership: SlotOwnership::AllEntryVms,
        report_mode: ReportMode::Broadcast,
        balances_waits: false,
    },
    Strategy {
        name: "dealt, br., waits",
        ownership: SlotOwnership::AllEntryVms,
        report_mode: ReportMode::Broadcast,
        balances_waits: true,
    },
    Strategy {
        name: "dealt, on demand",
        ownership: SlotOwnership::AllEntryVms,
        report_mode: ReportMode::OnDemand,
        balances_waits: true,
    },
    Strategy {
        name: "home",
        ownership: SlotOwnership::OneEntryVm,
        report_mode: ReportMode::Periodic,
        balances_waits: false,
    },
];
