//! Starting and stopping the backend server stand-in.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use snipevane_proto::platform::{BackendFaults, BackendRecord};
use tokio::net::{TcpListener, TcpStream};

use super::handler::{BackendState, ControlHandler, RequestHandler};
use super::settings::BackendStandinSettings;
use super::trailing_bytes::SharedTrailingBytes;
use super::trailing_io::TrailingIo;
use crate::http::{Tasks, accept_all, bind, serve};

/// Interval between attempts to bind the port again after the `refuse_connections` fault.
const REBIND_INTERVAL: Duration = Duration::from_millis(20);

/// Starts stand-ins for backend servers.
#[derive(Clone, Copy, Debug)]
pub struct Backend;

impl Backend {
    /// Starts a stand-in that serves requests and the control API.
    ///
    /// # Errors
    ///
    /// Returns an error if an address can't be bound.
    pub async fn start(settings: BackendStandinSettings) -> io::Result<RunningBackend> {
        let (listener, address) = bind(settings.listen).await?;
        let (control_listener, control_address) = bind(settings.control).await?;
        let tasks = Tasks::default();
        let state = Arc::new(BackendState::new(settings, tasks.clone()));
        tasks.spawn(accept_requests(
            listener,
            address,
            Arc::clone(&state),
            tasks.clone(),
        ));
        let control = Arc::new(ControlHandler::new(Arc::clone(&state)));
        tasks.spawn(accept_all(control_listener, control, tasks.clone()));
        Ok(RunningBackend {
            address,
            control_address,
            state,
            tasks,
        })
    }
}

/// A running stand-in for a backend server.
pub struct RunningBackend {
    address: SocketAddr,
    control_address: SocketAddr,
    state: Arc<BackendState>,
    tasks: Tasks,
}

impl RunningBackend {
    /// Returns the address at which the stand-in serves requests.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the address of the control API (faults and record).
    pub fn control_address(&self) -> SocketAddr {
        self.control_address
    }

    /// Replaces all injected faults.
    pub fn set_faults(&self, faults: BackendFaults) {
        self.state.set_faults(faults);
    }

    /// Returns a copy of the record.
    pub fn record(&self) -> BackendRecord {
        self.state.record()
    }

    /// Clears the recorded runs and counters.
    pub fn reset_record(&self) {
        self.state.reset_record();
    }

    /// Closes the ports and all connections, and aborts running requests.
    pub async fn stop(self) {
        self.tasks.stop().await;
    }
}

async fn accept_requests(
    mut listener: TcpListener,
    address: SocketAddr,
    state: Arc<BackendState>,
    tasks: Tasks,
) {
    loop {
        tokio::select! {
            () = state.connections_refused(true) => {
                drop(listener);
                state.connections_refused(false).await;
                listener = rebind(address).await;
            }
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted {
                    tasks.spawn(serve_requests(stream, Arc::clone(&state)));
                }
            }
        }
    }
}

async fn rebind(address: SocketAddr) -> TcpListener {
    loop {
        match TcpListener::bind(address).await {
            Ok(listener) => return listener,
            Err(_) => tokio::time::sleep(REBIND_INTERVAL).await,
        }
    }
}

async fn serve_requests(stream: TcpStream, state: Arc<BackendState>) {
    // A failure only delays small responses.
    let _ = stream.set_nodelay(true);
    let Some(_open) = state.open_connection() else {
        return;
    };
    let trailing_bytes = SharedTrailingBytes::default();
    let io = TrailingIo::new(stream, Arc::clone(&trailing_bytes));
    serve(io, Arc::new(RequestHandler::new(state, trailing_bytes))).await;
}
