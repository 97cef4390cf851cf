//! The entry VM, which passes requests of callers on to backend servers.
//!
//! The daemon `snipevane-entry` runs this library through [`process::run`]; other programs embed it
//! through [`RunningEntry`].

mod backend;
mod caller;
mod control;
mod daemon;
mod health_signals;
mod listeners;
mod metrics;
mod node;
mod operator;
mod peer;
mod request;
mod state;

pub mod journal;
pub mod process;
pub mod settings;

pub use control::Platform;
pub use daemon::{Listeners, RunningEntry};
