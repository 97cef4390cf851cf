//! Simulation of routing strategies in which each slot is owned by one entry VM.
//!
//! An entry VM that has no free slot forwards a waiting request to a peer whose load report shows
//! one. A peer that has no free slot declines the request, so there is at most one hop.

use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use smol_str::SmolStr;
use snipevane_core::ids::ServerKey;
use snipevane_core::routing::{Load, PeerKey, RequestOutcome, Slot};

use super::demand::Request;
use super::entry_vm::{Dequeued, EntryVm, Keys, RoutedRequest, name_of};
use super::layout::{ENTRY_VMS, SERVERS, SERVICES, entry_vms_of, service_of, zone_of_entry_vm};
use super::network::{Event, Exchange, LoadMessage, Network, peer_delay};
use super::record::{Figures, Record};
use super::scenario::{BalancerTarget, Scenario};
use super::strategy::{ReportMode, Strategy};
use super::{FAILING_RUN_TIME, MAX_WAIT};
use crate::MeasureError;

/// Time between two removals of expired requests from the queues.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(50);

/// Simulation of one routing strategy with owned slots.
pub(super) struct OwnedSlotsSimulation<'a> {
    strategy: Strategy,
    scenario: &'a Scenario,
    requests: &'a [Request],
    start: Instant,
    keys: Keys,
    vm_names: Vec<SmolStr>,
    entry_vms: Vec<EntryVm>,
    running: [u16; SERVERS],
    network: Network,
    record: Record,
    rng: ChaCha8Rng,
}

impl<'a> OwnedSlotsSimulation<'a> {
    pub(super) fn new(
        strategy: Strategy,
        scenario: &'a Scenario,
        requests: &'a [Request],
        seed: u64,
    ) -> Result<Self, MeasureError> {
        let keys = Keys::new();
        let entry_vms = (0..ENTRY_VMS).map(|number| EntryVm::new(number, keys.clone()));
        let mut simulation = Self {
            strategy,
            scenario,
            requests,
            start: Instant::now(),
            entry_vms: entry_vms.collect(),
            vm_names: (0..ENTRY_VMS).map(name_of).collect(),
            keys,
            running: [0; SERVERS],
            network: Network::default(),
            record: Record::new()?,
            rng: ChaCha8Rng::seed_from_u64(seed),
        };
        for entry_vm in 0..ENTRY_VMS {
            simulation.assign_shards(entry_vm, &[entry_vm]);
        }
        Ok(simulation)
    }

