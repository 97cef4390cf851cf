//! Shared parts of the test suites.

pub mod fleet;
pub mod naive_queue;
pub mod naive_router;
pub mod requests;
pub mod target_manifest;
