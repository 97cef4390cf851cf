//! Shared parts of the test suites.

pub mod requests;
