//! Ways of routing in which each slot belongs to one entry VM.
//!
//! An entry VM without a free slot of a service passes a waiting request to a peer that is said to
//! have one. A peer without a free slot declines, so that there is one hop at most.

use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use smol_str::SmolStr;
use snipevane_core::ids::ServerKey;
use snipevane_core::routing::{Load, PeerKey, RequestOutcome, Slot};

use super::demand::Request;
use super::entry_vm::{EntryVm, Job, Keys, Popped, name_of};
use super::layout::{ENTRY_VMS, SERVERS, SERVICES, entry_vms_of, service_of, zone_of_entry_vm};
use super::network::{Event, Exchange, Network, Told, between};
use super::record::{Figures, Record};
use super::scenario::{Balanced, Scenario};
use super::way::{Notify, Way};
use super::{FAILING_RUN, LONGEST_WAIT};
use crate::MeasureError;

/// Time between two looks for requests that have waited too long.
const EXPIRY_EVERY: Duration = Duration::from_millis(50);

/// Run of one way of routing.
pub(super) struct OwnedRun<'a> {
    way: Way,
    scenario: &'a Scenario,
    requests: &'a [Request],
    start: Instant,
    keys: Keys,
    names: Vec<SmolStr>,
    entry_vms: Vec<EntryVm>,
    running: [u16; SERVERS],
    network: Network,
    record: Record,
    rng: ChaCha8Rng,
}

impl<'a> OwnedRun<'a> {
    pub(super) fn new(
        way: Way,
        scenario: &'a Scenario,
        requests: &'a [Request],
        seed: u64,
    ) -> Result<Self, MeasureError> {
        let keys = Keys::new();
        let entry_vms = (0..ENTRY_VMS).map(|number| EntryVm::new(number, keys.clone()));
        let mut run = Self {
            way,
            scenario,
            requests,
            start: Instant::now(),
            entry_vms: entry_vms.collect(),
            names: (0..ENTRY_VMS).map(name_of).collect(),
            keys,
            running: [0; SERVERS],
            network: Network::default(),
            record: Record::new()?,
            rng: ChaCha8Rng::seed_from_u64(seed),
        };
        for entry_vm in 0..ENTRY_VMS {
            run.deal_to(entry_vm, &[entry_vm]);
        }
        Ok(run)
    }

