//! Start and graceful shutdown of an entry VM.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use snipevane_core::clock::Clock;
use snipevane_core::config::Findings;
use snipevane_core::config::in_force::{FetchSettings, SourceSelector};
use snipevane_listeners::Gate;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::control::{Control, Platform};
use crate::journal::kinds;
use crate::listeners::{Client, Counter, Gates};
use crate::metrics::Metrics;
use crate::node::Node;
use crate::peer::PeerClient;
use crate::settings::Settings;
use crate::{caller, operator, peer};

/// Interval at which the requests in flight are checked during a planned stop.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Bound listeners of an entry VM.
#[derive(Debug)]
pub struct Listeners {
    caller: TcpListener,
    peer: TcpListener,
    operator: TcpListener,
    gates: Gates,
}

impl Listeners {
    /// Binds all listener addresses of the settings. `file` is named in the findings.
    ///
    /// # Errors
    ///
    /// Returns a finding for each address that can't be bound.
    pub async fn bind(file: &str, settings: &Settings) -> Result<Self, Findings> {
        let mut findings = Findings::new(file);
        let gates = Gates::new(settings);
        let mut bind =
            |pointer, gate: &Gate<Counter>, address| bind(pointer, gate, address, &mut findings);
        let caller = bind("/caller_address", &gates.callers, settings.caller_address);
        let peer = bind("/peer_address", &gates.peers, settings.peer_address);
        let operator = bind(
            "/operator_address",
            &gates.operators,
            settings.operator_address,
        );
        match (caller, peer, operator) {
            (Some(caller), Some(peer), Some(operator)) => Ok(Self {
                caller,
                peer,
                operator,
                gates,
            }),
            _ => Err(findings),
        }
    }
}

fn bind(
    pointer: &str,
    gate: &Gate<Counter>,
    address: SocketAddr,
    findings: &mut Findings,
) -> Option<TcpListener> {
    match gate.bind(address) {
        Ok(listener) => Some(listener),
        Err(error) => {
            let message = format!("{address} can't be bound: {error}");
            findings.add(pointer, message, "specify a free port of this VM");
            None
        }
    }
}

/// Running entry VM.
pub struct RunningEntry<P, C> {
    control: Arc<Control<P, C>>,
    caller_address: SocketAddr,
    peer_address: SocketAddr,
    operator_address: SocketAddr,
    background_tasks: TaskTracker,
    stop_background: CancellationToken,
    stop_callers: CancellationToken,
    connections: TaskTracker,
}

impl<P: Platform, C: Clock> RunningEntry<P, C> {
    /// Starts an entry VM on bound listeners.
    ///
    /// # Errors
    ///
    /// Returns an error if the local address of a listener can't be determined.
    pub fn start(
        settings: Settings,
        listeners: Listeners,
        platform: P,
        clock: C,
    ) -> io::Result<Self> {
        let caller_address = listeners.caller.local_addr()?;
        let peer_address = listeners.peer.local_addr()?;
        let operator_address = listeners.operator.local_addr()?;
        let peers = PeerClient::new(&settings.peer_key, settings.timings.peer_timeout);
        let node = Node::new(
            settings,
            clock,
            peer_address,
            listeners.gates.incidents.clone(),
        );
        let vm = &node.settings.vm;
        let zone = &node.settings.zone;
        node.record(&kinds::STARTED, &[vm, zone, &node.incarnation]);
        let source_selector = SourceSelector::new(
            node.settings.vm.clone(),
            node.settings.zone.clone(),
            FetchSettings::default(),
        );
        let control = Arc::new(Control {
            node,
            platform,
            peers,
            coordinators: Mutex::default(),
            source_selector: Mutex::new(source_selector),
            serving_checked_at: Mutex::default(),
        });
        let entry = Self {
            control,
            caller_address,
            peer_address,
            operator_address,
            background_tasks: TaskTracker::new(),
            stop_background: CancellationToken::new(),
            stop_callers: CancellationToken::new(),
            connections: TaskTracker::new(),
        };
        entry
            .control
            .start(&entry.background_tasks, &entry.stop_background);
        let gates = listeners.gates;
        entry.accept_callers(listeners.caller, gates.callers);
        entry.accept_peers(listeners.peer, gates.peers);
        entry.accept_operators(listeners.operator, gates.operators);
        Ok(entry)
    }

