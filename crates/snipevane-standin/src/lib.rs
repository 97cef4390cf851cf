//! Stand-ins for the platform and for backend servers.
//!
//! They replace the real services in tests and demos. Both record what they do and take faults to
//! inject over HTTP. They run within a process ([`Platform::start`], [`Backend::start`]) or as
//! separate processes (`snipevane-standin`).

mod backend;
mod http;
mod platform;
mod settings_file;

pub mod process;

pub use backend::{Backend, BackendStandinSettings, RunningBackend, most_running};
pub use platform::{Platform, PlatformStandinSettings, RunningPlatform};
pub use settings_file::{SettingsFile, read_settings};
