//! Figures of control.

use std::fmt;

use serde::Serialize;
use snipevane_proto::platform::SecondEntry;

/// Calls of the platform's table and object store in a period.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct PlatformCalls {
    /// Reads of one entry VM each second, mean.
    pub reads: f64,
    /// Writes of one entry VM each second, mean.
    pub writes: f64,
    /// Refused calls of one entry VM each second, mean.
    pub refused: f64,
    /// Most calls of all entry VMs in a second.
    pub most: u64,
}

impl PlatformCalls {
    pub(super) fn of(seconds: &[SecondEntry], entries: usize) -> Self {
        let mean = |part: fn(&SecondEntry) -> u64| {
            let sum: u64 = seconds.iter().map(part).sum();
            sum as f64 / seconds.len().max(1) as f64 / entries as f64
        };
        let calls = seconds
            .iter()
            .map(|second| second.reads + second.writes + second.refused);
        Self {
            reads: mean(|second| second.reads),
            writes: mean(|second| second.writes),
            refused: mean(|second| second.refused),
            most: calls.max().unwrap_or_default(),
        }
    }
}

impl fmt::Display for PlatformCalls {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "reads {:.2}  writes {:.2}  refused {:.2}  most of all {}",
            self.reads, self.writes, self.refused, self.most
        )
    }
}

/// What the entry VMs of one zone spend on control.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ControlReport {
    /// Entry VMs.
    pub entries: usize,
    /// Processor time of one entry VM, in percent of a core.
    pub cpu_percent: f64,
    /// Resident memory of one entry VM, in megabytes.
    pub rss_mb: f64,
    /// Calls before the outage.
    pub before: PlatformCalls,
    /// Calls during the outage, in which the platform refuses all.
    pub outage: PlatformCalls,
    /// Calls after the outage.
    pub after: PlatformCalls,
    /// Load average of the machine over a minute, at the end.
    pub load_average: String,
}

impl fmt::Display for ControlReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{} entry VMs", self.entries)?;
        writeln!(f, "  processor time, % of a core  {:.2}", self.cpu_percent)?;
        writeln!(f, "  memory, MB                   {:.1}", self.rss_mb)?;
        writeln!(f, "  calls/s of one, before       {}", self.before)?;
        writeln!(f, "  calls/s of one, outage       {}", self.outage)?;
        writeln!(f, "  calls/s of one, after        {}", self.after)?;
        write!(f, "  load average                 {}", self.load_average)
    }
}
