//! Memory of the VM, as the kernel states it.

use std::fs;

/// Memory that is assumed if the kernel states none, in bytes.
const ASSUMED_MEMORY_BYTES: u64 = 256 * 1024 * 1024;
/// Unit of the kernel's table of memory, in bytes.
const KILOBYTE: u64 = 1024;
/// File with the limit of the control group in which the process runs.
const GROUP_LIMIT: &str = "/sys/fs/cgroup/memory.max";
/// File with the VM's memory.
const VM_MEMORY: &str = "/proc/meminfo";

/// Returns the memory that this VM, or the process's control group, has, in bytes.
pub(super) fn vm_memory_bytes() -> u64 {
    [total_memory(), group_limit()]
        .into_iter()
        .flatten()
        .min()
        .unwrap_or(ASSUMED_MEMORY_BYTES)
}

fn total_memory() -> Option<u64> {
    let table = fs::read_to_string(VM_MEMORY).ok()?;
    let line = table
        .lines()
        .find_map(|line| line.strip_prefix("MemTotal:"))?;
    let kilobytes: u64 = line.split_whitespace().next()?.parse().ok()?;
    Some(kilobytes * KILOBYTE)
}

/// Returns the control group's limit; `None` if there is no limit, which the file states as `max`.
fn group_limit() -> Option<u64> {
    fs::read_to_string(GROUP_LIMIT).ok()?.trim().parse().ok()
}
