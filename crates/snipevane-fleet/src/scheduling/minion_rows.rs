//! Rows that name the minions that may have runs, for the next term.
//!
//! The names are spread over several rows, of which a write contains only those that have changed. So
//! the size of a write doesn't grow with the number of minions.

use std::hash::Hasher;

use rustc_hash::FxHasher;
use smol_str::{SmolStr, format_smolstr};
use snipevane_adapter::rows::Row;

use crate::rows::{self, SCHEDULERS_TABLE};

/// Number of rows over which the minions are spread.
const ROW_COUNT: usize = 16;

/// Prefix of the keys of the rows.
const KEY_PREFIX: &str = "minions-";

/// A minion's identifier and its pool.
pub(super) type MinionInUse = (SmolStr, SmolStr);

/// The rows as last stored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct MinionRows {
    rows: Vec<Vec<MinionInUse>>,
    /// Whether a write without an answer may have replaced the row, by number of the row.
    unknown: [bool; ROW_COUNT],
}

impl Default for MinionRows {
    fn default() -> Self {
        Self {
            rows: vec![Vec::new(); ROW_COUNT],
            unknown: [false; ROW_COUNT],
        }
    }
}

impl MinionRows {
    /// Spreads minions, which are in ascending order, over the rows.
    pub(super) fn new(minions: &[MinionInUse]) -> Self {
        let mut built = Self::default();
        for minion in minions {
            built.rows[row_number(&minion.0)].push(minion.clone());
        }
        built
    }

    /// Decodes the rows of the scheduler's table. Other rows, and those that can't be decoded, are left
    /// out; they are written anew.
    pub(super) fn decode(table: &[Row]) -> Self {
        let mut decoded = Self::default();
        for row in table {
            let number = row.key.strip_prefix(KEY_PREFIX);
            let number = number.and_then(|number| number.parse::<usize>().ok());
            let (Some(number), Some(value)) = (number, &row.value) else {
                continue;
            };
            let minions = rows::decode(&row.key, value);
            if let (Some(row), Some(minions)) = (decoded.rows.get_mut(number), minions) {
                *row = minions;
            }
        }
        decoded
    }

    /// Returns all minions, in ascending order.
    pub(super) fn minions(&self) -> Vec<MinionInUse> {
        let mut minions: Vec<MinionInUse> = self.rows.iter().flatten().cloned().collect();
        minions.sort();
        minions
    }

    /// Marks the rows that differ in a write without an answer, so that the next write contains them also if
    /// they are the same again by then.
    pub(super) fn mark_unknown(&mut self, written: &Self) {
        for (number, row) in written.rows.iter().enumerate() {
            self.unknown[number] |= self.rows[number] != *row;
        }
    }

    /// Returns the rows that differ from those stored, as table, key and value.
    pub(super) fn changes_from(&self, stored: &Self) -> Vec<(SmolStr, SmolStr, Vec<u8>)> {
        let rows = self.rows.iter().zip(&stored.rows).enumerate();
        let changed = rows.filter(|(number, (row, known))| stored.unknown[*number] || row != known);
        let encoded = changed.map(|(number, (row, _))| {
            let key = format_smolstr!("{KEY_PREFIX}{number:02}");
            (SCHEDULERS_TABLE.into(), key, rows::encode(row))
        });
        encoded.collect()
    }
}

/// Returns the number of the row that names a minion.
fn row_number(id: &str) -> usize {
    let mut hasher = FxHasher::default();
    hasher.write(id.as_bytes());
    (hasher.finish() % ROW_COUNT as u64) as usize
}
