//! Acquires free shards of this entry VM's zone.

use std::time::Duration;

use smol_str::SmolStr;
use snipevane_core::claims::{ClaimSettings, Claims};
use snipevane_core::clock::Clock;
use snipevane_core::shards::{Acquisition, Holder, ShardName, ShardRow, decide_acquisition};
use snipevane_proto::rows::ShardHolder;

use super::StoredShard;
use crate::control::{Control, Platform};
use crate::journal::kinds;
use crate::state::HeldShard;

/// Maximum staleness of the platform's VM list.
const MAX_LIST_LAG: Duration = Duration::from_secs(60);

/// Inputs to the decision whether to acquire a shard.
struct AcquisitionInputs {
    /// Shards of this zone that this entry VM doesn't hold.
    names: Vec<ShardName>,
    /// Maximum time for which a request of a former holder may still run.
    longest_run: Duration,
    /// Version of the row `config/head` and of the configuration that it names.
    config_row: (u64, u64),
    /// Whether this entry VM already holds a shard.
    holds_one: bool,
}

impl<P: Platform, C: Clock> Control<P, C> {
    /// Acquires the first free shard of the zone.
    ///
    /// If this entry VM already holds a shard, a shard without a row is left to an entry VM that
    /// holds none.
    pub(super) async fn acquire_one(&self, reads: &[StoredShard]) {
        let this_vm = Holder {
            vm: self.node.settings.vm.clone(),
            incarnation: self.node.incarnation,
        };
        let Some(inputs) = self.acquisition_inputs() else {
            return;
        };
        let mut names: Vec<(&ShardName, Option<&StoredShard>)> = inputs
            .names
            .iter()
            .map(|name| (name, reads.iter().find(|read| read.name == *name)))
            .collect();
        // Shards that this VM held before come first, since no other entry VM can acquire them.
        names
            .sort_by_key(|(_, read)| read.is_none_or(|read| read.holder.vm != this_vm.vm.as_str()));
        for (name, read) in names {
            if read.is_none() && inputs.holds_one {
                continue;
            }
            let Some(min_floor_ms) = self.min_floor_ms(name, read, inputs.config_row) else {
                continue;
            };
            let row = read.map(|read| core_row(&read.holder));
            let gone = |vm: &str| self.is_gone(vm);
            let acquired = match (
                decide_acquisition(
                    row.as_ref(),
                    &this_vm,
                    gone,
                    min_floor_ms,
                    inputs.longest_run,
                ),
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
                        .write_shard(name, &holder, expected, Some(inputs.config_row))
                        .await;
                    written.map(|version| (holder, version, floor_ms, usable_delay))
                }
                // Acquired by a write whose response was lost; the time at which it took effect is
                // unknown.
                (Acquisition::AlreadyHeld, Some(read)) => {
                    let holder = read.holder.clone();
                    let floor_ms = holder.ceiling_ms;
                    Some((holder, read.version, floor_ms, inputs.longest_run))
                }
                (Acquisition::AlreadyHeld | Acquisition::HeldByOther, _) => None,
            };
            if let Some((holder, version, floor_ms, usable_delay)) = acquired {
                self.add_held_shard(name.clone(), holder, version, floor_ms, usable_delay);
                return;
            }
        }
    }

    /// Collects the inputs for acquiring a shard; `None` if the configuration's row hasn't been
    /// read or if a shard has to be released instead.
    fn acquisition_inputs(&self) -> Option<AcquisitionInputs> {
        let state = self.node.state();
        // Without the row of the accepted version, the write can't be made conditional on it.
        let config_row = state.config_row?;
        let holds_one = !state.held.is_empty();
        if holds_one && state.has_peer_without_shard() {
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
        Some(AcquisitionInputs {
            names: names.cloned().collect(),
            longest_run: longest.unwrap_or_default(),
            config_row,
            holds_one,
        })
    }

    /// Returns, in Unix milliseconds, the latest time of an identifier whose request a former
    /// holder may have run without the shard's row covering it.
    ///
    /// `None` while a heartbeat from some listed peer is awaited; once that wait is over, the
    /// latest time that an identifier could have by now.
    fn min_floor_ms(
        &self,
        name: &ShardName,
        read: Option<&StoredShard>,
        config_row: (u64, u64),
    ) -> Option<u64> {
        let skew = ClaimSettings::default().max_clock_skew;
        let newest_ms = self.node.clock.unix_ms() + u64::try_from(skew.as_millis()).unwrap_or(0);
        let Some(read) = read else {
            // Under the first configuration version, no identifier can have belonged to another
            // shard.
            let first = config_row.1 == 1;
            return Some(if first { 0 } else { newest_ms });
        };
        if read.holder.released {
            return Some(0);
        }
        let state = self.node.state();
        if state.has_heard_all_listed() {
            return Some(state.max_announced_ceiling(name));
        }
        let max_wait = 2 * self.node.settings.timings.peer_timeout;
        let uptime = self.node.now().saturating_duration_since(self.node.started);
        (uptime > max_wait).then_some(newest_ms)
    }

    /// Returns whether a VM is gone according to the platform's list.
    ///
    /// A VM that was never listed may be too new to be in the list, and a reachable VM is running,
    /// whatever the list says.
    fn is_gone(&self, vm: &str) -> bool {
        let state = self.node.state();
        if state.peers.get(vm).is_some_and(|peer| peer.reachable) {
            return false;
        }
        let uptime = self.node.now().saturating_duration_since(self.node.started);
        let was_listed = state.ever_listed.contains(vm) || uptime > MAX_LIST_LAG;
        state.list_read && was_listed && !state.list.iter().any(|entry| entry.id == vm)
    }

    fn add_held_shard(
        &self,
        name: ShardName,
        row: ShardHolder,
        row_version: u64,
        floor_ms: u64,
        usable_delay: Duration,
    ) {
        let usable_ms = usable_delay.as_millis();
        self.node
            .record(&kinds::SHARD_ACQUIRED, &[&name, &row.epoch, &usable_ms]);
        let mut claims = Claims::new(ClaimSettings::default(), floor_ms);
        claims.set_ceiling(row.ceiling_ms);
        let usable_at = self.node.now() + usable_delay;
        let mut state = self.node.state();
        // The version settled for this shard was settled by another process, so this one has to
        // settle again.
        state.settled_version = 0;
        state.held.push(HeldShard {
            name,
            row,
            row_version,
            usable_at,
            usable: false,
            closing: false,
            announced_ceiling_ms: 0,
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
