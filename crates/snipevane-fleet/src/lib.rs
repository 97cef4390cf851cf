//! Daemon that accepts jobs from callers and runs their tasks on minions.
//!
//! Each entry VM runs one single-threaded process. [`caller`] accepts jobs, writes them to the
//! store, and reports their state. One of the processes, the leader, holds the scheduler's term and
//! runs [`scheduling`]: it reads new jobs from the store, makes decisions with
//! [`snipevane_core::jobs::Scheduler`], sends orders to minions, and writes the ends of jobs to the
//! store. Other processes send start orders on its behalf ([`senders`]).

pub mod caller;
pub mod client;
pub mod clock;
pub mod events;
mod flags;
pub mod job_rows;
pub mod listeners;
pub mod logging;
pub mod metrics;
pub mod minion_rows;
pub mod node;
pub mod peers;
pub mod process;
pub mod progress_rows;
pub mod rows;
pub mod scheduling;
pub mod senders;
pub mod site_view;
pub mod store;