    /// Simulates all requests until the last one ends, and returns the figures.
    pub(super) fn run(mut self) -> Figures {
        for (number, request) in self.requests.iter().enumerate() {
            self.network.at(request.at, Event::Arrive(number));
        }
        for entry_vm in 0..ENTRY_VMS {
            let report_interval = self.strategy.report_mode.report_interval();
            let first = report_interval.mul_f64(entry_vm as f64 / ENTRY_VMS as f64);
            self.network.at(first, Event::LoadReportTick(entry_vm));
        }
        self.network.at(EXPIRY_INTERVAL, Event::ExpiryTick);
        if let Some((lost, at)) = self.scenario.takeover() {
            self.network.at(at, Event::Takeover(lost));
        }
        while let Some(event) = self.network.next() {
            self.record.advance(self.network.now);
            self.handle(event);
        }
        self.record
            .figures(self.scenario.name, self.strategy.name, ENTRY_VMS)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(number) => self.on_arrival(number),
            Event::Forwarded { to, routed } => self.on_forwarded(to, routed),
            Event::Declined { by, routed, load } => self.on_declined(by, routed, load),
            Event::SlotRequest(message) => self.on_slot_request(message),
            Event::LoadReport(message) => self.on_load_report(message),
            Event::Start(exchange) => self.on_start(exchange),
            Event::End(exchange) => self.on_end(exchange),
            Event::Response(exchange) => self.on_response(exchange),
            Event::LoadReportTick(entry_vm) => self.on_load_report_tick(entry_vm),
            Event::ExpiryTick => self.on_expiry_tick(),
            Event::Takeover(lost) => self.on_takeover(lost),
        }
    }

    fn on_arrival(&mut self, number: usize) {
        self.record.arrived();
        let request = self.requests[number];
        match self
            .scenario
            .balancer_target(request.entry_vm, number, self.network.now)
        {
            BalancerTarget::Lost => self.record.failed(),
            BalancerTarget::To(origin) => {
                self.entry_vms[origin].retries.on_request(self.keys.team);
                let routed = RoutedRequest::new(number, origin);
                match self.peer_with_shorter_wait(origin, request.service) {
                    Some(peer) => self.forward(origin, peer, routed.allow_waiting_at_peer()),
                    None => self.enqueue(origin, routed),
                }
            }
        }
    }

    /// Adds a request to the fair queue, and starts as many requests as possible.
    fn enqueue(&mut self, entry_vm: usize, routed: RoutedRequest) {
        let request = self.requests[routed.number];
        let start_by = self.start + request.at + MAX_WAIT;
        let instant = self.instant();
        let vm = &mut self.entry_vms[entry_vm];
        let before = vm.queues[request.service].len();
        if !vm.enqueue(request.service, routed, start_by, instant) {
            self.record.refused(1);
        }
        let after = vm.queues[request.service].len();
        self.record.update_waiting(request.service, before, after);
        self.dispatch_waiting(entry_vm, request.service);
    }

    fn dispatch_waiting(&mut self, entry_vm: usize, service: usize) {
        if self.scenario.is_lost(entry_vm, self.network.now) {
            return;
        }
        while !self.entry_vms[entry_vm].queues[service].is_empty() {
            let instant = self.instant();
            if let Some(slot) = self.entry_vms[entry_vm].pick(service, instant) {
                match self.dequeue(entry_vm, service) {
                    Some(routed) => self.send(entry_vm, slot, routed),
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
                self.request_slots(entry_vm, service);
                return;
            };
            if let Some(routed) = self.dequeue(entry_vm, service) {
                self.forward(entry_vm, peer, routed);
            }
        }
    }

    fn dequeue(&mut self, entry_vm: usize, service: usize) -> Option<RoutedRequest> {
        let instant = self.instant();
        let vm = &mut self.entry_vms[entry_vm];
        let before = vm.queues[service].len();
        let Dequeued { routed, expired } = vm.dequeue(service, instant);
        let after = vm.queues[service].len();
        self.record.refused(expired);
        self.record.update_waiting(service, before, after);
        routed
    }

    /// Returns a peer at which a new request would wait clearly less, if there is one.
    fn peer_with_shorter_wait(&mut self, entry_vm: usize, service: usize) -> Option<PeerKey> {
        let instant = self.instant();
        let vm = &mut self.entry_vms[entry_vm];
        let own = vm.load(service);
        if !self.strategy.balances_waits || own.waiting == 0 {
            return None;
        }
        let key = self.keys.services[service];
        vm.peers.pick_with_shorter_wait(key, own, instant)
    }

    fn forward(&mut self, from: usize, to: PeerKey, routed: RoutedRequest) {
        let name = self.entry_vms[from].peers.vm(to);
        let Some(to) = self.vm_names.iter().position(|known| Some(known) == name) else {
            return;
        };
        self.record.hops += 1;
        self.network.send(from, to, Event::Forwarded { to, routed });
    }

    fn on_forwarded(&mut self, to: usize, routed: RoutedRequest) {
        let service = self.requests[routed.number].service;
        let instant = self.instant();
        let lost = self.scenario.is_lost(to, self.network.now);
        let slot = match lost {
            true => None,
            false => self.entry_vms[to].pick(service, instant),
        };
        match slot {
            Some(slot) => self.send(to, slot, routed),
            None if routed.waits_at_peer && !lost => self.enqueue(to, routed),
            None => {
                self.record.declined += 1;
                let load = match lost {
                    true => Load::default(),
                    false => self.entry_vms[to].load(service),
                };
                let declined = Event::Declined {
                    by: to,
                    routed,
                    load,
                };
                self.network.send(to, routed.origin, declined);
            }
        }
    }

    fn on_declined(&mut self, by: usize, routed: RoutedRequest, load: Load) {
        if self.scenario.is_lost(routed.origin, self.network.now) {
            self.record.failed();
            return;
        }
        let service = self.requests[routed.number].service;
        let instant = self.instant();
        let peers = &mut self.entry_vms[routed.origin].peers;
        let service = self.keys.services[service];
        match self.strategy.report_mode {
            ReportMode::OnDemand => {
                peers.on_load_report(&self.vm_names[by], service, load, instant)
            }
            _ => peers.on_declined(&self.vm_names[by], service),
        }
        self.enqueue(routed.origin, routed);
    }

    fn send(&mut self, entry_vm: usize, slot: Slot, routed: RoutedRequest) {
        let Some(server) = self.entry_vms[entry_vm].server(slot.server()) else {
            return;
        };
        let exchange = Exchange {
            entry_vm,
            slot,
            routed,
        };
        self.network
            .send_to_server(entry_vm, server, Event::Start(exchange));
    }

    fn on_start(&mut self, exchange: Exchange) {
        let Some(server) = self.server(&exchange) else {
            return;
        };
        self.running[server] += 1;
        self.record
            .started(service_of(server), self.running[server]);
        let run_time = match self.scenario.failing_server == Some(server) {
            true => FAILING_RUN_TIME,
            false => self.requests[exchange.routed.number].run_time,
        };
        self.network.after(run_time, Event::End(exchange));
    }

    fn on_end(&mut self, exchange: Exchange) {
        let Some(server) = self.server(&exchange) else {
            return;
        };
        self.running[server] -= 1;
        self.record.ended(service_of(server));
        let entry_vm = exchange.entry_vm;
        self.network
            .send_to_server(entry_vm, server, Event::Response(exchange));
    }

    fn on_response(&mut self, exchange: Exchange) {
        let server = self.server(&exchange);
        let failed = server.is_some() && server == self.scenario.failing_server;
        let Exchange {
            entry_vm,
            slot,
            routed,
        } = exchange;
        let is_lost = |entry_vm| self.scenario.is_lost(entry_vm, self.network.now);
        let (lost, is_origin_lost) = (is_lost(entry_vm), is_lost(routed.origin));
        if lost || is_origin_lost {
            self.record.failed();
        }
        if lost {
            return;
        }
        let request = self.requests[routed.number];
        let server_key = slot.server();
        let instant = self.instant();
        self.entry_vms[entry_vm].release(slot, request, failed, instant);
        if failed && !is_origin_lost {
            self.retry(entry_vm, server_key, routed);
        } else if !is_origin_lost {
            let at = self.network.now + peer_delay(entry_vm, routed.origin);
            self.record.answered(at - request.at);
        }
        self.dispatch_waiting(entry_vm, request.service);
        match self.strategy.report_mode {
            ReportMode::Periodic => {}
            ReportMode::Broadcast => self.broadcast_idle_slot(entry_vm, request.service),
            ReportMode::OnDemand => {
                self.report_idle_slot(entry_vm, request.service);
                self.send_load(entry_vm, routed.origin, request.service);
            }
        }
    }

    fn retry(&mut self, entry_vm: usize, failed: ServerKey, routed: RoutedRequest) {
        let instant = self.instant();
        let retries = &mut self.entry_vms[entry_vm].retries;
        if routed.is_retry || !retries.try_retry(self.keys.team, instant) {
            self.record.failed();
            return;
        }
        let routed = routed.as_retry();
        let service = self.requests[routed.number].service;
        let router = &mut self.entry_vms[entry_vm].router;
        match router.pick_other(self.keys.services[service], failed, instant) {
            Some(slot) => self.send(entry_vm, slot, routed),
            None => self.enqueue(entry_vm, routed),
        }
    }

    /// Sends a load report to all peers if an idle slot is to be broadcast.
    fn broadcast_idle_slot(&mut self, entry_vm: usize, service: usize) {
        let now = self.network.now;
        if !self.entry_vms[entry_vm].broadcast_due(service, now) {
            return;
        }
        for peer in 0..ENTRY_VMS {
            self.send_load_report(entry_vm, peer, service);
        }
    }

    /// Sends a load report to a peer that requested slots, if a slot is idle.
    fn report_idle_slot(&mut self, entry_vm: usize, service: usize) {
        let instant = self.instant();
        let vm = &mut self.entry_vms[entry_vm];
        let load = vm.load(service);
        let Some(name) = vm
            .load_reporter
            .on_idle(self.keys.services[service], load, instant)
        else {
            return;
        };
        if let Some(peer) = self.vm_names.iter().position(|known| *known == name) {
            self.send_load_report(entry_vm, peer, service);
        }
    }

    /// Sends slot requests to peers if they are due.
    fn request_slots(&mut self, entry_vm: usize, service: usize) {
        let instant = self.instant();
        let key = self.keys.services[service];
        let vm = &mut self.entry_vms[entry_vm];
        let load = vm.load(service);
        if self.strategy.report_mode != ReportMode::OnDemand
            || !vm.load_reporter.slot_request_due(key, load, instant)
        {
            return;
        }
        let random = self.rng.next_u64();
        for name in vm.peers.peers_to_ask(key, random, instant) {
            let Some(to) = self.vm_names.iter().position(|known| *known == name) else {
                continue;
            };
            self.record.load_messages += 1;
            let message = LoadMessage {
                from: entry_vm,
                to,
                service,
                load,
            };
            self.network.send(entry_vm, to, Event::SlotRequest(message));
        }
    }

    fn on_slot_request(&mut self, message: LoadMessage) {
        if self.scenario.is_lost(message.to, self.network.now) {
            return;
        }
        let instant = self.instant();
        let key = self.keys.services[message.service];
        let load_reporter = &mut self.entry_vms[message.to].load_reporter;
        load_reporter.on_slot_request(&self.vm_names[message.from], key, instant);
        self.report_idle_slot(message.to, message.service);
    }

    fn on_load_report(&mut self, message: LoadMessage) {
        let instant = self.instant();
        let key = self.keys.services[message.service];
        let peers = &mut self.entry_vms[message.to].peers;
        peers.on_load_report(&self.vm_names[message.from], key, message.load, instant);
        self.dispatch_waiting(message.to, message.service);
    }

    fn on_load_report_tick(&mut self, entry_vm: usize) {
        if self.scenario.is_lost(entry_vm, self.network.now) {
            return;
        }
        for service in 0..SERVICES {
            for peer in 0..ENTRY_VMS {
                self.send_load_report(entry_vm, peer, service);
            }
        }
        // One periodic message carries the load for all services.
        self.record.load_messages -= ((SERVICES - 1) * (ENTRY_VMS - 1)) as u64;
        if self.is_over() {
            return;
        }
        let report_interval = self.strategy.report_mode.report_interval();
        self.network
            .after(report_interval, Event::LoadReportTick(entry_vm));
    }

    /// Sends a load report as a separate message.
    fn send_load_report(&mut self, from: usize, to: usize, service: usize) {
        if from != to {
            self.record.load_messages += 1;
            self.send_load(from, to, service);
        }
    }

    /// Sends the load to a peer, in a load report or as part of a response.
    fn send_load(&mut self, from: usize, to: usize, service: usize) {
        if from == to {
            return;
        }
        let load = self.entry_vms[from].load(service);
        let message = LoadMessage {
            from,
            to,
            service,
            load,
        };
        self.network.send(from, to, Event::LoadReport(message));
    }

    fn on_expiry_tick(&mut self) {
        let instant = self.instant();
        for entry_vm in 0..ENTRY_VMS {
            for service in 0..SERVICES {
                let is_lost = self.scenario.is_lost(entry_vm, self.network.now);
                let queue = &mut self.entry_vms[entry_vm].queues[service];
                self.record.expire_waiting(service, queue, is_lost, instant);
                self.dispatch_waiting(entry_vm, service);
            }
        }
        if !self.is_over() {
            self.network.after(EXPIRY_INTERVAL, Event::ExpiryTick);
        }
    }

    /// Assigns the slots of a lost entry VM to a peer in its zone.
    fn on_takeover(&mut self, lost: usize) {
        let peers = entry_vms_of(zone_of_entry_vm(lost));
        if let Some(&successor) = peers.iter().find(|&&peer| peer != lost) {
            self.assign_shards(successor, &[successor, lost]);
        }
    }

    /// Assigns the slots of the given shards to an entry VM.
    fn assign_shards(&mut self, entry_vm: usize, shards: &[usize]) {
        let now = self.instant();
        self.entry_vms[entry_vm].set_shards(self.strategy.ownership, shards, now);
    }

    fn server(&self, exchange: &Exchange) -> Option<usize> {
        self.entry_vms[exchange.entry_vm].server(exchange.slot.server())
    }

    fn is_over(&self) -> bool {
        let last = self.requests.last().map_or(Duration::ZERO, |last| last.at);
        self.network.now > last + MAX_WAIT
    }

    fn instant(&self) -> Instant {
        self.start + self.network.now
    }
}
