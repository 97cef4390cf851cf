//! Configuration: the manifest resolved into arenas, and the findings about a manifest.

mod check;
mod difference;
mod finding;
pub mod in_force;
mod site;

pub use check::check;
pub use difference::{apply_difference, difference};
pub use finding::{Finding, Findings};
pub use site::{Queue, Service, Site, SitePool, Team, Zone};
