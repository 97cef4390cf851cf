//! VM list of the platform stand-in, whose changes become visible after a lag.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use snipevane_proto::platform::Vm;

/// Maximum number of earlier states kept.
const MAX_STATES: usize = 256;

/// History of the VM list.
#[derive(Debug)]
pub(crate) struct VmListHistory {
    states: VecDeque<(Instant, Vec<Vm>)>,
    oldest_vms: Vec<Vm>,
}

impl VmListHistory {
    /// Creates the history with the initial list, which applies before the first recorded change.
    pub(crate) fn new(vms: Vec<Vm>) -> Self {
        Self {
            states: VecDeque::new(),
            oldest_vms: vms,
        }
    }

    /// Sets the list as of `now`.
    pub(crate) fn set(&mut self, vms: Vec<Vm>, now: Instant) {
        self.states.push_back((now, vms));
        if self.states.len() > MAX_STATES
            && let Some((_, oldest)) = self.states.pop_front()
        {
            self.oldest_vms = oldest;
        }
    }

    /// Returns the list as it was `lag` before `now`, or the oldest one kept.
    pub(crate) fn at(&self, lag: Duration, now: Instant) -> &[Vm] {
        let is_visible = |at: Instant| now.saturating_duration_since(at) >= lag;
        let latest = self.states.iter().rev().find(|(at, _)| is_visible(*at));
        latest.map_or(&self.oldest_vms, |(_, vms)| vms)
    }
}
