//! Lock of one entry VM on one shard, which tolerates lost and late replies of the table.

use std::time::{Duration, Instant};

use super::{Acquisition, Holder, ShardRow, decide_acquisition};

/// Times that a decision on the acquisition of a shard depends on.
#[derive(Clone, Copy, Debug)]
pub struct AcquireContext {
    /// Current monotonic time.
    pub now: Instant,
    /// Minimum floor of a new holder, in Unix milliseconds; see [`decide_acquisition`].
    pub min_floor_ms: u64,
    /// Longest time for which a request runs.
    pub longest_run: Duration,
}

/// State of a lock that is held.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeldLock {
    /// Row that the table was last known to hold.
    pub row: ShardRow,
    /// Time at or below which identifiers without a claim aren't run, in Unix milliseconds.
    pub floor_ms: u64,
    /// Time from which on the shard may be used.
    pub usable_at: Instant,
}

/// Lock of one entry VM on one shard, kept as a row of the table and changed by compare-and-set.
///
/// Not used by the entry VM, whose `control/shards` module does this work.
///
/// A write takes effect here only once the row was read back or the table confirmed the write. A
/// write whose reply was lost may be applied later, which the next read of the row shows.
#[derive(Clone, Debug)]
pub struct ShardLock {
    me: Holder,
    /// Maximum `usable_delay` of the writes that may have been applied.
    usable_delay: Duration,
    held: Option<HeldLock>,
    /// Newest row that was read, confirmed, or returned by [`release`](Self::release).
    newest_row: Option<ShardRow>,
}

impl ShardLock {
    /// Creates a lock that isn't held.
    pub fn new(me: Holder) -> Self {
        Self {
            me,
            usable_delay: Duration::ZERO,
            held: None,
            newest_row: None,
        }
    }

    /// Returns the state of the lock if the shard is held.
    pub fn held(&self) -> Option<&HeldLock> {
        self.held.as_ref()
    }

    /// Returns whether the shard may be used.
    pub fn is_usable(&self, now: Instant) -> bool {
        self.held.as_ref().is_some_and(|held| now >= held.usable_at)
    }

    /// Processes a row that was read from the table or that the table confirmed to have written.
    ///
    /// Returns the row to replace it by, if any.
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
                next, usable_delay, ..
            } => {
                self.held = None;
                self.usable_delay = self.usable_delay.max(usable_delay);
                Some(next)
            }
            Acquisition::HeldByOther => {
                self.held = None;
                None
            }
        }
    }

    /// Returns the row that raises the ceiling, in Unix milliseconds, if the shard is held and its
    /// ceiling is lower.
    pub fn raise_ceiling(&self, ceiling_ms: u64) -> Option<ShardRow> {
        let held = self.held.as_ref()?;
        (ceiling_ms > held.row.ceiling_ms).then(|| ShardRow {
            ceiling_ms,
            ..held.row.clone()
        })
    }

    /// Returns the row that releases the shard, after everything that uses the shard has stopped.
    ///
    /// `ceiling_ms` is at or above the time of every identifier that was run. The shard is no
    /// longer held, whether the write is applied or not, so the caller has to repeat a write
    /// without a reply.
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

    /// Returns whether a row is older than the newest one known here.
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
            // The shard was just acquired, so the ceiling in the row is the floor.
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
