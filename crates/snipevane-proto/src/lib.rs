//! Types of everything that crosses a process boundary: the manifest, settings, HTTP headers, peer
//! and operator messages, platform messages and table rows.
//!
//! The example `generate` generates the message types from the schemas in `schemas/`.

pub mod digest;
pub mod headers;
pub mod manifest;
pub mod operator;
pub mod peer;
pub mod platform;
pub mod repair;
pub mod rows;
pub mod schema;
pub mod settings;

#[allow(
    clippy::all,
    clippy::unwrap_used,
    clippy::expect_used,
    missing_docs,
    unreachable_pub,
    dead_code
)]
#[rustfmt::skip]
mod generated {
    pub(crate) mod entry_settings;
    pub(crate) mod manifest;
    pub(crate) mod operator;
    pub(crate) mod peer;
    pub(crate) mod platform;
    pub(crate) mod rows;
}
