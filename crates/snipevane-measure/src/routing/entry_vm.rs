//! One entry VM of a simulation with owned slots.

use std::time::{Duration, Instant};

use slotmap::SlotMap;
use smol_str::SmolStr;
use snipevane_core::ids::{ServerKey, ServiceKey, TeamKey};
use snipevane_core::routing::{
    Distance, Load, LoadReporter, Peers, RequestOutcome, RetryBudget, Router, ServerSpec, Slot,
};
use snipevane_core::shares::{FairQueue, QueueSettings, WaitingRequest};
use snipevane_proto::manifest::Urgency;

use super::demand::Request;
use super::layout::{
    CONNECTIONS_PER_ENTRY_VM, ENTRY_VMS, SERVERS, SERVICES, SLOTS, ZONES, entry_vms_of, service_of,
    zone_of_entry_vm, zone_of_server,
};

/// Minimum time between two broadcasts of an idle slot of the same service.
const MIN_BROADCAST_INTERVAL: Duration = Duration::from_millis(5);
/// Maximum number of free slots with which an idle slot is broadcast.
const MAX_FREE_SLOTS_TO_BROADCAST: u32 = 2;

/// Assignment of a backend server's slots to entry VMs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SlotOwnership {
    /// The slots are allocated to all entry VMs of the server's zone.
    AllEntryVms,
    /// All slots are allocated to one entry VM of the server's zone.
    OneEntryVm,
}

/// A request that was sent to an entry VM, or that waits there.
#[derive(Clone, Copy, Debug)]
pub(super) struct RoutedRequest {
    pub(super) number: usize,
    pub(super) origin: usize,
    /// Whether the request may wait at the peer that it is forwarded to.
    pub(super) waits_at_peer: bool,
    pub(super) is_retry: bool,
}

impl RoutedRequest {
    pub(super) fn new(number: usize, origin: usize) -> Self {
        Self {
            number,
            origin,
            waits_at_peer: false,
            is_retry: false,
        }
    }

    /// Returns the request with permission to wait at the peer that it is forwarded to.
    pub(super) fn allow_waiting_at_peer(self) -> Self {
        Self {
            waits_at_peer: true,
            ..self
        }
    }

    /// Returns the request marked as a retry.
    pub(super) fn as_retry(self) -> Self {
        Self {
            is_retry: true,
            ..self
        }
    }
}

/// Keys of the services, and of the one team that sends all requests.
#[derive(Clone, Debug)]
pub(super) struct Keys {
    pub(super) services: Vec<ServiceKey>,
    pub(super) team: TeamKey,
}

impl Keys {
    pub(super) fn new() -> Self {
        let mut services = SlotMap::with_key();
        Self {
            services: (0..SERVICES).map(|_| services.insert(())).collect(),
            team: SlotMap::with_key().insert(()),
        }
    }
}

/// Result of removing the next waiting request from a queue.
#[derive(Clone, Copy, Debug)]
pub(super) struct Dequeued {
    pub(super) routed: Option<RoutedRequest>,
    /// Number of requests removed because their maximum wait had passed.
    pub(super) expired: usize,
}

/// State of an entry VM.
pub(super) struct EntryVm {
    keys: Keys,
    pub(super) router: Router,
    pub(super) queues: Vec<FairQueue<RoutedRequest>>,
    pub(super) peers: Peers,
    pub(super) load_reporter: LoadReporter,
    pub(super) retries: RetryBudget,
    /// Time of the last broadcast of an idle slot, by service.
    last_broadcast_at: [Option<Duration>; SERVICES],
}

impl EntryVm {
    pub(super) fn new(number: usize, keys: Keys) -> Self {
        let mut peers = Peers::default();
        for peer in (0..ENTRY_VMS).filter(|&peer| peer != number) {
            let same_zone = zone_of_entry_vm(peer) == zone_of_entry_vm(number);
            let distance = match same_zone {
                true => Distance::Zone,
                false => Distance::Region,
            };
            peers.upsert(&name_of(peer), distance);
        }
        Self {
            keys,
            router: Router::default(),
            queues: (0..SERVICES)
                .map(|_| FairQueue::new(QueueSettings::default()))
                .collect(),
            peers,
            load_reporter: LoadReporter::default(),
            retries: RetryBudget::default(),
            last_broadcast_at: [None; SERVICES],
        }
    }

