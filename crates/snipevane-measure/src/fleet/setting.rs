//! Sizes of the runs.

use std::time::Duration;

use snipevane_core::placement::Resources;

/// Size and weights of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Setting {
    /// Kandyan's size of today.
    Kandyan,
    /// Kartvel's size of today.
    Kartvel,
    /// The target size.
    Target,
}

/// What a run consists of.
#[derive(Clone, Copy, Debug)]
pub(super) struct Size {
    pub(super) name: &'static str,
    pub(super) workers: usize,
    pub(super) worker: Resources,
    pub(super) zones: usize,
    pub(super) pools: usize,
    pub(super) pool_vms: usize,
    pub(super) teams: usize,
    /// Time for which tasks are run.
    pub(super) tasks_for: Duration,
    /// Time for which pools are run.
    pub(super) pools_for: Duration,
}

const MIB_IN_GIB: u64 = 1024;

fn worker(cores: u64, memory_gib: u64) -> Resources {
    Resources {
        cpu_millis: cores * 1000,
        memory_mib: memory_gib * MIB_IN_GIB,
        accelerators: 0,
    }
}

impl Setting {
    pub(super) fn size(self) -> Size {
        let kandyan = Size {
            name: "kandyan",
            workers: 50,
            worker: worker(16, 32),
            zones: 3,
            pools: 5,
            pool_vms: 10,
            teams: 6,
            tasks_for: Duration::from_secs(3600),
            pools_for: Duration::from_secs(24 * 3600),
        };
        match self {
            Self::Kandyan => kandyan,
            Self::Kartvel => Size {
                name: "kartvel",
                worker: worker(64, 256),
                ..kandyan
            },
            Self::Target => Size {
                name: "target",
                workers: 2600,
                worker: worker(16, 32),
                zones: 16,
                pools: 56,
                pool_vms: 46,
                teams: 320,
                tasks_for: Duration::from_secs(1200),
                ..kandyan
            },
        }
    }
}
