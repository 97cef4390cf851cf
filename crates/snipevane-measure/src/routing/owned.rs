//! Ways of routing in which each slot belongs to one entry VM.
//!
//! An entry VM without a free slot of a service passes a waiting request to a peer that is said to
//! have one. A peer without a free slot declines, so that there is one hop at most.

use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use slotmap::SlotMap;
use snipevane_core::ids::{ServerKey, ServiceKey, TeamKey};
use snipevane_core::routing::{Report, RetryBudget, RetryLimits, Router, ServerSpec, Slot};
use snipevane_core::shares::{QueueLimits, ShareQueue, Waiting};
use snipevane_proto::manifest::Urgency;

use super::demand::Request;
use super::events::Events;
use super::layout::{
    CONNECTIONS_PER_ENTRY_VM, ENTRY_VMS, SERVERS, SERVICES, SLOTS, ZONES, entry_vms_of, one_way,
    servers_of, service_of, zone_of_entry_vm, zone_of_server,
};
use super::record::{Figures, Record};
use super::scenario::{Balanced, Scenario};
use super::{FAILING_RUN, LONGEST_WAIT};
use crate::MeasureError;

/// Time between two regular notices of free slots to the peers.
const NOTICE_EVERY: Duration = Duration::from_millis(100);
/// Shortest time between two notices of the same service that a freed slot causes.
const SHORTEST_NOTICE_GAP: Duration = Duration::from_millis(5);
/// Waiting requests per slot by which a peer's queue must be shorter to send a request there.
const WAIT_MARGIN: f64 = 0.5;
/// Time between two looks for requests that have waited too long.
const EXPIRY_EVERY: Duration = Duration::from_millis(50);

/// Which entry VM owns a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Ownership {
    /// A server's slots are dealt to all entry VMs of its zone.
    Dealt,
    /// All slots of a server belong to one entry VM of its zone.
    Home,
}

/// A way of routing with owned slots.
#[derive(Clone, Copy, Debug)]
pub(super) struct Way {
    pub(super) name: &'static str,
    pub(super) ownership: Ownership,
    /// Whether an entry VM tells its peers at once when a slot is free and nothing waits.
    pub(super) notices_idle: bool,
    /// Whether a request also goes to a peer to wait there, if it would wait less.
    pub(super) balances_waits: bool,
}

/// A request on its way, with the entry VM that its caller reached.
#[derive(Clone, Copy, Debug)]
struct Job {
    number: usize,
    origin: usize,
    /// Whether the request may wait at the peer that it was forwarded to.
    waits_at_peer: bool,
    retried: bool,
}

/// What an entry VM tells its peers of one service.
#[derive(Clone, Copy, Debug, Default)]
struct State {
    free: u32,
    waiting: u32,
}

enum Event {
    Arrive(usize),
    Forwarded {
        to: usize,
        job: Job,
    },
    Declined {
        by: usize,
        job: Job,
    },
    Start {
        entry_vm: usize,
        slot: Slot,
        job: Job,
    },
    End {
        entry_vm: usize,
        slot: Slot,
        job: Job,
    },
    Answer {
        entry_vm: usize,
        slot: Slot,
        job: Job,
    },
    Notice {
        from: usize,
        to: usize,
        service: usize,
        state: State,
    },
    NoticeTick(usize),
    ExpiryTick,
    Takeover(usize),
}

struct EntryVm {
    router: Router,
    queues: Vec<ShareQueue<Job>>,
    /// What each peer last told, by service.
    peers: [[State; SERVICES]; ENTRY_VMS],
    /// Last notice that a freed slot caused, by service.
    noticed_at: [Option<Duration>; SERVICES],
}

/// Run of one way of routing.
pub(super) struct OwnedRun<'a> {
    way: Way,
    scenario: &'a Scenario,
    requests: &'a [Request],
    start: Instant,
    services: Vec<ServiceKey>,
    team: TeamKey,
    entry_vms: Vec<EntryVm>,
    retries: Vec<RetryBudget>,
    running: [u16; SERVERS],
    events: Events<Event>,
    record: Record,
    rng: ChaCha8Rng,
    now: Duration,
}

