//! The platform's list of VMs.

use std::future::Future;
use std::net::SocketAddr;

use smol_str::SmolStr;

pub use snipevane_proto::platform::{VmRole, VmState};

use crate::error::PlatformError;

/// A VM in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VmEntry {
    /// Unique name.
    pub id: SmolStr,
    /// What the VM is for.
    pub role: VmRole,
    /// Address at which the VM serves.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: SmolStr,
    /// Rack within the zone.
    pub rack: SmolStr,
    /// Whether the VM stays.
    pub state: VmState,
}

/// The platform's list of VMs, which lags behind what happens.
pub trait VmList: Send + Sync + 'static {
    /// Fetches the list; a VM that is gone is absent.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform didn't answer with the whole list.
    fn list(&self) -> impl Future<Output = Result<Vec<VmEntry>, PlatformError>> + Send;

    /// Reboots a VM, once for each operation; returns whether it's up again.
    ///
    /// A repeated call with the same operation starts nothing and tells how far the reboot is.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform didn't answer; the reboot may have started.
    fn reboot(
        &self,
        vm: &str,
        operation: u64,
    ) -> impl Future<Output = Result<bool, PlatformError>> + Send;
}
