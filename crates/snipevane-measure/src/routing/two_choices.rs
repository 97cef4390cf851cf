//! Two random choices over all backend servers, with the load that each answer carries.
//!
//! No slot belongs to an entry VM. A backend server declines when its slots are taken.

use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use slotmap::SlotMap;
use snipevane_core::ids::TeamKey;
use snipevane_core::routing::{RetryBudget, RetrySettings};
use snipevane_core::shares::{FairQueue, QueueSettings, WaitingRequest};
use snipevane_proto::manifest::Urgency;

use super::demand::Request;
use super::events::Events;
use super::layout::{
    CONNECTIONS_PER_ENTRY_VM, ENTRY_VMS, SERVERS, SERVERS_PER_SERVICE, SERVICES, SLOTS, one_way,
    servers_of, service_of, zone_of_entry_vm, zone_of_server,
};
use super::record::{Figures, Record};
use super::scenario::{Balanced, Scenario};
use super::{FAILING_RUN, LONGEST_WAIT};
use crate::MeasureError;

const NAME: &str = "two choices";
/// Time for which a load that an answer carried is believed.
const VIEW_TERM: Duration = Duration::from_millis(50);
/// Time between two tries for waiting requests without an answer in between.
const TRY_EVERY: Duration = Duration::from_millis(10);
/// Times that a request is declined before it waits.
const MOST_TRIES: u8 = 3;
/// Failures in a row after which a server is ejected.
const FAILURES_IN_ROW: u32 = 3;
/// Length of the first ejection; each further one in a row is twice as long.
const EJECTION: Duration = Duration::from_secs(1);

/// A request on its way.
#[derive(Clone, Copy, Debug)]
struct Job {
    number: usize,
    entry_vm: usize,
    server: usize,
    tries: u8,
    retried: bool,
}

enum Event {
    Arrive(usize),
    Start(Job),
    End(Job),
    Answer { job: Job, load: u16 },
    Declined(Job),
    Tick,
}

/// What an entry VM knows of a server.
#[derive(Clone, Copy, Debug, Default)]
struct View {
    load: u16,
    seen_at: Option<Duration>,
    in_flight: u16,
    failures: u32,
    ejections: u32,
    ejected_until: Duration,
}

impl View {
    /// Returns the believed load.
    fn load(&self, now: Duration) -> u16 {
        let fresh = self.seen_at.is_some_and(|at| now < at + VIEW_TERM);
        let seen = if fresh { self.load } else { 0 };
        seen.max(self.in_flight)
    }

    fn may_try(&self, now: Duration) -> bool {
        self.ejected_until <= now
            && self.in_flight < CONNECTIONS_PER_ENTRY_VM
            && self.load(now) < SLOTS
            // A server that was ejected gets one request at a time until one is answered.
            && (self.ejections == 0 || self.in_flight == 0)
    }
}

struct EntryVm {
    views: [View; SERVERS],
    queues: Vec<FairQueue<Job>>,
    retries: RetryBudget,
}

/// Run of two random choices.
pub(super) struct TwoChoicesRun<'a> {
    scenario: &'a Scenario,
    requests: &'a [Request],
    start: Instant,
    team: TeamKey,
    entry_vms: Vec<EntryVm>,
    running: [u16; SERVERS],
    events: Events<Event>,
    record: Record,
    rng: ChaCha8Rng,
    now: Duration,
}

