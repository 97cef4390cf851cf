//! Shared parts of the test suites.
pub mod target_manifest;
