//! Ways of routing in which each slot belongs to one entry VM.
//!
//! An entry VM without a free slot of a service passes a waiting request to a peer that is said to
//! have one. A peer without a free slot declines, so that there is one hop at most.

use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use smol_str::SmolStr;
use snipevane_core::ids::ServerKey;
use snipevane_core::routing::{Load, PeerKey, Report, Slot};

use super::demand::Request;
use super::entry_vm::{EntryVm, Job, Keys, Ownership, Popped, name_of};
use super::events::Events;
use super::layout::{
    ENTRY_VMS, SERVERS, SERVICES, entry_vms_of, one_way, service_of, zone_of_entry_vm,
    zone_of_server,
};
use super::record::{Figures, Record};
use super::scenario::{Balanced, Scenario};
use super::{FAILING_RUN, LONGEST_WAIT};
use crate::MeasureError;

/// Time between two regular notices of free slots to the peers.
const NOTICE_EVERY: Duration = Duration::from_millis(100);
/// Time between two looks for requests that have waited too long.
const EXPIRY_EVERY: Duration = Duration::from_millis(50);

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
        load: Load,
    },
    NoticeTick(usize),
    ExpiryTick,
    Takeover(usize),
}

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
                load,
            } => self.on_notice(from, to, service, load),
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
                self.entry_vms[origin].retries.on_request(self.keys.team);
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
                        self.forward(origin, peer, job);
                    }
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
        if self.scenario.is_lost(entry_vm, self.now) {
            return;
        }
        while !self.entry_vms[entry_vm].queues[service].is_empty() {
            let instant = self.instant();
            if let Some(slot) = self.entry_vms[entry_vm].pick(service, instant) {
                match self.pop(entry_vm, service) {
                    Some(job) => self.send(entry_vm, slot, job),
                    None => {
                        let router = &mut self.entry_vms[entry_vm].router;
                        router.release(slot, Report::Abandoned, instant);
                    }
                }
                continue;
            }
            let random = self.rng.next_u64();
            let peers = &mut self.entry_vms[entry_vm].peers;
            let Some(peer) = peers.with_free_slot(self.keys.services[service], random, instant)
            else {
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
        vm.peers.with_shorter_wait(key, own, instant)
    }

    fn forward(&mut self, from: usize, to: PeerKey, job: Job) {
        let name = self.entry_vms[from].peers.vm(to);
        let Some(to) = self.names.iter().position(|known| Some(known) == name) else {
            return;
        };
        self.record.hops += 1;
        let at = self.now + self.between(from, to);
        self.events.add(at, Event::Forwarded { to, job });
    }

    fn on_forwarded(&mut self, to: usize, job: Job) {
        let service = self.requests[job.number].service;
        let instant = self.instant();
        let lost = self.scenario.is_lost(to, self.now);
        let slot = match lost {
            true => None,
            false => self.entry_vms[to].pick(service, instant),
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
        let peers = &mut self.entry_vms[job.origin].peers;
        peers.on_declined(&self.names[by], self.keys.services[service]);
        self.wait(job.origin, job);
    }

    fn send(&mut self, entry_vm: usize, slot: Slot, job: Job) {
        let Some(server) = self.entry_vms[entry_vm].server(slot.server()) else {
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
        let Some(server) = self.entry_vms[entry_vm].server(slot.server()) else {
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
        let Some(server) = self.entry_vms[entry_vm].server(slot.server()) else {
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
        let server = self.entry_vms[entry_vm].server(server_key);
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
        vm.queues[request.service].charge(self.keys.team, seconds, instant);
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
        if job.retried
            || !self.entry_vms[entry_vm]
                .retries
                .try_retry(self.keys.team, instant)
        {
            self.record.failed();
            return;
        }
        let job = Job {
            retried: true,
            ..job
        };
        let service = self.requests[job.number].service;
        let router = &mut self.entry_vms[entry_vm].router;
        match router.pick_other(self.keys.services[service], failed, instant) {
            Some(slot) => self.send(entry_vm, slot, job),
            None => self.wait(entry_vm, job),
        }
    }

    /// Tells the peers at once of a free slot for which nothing waits here.
    fn notice_idle(&mut self, entry_vm: usize, service: usize) {
        let instant = self.instant();
        let vm = &mut self.entry_vms[entry_vm];
        let load = vm.load(service);
        if !vm
            .notices
            .idle_due(self.keys.services[service], load, instant)
        {
            return;
        }
        for peer in 0..ENTRY_VMS {
            self.notice(entry_vm, peer, service);
        }
    }

    fn on_notice(&mut self, from: usize, to: usize, service: usize, load: Load) {
        let instant = self.instant();
        let peers = &mut self.entry_vms[to].peers;
        peers.on_notice(
            &self.names[from],
            self.keys.services[service],
            load,
            instant,
        );
        self.start_waiting(to, service);
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
        let load = self.entry_vms[from].load(service);
        self.record.notices += 1;
        let at = self.now + self.between(from, to);
        let notice = Event::Notice {
            from,
            to,
            service,
            load,
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
        self.entry_vms[entry_vm].deal(self.way.ownership, shards, now);
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
