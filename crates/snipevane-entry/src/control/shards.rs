//! Takes and keeps shards of this entry VM's zone.

use std::time::Duration;

use smol_str::SmolStr;
use snipevane_core::claims::{ClaimSettings, Claims};
use snipevane_core::clock::Clock;
use snipevane_core::shards::{Acquisition, Holder, ShardName, ShardRow, decide};
use snipevane_platform::{Check, CommitError, Transaction, Write, commit_resolved};
use snipevane_proto::rows::{CONFIG_HEAD, SHARD, ShardHolder};

use super::{Control, Platform};
use crate::journal::kinds;
use crate::state::HeldShard;

/// Longest time by which the platform's list lags.
const LONGEST_LIST_LAG: Duration = Duration::from_secs(60);

/// Attempts to write that a shard is given back.
const RELEASE_ATTEMPTS: u32 = 3;

/// A shard's row as it was read.
struct Read {
    name: ShardName,
    holder: ShardHolder,
    version: u64,
}

/// What taking a shard needs to know.
struct Takeable {
    /// Shards of this zone.
    names: Vec<ShardName>,
    /// Longest time that a request of a former holder may still run.
    longest_run: Duration,
    /// Version of the row `config/head` and of the configuration that it names.
    config_row: (u64, u64),
    /// Whether this entry VM holds a shard.
    holds_one: bool,
}

impl<P: Platform, C: Clock> Control<P, C> {
    /// Reads the shards' rows, takes a free shard, and writes ceilings and settled versions.
    pub(crate) async fn poll_shards(&self) {
        if self.node.state().site.version == 0 || self.node.is_stopping() {
            return;
        }
        let rows = self.platform.scan(SHARD).await;
        self.note_platform(&rows);
        let Ok(rows) = rows else {
            return;
        };
        let reads: Vec<Read> = rows
            .iter()
            .filter_map(|row| {
                let name = row.key.strip_prefix(SHARD)?.parse().ok()?;
                let holder = self.parse_row(row)?;
                Some(Read {
                    name,
                    holder,
                    version: row.version,
                })
            })
            .collect();
        self.confirm_from_rows(&reads).await;
        self.drop_lost(&reads);
        self.refresh_held(&reads);
        self.take_one(&reads).await;
        self.hand_back().await;
        self.write_held().await;
    }

    /// Learns from the rows which versions shards run within.
    async fn confirm_from_rows(&self, reads: &[Read]) {
        let version = {
            let mut state = self.node.state();
            for read in reads {
                state.confirm(&read.name, read.holder.settled_version);
            }
            state.site.version
        };
        let unheld = self.unsettled_without_holder(reads);
        if unheld.is_empty() {
            return;
        }
        // The rows as read may be old, and a shard may have been taken since; a check is not.
        let names: Vec<ShardName> = unheld.iter().map(|(name, _)| name.clone()).collect();
        let checks = unheld.into_iter().map(|(name, expected)| Check {
            key: format!("{SHARD}{name}").into(),
            expected,
        });
        let tx = Transaction::new(checks.collect(), Vec::new());
        if self.platform.commit(tx).await.is_err() {
            return;
        }
        // Nobody used these shards; who takes one starts with the accepted version.
        let mut state = self.node.state();
        for name in names {
            state.confirm(&name, version);
        }
    }

