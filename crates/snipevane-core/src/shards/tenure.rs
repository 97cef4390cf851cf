//! One entry VM's hold on one shard, through lost and late answers of the table.

use std::time::{Duration, Instant};

use super::{Acquisition, Holder, ShardRow, decide};

/// What is known at the time of a decision on a shard.
#[derive(Clone, Copy, Debug)]
pub struct Observation {
    /// Monotonic time.
    pub now: Instant,
    /// Least floor of a new holder, in Unix milliseconds; see [`decide`].
    pub least_floor_ms: u64,
    /// Longest time that a request runs.
    pub longest_run: Duration,
}

/// A shard that is held: from when on it may be used, and the floor of its identifiers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Held {
    /// Row as it was last known to stand in the table.
    pub row: ShardRow,
    /// Time at or below which unknown identifiers aren't run, in Unix milliseconds.
    pub floor_ms: u64,
    /// Time from which on the shard may be used.
    pub usable_at: Instant,
}

/// One entry VM's hold on one shard.
///
/// A write counts only once the row was read back or the table confirmed it. A write whose answer
/// was lost may land later; the row that is read then tells.
#[derive(Clone, Debug)]
pub struct Tenure {
    me: Holder,
    /// Longest wait of the writes that may have landed.
    wait: Duration,
    held: Option<Held>,
    /// Newest row that was read, confirmed or given out to release the shard.
    newest: Option<ShardRow>,
}

impl Tenure {
    /// Starts without the shard.
    pub fn new(me: Holder) -> Self {
        Self {
            me,
            wait: Duration::ZERO,
            held: None,
            newest: None,
        }
    }

    /// Returns the hold, if the shard is held.
    pub fn held(&self) -> Option<&Held> {
        self.held.as_ref()
    }

    /// Tells whether the shard may be used.
    pub fn is_usable(&self, now: Instant) -> bool {
        self.held.as_ref().is_some_and(|held| now >= held.usable_at)
    }

    /// Takes note of the row in the table; returns the row to replace it by, if any.
    ///
    /// The same holds for a row that the table confirmed to have written.
    pub fn on_row(
        &mut self,
        row: Option<&ShardRow>,
        vm_gone: impl Fn(&str) -> bool,
        at: Observation,
    ) -> Option<ShardRow> {
        if self.is_stale(row) {
            return None;
        }
        self.newest = row.cloned();
        match decide(row, &self.me, vm_gone, at.least_floor_ms, at.longest_run) {
            Acquisition::Hold => {
                self.hold(row?, at.now);
                None
            }
            Acquisition::Take {
                next, usable_after, ..
            } => {
                self.held = None;
                self.wait = self.wait.max(usable_after);
                Some(next)
            }
            Acquisition::Leave => {
                self.held = None;
                None
            }
        }
    }

    /// Returns the row that raises the ceiling, if the shard is held and the ceiling is lower.
    pub fn raise(&self, ceiling_ms: u64) -> Option<ShardRow> {
        let held = self.held.as_ref()?;
        (ceiling_ms > held.row.ceiling_ms).then(|| ShardRow {
            ceiling_ms,
            ..held.row.clone()
        })
    }

    /// Returns the row that releases the shard, whose users have stopped.
    ///
    /// `ceiling_ms` is at or above the time of every identifier that was run. The shard isn't held
    /// any more, whether the write lands or not, so that a write without an answer is repeated.
    pub fn release(&mut self, ceiling_ms: u64) -> Option<ShardRow> {
        let held = self.held.take()?;
        let row = ShardRow {
            ceiling_ms,
            released: true,
            ..held.row
        };
        self.newest = Some(row.clone());
        Some(row)
    }

    /// Tells whether a read returned a row from before the newest one known here.
    fn is_stale(&self, row: Option<&ShardRow>) -> bool {
        let age = |row: &ShardRow| (row.epoch, row.released, row.ceiling_ms);
        let Some(newest) = &self.newest else {
            return false;
        };
        row.is_none_or(|row| age(row) < age(newest))
    }

    fn hold(&mut self, row: &ShardRow, now: Instant) {
        match &mut self.held {
            Some(held) if held.row.epoch == row.epoch => held.row = row.clone(),
            // The row was just taken, so that its ceiling is the floor.
            _ => {
                self.held = Some(Held {
                    row: row.clone(),
                    floor_ms: row.ceiling_ms,
                    usable_at: now + self.wait,
                });
            }
        }
    }
}
