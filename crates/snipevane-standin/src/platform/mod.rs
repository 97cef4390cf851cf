//! The platform's stand-in: table, object store, VM list, record and fault switches.

mod handler;
mod rate;
mod reboots;
mod record;
mod server;
mod settings;
mod store;
mod vms;
mod workers;

pub use server::{Platform, RunningPlatform};
pub use settings::PlatformStandinSettings;
