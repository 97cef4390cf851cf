//! Placeholder of the module `tasks`.
