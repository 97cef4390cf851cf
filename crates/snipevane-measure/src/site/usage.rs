//! Processor time, memory and load, as the system reports them.

use std::io;
use std::time::Duration;

/// Processor time used since the processes started.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CpuTimes {
    /// Processor time of all entry VMs.
    pub(crate) entries: Duration,
    /// Processor time of all backend servers.
    pub(crate) backends: Duration,
}

/// Returns the processor time that the threads of a process have used.
pub(super) fn cpu_time(process: u32) -> io::Result<Duration> {
    let mut total = Duration::ZERO;
    for thread in std::fs::read_dir(format!("/proc/{process}/task"))? {
        let text = std::fs::read_to_string(thread?.path().join("schedstat"))?;
        let nanos = text.split_whitespace().next().and_then(|n| n.parse().ok());
        total += Duration::from_nanos(nanos.unwrap_or_default());
    }
    Ok(total)
}

/// Returns the machine's load average over one minute as the system prints it.
pub(crate) fn load_average() -> String {
    let text = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    let first = text.split_whitespace().next();
    first.unwrap_or("unknown").to_owned()
}

/// Returns the resident memory of a process, in kilobytes.
pub(super) fn resident_memory_kb(process: u32) -> io::Result<u64> {
    let status = std::fs::read_to_string(format!("/proc/{process}/status"))?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok());
    number.ok_or_else(|| io::Error::other("the status of the process has no resident memory"))
}
