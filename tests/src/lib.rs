//! Shared parts of the test suites.

pub mod fleet;
pub mod requests;