impl<'a> OwnedRun<'a> {
    pub(super) fn new(
        way: Way,
        scenario: &'a Scenario,
        requests: &'a [Request],
        seed: u64,
    ) -> Result<Self, MeasureError> {
        let mut services = SlotMap::with_key();
        let services = (0..SERVICES).map(|_| services.insert(())).collect();
        let entry_vm = || EntryVm {
            router: Router::default(),
            queues: (0..SERVICES)
                .map(|_| ShareQueue::new(QueueLimits::default()))
                .collect(),
            peers: [[State::default(); SERVICES]; ENTRY_VMS],
            noticed_at: [None; SERVICES],
        };
        let mut run = Self {
            way,
            scenario,
            requests,
            start: Instant::now(),
            services,
            team: SlotMap::with_key().insert(()),
            entry_vms: (0..ENTRY_VMS).map(|_| entry_vm()).collect(),
            retries: vec![RetryBudget::new(RetryLimits::default()); ENTRY_VMS],
            running: [0; SERVERS],
            events: Events::default(),
            record: Record::new()?,
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: Duration::ZERO,
        };
        for entry_vm in 0..ENTRY_VMS {
            run.deal_to(entry_vm, &[entry_vm]);
        }
        Ok(run)
    }

    /// Runs all requests to their end.
    pub(super) fn run(mut self) -> Figures {
        for (number, request) in self.requests.iter().enumerate() {
            self.events.add(request.at, Event::Arrive(number));
        }
        for entry_vm in 0..ENTRY_VMS {
            let first = NOTICE_EVERY.mul_f64(entry_vm as f64 / ENTRY_VMS as f64);
            self.events.add(first, Event::NoticeTick(entry_vm));
        }
        self.events.add(EXPIRY_EVERY, Event::ExpiryTick);
        if let Some((lost, at)) = self.scenario.takeover() {
            self.events.add(at, Event::Takeover(lost));
        }
        while let Some((now, event)) = self.events.next() {
            self.record.advance(now);
            self.now = now;
            self.handle(event);
        }
        self.record
            .figures(self.scenario.name, self.way.name, ENTRY_VMS)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(number) => self.on_arrival(number),
            Event::Forwarded { to, job } => self.on_forwarded(to, job),
            Event::Declined { by, job } => self.on_declined(by, job),
            Event::Start {
                entry_vm,
                slot,
                job,
            } => self.on_start(entry_vm, slot, job),
            Event::End {
                entry_vm,
                slot,
                job,
            } => self.on_end(entry_vm, slot, job),
            Event::Answer {
                entry_vm,
                slot,
                job,
            } => self.on_answer(entry_vm, slot, job),
            Event::Notice {
                from,
                to,
                service,
                state,
            } => {
                self.entry_vms[to].peers[from][service] = state;
                self.start_waiting(to, service);
            }
            Event::NoticeTick(entry_vm) => self.on_notice_tick(entry_vm),
            Event::ExpiryTick => self.on_expiry_tick(),
            Event::Takeover(lost) => self.on_takeover(lost),
        }
    }

    fn on_arrival(&mut self, number: usize) {
        self.record.arrived();
        let request = self.requests[number];
        match self.scenario.balance(request.entry_vm, number, self.now) {
            Balanced::Lost => self.record.failed(),
            Balanced::To(origin) => {
                self.retries[origin].on_request(self.team);
                let job = Job {
                    number,
                    origin,
                    waits_at_peer: false,
                    retried: false,
                };
                match self.shorter_wait(origin, request.service) {
                    Some(peer) => {
                        let job = Job {
                            waits_at_peer: true,
                            ..job
                        };
                        self.entry_vms[origin].peers[peer][request.service].waiting += 1;
                        self.forward(origin, peer, request.service, job);
                    }
                    None => self.wait(origin, job),
                }
            }
        }
    }

    /// Puts a request into the share queue and starts what can start.
    fn wait(&mut self, entry_vm: usize, job: Job) {
        let request = self.requests[job.number];
        let waiting = Waiting {
            team: self.team,
            urgency: Urgency::Normal,
            start_by: self.start + request.at + LONGEST_WAIT,
            item: job,
        };
        let instant = self.instant();
        let queue = &mut self.entry_vms[entry_vm].queues[request.service];
        let before = queue.len();
        if queue.push(waiting, instant).is_err() {
            self.record.refused(1);
        }
        let after = queue.len();
        self.record.set_waiting(request.service, before, after);
        self.start_waiting(entry_vm, request.service);
    }

    fn start_waiting(&mut self, entry_vm: usize, service: usize) {
        if self.scenario.is_lost(entry_vm, self.now) {
            return;
        }
        while !self.entry_vms[entry_vm].queues[service].is_empty() {
            let instant = self.instant();
            let slot = self.entry_vms[entry_vm]
                .router
                .pick(self.services[service], instant);
            if let Some(slot) = slot {
                match self.pop(entry_vm, service) {
                    Some(job) => self.send(entry_vm, slot, job),
                    None => {
                        let router = &mut self.entry_vms[entry_vm].router;
                        router.release(slot, Report::Abandoned, instant);
                    }
                }
                continue;
            }
            let Some(peer) = self.choose_peer(entry_vm, service) else {
                return;
            };
            if let Some(job) = self.pop(entry_vm, service) {
                self.forward(entry_vm, peer, service, job);
            }
        }
    }

    fn pop(&mut self, entry_vm: usize, service: usize) -> Option<Job> {
        let instant = self.instant();
        let queue = &mut self.entry_vms[entry_vm].queues[service];
        let before = queue.len();
        let next = queue.pop(instant, |_| true);
        let late = queue.expire(instant);
        let after = queue.len();
        self.record.refused(late.len());
        self.record.set_waiting(service, before, after);
        next.map(|next| next.item)
    }

    /// Returns a peer at which a new request would wait less by [`WAIT_MARGIN`].
    fn shorter_wait(&mut self, entry_vm: usize, service: usize) -> Option<usize> {
        let vm = &self.entry_vms[entry_vm];
        let waiting = vm.queues[service].len() as u32;
        if !self.way.balances_waits || waiting == 0 {
            return None;
        }
        let wait = |entry_vm: usize, waiting: u32| {
            let slots = owned_slots(self.way.ownership, service, entry_vm);
            f64::from(waiting + 1) / f64::from(slots.max(1))
        };
        let own = wait(entry_vm, waiting);
        let peers = (0..ENTRY_VMS).filter(|&peer| peer != entry_vm);
        let waits = peers.map(|peer| (wait(peer, vm.peers[peer][service].waiting), peer));
        let (least, peer) = waits.min_by(|a, b| a.0.total_cmp(&b.0))?;
        (own > least + WAIT_MARGIN).then_some(peer)
    }

    /// Chooses a peer in proportion to the free slots that it is said to have.
    fn choose_peer(&mut self, entry_vm: usize, service: usize) -> Option<usize> {
        let free = self.entry_vms[entry_vm]
            .peers
            .map(|peer| peer[service].free);
        let sum: u32 = free.iter().sum();
        if sum == 0 {
            return None;
        }
        let mut drawn = self.rng.random_range(0..sum);
        free.iter().position(|&free| {
            let found = drawn < free;
            drawn = drawn.saturating_sub(free);
            found
        })
    }

    fn forward(&mut self, from: usize, to: usize, service: usize, job: Job) {
        let told = &mut self.entry_vms[from].peers[to][service];
        told.free = told.free.saturating_sub(1);
        self.record.hops += 1;
        let at = self.now + one_way(zone_of_entry_vm(from), zone_of_entry_vm(to));
        self.events.add(at, Event::Forwarded { to, job });
    }

    fn on_forwarded(&mut self, to: usize, job: Job) {
        let service = self.requests[job.number].service;
        let instant = self.instant();
        let lost = self.scenario.is_lost(to, self.now);
        let slot = match lost {
            true => None,
            false => self.entry_vms[to]
                .router
                .pick(self.services[service], instant),
        };
        match slot {
            Some(slot) => self.send(to, slot, job),
            None if job.waits_at_peer && !lost => self.wait(to, job),
            None => {
                self.record.declined += 1;
                let at = self.now + self.between(to, job.origin);
                self.events.add(at, Event::Declined { by: to, job });
            }
        }
    }

    fn on_declined(&mut self, by: usize, job: Job) {
        if self.scenario.is_lost(job.origin, self.now) {
            self.record.failed();
            return;
        }
        let service = self.requests[job.number].service;
        self.entry_vms[job.origin].peers[by][service].free = 0;
        self.wait(job.origin, job);
    }

    fn send(&mut self, entry_vm: usize, slot: Slot, job: Job) {
        let Some(server) = self.server_of(entry_vm, slot.server()) else {
            return;
        };
        let at = self.now + one_way(zone_of_entry_vm(entry_vm), zone_of_server(server));
        self.events.add(
            at,
            Event::Start {
                entry_vm,
                slot,
                job,
            },
        );
    }

    fn on_start(&mut self, entry_vm: usize, slot: Slot, job: Job) {
        let Some(server) = self.server_of(entry_vm, slot.server()) else {
            return;
        };
        self.running[server] += 1;
        self.record
            .started(service_of(server), self.running[server]);
        let run = match self.scenario.failing_server == Some(server) {
            true => FAILING_RUN,
            false => self.requests[job.number].run,
        };
        let at = self.now + run;
        self.events.add(
            at,
            Event::End {
                entry_vm,
                slot,
                job,
            },
        );
    }

    fn on_end(&mut self, entry_vm: usize, slot: Slot, job: Job) {
        let Some(server) = self.server_of(entry_vm, slot.server()) else {
            return;
        };
        self.running[server] -= 1;
        self.record.ended(service_of(server));
        let at = self.now + one_way(zone_of_server(server), zone_of_entry_vm(entry_vm));
        self.events.add(
            at,
            Event::Answer {
                entry_vm,
                slot,
                job,
            },
        );
    }

    fn on_answer(&mut self, entry_vm: usize, slot: Slot, job: Job) {
        let lost = |vm| self.scenario.is_lost(vm, self.now);
        if lost(entry_vm) || lost(job.origin) {
            self.record.failed();
            if lost(entry_vm) {
                return;
            }
        }
        let origin_lost = lost(job.origin);
        let server_key = slot.server();
        let server = self.server_of(entry_vm, server_key);
        let failed = server.is_some() && server == self.scenario.failing_server;
        let request = self.requests[job.number];
        let instant = self.instant();
        let report = match failed {
            true => Report::Failed,
            false => Report::Answered {
                latency: request.run,
            },
        };
        let seconds = request.run.as_secs_f64();
        let vm = &mut self.entry_vms[entry_vm];
        vm.router.release(slot, report, instant);
        vm.queues[request.service].charge(self.team, seconds, instant);
        if !origin_lost {
            match failed {
                true => self.retry(entry_vm, server_key, job),
                false => {
                    let at = self.now + self.between(entry_vm, job.origin);
                    self.record.answered(at - request.at);
                }
            }
        }
        self.start_waiting(entry_vm, request.service);
        if self.way.notices_idle {
            self.notice_idle(entry_vm, request.service);
        }
    }

    fn retry(&mut self, entry_vm: usize, failed: ServerKey, job: Job) {
        let instant = self.instant();
        if job.retried || !self.retries[entry_vm].try_retry(self.team, instant) {
            self.record.failed();
            return;
        }
        let job = Job {
            retried: true,
            ..job
        };
        let service = self.requests[job.number].service;
        let router = &mut self.entry_vms[entry_vm].router;
        match router.pick_other(self.services[service], failed, instant) {
            Some(slot) => self.send(entry_vm, slot, job),
            None => self.wait(entry_vm, job),
        }
    }

    /// Tells the peers at once of a free slot for which nothing waits here.
    fn notice_idle(&mut self, entry_vm: usize, service: usize) {
        let vm = &mut self.entry_vms[entry_vm];
        let free = vm.router.free_slots(self.services[service]);
        let recent = vm.noticed_at[service].is_some_and(|at| self.now < at + SHORTEST_NOTICE_GAP);
        // With several slots free the peers know of some already.
        if free == 0 || free > 2 || recent {
            return;
        }
        vm.noticed_at[service] = Some(self.now);
        for peer in 0..ENTRY_VMS {
            self.notice(entry_vm, peer, service);
        }
    }

    fn on_notice_tick(&mut self, entry_vm: usize) {
        if self.scenario.is_lost(entry_vm, self.now) {
            return;
        }
        for service in 0..SERVICES {
            for peer in 0..ENTRY_VMS {
                self.notice(entry_vm, peer, service);
            }
        }
        // One regular message carries all services.
        self.record.notices -= ((SERVICES - 1) * (ENTRY_VMS - 1)) as u64;
        if self.is_over() {
            return;
        }
        let at = self.now + NOTICE_EVERY;
        self.events.add(at, Event::NoticeTick(entry_vm));
    }

    fn notice(&mut self, from: usize, to: usize, service: usize) {
        if from == to {
            return;
        }
        let vm = &self.entry_vms[from];
        let state = State {
            free: vm.router.free_slots(self.services[service]),
            waiting: vm.queues[service].len() as u32,
        };
        self.record.notices += 1;
        let at = self.now + self.between(from, to);
        let notice = Event::Notice {
            from,
            to,
            service,
            state,
        };
        self.events.add(at, notice);
    }

    fn on_expiry_tick(&mut self) {
        let instant = self.instant();
        for entry_vm in 0..ENTRY_VMS {
            for service in 0..SERVICES {
                let lost = self.scenario.is_lost(entry_vm, self.now);
                let queue = &mut self.entry_vms[entry_vm].queues[service];
                let before = queue.len();
                if lost {
                    while queue.pop(instant, |_| true).is_some() {
                        self.record.failed();
                    }
                }
                let late = queue.expire(instant).len();
                self.record.refused(late);
                self.record.set_waiting(service, before, queue.len());
                self.start_waiting(entry_vm, service);
            }
        }
        if !self.is_over() {
            self.events.add(self.now + EXPIRY_EVERY, Event::ExpiryTick);
        }
    }

    /// Gives the lost entry VM's slots to a peer of its zone.
    fn on_takeover(&mut self, lost: usize) {
        let peers = entry_vms_of(zone_of_entry_vm(lost));
        if let Some(&heir) = peers.iter().find(|&&peer| peer != lost) {
            self.deal_to(heir, &[heir, lost]);
        }
    }

    /// Deals the slots of some shards to an entry VM.
    fn deal_to(&mut self, entry_vm: usize, shards: &[usize]) {
        let now = self.instant();
        let specs = (0..SERVERS).filter_map(|server| {
            let slots: u16 = shards
                .iter()
                .map(|&shard| dealt_slots(self.way.ownership, server, shard))
                .sum();
            (slots > 0).then(|| ServerSpec {
                vm: format!("vm-{server}").into(),
                address: ([127, 0, 0, 1], server as u16 + 1).into(),
                service: self.services[service_of(server)],
                slots,
                connections: CONNECTIONS_PER_ENTRY_VM * shards.len() as u16,
            })
        });
        let specs: Vec<ServerSpec> = specs.collect();
        self.entry_vms[entry_vm].router.sync(specs, now);
    }

    /// Returns the number of the server that a key of an entry VM's router stands for.
    fn server_of(&self, entry_vm: usize, key: ServerKey) -> Option<usize> {
        let server = self.entry_vms[entry_vm].router.server(key)?;
        Some(usize::from(server.address().port()) - 1)
    }

    fn between(&self, from: usize, to: usize) -> Duration {
        match from == to {
            true => Duration::ZERO,
            false => one_way(zone_of_entry_vm(from), zone_of_entry_vm(to)),
        }
    }

    fn is_over(&self) -> bool {
        let last = self.requests.last().map_or(Duration::ZERO, |last| last.at);
        self.now > last + LONGEST_WAIT
    }

    fn instant(&self) -> Instant {
        self.start + self.now
    }
}

/// Returns the slots of a service that belong to an entry VM's shard.
fn owned_slots(ownership: Ownership, service: usize, shard: usize) -> u16 {
    servers_of(service)
        .map(|server| dealt_slots(ownership, server, shard))
        .sum()
}

/// Returns the slots of a server that belong to an entry VM's shard.
fn dealt_slots(ownership: Ownership, server: usize, shard: usize) -> u16 {
    let owners = entry_vms_of(zone_of_server(server));
    let Some(place) = owners.iter().position(|&owner| owner == shard) else {
        return 0;
    };
    let count = owners.len();
    // The shards that get one slot more than others differ from server to server.
    let turn = (place + server / ZONES) % count;
    match ownership {
        Ownership::Dealt => {
            let remainder = usize::from(SLOTS) % count;
            SLOTS / count as u16 + u16::from(turn < remainder)
        }
        Ownership::Home if turn == 0 => SLOTS,
        Ownership::Home => 0,
    }
}
