//! Hybrid logical time: close to the wall clock, and in causal order over all processes.

use std::time::Duration;

use thiserror::Error;

/// Largest lead of a remote time over the own wall clock that is adopted.
pub const MAX_CLOCK_DRIFT: Duration = Duration::from_secs(60);

/// Bits of the logical part in a packed time.
const LOGICAL_BITS: u32 = 16;
/// Highest logical part.
const MAX_LOGICAL: u32 = (1 << LOGICAL_BITS) - 1;

/// A hybrid logical time.
///
/// An event that could influence another one has the lower time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Hlc {
    /// Physical part, in milliseconds since the Unix epoch.
    pub wall_ms: u64,
    /// Logical part, which orders times with the same physical part.
    pub logical: u32,
}

impl Hlc {
    /// Packs the time into one number, as messages between entry VMs carry it.
    ///
    /// The physical part takes the upper 48 bits, which last beyond the year 10000.
    pub fn pack(self) -> u64 {
        self.wall_ms << LOGICAL_BITS | u64::from(self.logical.min(MAX_LOGICAL))
    }

    /// Unpacks a time.
    pub fn unpack(packed: u64) -> Self {
        Self {
            wall_ms: packed >> LOGICAL_BITS,
            logical: u32::try_from(packed & u64::from(MAX_LOGICAL)).unwrap_or(MAX_LOGICAL),
        }
    }

    /// Returns the next higher time.
    fn next(self) -> Self {
        if self.logical < MAX_LOGICAL {
            return Self {
                logical: self.logical + 1,
                ..self
            };
        }
        Self {
            wall_ms: self.wall_ms.saturating_add(1),
            logical: 0,
        }
    }
}

/// A remote time lies too far ahead of the own wall clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("a remote clock is {} ms ahead", ahead.as_millis())]
pub struct ClockDrift {
    /// Lead of the remote time.
    pub ahead: Duration,
}

/// Source of hybrid logical times in one process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HlcClock {
    last: Hlc,
}

impl HlcClock {
    /// Returns the last time that was handed out or observed.
    pub fn last(&self) -> Hlc {
        self.last
    }

    /// Returns a time above all former ones, for an event or a message.
    ///
    /// `now_ms` is the wall clock's time in milliseconds since the Unix epoch; it may step back.
    pub fn tick(&mut self, now_ms: u64) -> Hlc {
        let wall = Hlc {
            wall_ms: now_ms,
            logical: 0,
        };
        self.last = wall.max(self.last.next());
        self.last
    }

    /// Takes over the time that came with a message, so that later events are above it.
    ///
    /// # Errors
    ///
    /// Returns an error and adopts nothing if the remote time is more than [`MAX_CLOCK_DRIFT`]
    /// ahead, so that one broken clock doesn't move the time of all processes.
    pub fn observe(&mut self, remote: Hlc, now_ms: u64) -> Result<(), ClockDrift> {
        let ahead = Duration::from_millis(remote.wall_ms.saturating_sub(now_ms));
        if ahead > MAX_CLOCK_DRIFT {
            return Err(ClockDrift { ahead });
        }
        self.last = self.last.max(remote);
        Ok(())
    }
}
