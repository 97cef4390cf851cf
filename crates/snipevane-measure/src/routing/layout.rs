//! Zones, entry VMs and backend servers of the simulated site.

use std::time::Duration;

/// Number of availability zones.
pub(super) const ZONES: usize = 3;
/// Number of entry VMs; the first zone has one more than the others.
pub(super) const ENTRY_VMS: usize = 7;
/// Number of services.
pub(super) const SERVICES: usize = 5;
/// Number of backend servers of each service.
pub(super) const SERVERS_PER_SERVICE: usize = 10;
/// Number of backend servers of all services.
pub(super) const SERVERS: usize = SERVICES * SERVERS_PER_SERVICE;
/// Number of slots of each backend server.
pub(super) const SLOTS: u16 = 8;
/// Maximum number of connections from one entry VM to one backend server.
pub(super) const CONNECTIONS_PER_ENTRY_VM: u16 = 9;

const DELAY_IN_ZONE: Duration = Duration::from_micros(50);
const DELAY_BETWEEN_ZONES: Duration = Duration::from_micros(250);

/// Returns the zone of an entry VM.
pub(super) fn zone_of_entry_vm(entry_vm: usize) -> usize {
    entry_vm % ZONES
}

/// Returns the service of a backend server.
pub(super) fn service_of(server: usize) -> usize {
    server / SERVERS_PER_SERVICE
}

/// Returns the backend servers of a service.
pub(super) fn servers_of(service: usize) -> std::ops::Range<usize> {
    service * SERVERS_PER_SERVICE..(service + 1) * SERVERS_PER_SERVICE
}

/// Returns the zone of a backend server.
pub(super) fn zone_of_server(server: usize) -> usize {
    server % ZONES
}

/// Returns the entry VMs of a zone.
pub(super) fn entry_vms_of(zone: usize) -> Vec<usize> {
    (0..ENTRY_VMS)
        .filter(|&entry_vm| zone_of_entry_vm(entry_vm) == zone)
        .collect()
}

/// Returns the network delay between two zones.
pub(super) fn network_delay(from_zone: usize, to_zone: usize) -> Duration {
    if from_zone == to_zone {
        DELAY_IN_ZONE
    } else {
        DELAY_BETWEEN_ZONES
    }
}
