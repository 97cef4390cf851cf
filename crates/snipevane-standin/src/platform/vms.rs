//! The lagging VM list of the platform's stand-in.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use snipevane_proto::platform::Vm;

/// States of the list kept.
const MAX_STATES: usize = 256;

/// The states of the VM list over time.
#[derive(Debug)]
pub(crate) struct VmListHistory {
    states: VecDeque<(Instant, Vec<Vm>)>,
    oldest_vms: Vec<Vm>,
}

impl VmListHistory {
    /// Creates the list with the VMs that were always there.
    pub(crate) fn new(vms: Vec<Vm>) -> Self {
        Self {
            states: VecDeque::new(),
            oldest_vms: vms,
        }
    }

    /// Sets the state from `now` on.
    pub(crate) fn set(&mut self, vms: Vec<Vm>, now: Instant) {
        self.states.push_back((now, vms));
        if self.states.len() > MAX_STATES
            && let Some((_, oldest)) = self.states.pop_front()
        {
            self.oldest_vms = oldest;
        }
    }

    /// Returns the state of `lag` ago.
    pub(crate) fn at(&self, lag: Duration, now: Instant) -> &[Vm] {
        let is_visible = |at: Instant| now.saturating_duration_since(at) >= lag;
        let latest = self.states.iter().rev().find(|(at, _)| is_visible(*at));
        latest.map_or(&self.oldest_vms, |(_, vms)| vms)
    }
}
