//! A site that runs.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde_json::{Value, json};
use snipevane_proto::platform::BackendRecord;
use snipevane_standin::most_running;
use tokio::time::sleep;
use uuid::Uuid;

use super::options::{OPERATOR_KEY, PEER_KEY};
use super::{Caller, Process, SiteOptions, manifest};

const ANY_PORT: &str = "127.0.0.1:0";
/// Time between two looks at a condition.
const POLL: Duration = Duration::from_millis(20);
/// Looks at a condition before a test fails.
const MAX_POLLS: u32 = 1_500;

/// An entry VM's process.
pub struct EntryVm {
    /// Name of the VM.
    pub vm: String,
    /// Availability zone.
    pub zone: &'static str,
    /// The process.
    pub process: Process,
}

impl EntryVm {
    /// Returns a caller's client without a key.
    pub fn caller(&self) -> Caller {
        Caller::new(self.process.addresses[0])
    }

    /// Returns the peer listener.
    pub fn peer_address(&self) -> SocketAddr {
        self.process.addresses[1]
    }

    /// Returns the client of a peer.
    pub fn peer(&self) -> Caller {
        Caller::new(self.peer_address()).with_key(PEER_KEY)
    }

    /// Returns an operator's client.
    pub fn operator(&self) -> Caller {
        Caller::new(self.process.addresses[2]).with_key(OPERATOR_KEY)
    }
}

/// A backend server's process.
pub struct BackendVm {
    /// Name of the VM.
    pub vm: String,
    /// Availability zone.
    pub zone: &'static str,
    /// The process.
    pub process: Process,
}

impl BackendVm {
    /// Returns a client of the switches and the record.
    pub fn control(&self) -> Caller {
        Caller::new(self.process.addresses[1])
    }

    /// Returns the record.
    ///
    /// # Panics
    ///
    /// Panics if the record can't be read.
    pub async fn record(&self) -> BackendRecord {
        serde_json::from_value(self.control().get_json("/record").await).unwrap()
    }

    /// Sets the fault switches.
    pub async fn faults(&self, faults: Value) {
        self.control().post_json("/faults", &faults).await;
    }
}

/// A site that runs; its processes end when it's dropped.
pub struct Site {
    program: &'static str,
    options: SiteOptions,
    /// The platform's stand-in.
    pub platform: Process,
    /// Entry VMs.
    pub entries: Vec<EntryVm>,
    /// Backend servers.
    pub backends: Vec<BackendVm>,
    /// VMs that the platform's list doesn't have though they run.
    unlisted: Vec<String>,
}

impl Site {
    /// Starts a site, puts its manifest in force and waits until every entry VM uses its shard.
    ///
    /// # Panics
    ///
    /// Panics if a process doesn't start.
    pub async fn start(program: &'static str, options: SiteOptions) -> Self {
        let site = Self::start_bare(program, options).await;
        let manifest = manifest(&site.options);
        site.apply(0, &manifest).await;
        site.until_ready().await;
        site
    }

    /// Starts a site without a configuration.
    ///
    /// # Panics
    ///
    /// Panics if a process doesn't start.
    pub async fn start_bare(program: &'static str, options: SiteOptions) -> Self {
        let platform = Process::start(program, "platform", &json!({ "listen": ANY_PORT }));
        let unlisted = Vec::new();
        let mut site = Self {
            program,
            options,
            platform,
            entries: vec![],
            backends: vec![],
            unlisted,
        };
        for zone in site.options.zones.clone() {
            for index in 0..site.options.backends_per_zone {
                let vm = format!("backend-{zone}-{index}");
                let settings = json!({ "name": vm, "slots": site.options.slots });
                let process = Process::start(program, "backend", &settings);
                site.backends.push(BackendVm { vm, zone, process });
            }
            for index in 0..site.options.entries_per_zone {
                site.start_entry(&format!("entry-{zone}-{index}"), zone);
            }
        }
        site.publish_list().await;
        site
    }

    /// Starts an entry VM; the platform's list gets it with [`Self::publish_list`].
    pub fn start_entry(&mut self, vm: &str, zone: &'static str) {
        let process = Process::start(self.program, "entry", &self.entry_settings(vm, zone));
        self.entries.push(EntryVm {
            vm: vm.to_owned(),
            zone,
            process,
        });
    }

    /// Returns the settings of an entry VM with free ports.
    pub fn entry_settings(&self, vm: &str, zone: &str) -> Value {
        let mut settings = json!({
            "vm": vm, "zone": zone,
            "caller_address": ANY_PORT, "peer_address": ANY_PORT, "operator_address": ANY_PORT,
            "platform_address": self.platform.addresses[0].to_string(),
            "peer_key": PEER_KEY, "operator_key": OPERATOR_KEY,
            "log_level": std::env::var("SITE_LOG").unwrap_or_else(|_| "error".to_owned()),
            "timings": self.options.timings
        });
        for (name, value) in self.options.settings.as_object().into_iter().flatten() {
            settings[name] = value.clone();
        }
        settings
    }

    /// Kills an entry VM's process and starts it again at the same addresses, as a crash would.
    ///
    /// # Panics
    ///
    /// Panics if the process doesn't start.
    pub fn restart_entry(&mut self, index: usize) {
        let (vm, zone) = (self.entries[index].vm.clone(), self.entries[index].zone);
        self.entries[index].process.kill();
        let addresses = self.entries[index].process.addresses.clone();
        let mut settings = self.entry_settings(&vm, zone);
        for (name, address) in ["caller_address", "peer_address", "operator_address"]
            .iter()
            .zip(&addresses)
        {
            settings[*name] = address.to_string().into();
        }
        self.entries[index].process = Process::start(self.program, "entry", &settings);
    }

