//! Decides which manifest is accepted as the next version, which version a process puts in force,
//! and from which source it fetches a newer one.

mod apply;
mod fetch;
mod version;

pub use apply::{
    ApplyAttempt, ApplyOutcome, ApplyStep, CommitReply, HeadRow, ReadReply, VersionRow,
};
pub use fetch::{FetchSettings, PeerOffer, Source, SourceSelector};
pub use version::{InForce, OfferOutcome, Proof, evaluate_offer};
