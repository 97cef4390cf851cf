//! Candidates for the scheduler's term, by the capacity of their VMs.
//!
//! Entry VMs may differ in size. The scheduler's work doesn't fit on a small one in large sites, so
//! much larger VMs go first when the term is free, and a scheduler hands its term over once a much
//! larger VM is ready for it.

use std::cmp::Ordering;
use std::time::Duration;

use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Ratio of two capacities from which one counts as much larger.
const MUCH_LARGER: f64 = 2.0;

/// Time after its last message for which a candidate counts as present.
const PRESENCE_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Time for which a much larger candidate must have been present before the term is handed over.
const SETTLING_TIME: Duration = Duration::from_millis(2_000);

/// Capacity of an entry VM.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct VmCapacity {
    /// Processor time per second, in cores.
    pub cores: f64,
    /// Bandwidth of the network link, in megabits per second.
    pub link_mbps: f64,
}

impl VmCapacity {
    /// Returns whether this capacity is much larger than another: at least as large in all and at
    /// least twice as large in some respect.
    pub fn is_much_larger_than(&self, other: &Self) -> bool {
        let all = self.cores >= other.cores && self.link_mbps >= other.link_mbps;
        let some = self.cores >= other.cores * MUCH_LARGER
            || self.link_mbps >= other.link_mbps * MUCH_LARGER;
        all && some && self != other
    }

    /// Compares two capacities by all figures together, and by single ones if a figure is unknown.
    fn total_cmp(&self, other: &Self) -> Ordering {
        let product = |capacity: &Self| capacity.cores * capacity.link_mbps;
        product(self)
            .total_cmp(&product(other))
            .then(self.cores.total_cmp(&other.cores))
            .then(self.link_mbps.total_cmp(&other.link_mbps))
    }
}

#[derive(Clone, Copy, Debug)]
struct Candidate {
    capacity: VmCapacity,
    present_since: Duration,
    last_seen: Duration,
}

impl Candidate {
    fn is_present(&self, now: Duration) -> bool {
        now < self.last_seen + PRESENCE_TIMEOUT
    }
}

/// Other entry VMs that could take over the term, as seen by the one that holds it.
#[derive(Clone, Debug, Default)]
pub struct Candidates {
    own: VmCapacity,
    others: FxHashMap<SmolStr, Candidate>,
}

impl Candidates {
    /// Creates an empty set for a holder with the capacity `own`.
    pub fn new(own: VmCapacity) -> Self {
        Self {
            own,
            others: FxHashMap::default(),
        }
    }

    /// Records a message of another entry VM that could take over.
    pub fn record(&mut self, vm: &SmolStr, capacity: VmCapacity, now: Duration) {
        let present_since = self
            .others
            .get(vm)
            .filter(|known| known.is_present(now))
            .map_or(now, |known| known.present_since);
        let candidate = Candidate {
            capacity,
            present_since,
            last_seen: now,
        };
        self.others.insert(vm.clone(), candidate);
    }

    /// Returns the largest capacity of the candidates that are present; `None` if there are none.
    pub fn largest(&self, now: Duration) -> Option<VmCapacity> {
        let present = self.others.values().filter(|other| other.is_present(now));
        present
            .map(|other| other.capacity)
            .max_by(VmCapacity::total_cmp)
    }

    /// Returns whether some VM has been present for a while.
    pub fn has_settled(&self, now: Duration) -> bool {
        self.others
            .values()
            .any(|other| other.is_present(now) && now >= other.present_since + SETTLING_TIME)
    }

    /// Returns whether a much larger VM than the holder's has been present for a while.
    pub fn has_settled_larger(&self, now: Duration) -> bool {
        self.others.values().any(|other| {
            other.is_present(now)
                && now >= other.present_since + SETTLING_TIME
                && other.capacity.is_much_larger_than(&self.own)
        })
    }
}
