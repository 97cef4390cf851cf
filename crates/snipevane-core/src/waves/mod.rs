//! Waves: each VM of some pools is rebooted once, within the availability budgets.

mod outcomes;
mod plan;
mod progress;
mod settings;
mod view;
mod wave;

pub use progress::Progress;
pub use settings::{Pace, WaveSettings};
pub use view::{FleetView, VmView};
pub use wave::{Halt, Reboot, Wave, WaveRefused, WaveState};
