//! The stand-in of a backend server: slots, record and fault switches.

mod body;
mod handler;
mod record;
mod server;
mod settings;
mod test_headers;
mod trailing_io;

pub use record::most_running;
pub use server::{Backend, RunningBackend};
pub use settings::BackendStandinSettings;
