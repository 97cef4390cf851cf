//! Measured sites of separate processes on loopback.

mod measured_site;
mod part;
mod process;
mod usage;

pub(crate) use measured_site::{MeasuredSite, SiteSize};
pub(crate) use part::run_part;
pub(crate) use usage::load_average;
