//! Amounts of processors, memory and accelerators.

mod resources;

pub use resources::Resources;
