//! RPC interface between entry VMs.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use jsonrpsee::core::async_trait;
use jsonrpsee::proc_macros::rpc;
use jsonrpsee::types::ErrorObjectOwned;
use smol_str::SmolStr;
use snipevane_core::clock::Clock;
use snipevane_core::keys::KeyRow;
use snipevane_core::shards::ShardName;
use snipevane_proto::peer::{
    ConfigBody, Free, Heartbeat, KeyState, Operate, Operated, PROTOCOL, ShardState,
};

use crate::control::{Control, Platform};
use crate::journal::kinds;
use crate::node::Node;

/// JSON-RPC error code for a message that is rejected as invalid.
const INVALID_MESSAGE: i32 = -32001;

/// RPC methods that entry VMs offer to each other.
#[rpc(server, client, namespace = "peer")]
pub(crate) trait PeerApi {
    /// Processes the sender's heartbeat and returns the receiver's.
    #[method(name = "heartbeat")]
    async fn heartbeat(&self, heartbeat: Heartbeat) -> Result<Heartbeat, ErrorObjectOwned>;

    /// Carries out an operator's request for a pool that the receiver coordinates.
    #[method(name = "operate")]
    async fn operate(&self, req: Operate) -> Result<Operated, ErrorObjectOwned>;

    /// Returns the configuration in force, as a difference from the version `have` if possible.
    #[method(name = "config")]
    async fn config(&self, have: u64) -> Result<ConfigBody, ErrorObjectOwned>;
}

/// RPC server for calls of peers.
pub(crate) struct PeerRpc<P, C>(pub(crate) Arc<Control<P, C>>);

#[async_trait]
impl<P: Platform, C: Clock> PeerApiServer for PeerRpc<P, C> {
    async fn heartbeat(&self, heartbeat: Heartbeat) -> Result<Heartbeat, ErrorObjectOwned> {
        let node = &self.0.node;
        let vm = SmolStr::new(&heartbeat.vm);
        if let Err(reason) = node.on_heartbeat(&heartbeat) {
            node.record(&kinds::PEER_MESSAGE_REJECTED, &[&vm, &reason]);
            return Err(ErrorObjectOwned::owned(
                INVALID_MESSAGE,
                reason.to_string(),
                None::<()>,
            ));
        }
        Ok(node.heartbeat_for(&vm))
    }

    async fn config(&self, have: u64) -> Result<ConfigBody, ErrorObjectOwned> {
        Ok(self.0.node.config_body(have))
    }

    async fn operate(&self, req: Operate) -> Result<Operated, ErrorObjectOwned> {
        Ok(self.0.operate_locally(req).await)
    }
}

impl<C: Clock> Node<C> {
    /// Builds the heartbeat for a peer, including the key changes that the peer hasn't confirmed.
    pub(crate) fn heartbeat_for(&self, vm: &str) -> Heartbeat {
        let now = self.now();
        let state = self.state();
        let (merged, confirmed, of) = state.peers.get(vm).map_or((0, 0, None), |peer| {
            (peer.keys_merged, peer.keys_confirmed, peer.incarnation)
        });
        let (rows, keys_sequence) = state.keys.changes_since(confirmed);
        let keys = rows.map(key_state).collect();
        let platform_age = state
            .platform_last_response
            .map_or(Duration::MAX, |at| now.duration_since(at));
        Heartbeat {
            protocol: PROTOCOL,
            vm: self.settings.vm.to_string(),
            zone: self.settings.zone.to_string(),
            incarnation: self.incarnation,
            address: self.peer_address.to_string(),
            config_version: state.site.version,
            settled_version: state.settled_version,
            shards: state.held.iter().map(shard_state).collect(),
            platform_age_ms: u64::try_from(platform_age.as_millis()).unwrap_or(u64::MAX),
            stopping: self.is_stopping(),
            free_units: state.free_units(),
            free_slots: state.free_slots(),
            keys,
            keys_sequence,
            keys_since: confirmed,
            keys_seen: merged,
            keys_seen_of: of,
            ceilings: state.ceilings_for(vm),
            drained: state.drained_vms(),
            logical_time: self.journal.message_timestamp(self.clock.unix_ms()),
        }
    }

