//! Takes free shards of this entry VM's zone.

use std::time::Duration;

use smol_str::SmolStr;
use snipevane_core::claims::{ClaimSettings, Claims};
use snipevane_core::clock::Clock;
use snipevane_core::shards::{Acquisition, Holder, ShardName, ShardRow, decide_acquisition};
use snipevane_proto::rows::ShardHolder;

use super::Read;
use crate::control::{Control, Platform};
use crate::journal::kinds;
use crate::state::HeldShard;

/// Longest time by which the platform's list lags.
const LONGEST_LIST_LAG: Duration = Duration::from_secs(60);

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
    /// Takes the first shard of the zone that is free.
    ///
    /// One that was never held is left to the entry VM that it was meant for, if this one holds
    /// another.
    pub(super) async fn take_one(&self, reads: &[Read]) {
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
                decide_acquisition(row.as_ref(), &me, gone, earliest, site.longest_run),
                read,
            ) {
                (
                    Acquisition::Acquire {
                        next,
                        floor_ms,
                        usable_delay,
                    },
                    _,
                ) => {
                    let settled = read.map_or(0, |read| read.holder.settled_version);
                    let holder = proto_row(&next, settled);
                    let expected = read.map(|read| read.version);
                    let written = self
                        .write_shard(name, &holder, expected, Some(site.config_row))
                        .await;
                    written.map(|version| (holder, version, floor_ms, usable_delay))
                }
                // Taken by a write whose answer was lost; when it took effect isn't known.
                (Acquisition::AlreadyHeld, Some(read)) => {
                    let holder = read.holder.clone();
                    let floor_ms = holder.ceiling_ms;
                    Some((holder, read.version, floor_ms, site.longest_run))
                }
                (Acquisition::AlreadyHeld | Acquisition::HeldByOther, _) => None,
            };
            if let Some((holder, version, floor_ms, usable_delay)) = taking {
                self.hold(name.clone(), holder, version, floor_ms, usable_delay);
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
        let skew = ClaimSettings::default().max_clock_skew;
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
        usable_delay: Duration,
    ) {
        let usable_ms = usable_delay.as_millis();
        self.node
            .record(&kinds::SHARD_TAKEN, &[&name, &row.epoch, &usable_ms]);
        let mut claims = Claims::new(ClaimSettings::default(), floor_ms);
        claims.set_ceiling(row.ceiling_ms);
        let usable_at = self.node.now() + usable_delay;
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
