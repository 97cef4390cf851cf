//! Acquires, maintains and releases shards of this entry VM's zone.

mod release;
mod take;

use smol_str::SmolStr;
use snipevane_core::clock::Clock;
use snipevane_core::shards::ShardName;
use snipevane_platform::{Check, CommitError, Transaction, Write, commit_resolved};
use snipevane_proto::rows::{CONFIG_HEAD_KEY, SHARD_PREFIX, ShardHolder};

use super::{Control, Platform};
use crate::journal::kinds;
use crate::state::HeldShard;

/// A shard's row as read from the table.
struct StoredShard {
    name: ShardName,
    holder: ShardHolder,
    version: u64,
}

impl<P: Platform, C: Clock> Control<P, C> {
    /// Reads the shards' rows, acquires a free shard, releases a surplus one, and writes ceilings
    /// and settled versions.
    pub(crate) async fn poll_shards(&self) {
        if self.node.state().site.version == 0 || self.node.is_stopping() {
            return;
        }
        let rows = self.platform.scan(SHARD_PREFIX).await;
        self.record_platform_result(&rows);
        let Ok(rows) = rows else {
            return;
        };
        let reads: Vec<StoredShard> = rows
            .iter()
            .filter_map(|row| {
                let name = row.key.strip_prefix(SHARD_PREFIX)?.parse().ok()?;
                let holder = self.parse_row(row)?;
                Some(StoredShard {
                    name,
                    holder,
                    version: row.version,
                })
            })
            .collect();
        self.confirm_from_rows(&reads).await;
        self.remove_lost_shards(&reads);
        self.refresh_held_rows(&reads);
        self.acquire_one(&reads).await;
        self.release_surplus_shard().await;
        self.write_held_rows().await;
    }

    /// Confirms the settled versions that the shards' rows record, and the version in force for
    /// shards without a holder.
    async fn confirm_from_rows(&self, reads: &[StoredShard]) {
        let version = {
            let mut state = self.node.state();
            for read in reads {
                state.confirm(&read.name, read.holder.settled_version);
            }
            state.site.version
        };
        let unheld = self.unconfirmed_without_holder(reads);
        if unheld.is_empty() {
            return;
        }
        // The rows as read may be stale, and a shard may have been acquired since; the commit
        // checks their current versions.
        let names: Vec<ShardName> = unheld.iter().map(|(name, _)| name.clone()).collect();
        let checks = unheld.into_iter().map(|(name, expected)| Check {
            key: format!("{SHARD_PREFIX}{name}").into(),
            expected,
        });
        let tx = Transaction::new(checks.collect(), Vec::new());
        if self.platform.commit(tx).await.is_err() {
            return;
        }
        // These shards aren't in use, and an entry VM that acquires one starts with the accepted
        // version.
        let mut state = self.node.state();
        for name in names {
            state.confirm(&name, version);
        }
    }

    /// Returns the unconfirmed shards that have no holder, with the versions of their rows.
    fn unconfirmed_without_holder(&self, reads: &[StoredShard]) -> Vec<(ShardName, Option<u64>)> {
        let state = self.node.state();
        let mut names = state.limit_rollout.unconfirmed_shards();
        names.extend(state.slot_rollout.unconfirmed_shards());
        names.sort_unstable();
        names.dedup();
        let unheld = names.into_iter().filter_map(|name| {
            match reads.iter().find(|read| read.name == name) {
                None => Some((name, None)),
                Some(read) if read.holder.released => Some((name, Some(read.version))),
                Some(_) => None,
            }
        });
        unheld.collect()
    }

    /// Removes held shards whose row names another holder.
    fn remove_lost_shards(&self, reads: &[StoredShard]) {
        let incarnation = self.node.incarnation;
        let lost = |held: &HeldShard| {
            let read = reads.iter().find(|read| read.name == held.name)?;
            // A row older than this process's own write comes from a lagging replica.
            let other = read.holder.incarnation != incarnation && read.version > held.row_version;
            other.then(|| (held.name.clone(), SmolStr::new(&read.holder.vm)))
        };
        let mut state = self.node.state();
        let lost: Vec<(ShardName, SmolStr)> = state.held.iter().filter_map(lost).collect();
        for (name, vm) in lost {
            state.held.retain(|held| held.name != name);
            state.limit_rollout.remove_shard(&name);
            state.slot_rollout.remove_shard(&name);
            state.refresh_allowances();
            self.node.record(&kinds::SHARD_LOST, &[&name, &vm]);
        }
    }

