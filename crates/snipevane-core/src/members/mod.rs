//! Placeholder of the module `members`.
