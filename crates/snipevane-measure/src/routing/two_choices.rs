//! Simulation of routing to the better of two random servers, by the load that responses carry.
//!
//! No entry VM owns slots. A backend server declines a request if all of its slots are taken.

use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use slotmap::SlotMap;
use snipevane_core::ids::TeamKey;
use snipevane_core::routing::{RetryBudget, RetrySettings};
use snipevane_core::shares::{FairQueue, QueueSettings, WaitingRequest};
use snipevane_proto::manifest::Urgency;

use super::demand::Request;
use super::layout::{
    CONNECTIONS_PER_ENTRY_VM, ENTRY_VMS, SERVERS, SERVERS_PER_SERVICE, SERVICES, SLOTS,
    network_delay, servers_of, service_of, zone_of_entry_vm, zone_of_server,
};
use super::record::{Figures, Record};
use super::scenario::{BalancerTarget, Scenario};
use super::{FAILING_RUN_TIME, MAX_WAIT};
use crate::MeasureError;
use crate::event_queue::EventQueue;

const NAME: &str = "two choices";
/// Time after which a server's last reported load is ignored.
const LOAD_VALIDITY: Duration = Duration::from_millis(50);
/// Time between two periodic attempts to start waiting requests.
const QUEUE_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Maximum number of attempts before a declined request waits, and of draws of two servers.
const MAX_ATTEMPTS: u8 = 3;
/// Number of consecutive failures after which a server is ejected.
const FAILURE_THRESHOLD: u32 = 3;
/// Length of the first ejection; each consecutive one is twice as long.
const BASE_EJECTION: Duration = Duration::from_secs(1);

/// A request that was sent to a server, or that waits at an entry VM.
#[derive(Clone, Copy, Debug)]
struct RoutedRequest {
    number: usize,
    entry_vm: usize,
    server: usize,
    attempts: u8,
    is_retry: bool,
}

enum Event {
    Arrive(usize),
    Start(RoutedRequest),
    End(RoutedRequest),
    Response { routed: RoutedRequest, load: u16 },
    Declined(RoutedRequest),
    Tick,
}

/// State of a server as seen by one entry VM.
#[derive(Clone, Copy, Debug, Default)]
struct ServerView {
    load: u16,
    seen_at: Option<Duration>,
    in_flight: u16,
    failures: u32,
    ejections: u32,
    ejected_until: Duration,
}

impl ServerView {
    /// Returns the estimated load.
    fn load(&self, now: Duration) -> u16 {
        let fresh = self.seen_at.is_some_and(|at| now < at + LOAD_VALIDITY);
        let seen = if fresh { self.load } else { 0 };
        seen.max(self.in_flight)
    }

    fn is_available(&self, now: Duration) -> bool {
        self.ejected_until <= now
            && self.in_flight < CONNECTIONS_PER_ENTRY_VM
            && self.load(now) < SLOTS
            // An ejected server gets one request at a time until a request succeeds.
            && (self.ejections == 0 || self.in_flight == 0)
    }
}

struct EntryVm {
    views: [ServerView; SERVERS],
    queues: Vec<FairQueue<RoutedRequest>>,
    retries: RetryBudget,
}

/// Simulation of routing to the better of two random servers.
pub(super) struct TwoChoicesSimulation<'a> {
    scenario: &'a Scenario,
    requests: &'a [Request],
    start: Instant,
    team: TeamKey,
    entry_vms: Vec<EntryVm>,
    running: [u16; SERVERS],
    events: EventQueue<Duration, Event>,
    record: Record,
    rng: ChaCha8Rng,
    now: Duration,
}

impl<'a> TwoChoicesSimulation<'a> {
    pub(super) fn new(
        scenario: &'a Scenario,
        requests: &'a [Request],
        seed: u64,
    ) -> Result<Self, MeasureError> {
        let entry_vm = || EntryVm {
            views: [ServerView::default(); SERVERS],
            queues: (0..SERVICES)
                .map(|_| FairQueue::new(QueueSettings::default()))
                .collect(),
            retries: RetryBudget::new(RetrySettings::default()),
        };
        Ok(Self {
            scenario,
            requests,
            start: Instant::now(),
            team: SlotMap::with_key().insert(()),
            entry_vms: (0..ENTRY_VMS).map(|_| entry_vm()).collect(),
            running: [0; SERVERS],
            events: EventQueue::default(),
            record: Record::new()?,
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: Duration::ZERO,
        })
    }

