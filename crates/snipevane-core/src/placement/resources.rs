//! Processors, memory and accelerators.

/// An amount of processors, memory and accelerators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Resources {
    /// Processor time, in thousandths of a core.
    pub cpu_millis: u64,
    /// Memory, in mebibytes.
    pub memory_mib: u64,
    /// Accelerators.
    pub accelerators: u64,
}

impl Resources {
    /// Returns whether this amount is within `limit` in each respect.
    pub fn fits_in(&self, limit: &Self) -> bool {
        self.cpu_millis <= limit.cpu_millis
            && self.memory_mib <= limit.memory_mib
            && self.accelerators <= limit.accelerators
    }

    /// Returns the sum.
    pub fn plus(&self, other: &Self) -> Self {
        self.combine(other, u64::saturating_add)
    }

    /// Returns the difference, at least zero in each respect.
    pub fn minus(&self, other: &Self) -> Self {
        self.combine(other, u64::saturating_sub)
    }

    /// Returns the larger amount in each respect.
    pub fn max(&self, other: &Self) -> Self {
        self.combine(other, u64::max)
    }

    /// Returns the smaller amount in each respect.
    pub fn min(&self, other: &Self) -> Self {
        self.combine(other, u64::min)
    }

    /// Returns the part of `total` that this amount takes of the resource that it takes most of.
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
