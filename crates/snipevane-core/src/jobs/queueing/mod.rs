//! Order in which waiting steps are placed.

pub(super) mod precedence;
pub(super) mod queue;
pub(super) mod rank;
pub(super) mod shares;
