//! State of a backend server as observed by one entry VM.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use smol_str::SmolStr;

use super::server_index::Rank;
use crate::ids::{ServerKey, ServiceKey};

/// Weight of the latest request in the moving averages of failure rate and latency.
const EWMA_WEIGHT: f32 = 0.125;
/// Failure rate from which a server gets at most one request at a time.
const FAILING_RATE: f32 = 0.5;
/// Load that is added to the running requests of a server that fails every request, as a multiple
/// of its capacity; it is proportional to the failure rate.
const FAILURE_LOAD_FACTOR: f32 = 2.0;
/// Score of a server whose load equals its capacity; sets the resolution of the relative load.
const SCORE_SCALE: f32 = 1024.0;

/// Specification of a backend server, from the configuration and the allocation of its slots to the
/// shards.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerSpec {
    /// VM that the server runs on.
    pub vm: SmolStr,
    /// Address of the server's listener.
    pub address: SocketAddr,
    /// Service whose requests the server runs.
    pub service: ServiceKey,
    /// Slots of the server that are allocated to this entry VM.
    pub slots: u16,
    /// Connections to the server that are allocated to this entry VM.
    pub connections: u16,
}

/// Right to send one request to a backend server.
///
/// Must be given back with [`Router::release`](super::Router::release) or
/// [`Router::quarantine`](super::Router::quarantine); a slot that is dropped stays taken forever.
#[derive(Debug)]
#[must_use = "a dropped slot stays taken"]
pub struct Slot {
    pub(super) server: ServerKey,
}

impl Slot {
    /// Returns the server that the slot belongs to.
    pub fn server(&self) -> ServerKey {
        self.server
    }
}

/// Outcome of sending a request to a backend server, as observed by the entry VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The server ran the request and sent the complete response.
    Answered {
        /// Time from the first byte of the request to the last byte of the response.
        latency: Duration,
    },
    /// The server failed the request or ended the exchange before the response was complete.
    Failed,
    /// The server declined the request because all of its slots were taken.
    Declined,
    /// No connection to the server could be opened.
    ConnectFailed,
    /// The entry VM ended the exchange, so the outcome says nothing about the server.
    Abandoned,
}

/// Whether a backend server gets new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// Gets requests up to its capacity, or one at a time while its failure rate is at least
    /// `FAILING_RATE`.
    Serving,
    /// Declined a request and gets none until the given time.
    BackingOff(Instant),
    /// Failed several requests and gets none until the given time.
    Ejected(Instant),
    /// Was ejected and gets one request at a time until one is answered; a failure ejects it again
    /// if the ejection budget allows.
    Probing,
}

/// Statistics of one backend server for the status report.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerStats {
    /// VM that the server runs on.
    pub vm: SmolStr,
    /// Service of the server.
    pub service: ServiceKey,
    /// Slots allocated to this entry VM.
    pub slots: u16,
    /// Slots in use, including those in quarantine.
    pub slots_in_use: u16,
    /// Slots in quarantine.
    pub quarantined: u16,
    /// Whether the server gets no new requests because it is leaving.
    pub leaving: bool,
    /// Whether the server gets no new requests because it is suspected of leaving.
    pub suspect: bool,
    /// Whether the server gets new requests, apart from leaving and suspicion.
    pub health: Health,
    /// Moving average of the latency of answered requests.
    pub latency: Duration,
    /// Moving average of the fraction of failed requests, between 0 and 1.
    pub failure_rate: f32,
}

/// A backend server with its running requests and its health state.
#[derive(Clone, Debug)]
pub struct Server {
    pub(super) spec: ServerSpec,
    pub(super) slots_in_use: u16,
    pub(super) quarantined: u16,
    pub(super) leaving: bool,
    /// Whether the server gets no new requests because it is suspected of leaving.
    pub(super) suspect: bool,
    /// Whether the server is missing from the last set of specifications.
    pub(super) removed: bool,
    pub(super) health: Health,
    pub(super) failure_rate: f32,
    /// Failures since the last answered request or ejection.
    pub(super) consecutive_failures: u32,
    /// Ejections since the last successful probe.
    pub(super) consecutive_ejections: u32,
    /// Declined requests since the last answered request.
    pub(super) consecutive_declines: u32,
    /// Whether a timer that halves the failure rate is pending.
    pub(super) decay_pending: bool,
    pub(super) latency: Duration,
    /// Position in the index of the service; `None` without a free slot.
    pub(super) rank: Option<Rank>,
    /// Free slots of this server that are included in the total of the index.
    pub(super) counted_free: u16,
}

