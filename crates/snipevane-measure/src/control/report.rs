//! Figures of the control traffic and resources.

use std::fmt;

use serde::Serialize;
use snipevane_proto::platform::SecondEntry;

/// Requests to the platform's table and object store in a period.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct PlatformCalls {
    /// Mean number of reads per second and entry VM.
    pub reads: f64,
    /// Mean number of writes per second and entry VM.
    pub writes: f64,
    /// Mean number of refused requests per second and entry VM.
    pub refused: f64,
    /// Maximum number of requests of all entry VMs in one second.
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

/// Control traffic and resources of the entry VMs of one zone.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ControlReport {
    /// Number of entry VMs.
    pub entries: usize,
    /// Processor time per entry VM before the outage, as a percentage of one core.
    pub cpu_percent: f64,
    /// Resident memory of the first entry VM at the end, in megabytes.
    pub rss_mb: f64,
    /// Requests before the outage.
    pub before: PlatformCalls,
    /// Requests during the outage, in which the platform refuses all of them.
    pub outage: PlatformCalls,
    /// Requests after the outage.
    pub after: PlatformCalls,
    /// Load average of the machine over one minute, at the end.
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
