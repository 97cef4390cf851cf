//! Placeholder of the module `limits`.
