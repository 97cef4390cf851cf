//! Rows that name the minions that may have runs, for the next term.
//!
//! The names are spread over several rows, of which a write contains only those that have changed. So
//! the size of a write doesn't grow with the number of minions.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::Hasher;

use rustc_hash::FxHasher;
use smol_str::{SmolStr, format_smolstr};
use snipevane_adapter::rows::{Row, Transaction};

use crate::rows::{self, SCHEDULERS_TABLE};

/// Number of buckets over which the minions are spread. Each has one row, and further ones if that is full.
const BUCKETS: usize = 16;

/// Size up to which a row is filled, in bytes. It is below the limit of a row, also in Base64.
const MAX_ROW_BYTES: usize = 40_000;

/// Size of a minion's entry without its names, in bytes.
const ENTRY_OVERHEAD_BYTES: usize = 8;

/// Prefix of the keys of the rows.
const KEY_PREFIX: &str = "minions-";

/// A minion's identifier and its pool.
pub type MinionInUse = (SmolStr, SmolStr);

/// Place of a row: its bucket, and its number in the bucket.
pub type RowPlace = (usize, usize);

/// The rows as last stored, or as they should be.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MinionRows {
    rows: BTreeMap<RowPlace, Vec<MinionInUse>>,
    /// Rows that a write without an answer may have replaced.
    unknown: BTreeSet<RowPlace>,
}

impl MinionRows {
    /// Spreads minions, which are in ascending order, over the rows.
    pub fn new(minions: &[MinionInUse]) -> Self {
        let mut built = Self::default();
        let mut last = [(0, 0); BUCKETS];
        for minion in minions {
            let bucket = bucket_of(&minion.0);
            let (number, bytes) = &mut last[bucket];
            let needed = minion.0.len() + minion.1.len() + ENTRY_OVERHEAD_BYTES;
            if *bytes + needed > MAX_ROW_BYTES {
                *number += 1;
                *bytes = 0;
            }
            *bytes += needed;
            let row = built.rows.entry((bucket, *number)).or_default();
            row.push(minion.clone());
        }
        built
    }

    /// Decodes the rows of the scheduler's table. Other rows, and those that can't be decoded, are left
    /// out; they are written anew.
    pub fn decode(table: &[Row]) -> Self {
        let decoded = table.iter().filter_map(|row| {
            let place = parse_key(&row.key)?;
            Some((place, rows::decode(&row.key, row.value.as_ref()?)?))
        });
        Self {
            rows: decoded.collect(),
            unknown: BTreeSet::new(),
        }
    }

    /// Returns all minions.
    pub fn minions(&self) -> impl Iterator<Item = &MinionInUse> {
        self.rows.values().flatten()
    }

    /// Returns the minions in rows whose content is known.
    pub fn known_minions(&self) -> impl Iterator<Item = &MinionInUse> {
        let known = self
            .rows
            .iter()
            .filter(|(place, _)| !self.unknown.contains(place));
        known.flat_map(|(_, row)| row)
    }

    /// Records that a row was stored.
    pub fn record_stored(&mut self, place: RowPlace, row: Vec<MinionInUse>) {
        self.unknown.remove(&place);
        self.rows.insert(place, row);
    }

    /// Marks a row that was in a write without an answer, so that the next write contains it also if it is the same
    /// again by then.
    pub fn mark_unknown(&mut self, place: RowPlace) {
        self.unknown.insert(place);
    }

    /// Returns the rows that differ from those stored. Rows that are no longer needed are empty.
    pub fn changes_from(&self, stored: &Self) -> Vec<(RowPlace, Vec<MinionInUse>)> {
        let places = self.rows.keys().chain(stored.rows.keys());
        let places: BTreeSet<RowPlace> = places.chain(&stored.unknown).copied().collect();
        let changed = places.into_iter().filter_map(|place| {
            let row = self.rows.get(&place).cloned().unwrap_or_default();
            let known = stored.rows.get(&place);
            let is_same = !stored.unknown.contains(&place) && known == Some(&row);
            (!is_same).then_some((place, row))
        });
        changed.collect()
    }
}

/// Returns the entries that store a row.
pub fn encode(place: RowPlace, row: &[MinionInUse]) -> Transaction {
    Transaction {
        writes: vec![(SCHEDULERS_TABLE.into(), row_key(place), rows::encode(&row))],
        ..Transaction::default()
    }
}

/// Returns the key of a row. Earlier versions know the first row of each bucket only.
fn row_key((bucket, number): RowPlace) -> SmolStr {
    match number {
        0 => format_smolstr!("{KEY_PREFIX}{bucket:02}"),
        number => format_smolstr!("{KEY_PREFIX}{bucket:02}.{number}"),
    }
}

fn parse_key(key: &str) -> Option<RowPlace> {
    let place = key.strip_prefix(KEY_PREFIX)?;
    let (bucket, number) = place.split_once('.').unwrap_or((place, "0"));
    let place: RowPlace = (bucket.parse().ok()?, number.parse().ok()?);
    (place.0 < BUCKETS).then_some(place)
}

/// Returns the bucket of the row that names a minion.
fn bucket_of(id: &str) -> usize {
    let mut hasher = FxHasher::default();
    hasher.write(id.as_bytes());
    (hasher.finish() % BUCKETS as u64) as usize
}
