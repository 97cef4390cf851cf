//! Which configuration is accepted, which is in force, and where a newer one is fetched.

mod apply;
mod fetch;
mod version;

pub use apply::{Apply, ApplyOutcome, ApplyStep, CommitAnswer, HeadRow, Landed, ReadAnswer};
pub use fetch::{FetchPlan, FetchSettings, PeerOffer, Source};
pub use version::{Acceptance, InForce, Proof, acceptance};
