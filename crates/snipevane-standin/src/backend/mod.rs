//! Stand-in for a backend server, with request slots, a record of its runs and fault injection.

mod body;
mod handler;
mod record;
mod server;
mod settings;
mod test_headers;
mod trailing_bytes;
mod trailing_io;

pub use record::most_running;
pub use server::{Backend, RunningBackend};
pub use settings::BackendStandinSettings;
