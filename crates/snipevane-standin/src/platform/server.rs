//! Starting and stopping the platform's stand-in.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use snipevane_proto::platform::{PlatformFaults, PlatformRecord, Vm, WorkerSpec};

use super::handler::PlatformHandler;
use super::settings::PlatformStandinSettings;
use crate::http::{Tasks, accept_all, bind};

/// The platform's stand-in.
#[derive(Clone, Copy, Debug)]
pub struct Platform;

impl Platform {
    /// Starts the stand-in.
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

/// A running stand-in of the platform.
pub struct RunningPlatform {
    address: SocketAddr,
    handler: Arc<PlatformHandler>,
    tasks: Tasks,
}

impl RunningPlatform {
    /// Returns the address at which the stand-in listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets all fault switches.
    pub fn set_faults(&self, faults: PlatformFaults) {
        self.handler.set_faults(faults);
    }

    /// Sets the VM list, which callers see after its lag.
    pub fn set_vms(&self, vms: Vec<Vm>) {
        self.handler.set_vms(vms);
    }

    /// Sets the workers; those that stay keep their leases and tasks.
    pub fn set_workers(&self, workers: Vec<WorkerSpec>) {
        self.handler.set_workers(workers);
    }

    /// Returns the record.
    pub fn record(&self) -> PlatformRecord {
        self.handler.record()
    }

    /// Closes all connections and the port.
    pub async fn stop(self) {
        self.tasks.stop().await;
    }
}
