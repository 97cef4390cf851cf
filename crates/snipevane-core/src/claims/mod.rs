//! At-most-once execution of non-idempotent requests within one shard.

mod response;
mod settings;
mod shard_claims;
mod witness;

pub use response::StoredResponse;
pub use settings::ClaimSettings;
pub use shard_claims::{ClaimOutcome, ClaimTicket, Claims, RunOutcome};
pub use witness::{SealOutcome, Witness};