impl<'a> TwoChoicesRun<'a> {
    pub(super) fn new(
        scenario: &'a Scenario,
        requests: &'a [Request],
        seed: u64,
    ) -> Result<Self, MeasureError> {
        let entry_vm = || EntryVm {
            views: [View::default(); SERVERS],
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
            events: Events::default(),
            record: Record::new()?,
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: Duration::ZERO,
        })
    }

    /// Runs all requests to their end.
    pub(super) fn run(mut self) -> Figures {
        for (number, request) in self.requests.iter().enumerate() {
            self.events.add(request.at, Event::Arrive(number));
        }
        self.events.add(TRY_EVERY, Event::Tick);
        while let Some((now, event)) = self.events.next() {
            self.record.advance(now);
            self.now = now;
            match event {
                Event::Arrive(number) => self.on_arrival(number),
                Event::Start(job) => self.on_start(job),
                Event::End(job) => self.on_end(job),
                Event::Answer { job, load } => self.on_answer(job, load),
                Event::Declined(job) => self.on_declined(job),
                Event::Tick => self.on_tick(),
            }
        }
        self.record.figures(self.scenario.name, NAME, ENTRY_VMS)
    }

    fn on_arrival(&mut self, number: usize) {
        self.record.arrived();
        let request = self.requests[number];
        match self.scenario.balance(request.entry_vm, number, self.now) {
            Balanced::Lost => self.record.failed(),
            Balanced::To(entry_vm) => {
                self.entry_vms[entry_vm].retries.on_request(self.team);
                self.wait(Job {
                    number,
                    entry_vm,
                    server: 0,
                    tries: 0,
                    retried: false,
                });
            }
        }
    }

    fn wait(&mut self, job: Job) {
        let request = self.requests[job.number];
        let waiting = WaitingRequest {
            team: self.team,
            urgency: Urgency::Normal,
            start_by: self.start + request.at + LONGEST_WAIT,
            item: Job { tries: 0, ..job },
        };
        let instant = self.instant();
        let queue = &mut self.entry_vms[job.entry_vm].queues[request.service];
        let before = queue.len();
        if queue.push(waiting, instant).is_err() {
            self.record.refused(1);
        }
        let after = queue.len();
        self.record.set_waiting(request.service, before, after);
        self.start_waiting(job.entry_vm, request.service);
    }

    fn start_waiting(&mut self, entry_vm: usize, service: usize) {
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
            let late = queue.expire(instant).len();
            let after = queue.len();
            self.record.refused(late);
            self.record.set_waiting(service, before, after);
            if let Some(next) = next {
                self.send(next.item, server);
            }
        }
    }

    /// Chooses the less loaded of two random servers, in a few draws.
    fn choose(&mut self, entry_vm: usize, service: usize, but: Option<usize>) -> Option<usize> {
        let first = servers_of(service).start;
        for _ in 0..MOST_TRIES {
            let one = first + self.rng.random_range(0..SERVERS_PER_SERVICE);
            let other = first + self.rng.random_range(0..SERVERS_PER_SERVICE);
            let views = &self.entry_vms[entry_vm].views;
            let best = [one, other]
                .into_iter()
                .filter(|&server| Some(server) != but && views[server].may_try(self.now))
                .min_by_key(|&server| views[server].load(self.now));
            if best.is_some() {
                return best;
            }
        }
        None
    }

    fn send(&mut self, job: Job, server: usize) {
        let view = &mut self.entry_vms[job.entry_vm].views[server];
        view.in_flight += 1;
        view.load = view.load.saturating_add(1);
        let job = Job {
            server,
            tries: job.tries + 1,
            ..job
        };
        self.events
            .add(self.now + way_to_server(job), Event::Start(job));
    }

    fn on_start(&mut self, job: Job) {
        if self.running[job.server] >= SLOTS {
            self.record.declined += 1;
            self.events
                .add(self.now + way_to_server(job), Event::Declined(job));
            return;
        }
        self.running[job.server] += 1;
        self.record
            .started(service_of(job.server), self.running[job.server]);
        let run = match self.scenario.failing_server == Some(job.server) {
            true => FAILING_RUN,
            false => self.requests[job.number].run,
        };
        self.events.add(self.now + run, Event::End(job));
    }

    fn on_end(&mut self, job: Job) {
        self.running[job.server] -= 1;
        self.record.ended(service_of(job.server));
        let load = self.running[job.server];
        self.events
            .add(self.now + way_to_server(job), Event::Answer { job, load });
    }

    fn on_answer(&mut self, job: Job, load: u16) {
        if self.scenario.is_lost(job.entry_vm, self.now) {
            self.record.failed();
            return;
        }
        let request = self.requests[job.number];
        let failed = self.scenario.failing_server == Some(job.server);
        let now = self.now;
        let view = self.note_load(job, load);
        if failed {
            view.failures += 1;
            if view.failures >= FAILURES_IN_ROW || view.ejections > 0 {
                view.ejected_until = now + EJECTION * 2_u32.pow(view.ejections.min(5));
                view.ejections += 1;
                view.failures = 0;
            }
        } else {
            (view.failures, view.ejections) = (0, 0);
        }
        let instant = self.instant();
        self.entry_vms[job.entry_vm].queues[request.service].charge(
            self.team,
            request.run.as_secs_f64(),
            instant,
        );
        match failed {
            true => self.retry(job),
            false => self.record.answered(self.now - request.at),
        }
        self.start_waiting(job.entry_vm, request.service);
    }

    fn on_declined(&mut self, job: Job) {
        if self.scenario.is_lost(job.entry_vm, self.now) {
            self.record.failed();
            return;
        }
        self.note_load(job, SLOTS);
        let service = self.requests[job.number].service;
        let next = match job.tries < MOST_TRIES {
            true => self.choose(job.entry_vm, service, Some(job.server)),
            false => None,
        };
        match next {
            Some(server) => self.send(job, server),
            None => self.wait(job),
        }
    }

    fn retry(&mut self, job: Job) {
        let instant = self.instant();
        let retries = &mut self.entry_vms[job.entry_vm].retries;
        if job.retried || !retries.try_retry(self.team, instant) {
            self.record.failed();
            return;
        }
        let service = self.requests[job.number].service;
        let job = Job {
            retried: true,
            ..job
        };
        match self.choose(job.entry_vm, service, Some(job.server)) {
            Some(server) => self.send(job, server),
            None => self.wait(job),
        }
    }

    fn note_load(&mut self, job: Job, load: u16) -> &mut View {
        let view = &mut self.entry_vms[job.entry_vm].views[job.server];
        view.in_flight -= 1;
        view.load = load;
        view.seen_at = Some(self.now);
        view
    }

    fn on_tick(&mut self) {
        let instant = self.instant();
        for entry_vm in 0..ENTRY_VMS {
            for service in 0..SERVICES {
                let lost = self.scenario.is_lost(entry_vm, self.now);
                let queue = &mut self.entry_vms[entry_vm].queues[service];
                let before = queue.len();
                while lost && queue.pop(instant, |_| true).is_some() {
                    self.record.failed();
                }
                let late = queue.expire(instant).len();
                self.record.refused(late);
                self.record.set_waiting(service, before, queue.len());
                self.start_waiting(entry_vm, service);
            }
        }
        let last = self.requests.last().map_or(Duration::ZERO, |last| last.at);
        if self.now <= last + LONGEST_WAIT {
            self.events.add(self.now + TRY_EVERY, Event::Tick);
        }
    }

    fn instant(&self) -> Instant {
        self.start + self.now
    }
}

fn way_to_server(job: Job) -> Duration {
    one_way(zone_of_entry_vm(job.entry_vm), zone_of_server(job.server))
}