impl Server {
    pub(super) fn new(spec: ServerSpec) -> Self {
        Self {
            spec,
            slots_in_use: 0,
            quarantined: 0,
            leaving: false,
            suspect: false,
            removed: false,
            health: Health::Serving,
            failure_rate: 0.0,
            consecutive_failures: 0,
            consecutive_ejections: 0,
            consecutive_declines: 0,
            decay_pending: false,
            latency: Duration::ZERO,
            rank: None,
            counted_free: 0,
        }
    }

    /// Returns the VM that the server runs on.
    pub fn vm(&self) -> &SmolStr {
        &self.spec.vm
    }

    /// Returns the address of the server's listener.
    pub fn address(&self) -> SocketAddr {
        self.spec.address
    }

    /// Returns the service of the server.
    pub fn service(&self) -> ServiceKey {
        self.spec.service
    }

    /// Returns the number of connections allocated to this entry VM.
    pub fn connections(&self) -> u16 {
        self.spec.connections
    }

    /// Returns the number of slots in use, including those in quarantine.
    pub fn slots_in_use(&self) -> u16 {
        self.slots_in_use
    }

    /// Returns whether the server gets new requests, apart from leaving and suspicion.
    pub fn health(&self) -> Health {
        self.health
    }

    /// Returns the statistics for the status report.
    pub fn stats(&self) -> ServerStats {
        ServerStats {
            vm: self.spec.vm.clone(),
            service: self.spec.service,
            slots: self.spec.slots,
            slots_in_use: self.slots_in_use,
            quarantined: self.quarantined,
            leaving: self.leaving,
            suspect: self.suspect,
            health: self.health,
            latency: self.latency,
            failure_rate: self.failure_rate,
        }
    }

    /// Returns whether the server is a member of its service: neither leaving nor removed.
    pub(super) fn is_member(&self) -> bool {
        !self.leaving && !self.removed
    }

    /// Returns whether the server is ejected.
    pub(super) fn is_ejected(&self) -> bool {
        matches!(self.health, Health::Ejected(_))
    }

    /// Returns whether the server counts against the ejection budget.
    pub(super) fn is_excluded(&self) -> bool {
        self.suspect || self.is_ejected()
    }

    /// Returns the number of requests that may be sent to the server now.
    pub(super) fn free_slots(&self) -> u16 {
        if !self.is_member() || self.suspect {
            return 0;
        }
        let capacity = match self.health {
            Health::BackingOff(_) | Health::Ejected(_) => 0,
            Health::Probing => self.capacity().min(1),
            Health::Serving if self.failure_rate >= FAILING_RATE => self.capacity().min(1),
            Health::Serving => self.capacity(),
        };
        capacity.saturating_sub(self.slots_in_use)
    }

    /// Returns the server's slots that requests may use, including those in use.
    ///
    /// This is 0 for a server that is leaving, removed, ejected or suspect. Back-off, probing and
    /// throttling don't lower it.
    pub(super) fn usable_slots(&self) -> u16 {
        if self.is_member() && !self.is_excluded() {
            self.capacity()
        } else {
            0
        }
    }

    /// Returns the load relative to the capacity, where failures count as load.
    pub(super) fn score(&self) -> u32 {
        // A probing server comes first. At low load the other servers would never be loaded enough
        // for a probe to be sent.
        if self.health == Health::Probing {
            return 0;
        }
        let capacity = f32::from(self.capacity().max(1));
        let load =
            f32::from(self.slots_in_use) / capacity + FAILURE_LOAD_FACTOR * self.failure_rate;
        (load * SCORE_SCALE) as u32
    }

    /// Records an answered request.
    pub(super) fn record_response(&mut self, latency: Duration) {
        self.latency = if self.latency.is_zero() {
            latency
        } else {
            self.latency.mul_f32(1.0 - EWMA_WEIGHT) + latency.mul_f32(EWMA_WEIGHT)
        };
        self.failure_rate *= 1.0 - EWMA_WEIGHT;
        self.consecutive_failures = 0;
        self.consecutive_declines = 0;
        if self.health == Health::Probing {
            self.health = Health::Serving;
            self.consecutive_ejections = 0;
            // A successful probe is better evidence than the failures before it.
            self.failure_rate = self.failure_rate.min(FAILING_RATE / 2.0);
        }
    }

    /// Records a failed request.
    pub(super) fn record_failure(&mut self) {
        self.failure_rate += (1.0 - self.failure_rate) * EWMA_WEIGHT;
        self.consecutive_failures += 1;
    }

    /// Returns whether the recent failures warrant an ejection.
    pub(super) fn is_failing(&self, failure_threshold: u32) -> bool {
        self.consecutive_failures >= failure_threshold || self.failure_rate >= FAILING_RATE
    }

    /// Raises the failure rate so far that the server gets at most one request at a time.
    pub(super) fn throttle(&mut self) {
        self.failure_rate = self.failure_rate.max(FAILING_RATE);
    }

    fn capacity(&self) -> u16 {
        self.spec.slots.min(self.spec.connections)
    }
}