    /// Lists the shards that no holder uses and that don't count as settled, with the versions
    /// of their rows.
    fn unsettled_without_holder(&self, reads: &[Read]) -> Vec<(ShardName, Option<u64>)> {
        let state = self.node.state();
        let mut names = state.limit_deals.unsettled();
        names.extend(state.slot_deals.unsettled());
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

    /// Lets go of shards whose row names another holder.
    fn drop_lost(&self, reads: &[Read]) {
        let incarnation = self.node.incarnation;
        let lost = |held: &HeldShard| {
            let read = reads.iter().find(|read| read.name == held.name)?;
            // A row that is older than our own write comes from a lagging replica.
            let other = read.holder.incarnation != incarnation && read.version > held.row_version;
            other.then(|| (held.name.clone(), SmolStr::new(&read.holder.vm)))
        };
        let mut state = self.node.state();
        let lost: Vec<(ShardName, SmolStr)> = state.held.iter().filter_map(lost).collect();
        for (name, vm) in lost {
            state.held.retain(|held| held.name != name);
            state.limit_deals.let_go(&name);
            state.slot_deals.let_go(&name);
            state.refresh_allowances();
            self.node.record(&kinds::SHARD_LOST, &[&name, &vm]);
        }
    }

    /// Takes over newer rows of held shards, left by writes whose answers were lost.
    ///
    /// Without this, every later write would name a version that the row no longer has.
    fn refresh_held(&self, reads: &[Read]) {
        let incarnation = self.node.incarnation;
        let mut state = self.node.state();
        for held in &mut state.held {
            let read = reads.iter().find(|read| read.name == held.name);
            let Some(read) = read.filter(|read| read.holder.incarnation == incarnation) else {
                continue;
            };
            // A released row is left to the one who takes it next.
            if read.version > held.row_version && !read.holder.released {
                held.row = read.holder.clone();
                held.row_version = read.version;
                held.claims.set_ceiling(read.holder.ceiling_ms);
            }
        }
    }

    /// Takes the first shard of the zone that is free.
    ///
    /// One that was never held is left to the entry VM that it was meant for, if this one holds
    /// another.
    async fn take_one(&self, reads: &[Read]) {
        let me = Holder {
            vm: self.node.settings.vm.clone(),
            incarnation: self.node.incarnation,
        };
        let Some(site) = self.free_to_take() else {
            return;
        };
        let mut names: Vec<(&ShardName, Option<&Read>)> = site
            .names
            .iter()
            .map(|name| (name, reads.iter().find(|read| read.name == *name)))
            .collect();
        // Shards that this VM held before come first, as nobody else can take them.
        names.sort_by_key(|(_, read)| read.is_none_or(|read| read.holder.vm != me.vm.as_str()));
        for (name, read) in names {
            if read.is_none() && site.holds_one {
                continue;
            }
            let Some(earliest) = self.earliest_floor(name, read, site.config_row) else {
                continue;
            };
            let row = read.map(|read| core_row(&read.holder));
            let gone = |vm: &str| self.is_gone(vm);
            let taking = match (
                decide(row.as_ref(), &me, gone, earliest, site.longest_run),
                read,
            ) {
                (
                    Acquisition::Take {
                        next,
                        floor_ms,
                        usable_after,
                    },
                    _,
                ) => {
                    let settled = read.map_or(0, |read| read.holder.settled_version);
                    let holder = proto_row(&next, settled);
                    let expected = read.map(|read| read.version);
                    let written = self
                        .write_shard(name, &holder, expected, Some(site.config_row))
                        .await;
                    written.map(|version| (holder, version, floor_ms, usable_after))
                }
                // Taken by a write whose answer was lost; when it took effect isn't known.
                (Acquisition::Hold, Some(read)) => {
                    let holder = read.holder.clone();
                    let floor_ms = holder.ceiling_ms;
                    Some((holder, read.version, floor_ms, site.longest_run))
                }
                (Acquisition::Hold | Acquisition::Leave, _) => None,
            };
            if let Some((holder, version, floor_ms, usable_after)) = taking {
                self.hold(name.clone(), holder, version, floor_ms, usable_after);
                return;
            }
        }
    }

    /// Returns what taking a shard needs to know, unless shards are to be handed back.
    fn free_to_take(&self) -> Option<Takeable> {
        let state = self.node.state();
        // Without the row of the accepted version a take can't be tied to it.
        let config_row = state.config_row?;
        let holds_one = !state.held.is_empty();
        if holds_one && state.someone_lacks_a_shard() {
            return None;
        }
        let names = state
            .shards
            .names()
            .iter()
            .filter(|name| name.zone == state.zone)
            .filter(|name| state.held.iter().all(|held| held.name != **name));
        let longest = state
            .site
            .services
            .values()
            .map(|service| service.longest_run)
            .max();
        Some(Takeable {
            names: names.cloned().collect(),
            longest_run: longest.unwrap_or_default(),
            config_row,
            holds_one,
        })
    }

    /// Returns the time at or below which a former holder may have run identifiers that the
    /// shard's row doesn't tell of, in Unix milliseconds; `None` while peers are still asked.
    fn earliest_floor(
        &self,
        name: &ShardName,
        read: Option<&Read>,
        config_row: (u64, u64),
    ) -> Option<u64> {
        let skew = ClaimSettings::default().allowed_skew;
        let newest = self.node.clock.unix_ms() + u64::try_from(skew.as_millis()).unwrap_or(0);
        let Some(read) = read else {
            // Under the first configuration no identifier can have belonged to another shard.
            let first = config_row.1 == 1;
            return Some(if first { 0 } else { newest });
        };
        if read.holder.released {
            return Some(0);
        }
        let state = self.node.state();
        if state.heard_all_listed() {
            return Some(state.heard_ceiling(name));
        }
        let patience = 2 * self.node.settings.timings.peer_silent;
        let asked = self.node.now().saturating_duration_since(self.node.started);
        (asked > patience).then_some(newest)
    }

    /// Tells whether the platform's list says that a VM is gone.
    ///
    /// A VM that was never listed may be so new that the list doesn't have it yet, and one that is
    /// heard runs, whatever the list says.
    fn is_gone(&self, vm: &str) -> bool {
        let state = self.node.state();
        if state.peers.get(vm).is_some_and(|peer| peer.reachable) {
            return false;
        }
        let running = self.node.now().saturating_duration_since(self.node.started);
        let was_listed = state.listed.contains(vm) || running > LONGEST_LIST_LAG;
        state.list_read && was_listed && !state.list.iter().any(|entry| entry.id == vm)
    }

    fn hold(
        &self,
        name: ShardName,
        row: ShardHolder,
        row_version: u64,
        floor_ms: u64,
        usable_after: Duration,
    ) {
        let usable_ms = usable_after.as_millis();
        self.node
            .record(&kinds::SHARD_TAKEN, &[&name, &row.epoch, &usable_ms]);
        let mut claims = Claims::new(ClaimSettings::default(), floor_ms);
        claims.set_ceiling(row.ceiling_ms);
        let usable_at = self.node.now() + usable_after;
        let mut state = self.node.state();
        // What was settled before was settled by another process.
        state.settled = 0;
        state.held.push(HeldShard {
            name,
            row,
            row_version,
            usable_at,
            usable: false,
            closing: false,
            announced_ms: 0,
            claims,
        });
    }

    /// Writes the rows of held shards whose ceiling or settled version has to grow.
    async fn write_held(&self) {
        let unix_ms = self.node.clock.unix_ms();
        // Under an older version than the accepted one, identifiers may belong to other shards.
        let config_row = self.node.state().config_row;
        let due: Vec<(ShardName, ShardHolder, u64)> = {
            let state = self.node.state();
            let settled = state.settled;
            let held = state.held.iter().filter(|held| !held.closing);
            let due = held.filter_map(|held| {
                let ceiling = held.claims.next_ceiling(unix_ms);
                // A ceiling that only peers know of goes into the row as soon as that's possible.
                let announced = Some(held.announced_ms).filter(|ms| *ms > held.row.ceiling_ms);
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
                held.announced_ms = held.announced_ms.max(row.ceiling_ms);
                held.row = row;
                held.row_version = version;
            }
        }
    }

    /// Gives a shard back if this entry VM holds several and another one of the zone has none.
    async fn hand_back(&self) {
        {
            let now = self.node.now();
            let mut state = self.node.state();
            if state.held.len() > 1 && state.someone_lacks_a_shard() {
                state.close_last_shard(now);
            }
        }
        let closed = {
            let state = self.node.state();
            // The shard's part may be used elsewhere at once, so nothing may run on it.
            let empty = state.is_within_deal(state.site.version);
            let closed = state.held.iter().find(|held| held.closing && empty);
            closed.map(|held| (held.name.clone(), released_row(held), held.row_version))
        };
        let Some((name, row, expected)) = closed else {
            return;
        };
        if self
            .write_shard(&name, &row, Some(expected), None)
            .await
            .is_some()
        {
            self.node.state().held.retain(|held| held.name != name);
            self.node.record(&kinds::SHARD_RELEASED, &[&name]);
        }
    }

    /// Gives all shards back with nothing running, at the end of a planned stop.
    pub(crate) async fn release_shards(&self) {
        let held = std::mem::take(&mut self.node.state().held);
        // A shard that isn't usable yet stays held, since a former holder's requests may run.
        for mut shard in held.into_iter().filter(|shard| shard.usable) {
            shard.claims.close();
            if self.release(&shard).await {
                self.node.record(&kinds::SHARD_RELEASED, &[&shard.name]);
            }
        }
    }

    /// Writes that a shard is given back; returns whether that surely took effect.
    async fn release(&self, shard: &HeldShard) -> bool {
        let row = released_row(shard);
        let mut expected = shard.row_version;
        for _ in 0..RELEASE_ATTEMPTS {
            if self
                .write_shard(&shard.name, &row, Some(expected), None)
                .await
                .is_some()
            {
                return true;
            }
            // A write of the ceiling may have come in between.
            let Ok(Some(read)) = self.platform.read(&format!("{SHARD}{}", shard.name)).await else {
                continue;
            };
            let holder = self.parse_row::<ShardHolder>(&read);
            if holder.is_none_or(|holder| holder.incarnation != self.node.incarnation) {
                return false;
            }
            expected = read.version;
        }
        false
    }

    /// Writes a shard's row; returns its new version if the write surely took effect.
    ///
    /// With `config_row` the write only takes effect while that version of the configuration is
    /// the accepted one.
    async fn write_shard(
        &self,
        name: &ShardName,
        row: &ShardHolder,
        expected: Option<u64>,
        config_row: Option<(u64, u64)>,
    ) -> Option<u64> {
        let key = SmolStr::from(format!("{SHARD}{name}"));
        let mut checks = vec![Check {
            key: key.clone(),
            expected,
        }];
        if let Some((row_version, config)) = config_row {
            if config != self.node.state().site.version {
                return None;
            }
            checks.push(Check {
                key: CONFIG_HEAD.into(),
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
            // The next scan tells; until then nothing is used that the write would allow.
            Err(CommitError::Unknown(_)) => None,
        }
    }
}

fn released_row(held: &HeldShard) -> ShardHolder {
    ShardHolder {
        released: true,
        ceiling_ms: held.claims.ceiling_ms(),
        ..held.row.clone()
    }
}

fn core_row(row: &ShardHolder) -> ShardRow {
    ShardRow {
        vm: SmolStr::new(&row.vm),
        incarnation: row.incarnation,
        epoch: row.epoch,
        ceiling_ms: row.ceiling_ms,
        released: row.released,
    }
}

fn proto_row(row: &ShardRow, settled_version: u64) -> ShardHolder {
    ShardHolder {
        vm: row.vm.to_string(),
        incarnation: row.incarnation,
        epoch: row.epoch,
        ceiling_ms: row.ceiling_ms,
        released: row.released,
        settled_version,
    }
}