    /// Simulates all requests until the last one ends, and returns the figures.
    pub(super) fn run(mut self) -> Figures {
        for (number, request) in self.requests.iter().enumerate() {
            self.events.push(request.at, Event::Arrive(number));
        }
        self.events.push(QUEUE_CHECK_INTERVAL, Event::Tick);
        while let Some((now, event)) = self.events.pop() {
            self.record.advance(now);
            self.now = now;
            match event {
                Event::Arrive(number) => self.on_arrival(number),
                Event::Start(routed) => self.on_start(routed),
                Event::End(routed) => self.on_end(routed),
                Event::Response { routed, load } => self.on_response(routed, load),
                Event::Declined(routed) => self.on_declined(routed),
                Event::Tick => self.on_tick(),
            }
        }
        self.record.figures(self.scenario.name, NAME, ENTRY_VMS)
    }

    fn on_arrival(&mut self, number: usize) {
        self.record.arrived();
        let request = self.requests[number];
        match self
            .scenario
            .balancer_target(request.entry_vm, number, self.now)
        {
            BalancerTarget::Lost => self.record.failed(),
            BalancerTarget::To(entry_vm) => {
                self.entry_vms[entry_vm].retries.on_request(self.team);
                self.enqueue(RoutedRequest {
                    number,
                    entry_vm,
                    server: 0,
                    attempts: 0,
                    is_retry: false,
                });
            }
        }
    }

    fn enqueue(&mut self, routed: RoutedRequest) {
        let request = self.requests[routed.number];
        let waiting = WaitingRequest {
            team: self.team,
            urgency: Urgency::Normal,
            start_by: self.start + request.at + MAX_WAIT,
            item: RoutedRequest {
                attempts: 0,
                ..routed
            },
        };
        let instant = self.instant();
        let queue = &mut self.entry_vms[routed.entry_vm].queues[request.service];
        let before = queue.len();
        if queue.push(waiting, instant).is_err() {
            self.record.refused(1);
        }
        let after = queue.len();
        self.record.update_waiting(request.service, before, after);
        self.dispatch_waiting(routed.entry_vm, request.service);
    }

    fn dispatch_waiting(&mut self, entry_vm: usize, service: usize) {
        if self.scenario.is_lost(entry_vm, self.now) {
            return;
        }
        while !self.entry_vms[entry_vm].queues[service].is_empty() {
            let Some(server) = self.choose(entry_vm, service, None) else {
                return;
            };
            let instant = self.instant();
            let queue = &mut self.entry_vms[entry_vm].queues[service];
            let before = queue.len();
            let next = queue.pop(instant, |_| true);
            let expired = queue.expire(instant).len();
            let after = queue.len();
            self.record.refused(expired);
            self.record.update_waiting(service, before, after);
            if let Some(next) = next {
                self.send(next.item, server);
            }
        }
    }

    /// Chooses the less loaded of two random servers that are available.
    ///
    /// Returns `None` if a few draws find no available server.
    fn choose(
        &mut self,
        entry_vm: usize,
        service: usize,
        excluded: Option<usize>,
    ) -> Option<usize> {
        let first = servers_of(service).start;
        for _ in 0..MAX_ATTEMPTS {
            let one = first + self.rng.random_range(0..SERVERS_PER_SERVICE);
            let other = first + self.rng.random_range(0..SERVERS_PER_SERVICE);
            let views = &self.entry_vms[entry_vm].views;
            let best = [one, other]
                .into_iter()
                .filter(|&server| Some(server) != excluded && views[server].is_available(self.now))
                .min_by_key(|&server| views[server].load(self.now));
            if best.is_some() {
                return best;
            }
        }
        None
    }

    fn send(&mut self, routed: RoutedRequest, server: usize) {
        let view = &mut self.entry_vms[routed.entry_vm].views[server];
        view.in_flight += 1;
        view.load = view.load.saturating_add(1);
        let routed = RoutedRequest {
            server,
            attempts: routed.attempts + 1,
            ..routed
        };
        self.events
            .push(self.now + delay_to_server(routed), Event::Start(routed));
    }

