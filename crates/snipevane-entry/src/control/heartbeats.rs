//! Sends heartbeats to the peers.

use std::net::SocketAddr;

use smol_str::SmolStr;
use snipevane_core::clock::Clock;

use super::{Control, Platform};
use crate::journal::kinds;

impl<P: Platform, C: Clock> Control<P, C> {
    /// Sends one heartbeat to each peer and takes over what they answer.
    pub(crate) async fn send_heartbeats(&self) {
        let peers: Vec<(SmolStr, SocketAddr)> = {
            let state = self.node.state();
            state
                .peers
                .iter()
                .map(|(vm, peer)| (vm.clone(), peer.address))
                .collect()
        };
        let calls = peers
            .iter()
            .map(|(vm, address)| self.send_heartbeat(vm, *address));
        futures_util::future::join_all(calls).await;
        let silent = self.node.settings.timings.peer_silent;
        let lost = self.node.state().peers.mark_silent(self.node.now(), silent);
        for vm in lost {
            self.node.record(&kinds::PEER_SILENT, &[&vm]);
        }
    }

    async fn send_heartbeat(&self, vm: &SmolStr, address: SocketAddr) {
        let heartbeat = self.node.heartbeat_for(vm);
        let Ok(answer) = self.peers.heartbeat(address, heartbeat).await else {
            return;
        };
        if let Err(reason) = self.node.on_heartbeat(&answer) {
            self.node
                .record(&kinds::PEER_MESSAGE_REFUSED, &[vm, &reason]);
        }
    }
}
