//! Workers of the platform's stand-in: tasks under leases, reports with a lag.

mod fleet;
mod task;

pub(crate) use fleet::WorkerFleet;
