//! Amounts of CPU, memory and accelerators, as used to place tasks.

mod resources;

pub use resources::Resources;
