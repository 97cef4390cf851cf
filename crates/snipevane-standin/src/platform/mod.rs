//! Stand-in for the platform: table, object store, VM list, workers, record and fault injection.

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
