//! The writes that wait for a commit.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::time::{Duration, Instant};

use smol_str::SmolStr;

use super::pace::{Pace, PaceSettings};
use super::row_write::{Condition, Importance, RowWrite, WriteError};
use crate::error::{CommitError, PlatformError};
use crate::table::{Committed, Transaction};

/// Settings of a [`WriteQueue`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WriteQueueSettings {
    /// Rows of one transaction at most.
    pub max_rows: usize,
    /// Writes that wait at most.
    pub max_waiting: usize,
    /// Time for which bookkeeping waits for company.
    pub linger: Duration,
    /// How often the process commits.
    pub pace: PaceSettings,
}

impl Default for WriteQueueSettings {
    fn default() -> Self {
        Self {
            max_rows: 25,
            max_waiting: 1024,
            linger: Duration::from_secs(1),
            pace: PaceSettings::default(),
        }
    }
}

/// A write whose fate is known, with the ticket that it was submitted with.
pub type Settled<T> = (T, Result<Option<u64>, WriteError>);

/// Writes that are committed together.
#[derive(Debug)]
pub struct Batch<T> {
    /// The transaction to commit.
    pub transaction: Transaction,
    entries: Vec<(Order, Entry<T>)>,
}

/// What to do next.
#[derive(Debug)]
pub enum NextBatch<T> {
    /// Commit this batch, then call [`WriteQueue::finish`].
    Commit(Batch<T>),
    /// Ask again at this time.
    Wait(Instant),
    /// Ask again after a write was submitted or a batch was finished.
    Idle,
}

/// Place of a write in the queue.
type Order = (Importance, u64);

#[derive(Debug)]
struct Entry<T> {
    write: RowWrite,
    ticket: T,
    submitted: Instant,
    /// Why it's unknown what became of an earlier batch with this write.
    unknown: Option<PlatformError>,
}

impl<T> Entry<T> {
    /// Gives the write up for `reason`, which holds only if no batch may have carried it out.
    fn give_up(self, reason: WriteError) -> Settled<T> {
        let error = self.unknown.map_or(reason, WriteError::Unknown);
        (self.ticket, Err(error))
    }
}

/// Decides which writes are committed together, and when.
///
/// One batch is out at a time. A write without a condition takes the place of an older one of the
/// same row that still waits. If too many wait, the least important and youngest are dropped.
/// A write is reported as dropped or expired only if no batch may have carried it out.
#[derive(Debug)]
pub struct WriteQueue<T> {
    settings: WriteQueueSettings,
    pace: Pace,
    waiting: BTreeMap<Order, Entry<T>>,
    /// Waiting writes that a newer one may replace.
    replaceable: HashMap<SmolStr, Order>,
    /// When waiting writes expire, the soonest first.
    expiries: BTreeSet<(Instant, Order)>,
    submitted: u64,
    batch_out: bool,
}

impl<T> WriteQueue<T> {
    /// Creates an empty queue.
    pub fn new(settings: WriteQueueSettings, seed: u64, now: Instant) -> Self {
        Self {
            settings,
            pace: Pace::new(settings.pace, seed, now),
            waiting: BTreeMap::new(),
            replaceable: HashMap::new(),
            expiries: BTreeSet::new(),
            submitted: 0,
            batch_out: false,
        }
    }

    /// Returns the number of writes that wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no write waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns the pace of the commits.
    pub fn pace(&self) -> &Pace {
        &self.pace
    }

    /// Adds a write, and returns the writes that gave way to it, perhaps this one itself.
    pub fn submit(&mut self, write: RowWrite, ticket: T, now: Instant) -> Vec<Settled<T>> {
        let mut settled = Vec::new();
        let mut submitted = now;
        if write.condition == Condition::Any
            && let Some(order) = self.replaceable.get(&write.key).copied()
            && let Some(older) = self.remove(order)
        {
            // The newer write inherits the older one's wait, or it might wait for ever.
            submitted = older.submitted;
            settled.push(older.give_up(WriteError::Shed));
        }
        let order = (write.importance, self.submitted);
        self.submitted += 1;
        let entry = Entry {
            write,
            ticket,
            submitted,
            unknown: None,
        };
        self.insert(order, entry);
        while self.waiting.len() > self.settings.max_waiting {
            let Some(order) = self.waiting.keys().next_back().copied() else {
                break;
            };
            if let Some(entry) = self.remove(order) {
                settled.push(entry.give_up(WriteError::Shed));
            }
        }
        settled
    }

    /// Removes the writes that have expired.
    pub fn expire(&mut self, now: Instant) -> Vec<Settled<T>> {
        let mut settled = Vec::new();
        while let Some((_, order)) = self.expiries.first().filter(|(at, _)| *at <= now) {
            let order = *order;
            match self.remove(order) {
                Some(entry) => settled.push(entry.give_up(WriteError::Expired)),
                None => break,
            }
        }
        settled
    }

