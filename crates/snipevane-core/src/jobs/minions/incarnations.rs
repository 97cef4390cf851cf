//! Incarnations of a minion, in the order in which they follow each other.

use std::time::Duration;

/// Incarnation that a run list is of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::jobs) enum ListOrigin {
    /// The first one that is heard of.
    First,
    /// The known one.
    Known,
    /// One that has followed the known one.
    Later,
    /// Another one, which may have come before the known one or after it.
    Uncertain,
}

/// What is known of the incarnations of a minion.
///
/// An incarnation is identified by its start. The starts don't tell their order, as the minion's time of day
/// may be set back between two of them; the order in which their run lists are asked for does.
#[derive(Clone, Copy, Debug, Default)]
pub(in crate::jobs) struct Incarnations {
    /// Start of the known one, in Unix milliseconds.
    known: Option<u64>,
    /// Time at which the first run list of the known one was received.
    heard_at: Duration,
    /// Time after which the known one is known to have run: the latest at which one of its run lists was asked for.
    ran_after: Duration,
    /// Start of the one before, in Unix milliseconds.
    former: Option<u64>,
}

impl Incarnations {
    /// Returns the start of the known incarnation, in Unix milliseconds.
    pub(in crate::jobs) fn known(&self) -> Option<u64> {
        self.known
    }

    /// Returns of which incarnation a run list is that gives this start and was asked for at `asked_at`.
    ///
    /// A list that was asked for after the known incarnation had been heard of isn't of an earlier one.
    pub(in crate::jobs) fn origin_of(&self, start: u64, asked_at: Duration) -> ListOrigin {
        match self.known {
            None => ListOrigin::First,
            Some(known) if known == start => ListOrigin::Known,
            Some(_) if asked_at > self.heard_at => ListOrigin::Later,
            Some(_) => ListOrigin::Uncertain,
        }
    }

    /// Records the first run list of an incarnation, which was received at `now`.
    pub(in crate::jobs) fn record(&mut self, start: u64, now: Duration) {
        self.former = self.known;
        self.known = Some(start);
        self.heard_at = now;
        self.ran_after = Duration::ZERO;
    }

    /// Records a run list of the known incarnation, which was asked for at `asked_at`.
    pub(in crate::jobs) fn record_list(&mut self, asked_at: Duration) {
        self.ran_after = self.ran_after.max(asked_at);
    }

    /// Returns the latest time after which the known incarnation is known to have run.
    ///
    /// A connection that was opened before then and is still open leads to no later incarnation.
    pub(in crate::jobs) fn ran_after(&self) -> Duration {
        self.ran_after
    }

    /// Returns whether an entry that gives this start may tell of an incarnation that hasn't been heard of.
    pub(in crate::jobs) fn may_be_new(&self, entry_start: u64) -> bool {
        let is_known = Some(entry_start) == self.known || Some(entry_start) == self.former;
        self.known.is_some() && entry_start != 0 && !is_known
    }

    /// Returns whether an entry that gives this start and was read at `read_at` is older than the known
    /// incarnation.
    pub(in crate::jobs) fn is_outdated(&self, entry_start: u64, read_at: Duration) -> bool {
        if entry_start == 0 || self.known.is_none() || Some(entry_start) == self.known {
            return false;
        }
        Some(entry_start) == self.former || read_at <= self.heard_at
    }
}
