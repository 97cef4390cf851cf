//! Hybrid logical clock: times close to the wall clock, in causal order across all processes.

use std::time::Duration;

use thiserror::Error;

/// Maximum time by which an adopted remote time may be ahead of the own wall clock.
pub const MAX_CLOCK_DRIFT: Duration = Duration::from_secs(60);

/// Bits of the logical part in a packed time.
const LOGICAL_BITS: u32 = 16;
/// Maximum logical part.
const MAX_LOGICAL: u32 = (1 << LOGICAL_BITS) - 1;

/// A hybrid logical time.
///
/// If an event could influence another one, its time is lower.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Hlc {
    /// Physical part, in milliseconds since the Unix epoch.
    pub wall_ms: u64,
    /// Logical part, which orders times with the same physical part.
    pub logical: u32,
}

impl Hlc {
    /// Packs the time into one number, as it is sent in messages between entry VMs.
    ///
    /// The physical part takes the upper 48 bits, which suffice beyond the year 10000.
    pub fn pack(self) -> u64 {
        self.wall_ms << LOGICAL_BITS | u64::from(self.logical.min(MAX_LOGICAL))
    }

    /// Unpacks a time that [`pack`](Self::pack) returned.
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

/// Error for a remote time that is too far ahead of the own wall clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("a remote clock is {} ms ahead of the local one; its time isn't adopted", ahead.as_millis())]
pub struct ClockDrift {
    /// Time by which the remote time is ahead.
    pub ahead: Duration,
}

/// Hybrid logical clock of one process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HlcClock {
    last: Hlc,
}

impl HlcClock {
    /// Returns the last time that was issued or observed.
    pub fn last(&self) -> Hlc {
        self.last
    }

    /// Returns a time above all previous ones, for an event or a message.
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

    /// Adopts the time of a received message, so that later events get higher times.
    ///
    /// # Errors
    ///
    /// Returns an error and adopts nothing if the remote time is more than [`MAX_CLOCK_DRIFT`]
    /// ahead. Otherwise, one broken clock would advance the time of all processes.
    pub fn observe(&mut self, remote: Hlc, now_ms: u64) -> Result<(), ClockDrift> {
        let ahead = Duration::from_millis(remote.wall_ms.saturating_sub(now_ms));
        if ahead > MAX_CLOCK_DRIFT {
            return Err(ClockDrift { ahead });
        }
        self.last = self.last.max(remote);
        Ok(())
    }
}
