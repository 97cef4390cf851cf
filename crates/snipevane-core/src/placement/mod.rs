//! Placement of tasks on workers: weighted max-min fairness by dominant resource, urgent work
//! first, deadline work by its latest start.

mod account;
mod deadlines;
mod placer;
mod queue;
mod reservation;
mod resources;
mod units;
mod victims;
mod waiting;
mod worker_index;
mod workers;

pub use placer::{Placed, Placer, PlacerSettings};
pub use resources::Resources;
pub use units::Units;
pub use waiting::{Class, Waiting};
pub use workers::{Worker, Workers};