    /// Replaces the slots by those allocated to the given shards.
    pub(super) fn set_shards(&mut self, ownership: SlotOwnership, shards: &[usize], now: Instant) {
        let specs = (0..SERVERS).filter_map(|server| {
            let slots: u16 = shards
                .iter()
                .map(|&shard| allocated_slots(ownership, server, shard))
                .sum();
            (slots > 0).then(|| ServerSpec {
                vm: format!("vm-{server}").into(),
                address: ([127, 0, 0, 1], server as u16 + 1).into(),
                service: self.keys.services[service_of(server)],
                slots,
                connections: CONNECTIONS_PER_ENTRY_VM * shards.len() as u16,
            })
        });
        let specs: Vec<ServerSpec> = specs.collect();
        self.router.sync(specs, now);
    }

    /// Returns the entry VM's load for a service.
    pub(super) fn load(&self, service: usize) -> Load {
        let key = self.keys.services[service];
        Load {
            free: self.router.free_slots(key),
            waiting: self.queues[service].len() as u32,
            slots: self.router.slots(key),
        }
    }

    /// Returns whether the broadcast of an idle slot is due.
    ///
    /// If it is, the broadcast counts as sent at `now`.
    pub(super) fn broadcast_due(&mut self, service: usize, now: Duration) -> bool {
        let load = self.load(service);
        let last = &mut self.last_broadcast_at[service];
        let recent = last.is_some_and(|at| now < at + MIN_BROADCAST_INTERVAL);
        if load.waiting > 0 || load.free == 0 || load.free > MAX_FREE_SLOTS_TO_BROADCAST || recent {
            return false;
        }
        *last = Some(now);
        true
    }

    /// Picks a slot of a service.
    pub(super) fn pick(&mut self, service: usize, now: Instant) -> Option<Slot> {
        self.router.pick(self.keys.services[service], now)
    }

    /// Releases the slot of a request that ended.
    pub(super) fn release(&mut self, slot: Slot, request: Request, failed: bool, now: Instant) {
        let report = match failed {
            true => RequestOutcome::Failed,
            false => RequestOutcome::Answered {
                latency: request.run_time,
            },
        };
        self.router.release(slot, report, now);
        let seconds = request.run_time.as_secs_f64();
        self.queues[request.service].charge(self.keys.team, seconds, now);
    }

    /// Adds a waiting request, and returns whether the queue had room.
    pub(super) fn enqueue(
        &mut self,
        service: usize,
        routed: RoutedRequest,
        start_by: Instant,
        now: Instant,
    ) -> bool {
        let waiting = WaitingRequest {
            team: self.keys.team,
            urgency: Urgency::Normal,
            start_by,
            item: routed,
        };
        self.queues[service].push(waiting, now).is_ok()
    }

    /// Removes the next waiting request of a service, and all expired ones.
    pub(super) fn dequeue(&mut self, service: usize, now: Instant) -> Dequeued {
        let queue = &mut self.queues[service];
        let next = queue.pop(now, |_| true);
        Dequeued {
            routed: next.map(|next| next.item),
            expired: queue.expire(now).len(),
        }
    }

    /// Returns the number of the server with a key.
    pub(super) fn server(&self, key: ServerKey) -> Option<usize> {
        let server = self.router.server(key)?;
        Some(usize::from(server.address().port()) - 1)
    }
}

/// Returns the name of an entry VM.
pub(super) fn name_of(entry_vm: usize) -> SmolStr {
    SmolStr::from(format!("entry-{entry_vm}"))
}

/// Returns the number of slots of a server that are allocated to a shard.
fn allocated_slots(ownership: SlotOwnership, server: usize, shard: usize) -> u16 {
    let owners = entry_vms_of(zone_of_server(server));
    let Some(position) = owners.iter().position(|&owner| owner == shard) else {
        return 0;
    };
    let count = owners.len();
    // The shards that get a slot of the remainder differ from server to server.
    let rotated = (position + server / ZONES) % count;
    match ownership {
        SlotOwnership::AllEntryVms => {
            let remainder = usize::from(SLOTS) % count;
            SLOTS / count as u16 + u16::from(rotated < remainder)
        }
        SlotOwnership::OneEntryVm if rotated == 0 => SLOTS,
        SlotOwnership::OneEntryVm => 0,
    }
}
