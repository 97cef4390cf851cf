//! Decision logic of the fleet manager, as functions from state, events and time to actions.
//!
//! The crate does no I/O and has no async code and no clock of its own. A request passes through
//! the modules [`keys`], [`limits`], [`shares`] and [`routing`], in this order. For non-idempotent
//! requests, [`claims`] decides whether they run at all.

pub mod backoff;
pub mod batch_limit;
pub mod candidates;
pub mod claim_turn;
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
pub mod reach;
pub mod reach_reports;
pub mod relay_policy;
pub mod reply_time;
pub mod retry_tokens;
pub mod routing;
pub mod senders;
pub mod shards;
pub mod shares;
pub mod store_rates;
pub mod term;
pub mod timeline;
mod token_bucket;
pub mod tombstone_budget;
pub mod write_pacing;
pub mod write_queue;
