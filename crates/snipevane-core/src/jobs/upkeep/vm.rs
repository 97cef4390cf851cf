//! VMs that host minions, and planned operations on them.

use smol_str::SmolStr;

/// Whether a minion gets nothing new because of plans for its VM.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Cordon {
    /// There is no plan.
    #[default]
    None,
    /// Its runs end before the VM does.
    Draining,
    /// The order that ends the VM may have been sent.
    Ordered,
}

/// A VM that hosts a minion.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Vm {
    /// Name of the VM.
    pub name: SmolStr,
    /// Pool that the VM belongs to.
    pub pool: SmolStr,
    /// Availability zone; empty if the list doesn't name it.
    pub zone: SmolStr,
    /// State of the VM.
    pub state: VmState,
    /// Identifier of the minion on the VM, if there is one.
    pub minion: Option<SmolStr>,
}

/// State of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VmState {
    /// The VM is in service.
    Up,
    /// The VM is moving to another pool.
    Moving,
    /// The VM is in maintenance.
    Maintenance,
    /// The VM is down.
    Down,
    /// The state isn't known.
    Unknown,
}

/// A maintenance wave that the operator requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MaintenanceWave {
    /// Number of the wave.
    pub number: u64,
    /// Names of the VMs to maintain.
    pub vms: Vec<SmolStr>,
    /// Time within which the maintenance of all VMs is to be done, in milliseconds.
    pub time_limit_ms: u64,
    /// Largest number of VMs that may be down for the wave at the same time.
    pub max_unavailable: usize,
}

/// An order to the platform to carry out an operation on a VM, which ends all runs there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VmOrder {
    /// Name of the VM.
    pub vm: SmolStr,
    /// Operation to carry out.
    pub operation: VmOperation,
}

/// A planned operation on a VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum VmOperation {
    /// Maintenance in a wave.
    Maintenance {
        /// Number of the wave.
        wave: u64,
    },
    /// Move to another pool.
    Move {
        /// Pool to move to.
        pool: SmolStr,
    },
}

/// Outcome of an order for a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VmReply {
    /// The order was carried out, now or earlier.
    Done,
    /// The platform has seen a higher fencing token.
    Fenced,
    /// The VM isn't up.
    Busy,
    /// The VM doesn't belong to the wave.
    NotInWave,
    /// There is no such VM, or the pool doesn't take VMs of this kind.
    Invalid,
    /// The platform throttled the call, the request couldn't be sent, or the term isn't held;
    /// nothing was done.
    NotCarriedOut,
    /// It isn't known whether the order was carried out.
    Unknown,
}
