//! Placeholder of the module `keys`.
