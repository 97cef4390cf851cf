//! Timeline of events across all processes: hybrid logical clocks, a bounded ring buffer of events
//! in each process, and the merging of several buffers in causal order.

mod hlc;
mod merge;
mod record;
mod ring;

pub use hlc::{ClockDrift, Hlc, HlcClock, MAX_CLOCK_DRIFT};
pub use merge::merge;
pub use record::{Field, Filter, Level, Record};
pub use ring::{EventRing, RingLimits};
