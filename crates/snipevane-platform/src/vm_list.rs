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
    /// Role of the VM.
    pub role: VmRole,
    /// Address at which the VM accepts requests.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: SmolStr,
    /// Rack within the zone.
    pub rack: SmolStr,
    /// Lifecycle state of the VM.
    pub state: VmState,
}

/// The platform's list of VMs, which lags behind the actual state.
pub trait VmList: Send + Sync + 'static {
    /// Fetches the list. VMs that are gone aren't listed.
    ///
    /// # Errors
    ///
    /// Returns an error if the whole list wasn't received.
    fn list(&self) -> impl Future<Output = Result<Vec<VmEntry>, PlatformError>> + Send;

    /// Reboots a VM once per operation, and returns whether the VM is up again.
    ///
    /// A repeated call with the same operation starts no further reboot and returns whether the
    /// first one is complete.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform didn't confirm the call; the reboot may have started.
    fn reboot(
        &self,
        vm: &str,
        operation: u64,
    ) -> impl Future<Output = Result<bool, PlatformError>> + Send;
}
