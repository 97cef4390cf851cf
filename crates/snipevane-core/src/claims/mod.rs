//! At-most-once execution of non-idempotent requests within one shard.

mod answer;
mod settings;
mod shard_claims;
mod witness;

pub use answer::Answer;
pub use settings::ClaimSettings;
pub use shard_claims::{Claim, ClaimTicket, Claims, Finish};
pub use witness::{Testimony, Witness};
