//! Scenarios of a simulation and their faults.

use std::time::Duration;

use super::layout::ENTRY_VMS;

/// Delay until the load balancer sends no more requests to a lost entry VM.
const BALANCER_DETECTION_DELAY: Duration = Duration::from_secs(1);
/// Delay until the platform's list drops a lost entry VM and all of its requests have ended.
const TAKEOVER_DELAY: Duration = Duration::from_secs(10);

/// Demand and faults of a simulation.
#[derive(Clone, Copy, Debug)]
pub(super) struct Scenario {
    pub(super) name: &'static str,
    /// Demand during a burst, as a multiple of the capacity of the service's slots.
    pub(super) burst_load: f64,
    /// Backend server that fails every request.
    pub(super) failing_server: Option<usize>,
    /// Entry VM that is lost, and the time of the loss.
    pub(super) lost_entry_vm: Option<(usize, Duration)>,
}

/// Destination that the load balancer chooses for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BalancerTarget {
    /// A running entry VM.
    To(usize),
    /// The lost entry VM, where the request fails.
    Lost,
}

impl Scenario {
    /// Returns whether an entry VM is lost at a time.
    pub(super) fn is_lost(&self, entry_vm: usize, now: Duration) -> bool {
        self.lost_entry_vm
            .is_some_and(|(lost_entry_vm, at)| lost_entry_vm == entry_vm && now >= at)
    }

    /// Returns the lost entry VM and the time at which a peer takes over, if one is lost.
    pub(super) fn takeover(&self) -> Option<(usize, Duration)> {
        self.lost_entry_vm
            .map(|(lost_entry_vm, at)| (lost_entry_vm, at + TAKEOVER_DELAY))
    }

    /// Returns where the load balancer sends a request that is assigned to `entry_vm`.
    pub(super) fn balancer_target(
        &self,
        entry_vm: usize,
        number: usize,
        now: Duration,
    ) -> BalancerTarget {
        let Some((_, at)) = self.lost_entry_vm.filter(|_| self.is_lost(entry_vm, now)) else {
            return BalancerTarget::To(entry_vm);
        };
        if now < at + BALANCER_DETECTION_DELAY {
            return BalancerTarget::Lost;
        }
        // Spreads the lost entry VM's requests evenly over the others.
        BalancerTarget::To((entry_vm + 1 + number % (ENTRY_VMS - 1)) % ENTRY_VMS)
    }
}

/// Returns all scenarios.
pub(super) fn all() -> [Scenario; 4] {
    let plain = Scenario {
        name: "bursts over the pool",
        burst_load: 1.25,
        failing_server: None,
        lost_entry_vm: None,
    };
    [
        plain,
        Scenario {
            name: "bursts under the pool",
            burst_load: 0.85,
            ..plain
        },
        Scenario {
            name: "one minion fails fast",
            burst_load: 0.85,
            failing_server: Some(0),
            ..plain
        },
        Scenario {
            name: "one entry VM lost",
            burst_load: 0.85,
            lost_entry_vm: Some((0, Duration::from_secs(42))),
            ..plain
        },
    ]
}
