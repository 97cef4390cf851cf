//! Tracks which changes of backend servers have been logged, so that each is logged once.

use rustc_hash::{FxHashMap, FxHashSet};
use smol_str::SmolStr;

/// A change of a backend server to be logged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ServerChange {
    /// A server was added to a service.
    Added {
        /// VM of the server.
        vm: SmolStr,
        /// Service.
        service: SmolStr,
    },
    /// The server no longer gets new requests.
    Leaving {
        /// VM of the server.
        vm: SmolStr,
        /// Signal from which this was learned.
        signal: &'static str,
    },
    /// The server no longer belongs to any service.
    Gone {
        /// VM of the server.
        vm: SmolStr,
    },
}

/// State of the servers according to the changes logged so far.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServerLog {
    services: FxHashMap<SmolStr, FxHashSet<SmolStr>>,
    leaving: FxHashSet<SmolStr>,
    initialized: bool,
}

impl ServerLog {
    /// Updates the set of (VM, service) pairs that exist and returns the changes.
    ///
    /// The first call returns none of them as added.
    pub(crate) fn update_present(&mut self, present: &[(SmolStr, SmolStr)]) -> Vec<ServerChange> {
        let mut changes = Vec::new();
        let mut services: FxHashMap<SmolStr, FxHashSet<SmolStr>> = FxHashMap::default();
        for (vm, service) in present {
            let known = self.services.get(vm);
            if self.initialized && !known.is_some_and(|known| known.contains(service)) {
                let (vm, service) = (vm.clone(), service.clone());
                changes.push(ServerChange::Added { vm, service });
            }
            services
                .entry(vm.clone())
                .or_default()
                .insert(service.clone());
        }
        for vm in self.services.keys() {
            if !services.contains_key(vm) {
                self.leaving.remove(vm);
                changes.push(ServerChange::Gone { vm: vm.clone() });
            }
        }
        self.services = services;
        self.initialized = true;
        changes
    }

    /// Updates whether a server is leaving: `signal` is what showed it, or `None` if it isn't
    /// leaving.
    ///
    /// Returns the change if a known server wasn't leaving before.
    pub(crate) fn update_leaving(
        &mut self,
        vm: &str,
        signal: Option<&'static str>,
    ) -> Option<ServerChange> {
        let Some(signal) = signal else {
            self.leaving.remove(vm);
            return None;
        };
        let is_new = self.services.contains_key(vm) && self.leaving.insert(vm.into());
        is_new.then(|| ServerChange::Leaving {
            vm: vm.into(),
            signal,
        })
    }
}
