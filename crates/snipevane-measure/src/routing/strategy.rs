//! Routing strategies in which each slot is owned by one entry VM.

use std::time::Duration;

use super::entry_vm::SlotOwnership;

/// When peers receive load reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReportMode {
    /// Every 100 ms.
    Periodic,
    /// Every 100 ms, and to all peers as soon as a slot becomes idle.
    Broadcast,
    /// Every second; in addition, a peer that requested slots gets a load report as soon as a slot
    /// becomes idle, and responses to forwarded requests carry the load.
    OnDemand,
}

impl ReportMode {
    /// Returns the time between two periodic load reports.
    pub(super) fn report_interval(self) -> Duration {
        match self {
            Self::Periodic | Self::Broadcast => Duration::from_millis(100),
            Self::OnDemand => Duration::from_secs(1),
        }
    }
}

/// Routing strategy in which each slot is owned by one entry VM.
#[derive(Clone, Copy, Debug)]
pub(super) struct Strategy {
    /// Name in the output, as the design page of routing has it.
    pub(super) name: &'static str,
    pub(super) ownership: SlotOwnership,
    pub(super) report_mode: ReportMode,
    /// Whether a request is forwarded to wait at a peer if the wait there is shorter.
    pub(super) balances_waits: bool,
}

/// All strategies with owned slots that are compared.
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
