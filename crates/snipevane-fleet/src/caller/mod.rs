//! HTTP interface for callers, which submit jobs, query their state and cancel them.

mod admission;
mod cancellation;
mod change_queue;
mod handler;
mod job_writer;
mod listener;
mod open_request;
mod outcome;
mod paced_writes;
mod pending_change;
mod recent_submissions;
mod reply;
mod stored_progress;
mod target;
mod uncertain_writes;

pub use job_writer::JobWriter;
pub use listener::{serve_callers, serve_readiness};
pub use outcome::Outcome;