    /// Kills an entry VM and takes it off the platform's list.
    pub async fn remove_entry(&mut self, index: usize) {
        let mut entry = self.entries.remove(index);
        entry.process.kill();
        self.publish_list().await;
    }

    /// Takes a VM that runs off the platform's list.
    pub async fn unlist(&mut self, vm: &str) {
        self.unlisted.push(vm.to_owned());
        self.publish_list().await;
    }

    /// Gives the platform the list of VMs.
    pub async fn publish_list(&self) {
        let entries = self
            .entries
            .iter()
            .map(|entry| vm_row(&entry.vm, "entry", entry.peer_address(), entry.zone));
        let backends = self.backends.iter().map(|backend| {
            vm_row(
                &backend.vm,
                "backend",
                backend.process.addresses[0],
                backend.zone,
            )
        });
        let listed = entries
            .chain(backends)
            .filter(|row| !self.unlisted.iter().any(|vm| row["id"] == vm.as_str()));
        let list = json!({ "vms": listed.collect::<Vec<_>>() });
        self.platform_client().post_json("/vms", &list).await;
    }

    /// Returns clients of all entry VMs, without a key.
    pub fn callers(&self) -> Vec<Caller> {
        self.entries.iter().map(EntryVm::caller).collect()
    }

    /// Returns a client of the platform's stand-in.
    pub fn platform_client(&self) -> Caller {
        Caller::new(self.platform.addresses[0])
    }

    /// Sets the platform's fault switches.
    pub async fn platform_faults(&self, faults: Value) {
        self.platform_client().post_json("/faults", &faults).await;
    }

    /// Puts a manifest in force through the first entry VM; returns the version.
    ///
    /// # Panics
    ///
    /// Panics if it's refused.
    pub async fn apply(&self, based_on: u64, manifest: &Value) -> u64 {
        let body = json!({
            "based_on": based_on, "write_id": Uuid::now_v7(), "manifest": manifest
        });
        let answer = self.entries[0]
            .operator()
            .post_json("/v1/config", &body)
            .await;
        let message = answer.json();
        assert!(answer.status.is_success(), "{message}");
        message["version"].as_u64().unwrap()
    }

    /// Gives a team a key and waits until every entry VM has it.
    ///
    /// # Panics
    ///
    /// Panics if it's refused.
    pub async fn give_key(&self, team: &str) -> (String, String) {
        let body = json!({ "team": team });
        let answer = self.entries[0]
            .operator()
            .post_json("/v1/keys", &body)
            .await
            .json();
        let id = answer["id"].as_str().unwrap().to_owned();
        for entry in &self.entries {
            until("the key is everywhere", async || {
                let keys = entry.operator().get_json("/v1/keys").await;
                keys.as_array()
                    .unwrap()
                    .iter()
                    .any(|key| key["id"] == id.as_str())
            })
            .await;
        }
        (id, answer["key"].as_str().unwrap().to_owned())
    }

    /// Waits until every entry VM has a shard and peers whose shards it knows, and uses what is
    /// dealt to it.
    pub async fn until_ready(&self) {
        let peers = self.entries.len() - 1;
        for entry in &self.entries {
            until("entry VMs are ready", async || {
                let status = entry.operator().get_json("/v1/status").await;
                let list = |name: &str| status[name].as_array().cloned().unwrap_or_default();
                let usable_peers = list("peers")
                    .iter()
                    .filter(|peer| peer["reachable"] == true && peer["shards"][0].is_string())
                    .count();
                let servers = list("servers").len();
                status["shard"].is_string()
                    && usable_peers == peers
                    && servers == self.options.backends_per_zone
            })
            .await;
        }
    }

    /// Returns the records of all backend servers.
    pub async fn records(&self) -> Vec<BackendRecord> {
        let mut records = Vec::new();
        for backend in &self.backends {
            records.push(backend.record().await);
        }
        records
    }

    /// Returns how often each identifier was run, over all backend servers.
    pub async fn runs_by_id(&self) -> BTreeMap<String, usize> {
        let mut runs = BTreeMap::new();
        for record in self.records().await {
            for run in record.runs {
                if !run.idempotency_key.is_empty() {
                    *runs.entry(run.idempotency_key).or_default() += 1;
                }
            }
        }
        runs
    }

    /// Returns the most requests of a team that ran at once, over all backend servers.
    pub async fn most_running(&self, team: &str) -> usize {
        most_running(&self.records().await, team)
    }
}

fn vm_row(id: &str, role: &str, address: SocketAddr, zone: &str) -> Value {
    json!({
        "id": id, "role": role, "address": address.to_string(), "zone": zone,
        "rack": "rack-0", "state": "live"
    })
}

/// Waits until a condition holds.
///
/// # Panics
///
/// Panics if it doesn't hold for a long time.
pub async fn until(what: &str, mut holds: impl AsyncFnMut() -> bool) {
    for _ in 0..MAX_POLLS {
        if holds().await {
            return;
        }
        sleep(POLL).await;
    }
    panic!("waited in vain until {what}");
}
