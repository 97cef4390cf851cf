//! Limits of the three listeners, derived from the settings.

use std::sync::Arc;
use std::time::Duration;

use snipevane_listeners::{Gate, Limits};

use super::descriptors::MaxConnections;
use super::{Counter, Incidents};
use crate::settings::Settings;

/// Divisor of the VM's memory that gives the share of callers' connections.
const CALLER_CONNECTIONS_SHARE: usize = 8;
/// Divisor of the VM's memory that gives the share of other entry VMs' connections.
const PEER_CONNECTIONS_SHARE: usize = 16;
/// Divisor of the VM's memory that gives the share of operators' connections.
const OPERATOR_CONNECTIONS_SHARE: usize = 64;

/// Maximum time for the body of an operator's request, which may be large and come from afar.
const OPERATOR_BODY_TIME: Duration = Duration::from_secs(60);

/// Gates of an entry VM's listeners.
#[derive(Clone, Debug)]
pub(crate) struct Gates {
    /// Gate for callers and the readiness check.
    pub(crate) callers: Arc<Gate<Counter>>,
    /// Gate for other entry VMs.
    pub(crate) peers: Arc<Gate<Counter>>,
    /// Gate for operators, metrics and the readiness check.
    pub(crate) operators: Arc<Gate<Counter>>,
    /// What happened at the gates.
    pub(crate) incidents: Arc<Incidents>,
}

impl Gates {
    /// Creates the gates with the limits of the settings.
    pub(crate) fn new(settings: &Settings) -> Self {
        let incidents = Arc::new(Incidents::default());
        let connections = MaxConnections::new(settings);
        let common = Limits {
            receive_buffer_bytes: settings.receive_buffer_bytes,
            send_buffer_bytes: None,
            body_time: settings.timings.caller_read_timeout,
            ..Limits::default()
        };
        let callers = Limits {
            max_connections: connections.callers,
            connection_bytes: settings.memory_bytes / CALLER_CONNECTIONS_SHARE,
            body_bytes: settings.max_caller_bodies_bytes,
            ..common
        };
        let peers = Limits {
            max_connections: connections.peers,
            connection_bytes: settings.memory_bytes / PEER_CONNECTIONS_SHARE,
            body_bytes: settings.max_peer_bodies_bytes,
            ..common
        };
        let operators = Limits {
            max_connections: connections.operators,
            connection_bytes: settings.memory_bytes / OPERATOR_CONNECTIONS_SHARE,
            body_bytes: settings.max_operator_bodies_bytes,
            body_time: OPERATOR_BODY_TIME,
            ..common
        };
        Self {
            callers: Gate::new("callers", callers, Counter(incidents.clone())),
            peers: Gate::new("peers", peers, Counter(incidents.clone())),
            operators: Gate::new("operators", operators, Counter(incidents.clone())),
            incidents,
        }
    }
}
