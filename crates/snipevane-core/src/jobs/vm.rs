//! VMs on which minions live, and planned work on them.

use smol_str::SmolStr;

/// A VM on which minions live.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Vm {
    /// Name.
    pub name: SmolStr,
    /// Pool.
    pub pool: SmolStr,
    /// State.
    pub state: VmState,
    /// Identifier of its minion, if there is one.
    pub minion: Option<SmolStr>,
}

/// State of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VmState {
    /// It works.
    Up,
    /// It changes its pool.
    Moving,
    /// It is in upkeep.
    Maintenance,
    /// It is down, or its state isn't known.
    Down,
}

/// A wave of upkeep that the operator asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MaintenanceWave {
    /// Number.
    pub number: u64,
    /// Names of the VMs.
    pub vms: Vec<SmolStr>,
    /// Time within which all are to be done, in milliseconds.
    pub time_limit_ms: u64,
    /// VMs that may be down for it at a time.
    pub max_unavailable: usize,
}

/// Something that the platform is to do with a VM; ends all that runs there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VmOrder {
    /// Name of the VM.
    pub vm: SmolStr,
    /// What to do.
    pub operation: VmOperation,
}

/// Planned work on a VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum VmOperation {
    /// Its upkeep in a wave.
    Maintenance {
        /// Number of the wave.
        wave: u64,
    },
    /// A move to another pool.
    Move {
        /// Pool.
        pool: SmolStr,
    },
}

/// What came of an order to a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VmReply {
    /// It was carried out, now or before.
    Done,
    /// A higher fencing token was seen.
    Fenced,
    /// The VM isn't up.
    Busy,
    /// The VM isn't of that wave.
    NotInWave,
    /// There is no such VM, or the pool isn't one of its kind.
    Invalid,
    /// The platform takes no more calls now; nothing was done.
    Throttled,
    /// It isn't known whether it was carried out.
    Unknown,
}
