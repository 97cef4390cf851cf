//! API keys of teams: issue, verification, permanent withdrawal (revocation), and replication
//! between peers.

mod cut_off;
mod row;
mod store;

pub use cut_off::CutOffPolicy;
pub use row::{KeyId, KeyRow};
pub use store::{KeyError, KeyStore, MergeOutcome};
