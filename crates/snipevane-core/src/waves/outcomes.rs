//! What became of the VMs that a wave rebooted last.

use std::collections::VecDeque;

/// Number of rebooted VMs among which failures are counted.
const RECENT: usize = 32;

/// The outcomes of the latest reboots, failed or not.
#[derive(Clone, Debug, Default)]
pub(super) struct Outcomes {
    recent: VecDeque<bool>,
}

impl Outcomes {
    pub(super) fn record(&mut self, failed: bool) {
        if self.recent.len() == RECENT {
            self.recent.pop_front();
        }
        self.recent.push_back(failed);
    }

    pub(super) fn failures(&self) -> u32 {
        let failures = self.recent.iter().filter(|failed| **failed).count();
        u32::try_from(failures).unwrap_or(u32::MAX)
    }

    pub(super) fn clear(&mut self) {
        self.recent.clear();
    }
}
