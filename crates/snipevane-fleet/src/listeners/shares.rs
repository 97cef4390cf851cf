//! Shares of the VM's memory and descriptors.

use std::time::Duration;

use snipevane_adapter::settings::VmLimits;
use snipevane_listeners::Limits;

/// Percentages of the sockets. The rest is for connections to the store, to minions and to other entry VMs: as many
/// again as callers and other entry VMs may have open, since a request to this process makes one call at a time.
const CALLER_SOCKETS_PERCENT: usize = 30;
const PEER_SOCKETS_PERCENT: usize = 18;
const PROBE_SOCKETS_PERCENT: usize = 2;

/// Percentages of the memory for heads and receive buffers. What no listener has is for the process's own state.
const CALLER_MEMORY_PERCENT: usize = 25;
const PEER_MEMORY_PERCENT: usize = 20;
const PROBE_MEMORY_PERCENT: usize = 1;

/// Percentages of the memory for bodies.
const CALLER_BODIES_PERCENT: usize = 10;
const PEER_BODIES_PERCENT: usize = 5;

const PERCENT: usize = 100;

/// Longest time for the body of a caller's request, as long as for its head.
const CALLER_BODY_TIME: Duration = Duration::from_secs(20);

/// Longest time for the body of another entry VM's request.
const PEER_BODY_TIME: Duration = Duration::from_secs(10);

/// Size of the receive buffer of a connection from another entry VM, in bytes. Its requests may have megabytes.
const PEER_RECEIVE_BUFFER_BYTES: usize = 32 << 10;

/// Size of the receive buffer of a connection for probes or metrics, whose requests have no body, in bytes.
const PROBE_RECEIVE_BUFFER_BYTES: usize = 4 << 10;

/// Longest queue of probes that aren't accepted yet.
const PROBE_BACKLOG: u32 = 64;

/// Limits of each listener of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shares {
    /// Limits of the callers' listener.
    pub callers: Limits,
    /// Limits of the other entry VMs' listener.
    pub peers: Limits,
    /// Limits of the listener of readiness probes.
    pub readiness: Limits,
    /// Limits of the listener of metrics.
    pub metrics: Limits,
}

impl Shares {
    /// Shares out the memory and the descriptors of a VM.
    pub fn of(vm: &VmLimits) -> Self {
        let sockets = |percent: usize| vm.sockets() * percent / PERCENT;
        let memory = |percent: usize| vm.memory_bytes / PERCENT * percent;
        let probes = Limits {
            max_connections: sockets(PROBE_SOCKETS_PERCENT),
            connection_bytes: memory(PROBE_MEMORY_PERCENT),
            receive_buffer_bytes: PROBE_RECEIVE_BUFFER_BYTES,
            backlog: PROBE_BACKLOG,
            ..Limits::default()
        };
        Self {
            callers: Limits {
                max_connections: sockets(CALLER_SOCKETS_PERCENT),
                connection_bytes: memory(CALLER_MEMORY_PERCENT),
                body_bytes: memory(CALLER_BODIES_PERCENT),
                body_time: CALLER_BODY_TIME,
                ..Limits::default()
            },
            peers: Limits {
                max_connections: sockets(PEER_SOCKETS_PERCENT),
                connection_bytes: memory(PEER_MEMORY_PERCENT),
                body_bytes: memory(PEER_BODIES_PERCENT),
                body_time: PEER_BODY_TIME,
                receive_buffer_bytes: PEER_RECEIVE_BUFFER_BYTES,
                // Large responses of the store are relayed.
                send_buffer_bytes: None,
                ..Limits::default()
            },
            readiness: probes,
            metrics: probes,
        }
    }
}
