//! Placeholder of the module `shards`.
