//! The platform's stand-in: table, object store, VM list, record and fault switches.

mod handler;
mod reboots;
mod record;
mod server;
mod settings;
mod store;
mod token_bucket;
mod vms;
mod workers;

pub use server::{Platform, RunningPlatform};
pub use settings::PlatformStandinSettings;
