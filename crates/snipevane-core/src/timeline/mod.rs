//! Time line of events over all processes: hybrid logical time, a bounded ring of events at each
//! process, and the merge of several rings in causal order.

mod hlc;
mod merge;
mod record;
mod ring;

pub use hlc::{ClockDrift, Hlc, HlcClock, MAX_CLOCK_DRIFT};
pub use merge::merge;
pub use record::{Field, Filter, Level, Record};
pub use ring::{EventRing, RingLimits};
