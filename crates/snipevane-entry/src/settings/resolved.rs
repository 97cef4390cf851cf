//! The settings with addresses and durations resolved.

use std::net::SocketAddr;
use std::time::Duration;

use smol_str::SmolStr;
use snipevane_proto::settings::LogLevel;

/// Another entry VM to start with.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerSeed {
    /// Name of the VM.
    pub vm: SmolStr,
    /// Availability zone of the VM.
    pub zone: SmolStr,
    /// Its peer listener.
    pub address: SocketAddr,
}

/// Periods and timeouts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Timings {
    /// Time between two heartbeats to a peer.
    pub heartbeat_interval: Duration,
    /// Time without a heartbeat after which a peer gets no more forwarded requests.
    pub peer_timeout: Duration,
    /// Time between two reads of the platform's rows and list.
    pub platform_poll_interval: Duration,
    /// Longest wait for one answer of the platform.
    pub platform_timeout: Duration,
    /// Longest wait for a connection.
    pub connect_timeout: Duration,
    /// Longest time for a caller to send a request's head or body.
    pub caller_read_timeout: Duration,
    /// Longest time without progress while a caller reads its answer.
    pub caller_write_timeout: Duration,
    /// Time between failing the health check and closing the listener on a planned stop.
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
            caller_write_timeout: ms(timings.caller_write_ms),
            deregistration_delay: ms(timings.stop_notice_ms),
        }
    }
}

/// Settings of an entry VM's daemon.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the VM.
    pub vm: SmolStr,
    /// Availability zone of the VM.
    pub zone: SmolStr,
    /// Listener for callers.
    pub caller_address: SocketAddr,
    /// Listener for other entry VMs.
    pub peer_address: SocketAddr,
    /// Listener for operators and metrics.
    pub operator_address: SocketAddr,
    /// The platform's table and object store.
    pub platform_address: SocketAddr,
    /// Secret that entry VMs show to each other.
    pub peer_key: SmolStr,
    /// Secret that operators show.
    pub operator_key: SmolStr,
    /// Entry VMs to start with.
    pub peers: Vec<PeerSeed>,
    /// Least severe level that is logged.
    pub log_level: LogLevel,
    /// Periods and timeouts.
    pub timings: Timings,
    /// Largest head of a request, in bytes.
    pub max_header_bytes: usize,
    /// Open callers' connections at most.
    pub max_connections: usize,
    /// Largest answer of a backend server, in bytes.
    pub max_answer_bytes: usize,
}

impl Default for Settings {
    fn default() -> Self {
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
        }
    }
}
