//! Polls the platform's list of VMs.

use snipevane_core::clock::Clock;
use snipevane_core::members::ListEntry;
use snipevane_platform::{VmRole, VmState};

use super::{Control, Platform};

impl<P: Platform, C: Clock> Control<P, C> {
    /// Reads the list and updates the peers and backend servers from it.
    ///
    /// A peer that is no longer listed is kept while it's reachable or named in the settings.
    pub(crate) async fn poll_vm_list(&self) {
        let list = self.platform.list().await;
        self.record_platform_result(&list);
        let now = self.node.now();
        let mut state = self.node.state();
        if let Ok(list) = list {
            let entries = list.iter().map(|entry| ListEntry {
                vm: entry.id.clone(),
                leaving: entry.state == VmState::Leaving,
            });
            state.members.on_list(now, entries);
            for entry in list.iter().filter(|entry| entry.role == VmRole::Entry) {
                if entry.id != self.node.settings.vm {
                    state.peers.add(&entry.id, &entry.zone, entry.address);
                }
            }
            let seeds = &self.node.settings.peers;
            state.peers.retain(|vm, peer| {
                let listed = list.iter().any(|entry| entry.id == *vm);
                listed || peer.reachable || seeds.iter().any(|seed| seed.vm == *vm)
            });
            state.list_read = true;
            state.set_vm_list(list);
        }
        state.sync_servers(now);
        drop(state);
        self.report_server_changes();
    }
}
