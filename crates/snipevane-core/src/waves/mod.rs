//! Placeholder of the module `waves`.
