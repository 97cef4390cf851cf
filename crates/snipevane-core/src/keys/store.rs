//! Replicated store of all known keys.

use std::collections::BTreeMap;
use std::fmt;

use rustc_hash::FxHashMap;
use smol_str::SmolStr;
use subtle::ConstantTimeEq;
use thiserror::Error;

use super::{KeyId, KeyRow};

const PREFIX: &str = "sv1";
const SECRET_BYTES: usize = 32;

/// Reason why a presented key isn't accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum KeyError {
    /// The text doesn't have the form of a key.
    #[error("the key is malformed")]
    Malformed,
    /// No key has this identifier and secret.
    #[error("the key is unknown")]
    Unknown,
    /// The key was withdrawn.
    #[error("the key was withdrawn")]
    Withdrawn,
}

/// Change to the store that merging a row made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    /// The row changed nothing.
    Unchanged,
    /// The key is new here, or its row was completed.
    Added,
    /// The key became withdrawn.
    Withdrawn,
}

struct StoredKey {
    row: KeyRow,
    /// Sequence number of the last change of the row.
    sequence: u64,
}

/// All known keys, and the order in which their rows changed in this process.
#[derive(Default)]
pub struct KeyStore {
    keys: FxHashMap<KeyId, StoredKey>,
    changes: BTreeMap<u64, KeyId>,
    sequence: u64,
}

impl KeyStore {
    /// Issues a key for a team from 32 random bytes and stores its row.
    ///
    /// Returns the row and the key's text, which is shown to the operator only once. `id` must be
    /// new and must not contain a dot.
    pub fn issue(
        &mut self,
        team: impl Into<SmolStr>,
        id: impl Into<KeyId>,
        random: [u8; SECRET_BYTES],
    ) -> (KeyRow, String) {
        let row = KeyRow {
            id: id.into(),
            team: team.into(),
            hash: hash(&random),
            withdrawn: false,
        };
        let presented = format!("{PREFIX}.{}.{}", row.id, hex::encode(random));
        self.merge(row.clone());
        (row, presented)
    }

    /// Merges a row from the table or a peer.
    ///
    /// Rows may be merged in any order and any number of times.
    pub fn merge(&mut self, row: KeyRow) -> MergeOutcome {
        let Some(stored) = self.keys.get_mut(&row.id) else {
            let withdrawn = row.withdrawn;
            self.insert(row);
            return if withdrawn {
                MergeOutcome::Withdrawn
            } else {
                MergeOutcome::Added
            };
        };
        let known = &mut stored.row;
        let was_withdrawn = known.withdrawn;
        let same_key = known.team == row.team && known.hash == row.hash;
        // Two keys with one identifier can't be told apart, so neither is accepted.
        known.withdrawn |= row.withdrawn || !same_key;
        let completed = (&row.team, &row.hash) > (&known.team, &known.hash);
        if completed {
            known.team = row.team;
            known.hash = row.hash;
        }
        let newly_withdrawn = known.withdrawn && !was_withdrawn;
        if newly_withdrawn || completed {
            self.mark_changed(&row.id);
        }
        match (newly_withdrawn, completed) {
            (true, _) => MergeOutcome::Withdrawn,
            (false, true) => MergeOutcome::Added,
            (false, false) => MergeOutcome::Unchanged,
        }
    }

    /// Withdraws a key permanently, even if it isn't known here yet.
    ///
    /// Returns whether the key was known.
    pub fn withdraw(&mut self, id: &str) -> bool {
        let known = self.keys.contains_key(id);
        let row = match self.keys.get(id) {
            Some(stored) => KeyRow {
                withdrawn: true,
                ..stored.row.clone()
            },
            None => KeyRow {
                id: id.into(),
                team: SmolStr::default(),
                hash: [0; 32],
                withdrawn: true,
            },
        };
        self.merge(row);
        known
    }

    /// Verifies a presented key in a time that doesn't depend on the stored secret.
    ///
    /// # Errors
    ///
    /// Returns [`KeyError`] if the key is malformed, unknown or withdrawn. A key with a wrong
    /// secret counts as unknown, even if the key was withdrawn.
    pub fn verify(&self, presented: &str) -> Result<&KeyRow, KeyError> {
        let (id, secret) = parse(presented)?;
        let presented_hash = hash(&secret);
        let Some(stored) = self.keys.get(id) else {
            return Err(KeyError::Unknown);
        };
        let row = &stored.row;
        if !bool::from(row.hash.ct_eq(&presented_hash)) {
            return Err(KeyError::Unknown);
        }
        if row.withdrawn {
            return Err(KeyError::Withdrawn);
        }
        Ok(row)
    }

    /// Returns the row of a key.
    pub fn get(&self, id: &str) -> Option<&KeyRow> {
        self.keys.get(id).map(|stored| &stored.row)
    }

    /// Returns all rows, in the order of their last change.
    pub fn rows(&self) -> impl Iterator<Item = &KeyRow> {
        self.changes_since(0).0
    }

    /// Returns the rows that changed after a sequence number, and the current sequence number.
    ///
    /// A peer passes the returned number to its next request once it has merged the rows. Sequence
    /// numbers are local to a process; 0 selects all rows.
    pub fn changes_since(&self, sequence: u64) -> (impl Iterator<Item = &KeyRow>, u64) {
        let after = sequence.saturating_add(1);
        let rows = self
            .changes
            .range(after..)
            .filter_map(|(_, id)| self.get(id));
        (rows, self.sequence)
    }

    fn insert(&mut self, row: KeyRow) {
        let id = row.id.clone();
        let sequence = 0;
        self.keys.insert(id.clone(), StoredKey { row, sequence });
        self.mark_changed(&id);
    }

    fn mark_changed(&mut self, id: &str) {
        let Some(stored) = self.keys.get_mut(id) else {
            return;
        };
        self.changes.remove(&stored.sequence);
        self.sequence += 1;
        stored.sequence = self.sequence;
        self.changes.insert(self.sequence, stored.row.id.clone());
    }
}

impl fmt::Debug for KeyStore {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("KeyStore")
            .field("keys", &self.keys.len())
            .field("sequence", &self.sequence)
            .finish_non_exhaustive()
    }
}

fn hash(secret: &[u8; SECRET_BYTES]) -> [u8; 32] {
    *blake3::hash(secret).as_bytes()
}

/// Splits a presented key into identifier and secret.
fn parse(presented: &str) -> Result<(&str, [u8; SECRET_BYTES]), KeyError> {
    let malformed = KeyError::Malformed;
    let mut parts = presented.split('.');
    let prefix = parts.next().ok_or(malformed)?;
    let id = parts.next().ok_or(malformed)?;
    let secret_hex = parts.next().ok_or(malformed)?;
    if prefix != PREFIX || id.is_empty() || parts.next().is_some() {
        return Err(malformed);
    }
    let mut secret = [0; SECRET_BYTES];
    hex::decode_to_slice(secret_hex, &mut secret).map_err(|_| malformed)?;
    Ok((id, secret))
}
