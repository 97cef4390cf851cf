//! Figures of the request path.

use std::fmt;

use hdrhistogram::Histogram;
use serde::Serialize;

/// Quantiles of the latency, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Latency {
    /// Median.
    pub p50_ms: f64,
    /// 90th percentile.
    pub p90_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
    /// Maximum.
    pub max_ms: f64,
    /// Number of requests.
    pub count: u64,
}

impl Latency {
    pub(super) fn of(times: &Histogram<u64>) -> Self {
        let ms = |micros: u64| micros as f64 / 1000.0;
        Self {
            p50_ms: ms(times.value_at_quantile(0.5)),
            p90_ms: ms(times.value_at_quantile(0.9)),
            p99_ms: ms(times.value_at_quantile(0.99)),
            max_ms: ms(times.max()),
            count: times.len(),
        }
    }
}

impl fmt::Display for Latency {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "p50 {:.3}  p90 {:.3}  p99 {:.3}  max {:.3}  ({} requests)",
            self.p50_ms, self.p90_ms, self.p99_ms, self.max_ms, self.count
        )
    }
}

/// Processor time per request, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct CpuPerRequest {
    /// Processor time of the entry VM.
    pub entry_us: f64,
    /// Processor time of the backend servers.
    pub backends_us: f64,
}

/// Resident memory of the entry VM's process, before and after connections are opened.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Memory {
    /// Number of connections that were opened.
    pub connections: usize,
    /// Resident memory after the load rounds and before the connections are opened, in kilobytes.
    pub before_kb: u64,
    /// Resident memory with the connections open, in kilobytes.
    pub after_kb: u64,
}

/// Figures of the request path, direct and through an entry VM.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct PathReport {
    /// Maximum throughput direct to the backend servers, in requests per second; median of the
    /// rounds.
    pub direct_per_second: f64,
    /// Maximum throughput through the entry VM, in requests per second; median of the rounds.
    pub through_per_second: f64,
    /// Throughput through the entry VM divided by the direct throughput.
    pub relative: f64,
    /// Rate at which the latencies were measured: half of the throughput through the entry VM.
    pub paced_per_second: f64,
    /// Latency direct to the backend servers.
    pub direct: Latency,
    /// Latency through the entry VM.
    pub through: Latency,
    /// Processor time per request at `paced_per_second`.
    pub cpu: CpuPerRequest,
    /// Number of requests that failed in any round.
    pub failed: u64,
    /// Memory of the entry VM.
    pub memory: Memory,
    /// Load average of the machine over one minute, at the end.
    pub load_average: String,
}

impl fmt::Display for PathReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "throughput, requests/s")?;
        writeln!(f, "  direct            {:.0}", self.direct_per_second)?;
        writeln!(f, "  through entry VM  {:.0}", self.through_per_second)?;
        writeln!(f, "  relative          {:.0} %", self.relative * 100.0)?;
        writeln!(f, "times at {:.0} requests/s, ms", self.paced_per_second)?;
        writeln!(f, "  direct            {}", self.direct)?;
        writeln!(f, "  through entry VM  {}", self.through)?;
        let added_p50 = self.through.p50_ms - self.direct.p50_ms;
        let added_p99 = self.through.p99_ms - self.direct.p99_ms;
        writeln!(
            f,
            "  added             p50 {added_p50:.3}  p99 {added_p99:.3}"
        )?;
        writeln!(f, "processor time of a request, us")?;
        writeln!(f, "  entry VM          {:.1}", self.cpu.entry_us)?;
        writeln!(f, "  backend server    {:.1}", self.cpu.backends_us)?;
        writeln!(f, "failed requests     {}", self.failed)?;
        let memory = &self.memory;
        writeln!(f, "memory of the entry VM, MB")?;
        writeln!(
            f,
            "  before            {:.1}",
            memory.before_kb as f64 / 1024.0
        )?;
        writeln!(
            f,
            "  {} connections {:.1}",
            memory.connections,
            memory.after_kb as f64 / 1024.0
        )?;
        write!(f, "load average        {}", self.load_average)
    }
}
