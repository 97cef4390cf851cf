//! One entry VM's hold on one shard, through lost and late answers of the table.

use std::time::{Duration, Instant};

use super::{Acquisition, Holder, ShardRow, decide_acquisition};

/// What is known at the time of a decision on a shard.
#[derive(Clone, Copy, Debug)]
pub struct AcquireContext {
    /// Monotonic time.
    pub now: Instant,
    /// Least floor of a new holder, in Unix milliseconds; see [`decide_acquisition`].
    pub min_floor_ms: u64,
    /// Longest time that a request runs.
    pub longest_run: Duration,
}

/// A shard that is held: from when on it may be used, and the floor of its identifiers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeldLock {
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
pub struct ShardLock {
    me: Holder,
    /// Longest wait of the writes that may have landed.
    usable_delay: Duration,
    held: Option<HeldLock>,
    /// Newest row that was read, confirmed or given out to release the shard.
    newest_row: Option<ShardRow>,
}

impl ShardLock {
    /// Starts without the shard.
    pub fn new(me: Holder) -> Self {
        Self {
            me,
            usable_delay: Duration::ZERO,
            held: None,
            newest_row: None,
        }
    }

    /// Returns the hold, if the shard is held.
    pub fn held(&self) -> Option<&HeldLock> {
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
        context: AcquireContext,
    ) -> Option<ShardRow> {
        if self.is_stale(row) {
            return None;
        }
        self.newest_row = row.cloned();
        match decide_acquisition(
            row,
            &self.me,
            vm_gone,
            context.min_floor_ms,
            context.longest_run,
        ) {
            Acquisition::AlreadyHeld => {
                self.set_held(row?, context.now);
                None
            }
            Acquisition::Acquire {
                next, usable_after, ..
            } => {
                self.held = None;
                self.usable_delay = self.usable_delay.max(usable_after);
                Some(next)
            }
            Acquisition::HeldByOther => {
                self.held = None;
                None
            }
        }
    }

    /// Returns the row that raises the ceiling, if the shard is held and the ceiling is lower.
    pub fn raise_ceiling(&self, ceiling_ms: u64) -> Option<ShardRow> {
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
        self.newest_row = Some(row.clone());
        Some(row)
    }

    /// Tells whether a read returned a row from before the newest one known here.
    fn is_stale(&self, row: Option<&ShardRow>) -> bool {
        let revision = |row: &ShardRow| (row.epoch, row.released, row.ceiling_ms);
        let Some(newest_row) = &self.newest_row else {
            return false;
        };
        row.is_none_or(|row| revision(row) < revision(newest_row))
    }

    fn set_held(&mut self, row: &ShardRow, now: Instant) {
        match &mut self.held {
            Some(held) if held.row.epoch == row.epoch => held.row = row.clone(),
            // The row was just taken, so that its ceiling is the floor.
            _ => {
                self.held = Some(HeldLock {
                    row: row.clone(),
                    floor_ms: row.ceiling_ms,
                    usable_at: now + self.usable_delay,
                });
            }
        }
    }
}
