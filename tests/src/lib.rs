//! Shared parts of the test suites.
