//! Which changes of backend servers were reported.

use rustc_hash::{FxHashMap, FxHashSet};
use smol_str::SmolStr;

/// A change of a backend server that is to be reported.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ServerChange {
    /// A service has a server more.
    Added {
        /// VM of the server.
        vm: SmolStr,
        /// Service.
        service: SmolStr,
    },
    /// The server gets nothing new.
    Leaving {
        /// VM of the server.
        vm: SmolStr,
        /// What showed it.
        signal: &'static str,
    },
    /// No service has the server any more.
    Gone {
        /// VM of the server.
        vm: SmolStr,
    },
}

/// The servers as the reports so far describe them.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServerLog {
    services: FxHashMap<SmolStr, FxHashSet<SmolStr>>,
    leaving: FxHashSet<SmolStr>,
    initialized: bool,
}

impl ServerLog {
    /// Takes over the servers of all services; the first call reports none as added.
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

    /// Takes over whether a server leaves, with the sign that showed it.
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
