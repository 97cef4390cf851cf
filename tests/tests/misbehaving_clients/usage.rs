//! What a process uses, read from the kernel while it runs.

use std::fs;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::task::JoinHandle;
use tokio::time::sleep;

/// Interval between two readings.
const INTERVAL: Duration = Duration::from_millis(25);
/// Interval between two readings that are compared to find out whether a process is still busy.
const SETTLE_INTERVAL: Duration = Duration::from_millis(500);
/// Number of readings in a row without a change after which a process is at rest.
const SETTLED_READINGS: u32 = 4;
/// Maximum number of such readings.
const MAX_SETTLE_READINGS: u32 = 40;
/// Unit of the resident memory in the kernel's table, in bytes.
const KILOBYTE: u64 = 1024;

/// The most that a process used at any reading.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Peak {
    /// Resident memory and unread bytes of the sockets, in bytes.
    pub(crate) memory_bytes: u64,
    /// Unread bytes of the sockets at the same reading, in bytes.
    pub(crate) unread_bytes: u64,
    /// Open descriptors.
    pub(crate) descriptors: usize,
}

/// Reads a process's use again and again until it is stopped.
pub(crate) struct Watch {
    process: u32,
    ports: Vec<u16>,
    stop: oneshot::Sender<()>,
    peak: JoinHandle<Peak>,
}

impl Watch {
    /// Starts to watch a process with the given listeners.
    pub(crate) fn start(process: u32, listeners: &[SocketAddr]) -> Self {
        let ports: Vec<u16> = listeners.iter().map(SocketAddr::port).collect();
        let (stop, mut stopped) = oneshot::channel();
        let watched = ports.clone();
        let peak = tokio::spawn(async move {
            let mut peak = Peak::default();
            while stopped.try_recv().is_err() {
                peak.add(process, &watched);
                sleep(INTERVAL).await;
            }
            peak
        });
        Self {
            process,
            ports,
            stop,
            peak,
        }
    }

    /// Waits until the process has read what it can and has accepted whom it can.
    pub(crate) async fn until_settled(&self) {
        let (mut previous, mut same) = ((0, 0), 0);
        for _ in 0..MAX_SETTLE_READINGS {
            sleep(SETTLE_INTERVAL).await;
            let reading = (unread_bytes(&self.ports), descriptors(self.process));
            same = if reading == previous { same + 1 } else { 0 };
            if same == SETTLED_READINGS {
                return;
            }
            previous = reading;
        }
    }

    /// Stops and returns the most that was read.
    pub(crate) async fn stop(self) -> Peak {
        self.stop.send(()).unwrap();
        self.peak.await.unwrap()
    }
}

impl Peak {
    fn add(&mut self, process: u32, ports: &[u16]) {
        let unread_bytes = unread_bytes(ports);
        let memory_bytes = resident_bytes(process) + unread_bytes;
        if memory_bytes > self.memory_bytes {
            self.memory_bytes = memory_bytes;
            self.unread_bytes = unread_bytes;
        }
        self.descriptors = self.descriptors.max(descriptors(process));
    }
}

/// Returns a process's resident memory, or 0 if the process is gone.
fn resident_bytes(process: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().next());
    number.map_or(0, |number| number.parse::<u64>().unwrap() * KILOBYTE)
}

fn descriptors(process: u32) -> usize {
    fs::read_dir(format!("/proc/{process}/fd")).map_or(0, Iterator::count)
}

/// Adds up the unread bytes of all sockets with one of the local ports.
///
/// Connections that wait to be accepted are counted too, as the kernel holds their bytes.
fn unread_bytes(ports: &[u16]) -> u64 {
    let table = fs::read_to_string("/proc/net/tcp").unwrap();
    let sockets = table.lines().skip(1).filter_map(|line| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let (_, port) = fields.get(1)?.split_once(':')?;
        let (_, unread) = fields.get(4)?.split_once(':')?;
        // The queue of a listening socket counts connections, not bytes.
        let is_listening = *fields.get(3)? == "0A";
        let port = u16::from_str_radix(port, 16).ok()?;
        let is_counted = !is_listening && ports.contains(&port);
        is_counted.then(|| u64::from_str_radix(unread, 16).unwrap())
    });
    sockets.sum()
}
