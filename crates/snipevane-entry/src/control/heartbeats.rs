//! Sends heartbeats to the peers.

use std::net::SocketAddr;

use futures_util::future::join_all;
use smol_str::SmolStr;
use snipevane_core::clock::Clock;

use super::{Control, Platform};
use crate::journal::kinds;

/// Heartbeats that a peer gets without a change until it would count as silent.
const KEEP_ALIVES: u32 = 3;

impl<P: Platform, C: Clock> Control<P, C> {
    /// Sends one heartbeat to each peer and takes over what they answer.
    pub(crate) async fn send_heartbeats(&self) {
        let unix_ms = self.node.clock.unix_ms();
        let (peers, announced): (Vec<(SmolStr, SocketAddr)>, _) = {
            let mut state = self.node.state();
            let away = state.platform_away_since.is_some();
            if away {
                state.announce_ceilings(unix_ms);
            }
            let peers = state
                .peers
                .iter()
                .map(|(vm, peer)| (vm.clone(), peer.address))
                .collect();
            (peers, away.then(|| state.announced()))
        };
        let calls = peers
            .iter()
            .map(|(vm, address)| self.send_heartbeat(vm, *address));
        let heard = join_all(calls).await.contains(&true);
        if let (Some(announced), true) = (announced, heard) {
            self.node.state().use_announced(&announced);
        }
        let silent = self.node.settings.timings.peer_timeout;
        let lost = self.node.state().peers.mark_silent(self.node.now(), silent);
        for vm in lost {
            self.node.record(&kinds::PEER_SILENT, &[&vm]);
        }
    }

    /// Sends a heartbeat if one is due; returns whether the peer knows what it says.
    async fn send_heartbeat(&self, vm: &SmolStr, address: SocketAddr) -> bool {
        let heartbeat = self.node.heartbeat_for(vm);
        let now = self.node.now();
        let every = self.node.settings.timings.peer_timeout / KEEP_ALIVES;
        let due = {
            let state = self.node.state();
            state.peers.is_heartbeat_due(vm, &heartbeat, every, now)
        };
        if !due {
            return true;
        }
        let Ok(answer) = self.peers.heartbeat(address, heartbeat.clone()).await else {
            return false;
        };
        match self.node.on_heartbeat(&answer) {
            Ok(()) => {
                let mut state = self.node.state();
                state
                    .peers
                    .record_accepted(vm, &heartbeat, answer.incarnation);
            }
            Err(reason) => {
                self.node
                    .record(&kinds::PEER_MESSAGE_REJECTED, &[vm, &reason]);
            }
        }
        true
    }
}
