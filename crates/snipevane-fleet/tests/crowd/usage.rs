//! Memory and descriptors of a daemon, as the kernel counts them.

use std::fs;
use std::net::{SocketAddr, SocketAddrV4};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

const BYTES_PER_KB: u64 = 1_024;

/// Interval between two readings.
const READING_INTERVAL: Duration = Duration::from_millis(20);

/// What a process uses, or the most of each that it used.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Usage {
    /// Resident memory, in bytes.
    pub(crate) resident_bytes: u64,
    /// Resident memory, and what its sockets have received and it hasn't read, in bytes.
    pub(crate) memory_bytes: u64,
    /// Number of sockets.
    pub(crate) sockets: usize,
}

impl Usage {
    /// Reads what a process uses that listens at these addresses.
    fn read(pid: u32, listeners: &[SocketAddr]) -> Option<Self> {
        let resident_bytes = resident_bytes(pid)?;
        Some(Self {
            resident_bytes,
            memory_bytes: resident_bytes + unread_bytes(listeners),
            sockets: sockets(pid)?,
        })
    }

    fn max(self, other: Self) -> Self {
        Self {
            resident_bytes: self.resident_bytes.max(other.resident_bytes),
            memory_bytes: self.memory_bytes.max(other.memory_bytes),
            sockets: self.sockets.max(other.sockets),
        }
    }
}

/// Reads on a thread of its own what a process uses, until it is told to end.
pub(crate) struct UsageReader {
    ended: Arc<AtomicBool>,
    thread: JoinHandle<Usage>,
}

impl UsageReader {
    pub(crate) fn start(pid: u32, listeners: Vec<SocketAddr>) -> Self {
        let ended = Arc::new(AtomicBool::new(false));
        let end = ended.clone();
        let thread = std::thread::spawn(move || {
            let mut most = Usage::default();
            while !end.load(Ordering::SeqCst) {
                // A process that has ended uses nothing.
                most = most.max(Usage::read(pid, &listeners).unwrap_or_default());
                std::thread::sleep(READING_INTERVAL);
            }
            most
        });
        Self { ended, thread }
    }

    /// Ends the readings; returns the most that the process used.
    pub(crate) fn end(self) -> Usage {
        self.ended.store(true, Ordering::SeqCst);
        self.thread.join().expect("readings")
    }
}

fn resident_bytes(pid: u32) -> Option<u64> {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    let kilobytes: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
    Some(kilobytes * BYTES_PER_KB)
}

fn sockets(pid: u32) -> Option<usize> {
    let entries = fs::read_dir(format!("/proc/{pid}/fd")).ok()?;
    let is_socket = |entry: &fs::DirEntry| {
        let target = fs::read_link(entry.path()).unwrap_or_default();
        target.to_string_lossy().starts_with("socket:")
    };
    Some(entries.flatten().filter(is_socket).count())
}

/// Returns the number of bytes that connections to these addresses have received and nobody has read.
fn unread_bytes(listeners: &[SocketAddr]) -> u64 {
    let addresses: Vec<String> = listeners.iter().filter_map(local_address).collect();
    let table = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let connections = table.lines().filter_map(|line| {
        let mut fields = line.split_whitespace().skip(1);
        let local = fields.next()?;
        let queues = fields.nth(2)?;
        let state_is_listen = line.split_whitespace().nth(3) == Some("0A");
        let counts = !state_is_listen && addresses.iter().any(|address| address == local);
        counts.then(|| u64::from_str_radix(queues.split(':').nth(1)?, 16).ok())?
    });
    connections.sum()
}

/// Returns an address as the kernel's table writes it.
fn local_address(address: &SocketAddr) -> Option<String> {
    let SocketAddr::V4(address) = address else {
        return None;
    };
    let ip = u32::from_le_bytes(SocketAddrV4::ip(address).octets());
    Some(format!("{ip:08X}:{:04X}", address.port()))
}
