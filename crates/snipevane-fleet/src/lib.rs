//! The daemon that takes jobs from callers and runs their tasks on minions.
//!
//! Each entry VM runs one process, on one thread. [`caller`] takes jobs, writes them to the store,
//! and answers for their state. One of the processes holds the scheduler's term and runs
//! [`scheduling`]: it reads new jobs from the store, decides with
//! [`snipevane_core::jobs::Scheduler`], sends orders to minions, and writes ends to the store.

pub mod caller;
pub mod client;
pub mod clock;
pub mod events;
mod flags;
pub mod logging;
pub mod metrics;
pub mod node;
pub mod peers;
pub mod process;
pub mod rows;
pub mod scheduling;
pub mod site_view;
pub mod store;
