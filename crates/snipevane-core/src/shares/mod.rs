//! Placeholder of the module `shares`.
