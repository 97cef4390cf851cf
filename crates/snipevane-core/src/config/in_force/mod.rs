//! Which configuration is accepted, which is in force, and where a newer one is fetched.

mod apply;
mod fetch;
mod version;

pub use apply::{
    ApplyAttempt, ApplyOutcome, ApplyStep, CommitReply, HeadRow, ReadReply, VersionRow,
};
pub use fetch::{FetchSettings, PeerOffer, Source, SourceSelector};
pub use version::{InForce, OfferOutcome, Proof, evaluate_offer};