    fn on_start(&mut self, routed: RoutedRequest) {
        if self.running[routed.server] >= SLOTS {
            self.record.declined += 1;
            self.events
                .push(self.now + delay_to_server(routed), Event::Declined(routed));
            return;
        }
        self.running[routed.server] += 1;
        self.record
            .started(service_of(routed.server), self.running[routed.server]);
        let run_time = match self.scenario.failing_server == Some(routed.server) {
            true => FAILING_RUN_TIME,
            false => self.requests[routed.number].run_time,
        };
        self.events.push(self.now + run_time, Event::End(routed));
    }

    fn on_end(&mut self, routed: RoutedRequest) {
        self.running[routed.server] -= 1;
        self.record.ended(service_of(routed.server));
        let load = self.running[routed.server];
        self.events.push(
            self.now + delay_to_server(routed),
            Event::Response { routed, load },
        );
    }

    fn on_response(&mut self, routed: RoutedRequest, load: u16) {
        if self.scenario.is_lost(routed.entry_vm, self.now) {
            self.record.failed();
            return;
        }
        let request = self.requests[routed.number];
        let failed = self.scenario.failing_server == Some(routed.server);
        let now = self.now;
        let view = self.record_load(routed, load);
        if failed {
            view.failures += 1;
            if view.failures >= FAILURE_THRESHOLD || view.ejections > 0 {
                view.ejected_until = now + BASE_EJECTION * 2_u32.pow(view.ejections.min(5));
                view.ejections += 1;
                view.failures = 0;
            }
        } else {
            (view.failures, view.ejections) = (0, 0);
        }
        let instant = self.instant();
        self.entry_vms[routed.entry_vm].queues[request.service].charge(
            self.team,
            request.run_time.as_secs_f64(),
            instant,
        );
        match failed {
            true => self.retry(routed),
            false => self.record.answered(self.now - request.at),
        }
        self.dispatch_waiting(routed.entry_vm, request.service);
    }

    fn on_declined(&mut self, routed: RoutedRequest) {
        if self.scenario.is_lost(routed.entry_vm, self.now) {
            self.record.failed();
            return;
        }
        self.record_load(routed, SLOTS);
        let service = self.requests[routed.number].service;
        let next = match routed.attempts < MAX_ATTEMPTS {
            true => self.choose(routed.entry_vm, service, Some(routed.server)),
            false => None,
        };
        match next {
            Some(server) => self.send(routed, server),
            None => self.enqueue(routed),
        }
    }

    fn retry(&mut self, routed: RoutedRequest) {
        let instant = self.instant();
        let retries = &mut self.entry_vms[routed.entry_vm].retries;
        if routed.is_retry || !retries.try_retry(self.team, instant) {
            self.record.failed();
            return;
        }
        let service = self.requests[routed.number].service;
        let routed = RoutedRequest {
            is_retry: true,
            ..routed
        };
        match self.choose(routed.entry_vm, service, Some(routed.server)) {
            Some(server) => self.send(routed, server),
            None => self.enqueue(routed),
        }
    }

    fn record_load(&mut self, routed: RoutedRequest, load: u16) -> &mut ServerView {
        let view = &mut self.entry_vms[routed.entry_vm].views[routed.server];
        view.in_flight -= 1;
        view.load = load;
        view.seen_at = Some(self.now);
        view
    }

    fn on_tick(&mut self) {
        let instant = self.instant();
        for entry_vm in 0..ENTRY_VMS {
            for service in 0..SERVICES {
                let is_lost = self.scenario.is_lost(entry_vm, self.now);
                let queue = &mut self.entry_vms[entry_vm].queues[service];
                self.record.expire_waiting(service, queue, is_lost, instant);
                self.dispatch_waiting(entry_vm, service);
            }
        }
        let last = self.requests.last().map_or(Duration::ZERO, |last| last.at);
        if self.now <= last + MAX_WAIT {
            self.events
                .push(self.now + QUEUE_CHECK_INTERVAL, Event::Tick);
        }
    }

    fn instant(&self) -> Instant {
        self.start + self.now
    }
}

fn delay_to_server(routed: RoutedRequest) -> Duration {
    network_delay(
        zone_of_entry_vm(routed.entry_vm),
        zone_of_server(routed.server),
    )
}
