//! A small site of separate processes: platform, backend servers and entry VMs on loopback.

mod caller;
mod load;
mod options;
mod process;
mod running;

pub use caller::{Answer, CallError, Caller};
pub use load::{Attempt, Load, Outcomes, send_load};
pub use options::{SiteOptions, manifest};
pub use process::Process;
pub use running::{BackendVm, EntryVm, Site, until};
