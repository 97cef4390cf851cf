//! Numbered kinds of events; each daemon has a catalogue of them.

use std::fmt::{self, Display, Formatter};

/// Log level of an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Level {
    /// Something is wrong, and an operator must act.
    Error,
    /// Something failed and is handled.
    Warn,
    /// A decision in normal operation.
    Info,
    /// A detail for debugging.
    Debug,
}

impl Display for Level {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Error => "error",
            Self::Warn => "warn",
            Self::Info => "info",
            Self::Debug => "debug",
        })
    }
}

/// A kind of event. The meaning of a number never changes.
#[derive(Debug, PartialEq, Eq)]
pub struct EventKind {
    /// Number, printed as `SV1001`.
    pub number: u16,
    /// Level of the log record.
    pub level: Level,
    /// Text, which is the same for all events of the kind.
    pub text: &'static str,
    /// Names of the fields.
    pub fields: &'static [&'static str],
}

/// Declares a constant for each kind of event, and `CATALOGUE` with all of them.
#[macro_export]
macro_rules! event_catalogue {
    ($($name:ident = $number:literal $level:ident $text:literal [$($field:literal),*];)*) => {
        $(
            #[doc = $text]
            pub const $name: $crate::events::EventKind = $crate::events::EventKind {
                number: $number,
                level: $crate::events::Level::$level,
                text: $text,
                fields: &[$($field),*],
            };
        )*

        /// All kinds of events, in the order of their numbers.
        pub const CATALOGUE: &[$crate::events::EventKind] = &[$($name),*];
    };
}