    /// Returns the next batch if it's time for one.
    pub fn next_batch(&mut self, now: Instant) -> NextBatch<T> {
        if self.batch_out {
            return NextBatch::Idle;
        }
        let Some((&(importance, _), first)) = self.waiting.first_key_value() else {
            return NextBatch::Idle;
        };
        let mut ready = self.pace.ready_at(importance, now);
        if importance == Importance::Bookkeeping && self.waiting.len() < self.settings.max_rows {
            ready = ready.max(first.submitted + self.settings.linger);
        }
        if ready > now {
            let expiry = self.expiries.first().map(|(at, _)| *at);
            return NextBatch::Wait(expiry.map_or(ready, |expiry| ready.min(expiry)));
        }
        let entries = self.take_batch(importance);
        self.batch_out = true;
        self.pace.record_sent(now);
        let writes = entries.iter().map(|(_, entry)| &entry.write);
        let checks = writes.clone().filter_map(RowWrite::check).collect();
        let transaction = Transaction::new(checks, writes.map(RowWrite::write).collect());
        NextBatch::Commit(Batch {
            transaction,
            entries,
        })
    }

    /// Takes in what became of a batch, and returns the writes whose fate it settles.
    pub fn finish(
        &mut self,
        batch: Batch<T>,
        result: Result<Committed, CommitError>,
        now: Instant,
    ) -> Vec<Settled<T>> {
        self.batch_out = false;
        match result {
            Ok(committed) => {
                self.pace.record_answered();
                settle_committed(batch, &committed)
            }
            Err(CommitError::Conflict { keys }) => {
                self.pace.record_answered();
                self.settle_conflict(batch, &keys)
            }
            Err(CommitError::NotApplied(error)) => {
                self.pace.record_failed(retry_after(&error), now);
                self.put_back(batch.entries)
            }
            Err(CommitError::Unknown(error)) => {
                self.pace.record_failed(retry_after(&error), now);
                self.settle_unknown(batch, &error)
            }
        }
    }

    /// Takes the most important writes, one of each row.
    ///
    /// A conflict of one write holds up the whole batch, so less important writes join only if they
    /// have no condition.
    fn take_batch(&mut self, importance: Importance) -> Vec<(Order, Entry<T>)> {
        let mut rows = HashSet::new();
        let mut chosen = Vec::new();
        for (order, entry) in &self.waiting {
            if chosen.len() == self.settings.max_rows {
                break;
            }
            // A row's first write goes first, whatever their conditions are.
            let first_of_row = rows.insert(entry.write.key.clone());
            let joins = order.0 == importance || entry.write.condition == Condition::Any;
            if first_of_row && joins {
                chosen.push(*order);
            }
        }
        let taken = chosen.into_iter();
        taken
            .filter_map(|order| Some((order, self.remove(order)?)))
            .collect()
    }

    fn settle_conflict(&mut self, batch: Batch<T>, keys: &[SmolStr]) -> Vec<Settled<T>> {
        let (conflicting, rest): (Vec<_>, Vec<_>) = batch
            .entries
            .into_iter()
            .partition(|(_, entry)| keys.contains(&entry.write.key));
        let mut settled = self.put_back(rest);
        let conflicts = conflicting.into_iter();
        settled.extend(conflicts.map(|(_, entry)| (entry.ticket, Err(WriteError::Conflict))));
        settled
    }

    fn settle_unknown(&mut self, batch: Batch<T>, error: &PlatformError) -> Vec<Settled<T>> {
        let mut again = Vec::new();
        let mut settled = Vec::new();
        for (order, mut entry) in batch.entries {
            entry.unknown = Some(error.clone());
            // Bookkeeping without a condition can be written twice.
            if order.0 == Importance::Bookkeeping && entry.write.condition == Condition::Any {
                again.push((order, entry));
            } else {
                settled.push(entry.give_up(WriteError::Expired));
            }
        }
        settled.extend(self.put_back(again));
        settled
    }

    /// Puts writes back into their places; newer writes of the same rows replace them.
    fn put_back(&mut self, entries: Vec<(Order, Entry<T>)>) -> Vec<Settled<T>> {
        let mut settled = Vec::new();
        for (order, entry) in entries {
            let replaceable = entry.write.condition == Condition::Any;
            if replaceable && self.replaceable.contains_key(&entry.write.key) {
                settled.push(entry.give_up(WriteError::Shed));
                continue;
            }
            self.insert(order, entry);
        }
        settled
    }

    fn insert(&mut self, order: Order, entry: Entry<T>) {
        if entry.write.condition == Condition::Any {
            self.replaceable.insert(entry.write.key.clone(), order);
        }
        if let Some(expires) = entry.write.expires {
            self.expiries.insert((expires, order));
        }
        self.waiting.insert(order, entry);
    }

    fn remove(&mut self, order: Order) -> Option<Entry<T>> {
        let entry = self.waiting.remove(&order)?;
        if self.replaceable.get(&entry.write.key) == Some(&order) {
            self.replaceable.remove(&entry.write.key);
        }
        if let Some(expires) = entry.write.expires {
            self.expiries.remove(&(expires, order));
        }
        Some(entry)
    }
}

fn settle_committed<T>(batch: Batch<T>, committed: &Committed) -> Vec<Settled<T>> {
    let version = |key: &SmolStr| {
        let row = committed
            .versions
            .iter()
            .find(|(written, _)| written == key);
        row.map(|(_, version)| *version)
    };
    let entries = batch.entries.into_iter();
    entries
        .map(|(_, entry)| {
            let version = version(&entry.write.key);
            (entry.ticket, Ok(version))
        })
        .collect()
}

fn retry_after(error: &PlatformError) -> Duration {
    match error {
        PlatformError::Limited { retry_after } => *retry_after,
        _ => Duration::ZERO,
    }
}