    /// Returns the address of the listener for callers.
    pub fn caller_address(&self) -> SocketAddr {
        self.caller_address
    }

    /// Returns the address of the listener for other entry VMs.
    pub fn peer_address(&self) -> SocketAddr {
        self.peer_address
    }

    /// Returns the address of the listener for operators.
    pub fn operator_address(&self) -> SocketAddr {
        self.operator_address
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> usize {
        self.control.node.in_flight()
    }

    /// Shuts down gracefully, without interrupting requests in flight.
    ///
    /// Fails the health check, gives the load balancer time to deregister the VM, stops accepting
    /// callers' connections, waits for the requests in flight, and releases the shards.
    pub async fn stop(self) {
        let node = &self.control.node;
        if !node.begin_stop() {
            return;
        }
        node.record(&kinds::STOPPING, &[&node.in_flight()]);
        // The heartbeats tell peers to forward no more requests to this VM.
        self.control.send_heartbeats().await;
        sleep(node.settings.timings.deregistration_delay).await;
        self.stop_callers.cancel();
        self.connections.close();
        self.connections.wait().await;
        // The shards can't be released while requests that may still run hold units or slots.
        while node.in_flight() > 0 || !node.state().is_idle() {
            sleep(DRAIN_POLL_INTERVAL).await;
        }
        self.control.release_shards().await;
        self.abort();
        node.record(&kinds::STOPPED, &[&0]);
    }

    /// Stops at once, as a crash would; operations already under way may still complete.
    pub fn abort(&self) {
        self.stop_callers.cancel();
        self.stop_background.cancel();
    }

    fn accept_callers(&self, listener: TcpListener, gate: Arc<Gate<Counter>>) {
        let node = self.control.node.clone();
        let (connections, stop) = (self.connections.clone(), self.stop_callers.clone());
        let max_head_bytes = node.settings.max_header_bytes;
        self.background_tasks.spawn(async move {
            while let Some((stream, client)) = accept(&gate, &listener, max_head_bytes, &stop).await
            {
                let (node, stop) = (node.clone(), stop.clone());
                connections.spawn(caller::serve_connection(node, stream, client, stop));
            }
        });
    }

    fn accept_peers(&self, listener: TcpListener, gate: Arc<Gate<Counter>>) {
        let (control, stop) = (self.control.clone(), self.stop_background.clone());
        let max_head_bytes = peer::max_head_bytes(&control.node.settings);
        self.background_tasks.spawn(async move {
            while let Some((stream, client)) = accept(&gate, &listener, max_head_bytes, &stop).await
            {
                let (control, stop) = (control.clone(), stop.clone());
                tokio::spawn(async move {
                    tokio::select! {
                        () = stop.cancelled() => {}
                        () = peer::serve_connection(control, stream, client) => {}
                    }
                });
            }
        });
    }

    fn accept_operators(&self, listener: TcpListener, gate: Arc<Gate<Counter>>) {
        let (control, stop) = (self.control.clone(), self.stop_background.clone());
        let max_head_bytes = control.node.settings.max_header_bytes;
        let metrics = Arc::new(Metrics::new());
        self.background_tasks.spawn(async move {
            while let Some((stream, client)) = accept(&gate, &listener, max_head_bytes, &stop).await
            {
                let (control, metrics, stop) = (control.clone(), metrics.clone(), stop.clone());
                tokio::spawn(async move {
                    tokio::select! {
                        () = stop.cancelled() => {}
                        () = operator::serve_connection(control, metrics, stream, client) => {}
                    }
                });
            }
        });
    }
}

async fn accept(
    gate: &Arc<Gate<Counter>>,
    listener: &TcpListener,
    max_head_bytes: usize,
    stop: &CancellationToken,
) -> Option<(TcpStream, Arc<Client>)> {
    let (stream, client) = tokio::select! {
        () = stop.cancelled() => return None,
        accepted = gate.accept(listener, || max_head_bytes) => accepted,
    };
    // With Nagle's algorithm, small responses would wait for the acknowledgement of the previous
    // segment. A failure means that the connection has ended, which its first read tells.
    let _ = stream.set_nodelay(true);
    Some((stream, client))
}
