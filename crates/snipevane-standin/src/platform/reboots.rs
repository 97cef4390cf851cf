//! Simulated VM reboots of the platform stand-in.

use std::collections::BTreeMap;

use snipevane_proto::platform::{RebootEntry, RebootRequest, RebootState};

/// Duration of a reboot, in microseconds.
const REBOOT_US: u64 = 150_000;

/// Reboots of VMs, at most one for each VM and operation.
#[derive(Debug, Default)]
pub(crate) struct Reboots {
    started: BTreeMap<(String, u64), u64>,
}

impl Reboots {
    /// Starts a reboot unless the operation has already started it.
    ///
    /// Returns whether the reboot has finished.
    pub(crate) fn start_or_poll(&mut self, req: RebootRequest, now_us: u64) -> RebootState {
        let start_us = *self
            .started
            .entry((req.id, req.operation))
            .or_insert(now_us);
        RebootState {
            booted: now_us.saturating_sub(start_us) >= REBOOT_US,
        }
    }

    /// Returns the reboots in the order in which they started.
    pub(crate) fn entries(&self) -> Vec<RebootEntry> {
        let mut entries: Vec<RebootEntry> = self
            .started
            .iter()
            .map(|((id, operation), start_us)| RebootEntry {
                id: id.clone(),
                operation: *operation,
                start_us: *start_us,
            })
            .collect();
        entries.sort_by_key(|entry| entry.start_us);
        entries
    }
}
