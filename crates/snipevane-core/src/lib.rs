//! Decisions of the fleet manager: state, event and time in, actions out.
//!
//! The crate does no I/O, has no async code and no clock of its own. A request reads the modules
//! in this order: [`keys`], [`limits`], [`shares`], [`routing`]; [`claims`] decides for
//! non-idempotent requests whether they run at all.

pub mod claims;
pub mod clock;
pub mod config;
pub mod events;
pub mod ids;
pub mod jobs;
pub mod keys;
pub mod limits;
pub mod members;
pub mod placement;
pub mod pools;
pub mod routing;
pub mod shards;
pub mod shares;
pub mod term;
pub mod timeline;
