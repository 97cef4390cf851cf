//! Interference between tasks on a minion: which images raise the tail latency of which others, and
//! what placement, throttling and relocation make of it.

pub(super) mod effect;
pub(super) mod effects;
pub(super) mod neighbours;
pub(super) mod observation;
pub(super) mod relocation;
pub(super) mod shares;
pub(super) mod track;
