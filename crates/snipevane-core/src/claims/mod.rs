//! At-most-once execution of non-idempotent requests within one shard.
//!
//! A request carries an identifier (its idempotency key), which is a UUID of version 7. The holder
//! of the identifier's shard claims the identifier before the request is run. Retries with the same
//! identifier get the outcome that the claim records.

mod response;
mod settings;
mod shard_claims;
mod witness;

pub use response::StoredResponse;
pub use settings::ClaimSettings;
pub use shard_claims::{ClaimOutcome, ClaimTicket, Claims, RunOutcome};
pub use witness::{SealOutcome, Witness};
