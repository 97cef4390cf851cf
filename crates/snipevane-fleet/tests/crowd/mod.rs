//! A crowd of clients that send what no legal client does, and what a daemon uses meanwhile.

pub(crate) mod clients;
pub(crate) mod script;
pub(crate) mod usage;