    /// Runs all requests to their end.
    pub(super) fn run(mut self) -> Figures {
        for (number, request) in self.requests.iter().enumerate() {
            self.network.at(request.at, Event::Arrive(number));
        }
        for entry_vm in 0..ENTRY_VMS {
            let every = self.way.notify.every();
            let first = every.mul_f64(entry_vm as f64 / ENTRY_VMS as f64);
            self.network.at(first, Event::NoticeTick(entry_vm));
        }
        self.network.at(EXPIRY_EVERY, Event::ExpiryTick);
        if let Some((lost, at)) = self.scenario.takeover() {
            self.network.at(at, Event::Takeover(lost));
        }
        while let Some(event) = self.network.next() {
            self.record.advance(self.network.now);
            self.handle(event);
        }
        self.record
            .figures(self.scenario.name, self.way.name, ENTRY_VMS)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(number) => self.on_arrival(number),
            Event::Forwarded { to, job } => self.on_forwarded(to, job),
            Event::Declined { by, job, load } => self.on_declined(by, job, load),
            Event::Want(told) => self.on_want(told),
            Event::Notice(told) => self.on_notice(told),
            Event::Start(exchange) => self.on_start(exchange),
            Event::End(exchange) => self.on_end(exchange),
            Event::Answer(exchange) => self.on_answer(exchange),
            Event::NoticeTick(entry_vm) => self.on_notice_tick(entry_vm),
            Event::ExpiryTick => self.on_expiry_tick(),
            Event::Takeover(lost) => self.on_takeover(lost),
        }
    }

    fn on_arrival(&mut self, number: usize) {
        self.record.arrived();
        let request = self.requests[number];
        match self
            .scenario
            .balance(request.entry_vm, number, self.network.now)
        {
            Balanced::Lost => self.record.failed(),
            Balanced::To(origin) => {
                self.entry_vms[origin].retries.on_request(self.keys.team);
                let job = Job::new(number, origin);
                match self.shorter_wait(origin, request.service) {
                    Some(peer) => self.forward(origin, peer, job.waiting_at_peer()),
                    None => self.wait(origin, job),
                }
            }
        }
    }

    /// Puts a request into the share queue and starts what can start.
    fn wait(&mut self, entry_vm: usize, job: Job) {
        let request = self.requests[job.number];
        let start_by = self.start + request.at + LONGEST_WAIT;
        let instant = self.instant();
        let vm = &mut self.entry_vms[entry_vm];
        let before = vm.queues[request.service].len();
        if !vm.push(request.service, job, start_by, instant) {
            self.record.refused(1);
        }
        let after = vm.queues[request.service].len();
        self.record.set_waiting(request.service, before, after);
        self.start_waiting(entry_vm, request.service);
    }

    fn start_waiting(&mut self, entry_vm: usize, service: usize) {
        if self.scenario.is_lost(entry_vm, self.network.now) {
            return;
        }
        while !self.entry_vms[entry_vm].queues[service].is_empty() {
            let instant = self.instant();
            if let Some(slot) = self.entry_vms[entry_vm].pick(service, instant) {
                match self.pop(entry_vm, service) {
                    Some(job) => self.send(entry_vm, slot, job),
                    None => {
                        let router = &mut self.entry_vms[entry_vm].router;
                        router.release(slot, RequestOutcome::Abandoned, instant);
                    }
                }
                continue;
            }
            let random = self.rng.next_u64();
            let peers = &mut self.entry_vms[entry_vm].peers;
            let Some(peer) =
                peers.pick_with_free_slot(self.keys.services[service], random, instant)
            else {
                self.want(entry_vm, service);
                return;
            };
            if let Some(job) = self.pop(entry_vm, service) {
                self.forward(entry_vm, peer, job);
            }
        }
    }

    fn pop(&mut self, entry_vm: usize, service: usize) -> Option<Job> {
        let instant = self.instant();
        let vm = &mut self.entry_vms[entry_vm];
        let before = vm.queues[service].len();
        let Popped { job, late } = vm.pop(service, instant);
        let after = vm.queues[service].len();
        self.record.refused(late);
        self.record.set_waiting(service, before, after);
        job
    }

    /// Returns a peer at which a new request would wait clearly less.
    fn shorter_wait(&mut self, entry_vm: usize, service: usize) -> Option<PeerKey> {
        let instant = self.instant();
        let vm = &mut self.entry_vms[entry_vm];
        let own = vm.load(service);
        if !self.way.balances_waits || own.waiting == 0 {
            return None;
        }
        let key = self.keys.services[service];
        vm.peers.pick_with_shorter_wait(key, own, instant)
    }

    fn forward(&mut self, from: usize, to: PeerKey, job: Job) {
        let name = self.entry_vms[from].peers.vm(to);
        let Some(to) = self.names.iter().position(|known| Some(known) == name) else {
            return;
        };
        self.record.hops += 1;
        self.network.send(from, to, Event::Forwarded { to, job });
    }

    fn on_forwarded(&mut self, to: usize, job: Job) {
        let service = self.requests[job.number].service;
        let instant = self.instant();
        let lost = self.scenario.is_lost(to, self.network.now);
        let slot = match lost {
            true => None,
            false => self.entry_vms[to].pick(service, instant),
        };
        match slot {
            Some(slot) => self.send(to, slot, job),
            None if job.waits_at_peer && !lost => self.wait(to, job),
            None => {
                self.record.declined += 1;
                let load = match lost {
                    true => Load::default(),
                    false => self.entry_vms[to].load(service),
                };
                let declined = Event::Declined { by: to, job, load };
                self.network.send(to, job.origin, declined);
            }
        }
    }

    fn on_declined(&mut self, by: usize, job: Job, load: Load) {
        if self.scenario.is_lost(job.origin, self.network.now) {
            self.record.failed();
            return;
        }
        let service = self.requests[job.number].service;
        let instant = self.instant();
        let peers = &mut self.entry_vms[job.origin].peers;
        let service = self.keys.services[service];
        match self.way.notify {
            Notify::OnDemand => peers.on_load_report(&self.names[by], service, load, instant),
            _ => peers.on_declined(&self.names[by], service),
        }
        self.wait(job.origin, job);
    }

    fn send(&mut self, entry_vm: usize, slot: Slot, job: Job) {
        let Some(server) = self.entry_vms[entry_vm].server(slot.server()) else {
            return;
        };
        let exchange = Exchange {
            entry_vm,
            slot,
            job,
        };
        self.network
            .send_server(entry_vm, server, Event::Start(exchange));
    }

    fn on_start(&mut self, exchange: Exchange) {
        let Some(server) = self.server(&exchange) else {
            return;
        };
        self.running[server] += 1;
        self.record
            .started(service_of(server), self.running[server]);
        let run = match self.scenario.failing_server == Some(server) {
            true => FAILING_RUN,
            false => self.requests[exchange.job.number].run,
        };
        self.network.after(run, Event::End(exchange));
    }

    fn on_end(&mut self, exchange: Exchange) {
        let Some(server) = self.server(&exchange) else {
            return;
        };
        self.running[server] -= 1;
        self.record.ended(service_of(server));
        let entry_vm = exchange.entry_vm;
        self.network
            .send_server(entry_vm, server, Event::Answer(exchange));
    }

    fn on_answer(&mut self, exchange: Exchange) {
        let server = self.server(&exchange);
        let failed = server.is_some() && server == self.scenario.failing_server;
        let Exchange {
            entry_vm,
            slot,
            job,
        } = exchange;
        let is_lost = |entry_vm| self.scenario.is_lost(entry_vm, self.network.now);
        let (lost, origin_lost) = (is_lost(entry_vm), is_lost(job.origin));
        if lost || origin_lost {
            self.record.failed();
        }
        if lost {
            return;
        }
        let request = self.requests[job.number];
        let server_key = slot.server();
        let instant = self.instant();
        self.entry_vms[entry_vm].release(slot, request, failed, instant);
        if failed && !origin_lost {
            self.retry(entry_vm, server_key, job);
        } else if !origin_lost {
            let at = self.network.now + between(entry_vm, job.origin);
            self.record.answered(at - request.at);
        }
        self.start_waiting(entry_vm, request.service);
        match self.way.notify {
            Notify::Regular => {}
            Notify::Broadcast => self.broadcast_idle(entry_vm, request.service),
            Notify::OnDemand => {
                self.notice_idle(entry_vm, request.service);
                self.tell(entry_vm, job.origin, request.service);
            }
        }
    }

    fn retry(&mut self, entry_vm: usize, failed: ServerKey, job: Job) {
        let instant = self.instant();
        let retries = &mut self.entry_vms[entry_vm].retries;
        if job.is_retry || !retries.try_retry(self.keys.team, instant) {
            self.record.failed();
            return;
        }
        let job = job.retried();
        let service = self.requests[job.number].service;
        let router = &mut self.entry_vms[entry_vm].router;
        match router.pick_other(self.keys.services[service], failed, instant) {
            Some(slot) => self.send(entry_vm, slot, job),
            None => self.wait(entry_vm, job),
        }
    }

    /// Tells all peers at once of a free slot for which nothing waits here.
    fn broadcast_idle(&mut self, entry_vm: usize, service: usize) {
        let now = self.network.now;
        if !self.entry_vms[entry_vm].broadcast_due(service, now) {
            return;
        }
        for peer in 0..ENTRY_VMS {
            self.notice(entry_vm, peer, service);
        }
    }

    /// Tells a peer that wants a slot of a free one for which nothing waits here.
    fn notice_idle(&mut self, entry_vm: usize, service: usize) {
        let instant = self.instant();
        let vm = &mut self.entry_vms[entry_vm];
        let load = vm.load(service);
        let Some(name) = vm
            .notices
            .on_idle(self.keys.services[service], load, instant)
        else {
            return;
        };
        if let Some(peer) = self.names.iter().position(|known| *known == name) {
            self.notice(entry_vm, peer, service);
        }
    }

    /// Tells the peers that requests wait here for a slot.
    fn want(&mut self, entry_vm: usize, service: usize) {
        let instant = self.instant();
        let key = self.keys.services[service];
        let vm = &mut self.entry_vms[entry_vm];
        let load = vm.load(service);
        if self.way.notify != Notify::OnDemand || !vm.notices.slot_request_due(key, load, instant) {
            return;
        }
        let random = self.rng.next_u64();
        for name in vm.peers.peers_to_ask(key, random, instant) {
            let Some(to) = self.names.iter().position(|known| *known == name) else {
                continue;
            };
            self.record.notices += 1;
            let told = Told {
                from: entry_vm,
                to,
                service,
                load,
            };
            self.network.send(entry_vm, to, Event::Want(told));
        }
    }

    fn on_want(&mut self, told: Told) {
        if self.scenario.is_lost(told.to, self.network.now) {
            return;
        }
        let instant = self.instant();
        let key = self.keys.services[told.service];
        let notices = &mut self.entry_vms[told.to].notices;
        notices.on_slot_request(&self.names[told.from], key, instant);
        self.notice_idle(told.to, told.service);
    }

    fn on_notice(&mut self, told: Told) {
        let instant = self.instant();
        let key = self.keys.services[told.service];
        let peers = &mut self.entry_vms[told.to].peers;
        peers.on_load_report(&self.names[told.from], key, told.load, instant);
        self.start_waiting(told.to, told.service);
    }

    fn on_notice_tick(&mut self, entry_vm: usize) {
        if self.scenario.is_lost(entry_vm, self.network.now) {
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
        let every = self.way.notify.every();
        self.network.after(every, Event::NoticeTick(entry_vm));
    }

    /// Sends a notice as a message of its own.
    fn notice(&mut self, from: usize, to: usize, service: usize) {
        if from != to {
            self.record.notices += 1;
            self.tell(from, to, service);
        }
    }

    /// Tells a peer of the load, in a message of its own or in an answer.
    fn tell(&mut self, from: usize, to: usize, service: usize) {
        if from == to {
            return;
        }
        let load = self.entry_vms[from].load(service);
        let told = Told {
            from,
            to,
            service,
            load,
        };
        self.network.send(from, to, Event::Notice(told));
    }

    fn on_expiry_tick(&mut self) {
        let instant = self.instant();
        for entry_vm in 0..ENTRY_VMS {
            for service in 0..SERVICES {
                let lost = self.scenario.is_lost(entry_vm, self.network.now);
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
            self.network.after(EXPIRY_EVERY, Event::ExpiryTick);
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
        self.entry_vms[entry_vm].deal(self.way.ownership, shards, now);
    }

    fn server(&self, exchange: &Exchange) -> Option<usize> {
        self.entry_vms[exchange.entry_vm].server(exchange.slot.server())
    }

    fn is_over(&self) -> bool {
        let last = self.requests.last().map_or(Duration::ZERO, |last| last.at);
        self.network.now > last + LONGEST_WAIT
    }

    fn instant(&self) -> Instant {
        self.start + self.network.now
    }
}
