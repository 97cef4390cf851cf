//! Writes events to the log and to the in-memory time line.

use std::fmt::{Display, Write};

use log::{log, log_enabled};
use parking_lot::Mutex;
use smol_str::{SmolStr, ToSmolStr};
use snipevane_core::events;
use snipevane_core::timeline::{
    ClockDrift, EventRing, Field, Filter, Hlc, HlcClock, Level, RingLimits,
};
use snipevane_proto::operator::{Events, ProcessId};

use super::EventKind;

/// Target of all log records; the log level of the settings applies to it.
const LOG_TARGET: &str = "snipevane";

/// Event recorder of one process.
#[derive(Debug)]
pub struct Journal {
    timeline: Mutex<Timeline>,
}

#[derive(Debug)]
struct Timeline {
    clock: HlcClock,
    ring: EventRing,
}

impl Journal {
    /// Creates an empty journal for a process.
    pub fn new(process: ProcessId) -> Self {
        let ring = EventRing::new(process, RingLimits::default());
        Self {
            timeline: Mutex::new(Timeline {
                clock: HlcClock::default(),
                ring,
            }),
        }
    }

    /// Records an event at a wall-clock time in Unix milliseconds. `values` are in the order of the
    /// fields in the catalogue.
    ///
    /// Events of level debug go to the log only, so that they don't displace others in the bounded
    /// time line.
    pub fn record(&self, kind: &EventKind, unix_ms: u64, values: &[&dyn Display]) {
        let is_debug = kind.level > events::Level::Info;
        let log_level = log_level(kind.level);
        if is_debug && !log_enabled!(target: LOG_TARGET, log_level) {
            return;
        }
        let fields: Vec<Field> = kind
            .fields
            .iter()
            .zip(values)
            .map(|(name, value)| Field::new(SmolStr::new_static(name), value.to_smolstr()))
            .collect();
        let mut line = format!("SV{} {}", kind.number, kind.text);
        for field in &fields {
            // Writing to a `String` can't fail.
            let _ = write!(line, " {}={}", field.name, field.value);
        }
        log!(target: LOG_TARGET, log_level, "{line}");
        if is_debug {
            return;
        }
        let mut timeline = self.timeline.lock();
        let at = timeline.clock.tick(unix_ms);
        timeline.ring.push(
            at,
            kind.number,
            timeline_level(kind.level),
            kind.text,
            fields,
        );
    }

    /// Returns the packed logical time to send with a message.
    pub fn message_timestamp(&self, unix_ms: u64) -> u64 {
        self.timeline.lock().clock.tick(unix_ms).pack()
    }

    /// Advances the logical clock to the time received with a message.
    ///
    /// # Errors
    ///
    /// Returns an error and leaves the clock unchanged if the time is too far ahead of the local
    /// one.
    pub fn observe(&self, packed: u64, unix_ms: u64) -> Result<(), ClockDrift> {
        self.timeline
            .lock()
            .clock
            .observe(Hlc::unpack(packed), unix_ms)
    }

    /// Returns the recorded events of this process that match a filter.
    pub fn select(&self, filter: &Filter) -> Events {
        self.timeline.lock().ring.select(filter)
    }
}

fn log_level(level: events::Level) -> log::Level {
    match level {
        events::Level::Error => log::Level::Error,
        events::Level::Warn => log::Level::Warn,
        events::Level::Info => log::Level::Info,
        events::Level::Debug => log::Level::Debug,
    }
}

fn timeline_level(level: events::Level) -> Level {
    match level {
        events::Level::Error => Level::Error,
        events::Level::Warn => Level::Warn,
        events::Level::Info => Level::Info,
        events::Level::Debug => Level::Debug,
    }
}
