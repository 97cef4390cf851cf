//! Measured sites of separate processes on loopback.

mod measured_site;
mod part;
mod process;

pub(crate) use measured_site::{MeasuredSite, SiteSize, load_average};
pub(crate) use part::run_part;
