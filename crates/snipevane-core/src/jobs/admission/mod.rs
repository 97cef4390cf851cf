//! Admission control: whether a new job would be done while its result still has value.
//!
//! The scheduler summarizes the committed work of each pool in an [`snapshot::AdmissionSnapshot`], and the
//! entry VM that receives a submission compares it with the job. Everything that isn't known counts in favour of the job.

pub(super) mod drain;
pub(super) mod estimate;
pub(super) mod memory;
pub(super) mod snapshot;
