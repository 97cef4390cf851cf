//! Placeholder of the module `claims`.
