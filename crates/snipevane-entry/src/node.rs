//! Shared state of an entry VM's process.

use std::fmt::Display;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Instant;

use parking_lot::{Mutex, MutexGuard};
use smol_str::SmolStr;
use snipevane_core::clock::Clock;
use snipevane_proto::operator::ProcessId;
use tokio::sync::{Notify, watch};
use uuid::Uuid;

use crate::backend::{ConnectionPool, PoolSettings};
use crate::journal::{EventKind, Journal};
use crate::listeners::{Answers, Incidents};
use crate::peer::PeerBytes;
use crate::settings::Settings;
use crate::state::State;

/// Shared state of an entry VM's process.
pub(crate) struct Node<C> {
    /// Settings of the daemon.
    pub(crate) settings: Settings,
    /// Source of monotonic and wall-clock time.
    pub(crate) clock: C,
    /// Identifier of this run of the process.
    pub(crate) incarnation: Uuid,
    /// Start time of the process.
    pub(crate) started: Instant,
    /// Bound address of the peer listener.
    pub(crate) peer_address: SocketAddr,
    /// Recorder for the log and the time line.
    pub(crate) journal: Journal,
    /// Connection pool for backend servers.
    pub(crate) backends: ConnectionPool,
    /// Connection pool for requests forwarded to peers.
    pub(crate) forwards: ConnectionPool,
    /// Wakes the loop that fetches configurations when a peer has a newer version than this
    /// process.
    pub(crate) newer_version: Notify,
    /// Memory of answers that callers haven't read.
    pub(crate) caller_answers: Arc<Answers>,
    /// What happened at the listeners' limits.
    pub(crate) incidents: Arc<Incidents>,
    /// Byte counters of the peer listener.
    pub(crate) peer_bytes: Arc<PeerBytes>,
    /// Counter that increases whenever peers' free units and slots may have changed.
    peer_capacity: watch::Sender<u64>,
    state: Mutex<State>,
    stopping: AtomicBool,
    in_flight: AtomicUsize,
}

impl<C: Clock> Node<C> {
    /// Creates the state of a process that has no configuration yet.
    pub(crate) fn new(
        settings: Settings,
        clock: C,
        peer_address: SocketAddr,
        incidents: Arc<Incidents>,
    ) -> Arc<Self> {
        let pool = PoolSettings {
            connect_timeout: settings.timings.connect_timeout,
            max_response_bytes: settings.max_answer_bytes,
            ..PoolSettings::default()
        };
        let mut state = State::new(settings.vm.clone(), settings.zone.clone());
        for peer in &settings.peers {
            state.peers.add(&peer.vm, &peer.zone, peer.address);
        }
        let incarnation = Uuid::now_v7();
        let process = ProcessId {
            vm: settings.vm.to_string(),
            incarnation,
        };
        Arc::new(Self {
            incarnation,
            started: clock.now(),
            peer_address,
            journal: Journal::new(process),
            backends: ConnectionPool::new(pool),
            forwards: ConnectionPool::new(pool),
            newer_version: Notify::new(),
            caller_answers: Answers::new(settings.max_answers_bytes),
            incidents,
            peer_bytes: Arc::default(),
            peer_capacity: watch::Sender::new(0),
            state: Mutex::new(state),
            stopping: AtomicBool::new(false),
            in_flight: AtomicUsize::new(0),
            settings,
            clock,
        })
    }

    /// Records an event at the current time. `values` are in the order of the fields in the
    /// catalogue.
    pub(crate) fn record(&self, kind: &EventKind, values: &[&dyn Display]) {
        self.journal.record(kind, self.clock.unix_ms(), values);
    }

    /// Locks the state. The guard must never be held across an await point.
    pub(crate) fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock()
    }

    /// Returns the current monotonic time.
    pub(crate) fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Grants units and slots to waiting requests.
    pub(crate) fn dispatch(&self) {
        let grants = self.state().next_grants(self.now());
        for (waiter, parts) in grants {
            // If the waiter is gone, its grant is returned here. A waiter that no longer needs a
            // grant it has received returns it itself; see `request::place`.
            if let Err(parts) = waiter.tx.send(parts) {
                let now = self.now();
                let mut state = self.state();
                state.release_grant(
                    parts,
                    snipevane_core::routing::RequestOutcome::Abandoned,
                    now,
                );
            }
        }
    }

    /// Notifies waiting requests that peers may have free capacity.
    pub(crate) fn notify_peer_capacity(&self) {
        self.peer_capacity
            .send_modify(|count| *count = count.wrapping_add(1));
    }

    /// Returns a receiver that is notified when peers' free capacity may have changed.
    pub(crate) fn subscribe_peer_capacity(&self) -> watch::Receiver<u64> {
        self.peer_capacity.subscribe()
    }

    /// Begins a planned stop; returns false if one had already begun.
    pub(crate) fn begin_stop(&self) -> bool {
        !self.stopping.swap(true, Ordering::SeqCst)
    }

    /// Tells whether a planned stop has begun.
    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::SeqCst)
    }

    /// Returns the number of requests in flight.
    pub(crate) fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::SeqCst)
    }

    /// Counts a request as in flight until the guard is dropped.
    pub(crate) fn count_in_flight(self: &Arc<Self>) -> InFlight<C> {
        self.in_flight.fetch_add(1, Ordering::SeqCst);
        InFlight(self.clone())
    }

    /// Returns the reason why the process isn't ready, or `None` if it is ready.
    pub(crate) fn unready_reason(&self) -> Option<SmolStr> {
        if self.is_stopping() {
            return Some("planned stop".into());
        }
        let state = self.state();
        if state.site.version == 0 {
            return Some("no configuration from the platform or a peer yet".into());
        }
        None
    }
}

/// Guard that counts a request as in flight until it is dropped.
pub(crate) struct InFlight<C>(Arc<Node<C>>);

impl<C> Drop for InFlight<C> {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}
