//! Configuration: validation of manifests, differences between them, the version in force, and the
//! manifest in force with its references resolved.

mod check;
mod difference;
mod finding;
pub mod in_force;
mod site;

pub use check::check;
pub use difference::{apply_difference, difference};
pub use finding::{Finding, Findings};
pub use site::{Queue, Service, Site, SitePool, Team, Zone};
