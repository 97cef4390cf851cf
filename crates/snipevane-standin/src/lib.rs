//! Stand-ins for the platform and for backend servers.
//!
//! Both keep a record of what they did and take fault switches over HTTP. They run inside a process
//! ([`Platform::start`], [`Backend::start`]) or as processes of their own (`snipevane-standin`).

mod backend;
mod http;
mod platform;
mod settings_file;

pub mod process;

pub use backend::{Backend, BackendStandinSettings, RunningBackend, most_running};
pub use platform::{Platform, PlatformStandinSettings, RunningPlatform};
pub use settings_file::{SettingsFile, read_settings};
