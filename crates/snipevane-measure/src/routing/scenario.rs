//! Scenarios of a run and their faults.

use std::time::Duration;

use super::layout::ENTRY_VMS;

/// Time until the balancer sends nothing more to a lost entry VM.
const BALANCER_NOTICE: Duration = Duration::from_secs(1);
/// Time until the platform's list drops a lost entry VM and its requests have surely ended.
const TAKEOVER: Duration = Duration::from_secs(10);

/// Demand and faults of a run.
#[derive(Clone, Copy, Debug)]
pub(super) struct Scenario {
    pub(super) name: &'static str,
    /// Demand during a burst as a multiple of what the service's slots can run.
    pub(super) burst_load: f64,
    /// Backend server that fails each request at once.
    pub(super) failing_server: Option<usize>,
    /// Entry VM that is lost, and when.
    pub(super) lost: Option<(usize, Duration)>,
}

/// What the balancer does with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Balanced {
    /// Sends it to a running entry VM.
    To(usize),
    /// Sends it to the lost entry VM, where it fails.
    Lost,
}

impl Scenario {
    /// Returns whether an entry VM is lost at a given time.
    pub(super) fn is_lost(&self, entry_vm: usize, now: Duration) -> bool {
        self.lost
            .is_some_and(|(lost, at)| lost == entry_vm && now >= at)
    }

    /// Returns the time at which another entry VM takes over, if one is lost.
    pub(super) fn takeover(&self) -> Option<(usize, Duration)> {
        self.lost.map(|(lost, at)| (lost, at + TAKEOVER))
    }

    /// Returns where the balancer sends a request that it chose an entry VM for.
    pub(super) fn balance(&self, entry_vm: usize, number: usize, now: Duration) -> Balanced {
        let Some((_, at)) = self.lost.filter(|_| self.is_lost(entry_vm, now)) else {
            return Balanced::To(entry_vm);
        };
        if now < at + BALANCER_NOTICE {
            return Balanced::Lost;
        }
        // Spreads the lost entry VM's requests evenly over the others.
        Balanced::To((entry_vm + 1 + number % (ENTRY_VMS - 1)) % ENTRY_VMS)
    }
}

/// Returns all scenarios.
pub(super) fn all() -> [Scenario; 4] {
    let plain = Scenario {
        name: "bursts over the pool",
        burst_load: 1.25,
        failing_server: None,
        lost: None,
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
            lost: Some((0, Duration::from_secs(42))),
            ..plain
        },
    ]
}
