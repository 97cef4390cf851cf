//! An entry VM's process: its state and what works on it.

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
use crate::peer::PeerBytes;
use crate::settings::Settings;
use crate::state::State;

/// An entry VM's process.
pub(crate) struct Node<C> {
    /// Settings.
    pub(crate) settings: Settings,
    /// Clock.
    pub(crate) clock: C,
    /// Incarnation of the process.
    pub(crate) incarnation: Uuid,
    /// Start of the process.
    pub(crate) started: Instant,
    /// Address of the peer listener, as bound.
    pub(crate) peer_address: SocketAddr,
    /// Log and time line.
    pub(crate) journal: Journal,
    /// Connections to backend servers.
    pub(crate) backends: ConnectionPool,
    /// Connections for forwarded requests.
    pub(crate) forwards: ConnectionPool,
    /// Wakes the loop that fetches a version which a peer has and this process lacks.
    pub(crate) newer_version: Notify,
    /// Bytes of the peer listener.
    pub(crate) peer_bytes: Arc<PeerBytes>,
    /// Grows when peers' free units and slots are news.
    peer_capacity: watch::Sender<u64>,
    state: Mutex<State>,
    stopping: AtomicBool,
    in_flight: AtomicUsize,
}

impl<C: Clock> Node<C> {
    /// Creates a process that has no configuration yet.
    pub(crate) fn new(settings: Settings, clock: C, peer_address: SocketAddr) -> Arc<Self> {
        let pool = PoolSettings {
            connect_timeout: settings.timings.connect_timeout,
            max_answer_bytes: settings.max_answer_bytes,
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
            peer_bytes: Arc::default(),
            peer_capacity: watch::Sender::new(0),
            state: Mutex::new(state),
            stopping: AtomicBool::new(false),
            in_flight: AtomicUsize::new(0),
            settings,
            clock,
        })
    }

    /// Records an event with its fields, in the order of the catalogue.
    pub(crate) fn record(&self, kind: &EventKind, values: &[&dyn Display]) {
        self.journal.record(kind, self.clock.unix_ms(), values);
    }

    /// Locks the state; never held over an await point.
    pub(crate) fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock()
    }

    /// Returns the monotonic time.
    pub(crate) fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Grants units and slots to waiting requests.
    pub(crate) fn dispatch(&self) {
        let grants = self.state().next_grants(self.now());
        for (waiter, parts) in grants {
            // The receiver gives back what it no longer wants; see `request::place`.
            if let Err(parts) = waiter.tx.send(parts) {
                let now = self.now();
                let mut state = self.state();
                state.give_back(
                    parts,
                    snipevane_core::routing::RequestOutcome::Abandoned,
                    now,
                );
            }
        }
    }

    /// Tells waiting requests that peers may have room.
    pub(crate) fn notify_peer_capacity(&self) {
        self.peer_capacity
            .send_modify(|count| *count = count.wrapping_add(1));
    }

    /// Returns a receiver of news of peers' room.
    pub(crate) fn subscribe_peer_capacity(&self) -> watch::Receiver<u64> {
        self.peer_capacity.subscribe()
    }

    /// Begins a planned stop; returns false if it had begun.
    pub(crate) fn begin_stop(&self) -> bool {
        !self.stopping.swap(true, Ordering::SeqCst)
    }

    /// Tells whether a planned stop has begun.
    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::SeqCst)
    }

    /// Returns the number of requests that are in flight.
    pub(crate) fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::SeqCst)
    }

    /// Counts a request as in flight until the guard is dropped.
    pub(crate) fn count_in_flight(self: &Arc<Self>) -> InFlight<C> {
        self.in_flight.fetch_add(1, Ordering::SeqCst);
        InFlight(self.clone())
    }

    /// Says why the process isn't ready, if it isn't.
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

/// A request that is in flight.
pub(crate) struct InFlight<C>(Arc<Node<C>>);

impl<C> Drop for InFlight<C> {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}
