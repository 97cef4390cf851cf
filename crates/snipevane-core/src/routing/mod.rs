//! Placeholder of the module `routing`.
