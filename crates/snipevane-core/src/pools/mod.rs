//! Placeholder of the module `pools`.
