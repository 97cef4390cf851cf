//! Synchronizes the API keys with the platform's table.

use smol_str::SmolStr;
use snipevane_core::clock::Clock;
use snipevane_core::keys::KeyRow;
use snipevane_platform::{Check, CommitError, Transaction, Write, commit_resolved};
use snipevane_proto::rows::{KEY_PREFIX, KeyRecord};
use uuid::Uuid;

use super::{Control, Platform};

impl<P: Platform, C: Clock> Control<P, C> {
    /// Reads all keys from the table, and writes the withdrawals that are known here but not
    /// stored.
    pub(crate) async fn poll_keys(&self) {
        let rows = self.platform.scan(KEY_PREFIX).await;
        self.record_platform_result(&rows);
        let Ok(rows) = rows else {
            return;
        };
        let mut stored = Vec::with_capacity(rows.len());
        for row in &rows {
            let Some(record) = self.parse_row::<KeyRecord>(row) else {
                continue;
            };
            let id = SmolStr::new(row.key.strip_prefix(KEY_PREFIX).unwrap_or(&row.key));
            let Some(key) = key_row(&id, &record) else {
                continue;
            };
            stored.push((row.version, key));
        }
        let unstored: Vec<(u64, KeyRow)> = {
            let mut state = self.node.state();
            for (_, key) in &stored {
                state.keys.merge(key.clone());
            }
            let withdrawn = |key: &KeyRow| {
                state
                    .keys
                    .get(&key.id)
                    .filter(|known| known.withdrawn && !key.withdrawn)
                    .cloned()
            };
            stored
                .iter()
                .filter_map(|(version, key)| Some((*version, withdrawn(key)?)))
                .collect()
        };
        for (version, key) in unstored {
            // A conflict means that another entry VM has written the row; the next poll reads it.
            let _ = self.store_key(&key, Some(version)).await;
        }
    }

    /// Writes a key's row if its stored version is `expected` (`None`: the row doesn't exist yet).
    ///
    /// # Errors
    ///
    /// Returns an error if the commit conflicts, isn't applied, or has an unknown outcome.
    pub(crate) async fn store_key(
        &self,
        key: &KeyRow,
        expected: Option<u64>,
    ) -> Result<(), CommitError> {
        let record = KeyRecord {
            team: key.team.to_string(),
            hash: hex::encode(key.hash),
            withdrawn: key.withdrawn,
            write_id: Uuid::now_v7(),
        };
        let name = SmolStr::from(format!("{KEY_PREFIX}{}", key.id));
        let value = serde_json::to_value(record).unwrap_or_default();
        let check = Check {
            key: name.clone(),
            expected,
        };
        let tx = Transaction::new(vec![check], vec![Write::Put { key: name, value }]);
        commit_resolved(&self.platform, tx).await.map(|_| ())
    }
}

fn key_row(id: &SmolStr, record: &KeyRecord) -> Option<KeyRow> {
    let mut hash = [0; 32];
    hex::decode_to_slice(&record.hash, &mut hash).ok()?;
    let team = SmolStr::new(&record.team);
    Some(KeyRow {
        id: id.clone(),
        team,
        hash,
        withdrawn: record.withdrawn,
    })
}
