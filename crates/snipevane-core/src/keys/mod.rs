//! Keys of teams: given, checked, withdrawn for good, spread from peer to peer.

mod cut_off;
mod row;
mod store;

pub use cut_off::CutOffPolicy;
pub use row::{KeyId, KeyRow};
pub use store::{KeyError, KeyStore, MergeOutcome};