    /// Adopts newer rows of held shards, which result from writes whose responses were lost.
    ///
    /// Otherwise every later write would expect an outdated row version and fail.
    fn refresh_held_rows(&self, reads: &[StoredShard]) {
        let incarnation = self.node.incarnation;
        let mut state = self.node.state();
        for held in &mut state.held {
            let read = reads.iter().find(|read| read.name == held.name);
            let Some(read) = read.filter(|read| read.holder.incarnation == incarnation) else {
                continue;
            };
            // A released row is left to the next holder.
            if read.version > held.row_version && !read.holder.released {
                held.row = read.holder.clone();
                held.row_version = read.version;
                held.claims.set_ceiling(read.holder.ceiling_ms);
            }
        }
    }

    /// Writes the rows of held shards whose ceiling or settled version has to be raised.
    async fn write_held_rows(&self) {
        let unix_ms = self.node.clock.unix_ms();
        // The writes are conditional on the accepted version: under an older one, identifiers may
        // belong to other shards.
        let config_row = self.node.state().config_row;
        let due: Vec<(ShardName, ShardHolder, u64)> = {
            let state = self.node.state();
            let settled = state.settled_version;
            let held = state.held.iter().filter(|held| !held.closing);
            let due = held.filter_map(|held| {
                let ceiling = held.claims.next_ceiling(unix_ms);
                // A ceiling that was only announced to peers is written to the row as soon as
                // possible.
                let announced =
                    Some(held.announced_ceiling_ms).filter(|ms| *ms > held.row.ceiling_ms);
                let ceiling = ceiling.max(announced);
                if ceiling.is_none() && held.row.settled_version >= settled {
                    return None;
                }
                let mut row = held.row.clone();
                row.ceiling_ms = ceiling.unwrap_or(row.ceiling_ms);
                row.settled_version = row.settled_version.max(settled);
                Some((held.name.clone(), row, held.row_version))
            });
            due.collect()
        };
        for (name, row, expected) in due {
            let Some(version) = self
                .write_shard(&name, &row, Some(expected), config_row)
                .await
            else {
                continue;
            };
            let mut state = self.node.state();
            if let Some(held) = state.held.iter_mut().find(|held| held.name == name) {
                held.claims.set_ceiling(row.ceiling_ms);
                held.announced_ceiling_ms = held.announced_ceiling_ms.max(row.ceiling_ms);
                held.row = row;
                held.row_version = version;
            }
        }
    }

    /// Writes a shard's row; returns its new version if the write is known to have taken effect.
    ///
    /// With `config_row`, the write takes effect only if that configuration version is in force
    /// here and still the accepted one.
    async fn write_shard(
        &self,
        name: &ShardName,
        row: &ShardHolder,
        expected: Option<u64>,
        config_row: Option<(u64, u64)>,
    ) -> Option<u64> {
        let key = SmolStr::from(format!("{SHARD_PREFIX}{name}"));
        let mut checks = vec![Check {
            key: key.clone(),
            expected,
        }];
        if let Some((row_version, config)) = config_row {
            if config != self.node.state().site.version {
                return None;
            }
            checks.push(Check {
                key: CONFIG_HEAD_KEY.into(),
                expected: Some(row_version),
            });
        }
        let value = serde_json::to_value(row).ok()?;
        let tx = Transaction::new(
            checks,
            vec![Write::Put {
                key: key.clone(),
                value,
            }],
        );
        match commit_resolved(&self.platform, tx).await {
            Ok(committed) => committed
                .versions
                .iter()
                .find(|(k, _)| *k == key)
                .map(|(_, version)| *version),
            Err(CommitError::Conflict { .. } | CommitError::NotApplied(_)) => None,
            // The next scan shows the outcome; until then nothing that the write would allow is
            // used.
            Err(CommitError::Unknown(_)) => None,
        }
    }
}
