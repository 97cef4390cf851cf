//! Settings of a wave.

use std::time::Duration;

/// How fast a wave goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pace {
    /// Spreads the reboots evenly and is done within this time.
    Within(Duration),
    /// Goes as fast as the availability budgets allow.
    Urgent,
}

/// Settings of a wave.
#[derive(Clone, Copy, Debug)]
pub struct WaveSettings {
    /// How fast the wave goes.
    pub pace: Pace,
    /// VMs that the wave begins with.
    pub first_batch: u32,
    /// Most VMs that are being rebooted or watched at once.
    pub max_unproven: u32,
    /// Failures among the latest rebooted VMs that halt the wave.
    pub failures_to_halt: u32,
    /// Time for which a VM is watched after its reboot.
    pub watch: Duration,
    /// Usual time that a VM takes to drain and reboot.
    pub cycle_estimate: Duration,
}

impl Default for WaveSettings {
    fn default() -> Self {
        Self {
            pace: Pace::Within(Duration::from_secs(35 * 24 * 3600)),
            first_batch: 1,
            max_unproven: u32::MAX,
            failures_to_halt: 2,
            watch: Duration::from_secs(600),
            cycle_estimate: Duration::from_secs(240),
        }
    }
}
