//! Starting and stopping the platform stand-in.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use snipevane_proto::platform::{PlatformFaults, PlatformRecord, Vm, WorkerSpec};

use super::handler::PlatformHandler;
use super::settings::PlatformStandinSettings;
use crate::http::{Tasks, accept_all, bind};

/// Starts stand-ins for the platform.
#[derive(Clone, Copy, Debug)]
pub struct Platform;

impl Platform {
    /// Starts a stand-in that serves the platform's API and the control API.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub async fn start(settings: PlatformStandinSettings) -> io::Result<RunningPlatform> {
        let (listener, address) = bind(settings.listen).await?;
        let tasks = Tasks::default();
        let handler = Arc::new(PlatformHandler::new(settings, tasks.clone()));
        tasks.spawn(accept_all(listener, Arc::clone(&handler), tasks.clone()));
        Ok(RunningPlatform {
            address,
            handler,
            tasks,
        })
    }
}

/// A running stand-in for the platform.
pub struct RunningPlatform {
    address: SocketAddr,
    handler: Arc<PlatformHandler>,
    tasks: Tasks,
}

impl RunningPlatform {
    /// Returns the address on which the stand-in listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces all injected faults.
    pub fn set_faults(&self, faults: PlatformFaults) {
        self.handler.set_faults(faults);
    }

    /// Sets the VM list, which callers see after the configured lag.
    pub fn set_vms(&self, vms: Vec<Vm>) {
        self.handler.set_vms(vms);
    }

    /// Sets the workers; workers that were there before keep their leases and tasks.
    pub fn set_workers(&self, workers: Vec<WorkerSpec>) {
        self.handler.set_workers(workers);
    }

    /// Returns a copy of the record.
    pub fn record(&self) -> PlatformRecord {
        self.handler.record()
    }

    /// Closes the port and all connections.
    pub async fn stop(self) {
        self.tasks.stop().await;
    }
}
