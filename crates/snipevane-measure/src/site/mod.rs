//! Sites of separate processes on loopback that are measured.

mod measured_site;
mod part;
mod process;

pub(crate) use measured_site::{MeasuredSite, SiteSize, load_average};
pub(crate) use part::run_part;