    /// Updates the state from a peer's heartbeat.
    ///
    /// # Errors
    ///
    /// Returns the reason why a heartbeat is invalid; the state is then unchanged.
    pub(crate) fn on_heartbeat(&self, heartbeat: &Heartbeat) -> Result<(), SmolStr> {
        if heartbeat.protocol != PROTOCOL {
            return Err(format!("protocol version {}", heartbeat.protocol).into());
        }
        if heartbeat.vm == self.settings.vm.as_str() {
            return Err("the name of this VM".into());
        }
        let address: SocketAddr = heartbeat
            .address
            .parse()
            .map_err(|_| SmolStr::from("malformed address"))?;
        let rows = heartbeat
            .keys
            .iter()
            .map(key_row)
            .collect::<Result<Vec<_>, _>>()?;
        let time = self
            .journal
            .observe(heartbeat.logical_time, self.clock.unix_ms());
        let now = self.now();
        let mut state = self.state();
        let newly_reachable = state
            .peers
            .on_heartbeat(heartbeat, address, self.incarnation, now);
        if heartbeat.zone != state.zone.as_str() {
            state.other_zone_last_heartbeat = Some(now);
        }
        for row in rows {
            state.keys.merge(row);
        }
        state.record_ceilings(heartbeat);
        for shard in &heartbeat.shards {
            let name = ShardName {
                zone: SmolStr::new(&shard.zone),
                index: shard.index,
            };
            state.confirm(&name, heartbeat.settled_version);
        }
        if heartbeat.config_version > state.site.version {
            self.newer_version.notify_one();
        }
        let clock_ahead_changed = state.peers.set_clock_ahead(&heartbeat.vm, time.is_err());
        drop(state);
        if let Err(drift) = time
            && clock_ahead_changed
        {
            let ahead_ms = drift.ahead.as_millis();
            self.record(&kinds::PEER_CLOCK_AHEAD, &[&heartbeat.vm, &ahead_ms]);
        }
        if newly_reachable {
            self.record(
                &kinds::PEER_REACHABLE,
                &[&heartbeat.vm, &heartbeat.incarnation],
            );
        }
        self.notify_peer_capacity();
        Ok(())
    }
}

fn key_state(row: &KeyRow) -> KeyState {
    KeyState {
        id: row.id.to_string(),
        team: row.team.to_string(),
        hash: hex::encode(row.hash),
        withdrawn: row.withdrawn,
    }
}

fn key_row(key: &KeyState) -> Result<KeyRow, SmolStr> {
    let mut hash = [0; 32];
    hex::decode_to_slice(&key.hash, &mut hash).map_err(|_| SmolStr::from("malformed hash"))?;
    Ok(KeyRow {
        id: key.id.as_str().into(),
        team: key.team.as_str().into(),
        hash,
        withdrawn: key.withdrawn,
    })
}

fn shard_state(shard: &crate::state::HeldShard) -> ShardState {
    // An entry VM that acquires the shard later reads the ceiling from the row, so peers need to
    // know only a ceiling that is ahead of the row.
    let ahead = shard.announced_ceiling_ms > shard.row.ceiling_ms;
    ShardState {
        zone: shard.name.zone.to_string(),
        index: shard.name.index,
        epoch: shard.row.epoch,
        ceiling_ms: if ahead { shard.announced_ceiling_ms } else { 0 },
    }
}

/// Builds an entry of a heartbeat's free units or free slots.
pub(crate) fn free_count(name: &SmolStr, count: u32) -> Free {
    Free {
        name: name.to_string(),
        count,
    }
}
