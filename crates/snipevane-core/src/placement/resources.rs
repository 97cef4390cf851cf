//! Amounts of CPU, memory and accelerators.

/// Amount of CPU, memory and accelerators, such as the capacity of a machine or the size of a task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Resources {
    /// CPU, in thousandths of a core.
    pub cpu_millis: u64,
    /// Memory, in mebibytes.
    pub memory_mib: u64,
    /// Number of accelerators.
    pub accelerators: u64,
}

impl Resources {
    /// Returns whether this amount is at most `limit` for each resource.
    pub fn fits_in(&self, limit: &Self) -> bool {
        self.cpu_millis <= limit.cpu_millis
            && self.memory_mib <= limit.memory_mib
            && self.accelerators <= limit.accelerators
    }

    /// Returns the sum for each resource, saturating at the largest value.
    pub fn plus(&self, other: &Self) -> Self {
        self.combine(other, u64::saturating_add)
    }

    /// Returns the difference for each resource, saturating at zero.
    pub fn minus(&self, other: &Self) -> Self {
        self.combine(other, u64::saturating_sub)
    }

    /// Returns this amount a number of times, saturating at the largest value.
    pub fn times(&self, count: u64) -> Self {
        Self {
            cpu_millis: self.cpu_millis.saturating_mul(count),
            memory_mib: self.memory_mib.saturating_mul(count),
            accelerators: self.accelerators.saturating_mul(count),
        }
    }

    /// Returns the larger amount of each resource.
    pub fn max(&self, other: &Self) -> Self {
        self.combine(other, u64::max)
    }

    /// Returns the smaller amount of each resource.
    pub fn min(&self, other: &Self) -> Self {
        self.combine(other, u64::min)
    }

    /// Returns the dominant share: the largest fraction of `total` over all resources.
    pub fn dominant_share(&self, total: &Self) -> f64 {
        let cpu = fraction(self.cpu_millis, total.cpu_millis);
        let memory = fraction(self.memory_mib, total.memory_mib);
        let accelerators = fraction(self.accelerators, total.accelerators);
        cpu.max(memory).max(accelerators)
    }

    fn combine(&self, other: &Self, f: impl Fn(u64, u64) -> u64) -> Self {
        Self {
            cpu_millis: f(self.cpu_millis, other.cpu_millis),
            memory_mib: f(self.memory_mib, other.memory_mib),
            accelerators: f(self.accelerators, other.accelerators),
        }
    }
}

fn fraction(used: u64, total: u64) -> f64 {
    if total == 0 {
        return 0.0;
    }
    used as f64 / total as f64
}
