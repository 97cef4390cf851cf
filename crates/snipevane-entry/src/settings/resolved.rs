//! Validated settings, with parsed addresses and durations.

use std::net::SocketAddr;
use std::time::Duration;

use smol_str::SmolStr;
use snipevane_proto::settings::LogLevel;

use super::vm_memory::vm_memory_bytes;

/// Divisor of the VM's memory that gives the share of callers' bodies.
const CALLER_BODIES_SHARE: usize = 4;
/// Divisor of the VM's memory that gives the share of answers that callers haven't read.
const CALLER_ANSWERS_SHARE: usize = 8;
/// Divisor of the VM's memory that gives the share of other entry VMs' bodies.
const PEER_BODIES_SHARE: usize = 16;
/// Divisor of the VM's memory that gives the share of operators' bodies.
const OPERATOR_BODIES_SHARE: usize = 16;

/// Entry VM that is known as a peer from the start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerSeed {
    /// Name of the VM.
    pub vm: SmolStr,
    /// Availability zone of the VM.
    pub zone: SmolStr,
    /// Address of the VM's peer listener.
    pub address: SocketAddr,
}

/// Intervals and timeouts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Timings {
    /// Interval between heartbeats to a peer.
    pub heartbeat_interval: Duration,
    /// Time without a heartbeat after which a peer counts as unreachable and gets no more forwarded
    /// requests.
    pub peer_timeout: Duration,
    /// Interval between reads of the platform's table rows and VM list.
    pub platform_poll_interval: Duration,
    /// Timeout of a request to the platform.
    pub platform_timeout: Duration,
    /// Timeout for opening a connection.
    pub connect_timeout: Duration,
    /// Maximum time for a caller to send a request's headers or body.
    pub caller_read_timeout: Duration,
    /// Maximum time for which a caller's connection is kept without a request.
    pub caller_idle_timeout: Duration,
    /// Maximum time without progress while a response is written to a caller.
    pub caller_write_timeout: Duration,
    /// Time between failing the health check and closing the listener in a planned stop, in which
    /// the load balancer deregisters the VM.
    pub deregistration_delay: Duration,
}

impl Default for Timings {
    fn default() -> Self {
        Self::from(&snipevane_proto::settings::Timings::default())
    }
}

impl From<&snipevane_proto::settings::Timings> for Timings {
    fn from(timings: &snipevane_proto::settings::Timings) -> Self {
        let ms = |ms: u32| Duration::from_millis(ms.into());
        Self {
            heartbeat_interval: ms(timings.heartbeat_ms),
            peer_timeout: ms(timings.peer_silent_ms),
            platform_poll_interval: ms(timings.platform_poll_ms),
            platform_timeout: ms(timings.platform_timeout_ms),
            connect_timeout: ms(timings.connect_timeout_ms),
            caller_read_timeout: ms(timings.caller_read_ms),
            caller_idle_timeout: ms(timings.caller_idle_ms),
            caller_write_timeout: ms(timings.caller_write_ms),
            deregistration_delay: ms(timings.stop_notice_ms),
        }
    }
}

/// Settings of an entry VM's daemon.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of this VM.
    pub vm: SmolStr,
    /// Availability zone of this VM.
    pub zone: SmolStr,
    /// Address of the listener for callers.
    pub caller_address: SocketAddr,
    /// Address of the listener for other entry VMs.
    pub peer_address: SocketAddr,
    /// Address of the listener for operators and metrics.
    pub operator_address: SocketAddr,
    /// Address of the platform's table and object store.
    pub platform_address: SocketAddr,
    /// Shared secret with which entry VMs authenticate to each other.
    pub peer_key: SmolStr,
    /// Shared secret with which operators authenticate.
    pub operator_key: SmolStr,
    /// Entry VMs that are known as peers from the start.
    pub peers: Vec<PeerSeed>,
    /// Least severe level of records that are logged.
    pub log_level: LogLevel,
    /// Intervals and timeouts.
    pub timings: Timings,
    /// Maximum size of a request's headers, in bytes.
    pub max_header_bytes: usize,
    /// Maximum number of open connections of callers.
    pub max_connections: usize,
    /// Maximum size of a response of a backend server, in bytes.
    pub max_answer_bytes: usize,
    /// Memory of the VM, from which the shares of connections are derived, in bytes.
    pub memory_bytes: usize,
    /// Size of the kernel's buffer for what a client sent and wasn't read, in bytes.
    pub receive_buffer_bytes: usize,
    /// Maximum number of open connections of other entry VMs.
    pub max_peer_connections: usize,
    /// Maximum number of open connections of operators.
    pub max_operator_connections: usize,
    /// Maximum size of all bodies of callers' requests together, in bytes.
    pub max_caller_bodies_bytes: usize,
    /// Maximum size of all bodies of other entry VMs' requests together, in bytes.
    pub max_peer_bodies_bytes: usize,
    /// Maximum size of all bodies of operators' requests together, in bytes.
    pub max_operator_bodies_bytes: usize,
    /// Maximum size of all answers together that callers haven't read, in bytes.
    pub max_answers_bytes: usize,
    /// Maximum number of bytes of a refused request's body that are read.
    pub max_discarded_bytes: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self::with_memory(vm_memory_bytes())
    }
}

impl Settings {
    /// Returns the defaults for a VM with this much memory, in bytes.
    pub fn with_memory(memory_bytes: u64) -> Self {
        let memory_bytes = usize::try_from(memory_bytes).unwrap_or(usize::MAX);
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            vm: SmolStr::new_static("entry"),
            zone: SmolStr::new_static("zone"),
            caller_address: any_port,
            peer_address: any_port,
            operator_address: any_port,
            platform_address: any_port,
            peer_key: SmolStr::default(),
            operator_key: SmolStr::default(),
            peers: Vec::new(),
            log_level: LogLevel::Info,
            timings: Timings::default(),
            max_header_bytes: 16 * 1024,
            max_connections: 4096,
            max_answer_bytes: 8 * 1024 * 1024,
            memory_bytes,
            receive_buffer_bytes: 32 * 1024,
            max_peer_connections: 1024,
            max_operator_connections: 64,
            max_caller_bodies_bytes: memory_bytes / CALLER_BODIES_SHARE,
            max_peer_bodies_bytes: memory_bytes / PEER_BODIES_SHARE,
            max_operator_bodies_bytes: memory_bytes / OPERATOR_BODIES_SHARE,
            max_answers_bytes: memory_bytes / CALLER_ANSWERS_SHARE,
            max_discarded_bytes: 1024 * 1024,
        }
    }
}
