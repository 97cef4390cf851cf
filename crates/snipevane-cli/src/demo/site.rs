//! Site of the demo: entry VMs and stand-ins for the platform and the backend servers, which run
//! inside this process and listen on loopback addresses.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use snipevane_core::clock::SystemClock;
use snipevane_entry::process::platform_client;
use snipevane_entry::settings::{Settings, Timings};
use snipevane_entry::{Listeners, RunningEntry};
use snipevane_platform::PlatformClient;
use snipevane_proto::platform::{BackendRecord, CommitResult, PlatformFaults, Vm, VmRole, VmState};
use snipevane_standin::{
    Backend, BackendStandinSettings, Platform, PlatformStandinSettings, RunningBackend,
    RunningPlatform,
};

use crate::Client;

/// Manifest of the demo's site.
pub(super) const MANIFEST: &str = include_str!("../../../../samples/demo.json");
/// Availability zones.
pub(super) const ZONES: [&str; 2] = ["colombo-1", "colombo-2"];
/// Operator key of the demo's site.
const OPERATOR_KEY: &str = "demo-operator-key";
/// Key with which the demo's entry VMs authenticate to each other.
const PEER_KEY: &str = "demo-peer-key-of-entry-vms";
/// Number of entry VMs, and of backend servers, in each zone.
const VMS_PER_ZONE: usize = 2;

type Entry = RunningEntry<PlatformClient, SystemClock>;

/// A site that runs inside this process.
pub(super) struct DemoSite {
    platform: RunningPlatform,
    backends: Vec<(Vm, RunningBackend)>,
    entries: Vec<Entry>,
    vms: Vec<Vm>,
    faults: PlatformFaults,
}

impl DemoSite {
    /// Starts the site, without a configuration.
    pub(super) async fn start() -> io::Result<Self> {
        let platform = Platform::start(PlatformStandinSettings::default()).await?;
        let mut site = Self {
            platform,
            backends: Vec::new(),
            entries: Vec::new(),
            vms: Vec::new(),
            faults: PlatformFaults::default(),
        };
        for zone in ZONES {
            for index in 0..VMS_PER_ZONE {
                site.start_backend(zone, index).await?;
                site.start_entry(zone, index).await?;
            }
        }
        site.platform.set_vms(site.vms.clone());
        Ok(site)
    }

    /// Returns the caller addresses of the entry VMs.
    pub(super) fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.entries.iter().map(Entry::caller_address).collect()
    }

    /// Returns a client for the operator listeners of all entry VMs.
    pub(super) fn operator(&self) -> Client {
        let entries = self.entries.iter().map(Entry::operator_address).collect();
        Client::new(entries, OPERATOR_KEY)
    }

    /// Returns the records of the backend servers.
    pub(super) fn records(&self) -> Vec<BackendRecord> {
        self.backends
            .iter()
            .map(|(_, backend)| backend.record())
            .collect()
    }

    /// Counts the writes of a row that the platform recorded as applied.
    pub(super) fn applied_writes(&self, key: &str) -> usize {
        let commits = self.platform.record().commits;
        let applied = commits
            .iter()
            .filter(|commit| commit.result == CommitResult::Applied);
        applied
            .filter(|commit| commit.keys.iter().any(|written| written == key))
            .count()
    }

    /// Marks the first backend server as leaving in the platform's list; returns its name.
    pub(super) fn drain_first_backend(&mut self) -> String {
        let Some((drained, _)) = self.backends.first() else {
            return String::new();
        };
        let name = drained.id.clone();
        for vm in self.vms.iter_mut().filter(|vm| vm.id == name) {
            vm.state = VmState::Leaving;
        }
        self.platform.set_vms(self.vms.clone());
        name
    }

    /// Makes the platform unreachable, or reachable again.
    pub(super) fn set_platform_down(&mut self, down: bool) {
        self.faults.down = down;
        self.platform.set_faults(self.faults.clone());
    }

    /// Prints example commands for the running site.
    pub(super) fn print_example_commands(&self) {
        let operator = self.entries.first().map(Entry::operator_address);
        let caller = self.entries.first().map(Entry::caller_address);
        let (Some(operator), Some(caller)) = (operator, caller) else {
            return;
        };
        println!("\nThe site keeps running; stop it with Ctrl-C. Try:");
        println!("  echo {OPERATOR_KEY} > operator.key");
        println!("  snipevane --entry {operator} --operator-key-file operator.key status");
        println!("  snipevane --entry {operator} --operator-key-file operator.key key give ledger");
        println!(
            "  curl -i -H 'Authorization: Bearer KEY' -d tick http://{caller}/v1/queues/ticks/1"
        );
        println!("  curl -i -d hello http://{caller}/v1/queues/accreditation/lookup");
    }

    /// Stops the site.
    pub(super) async fn stop(self) {
        for entry in self.entries {
            entry.stop().await;
        }
        for (_, backend) in self.backends {
            backend.stop().await;
        }
        self.platform.stop().await;
    }

    async fn start_backend(&mut self, zone: &str, index: usize) -> io::Result<()> {
        let id = format!("minion-{zone}-{index}");
        let settings = BackendStandinSettings {
            name: id.as_str().into(),
            ..BackendStandinSettings::default()
        };
        let backend = Backend::start(settings).await?;
        let vm = vm(&id, VmRole::Backend, backend.address(), zone, index);
        self.vms.push(vm.clone());
        self.backends.push((vm, backend));
        Ok(())
    }

    async fn start_entry(&mut self, zone: &str, index: usize) -> io::Result<()> {
        let id = format!("entry-{zone}-{index}");
        let settings = Settings {
            vm: id.as_str().into(),
            zone: zone.into(),
            platform_address: self.platform.address(),
            peer_key: PEER_KEY.into(),
            operator_key: OPERATOR_KEY.into(),
            timings: Timings {
                deregistration_delay: Duration::from_millis(50),
                ..Timings::default()
            },
            ..Settings::default()
        };
        let listeners = Listeners::bind("demo", &settings)
            .await
            .map_err(io::Error::other)?;
        let client = platform_client(&settings);
        let entry = RunningEntry::start(settings, listeners, client, SystemClock)?;
        self.vms
            .push(vm(&id, VmRole::Entry, entry.peer_address(), zone, index));
        self.entries.push(entry);
        Ok(())
    }
}

fn vm(id: &str, role: VmRole, address: SocketAddr, zone: &str, rack: usize) -> Vm {
    Vm {
        id: id.to_owned(),
        role,
        address: address.to_string(),
        zone: zone.to_owned(),
        rack: format!("rack-{rack}"),
        state: VmState::Live,
    }
}
