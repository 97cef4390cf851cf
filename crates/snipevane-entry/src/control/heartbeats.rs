//! Sends heartbeats to the peers and processes their replies.

use std::net::SocketAddr;

use futures_util::future::join_all;
use smol_str::SmolStr;
use snipevane_core::clock::Clock;

use super::{Control, Platform};
use crate::journal::kinds;

/// Number of heartbeats that a peer gets within the timeout after which it would count as silent,
/// if nothing changes.
const KEEPALIVES_PER_TIMEOUT: u32 = 3;

impl<P: Platform, C: Clock> Control<P, C> {
    /// Sends a heartbeat to each peer for which one is due, and applies the replies.
    ///
    /// While the platform is unreachable, the heartbeats also announce higher ceilings, which are
    /// used once a peer knows them.
    pub(crate) async fn send_heartbeats(&self) {
        let unix_ms = self.node.clock.unix_ms();
        let (peers, announced): (Vec<(SmolStr, SocketAddr)>, _) = {
            let mut state = self.node.state();
            let platform_unreachable = state.platform_unreachable_since.is_some();
            if platform_unreachable {
                state.announce_ceilings(unix_ms);
            }
            let peers = state
                .peers
                .iter()
                .map(|(vm, peer)| (vm.clone(), peer.address))
                .collect();
            (
                peers,
                platform_unreachable.then(|| state.announced_ceilings()),
            )
        };
        let calls = peers
            .iter()
            .map(|(vm, address)| self.send_heartbeat(vm, *address));
        let any_delivered = join_all(calls).await.contains(&true);
        if let (Some(announced), true) = (announced, any_delivered) {
            self.node.state().apply_announced_ceilings(&announced);
        }
        let silent = self.node.settings.timings.peer_timeout;
        let lost = self.node.state().peers.mark_silent(self.node.now(), silent);
        for vm in lost {
            self.node.record(&kinds::PEER_SILENT, &[&vm]);
        }
    }

    /// Sends a heartbeat if one is due; returns whether the peer has received its contents, now or
    /// earlier.
    async fn send_heartbeat(&self, vm: &SmolStr, address: SocketAddr) -> bool {
        let heartbeat = self.node.heartbeat_for(vm);
        let now = self.node.now();
        let interval = self.node.settings.timings.peer_timeout / KEEPALIVES_PER_TIMEOUT;
        let due = {
            let state = self.node.state();
            state.peers.is_heartbeat_due(vm, &heartbeat, interval, now)
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
