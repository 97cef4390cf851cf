//! Jobs, runs and the site configuration: the data on which all decisions work.

pub(super) mod id;
pub(super) mod index_set;
pub(super) mod job;
pub(super) mod keys;
pub(super) mod need;
pub(super) mod occurrence;
pub(super) mod progress;
pub(super) mod run;
pub(super) mod site;
pub(super) mod spec;
pub(super) mod step;
pub(super) mod task;
pub(super) mod terms;
