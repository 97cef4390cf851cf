//! Simulated workers of the platform stand-in, which run tasks under leases and report with a lag.

mod fleet;
mod task;

pub(crate) use fleet::WorkerFleet;
