//! Benchmarks of a routing decision and of its parts, at several numbers of servers and teams.

#![allow(missing_docs)]

use std::hint::black_box;
use std::time::{Duration, Instant};

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use slotmap::SlotMap;
use snipevane_core::ids::{ServiceKey, TeamKey};
use snipevane_core::keys::KeyStore;
use snipevane_core::limits::TeamLimiter;
use snipevane_core::routing::{RequestOutcome, Router, ServerSpec};
use snipevane_core::shares::{FairQueue, QueueSettings, WaitingRequest};
use snipevane_proto::manifest::Urgency;

const SERVER_COUNTS: [usize; 4] = [50, 325, 1_300, 2_600];
const TEAM_COUNTS: [usize; 3] = [6, 40, 320];
/// Longer than any benchmark runs, so that no request expires.
const MAX_WAIT: Duration = Duration::from_secs(36_000);
const ANSWERED: RequestOutcome = RequestOutcome::Answered {
    latency: Duration::from_millis(20),
};

/// State of an entry VM where half of all slots are taken and requests of all teams wait.
struct EntryVm {
    service: ServiceKey,
    teams: Vec<TeamKey>,
    presented_keys: Vec<String>,
    keys: KeyStore,
    limits: TeamLimiter,
    queue: FairQueue<u32>,
    router: Router,
    now: Instant,
}

impl EntryVm {
    fn new(servers: usize, teams: usize) -> Self {
        let now = Instant::now();
        let mut services = SlotMap::with_key();
        let service = services.insert(());
        let mut arena = SlotMap::with_key();
        let teams: Vec<TeamKey> = (0..teams).map(|_| arena.insert(())).collect();
        let mut entry_vm = Self {
            service,
            presented_keys: Vec::new(),
            keys: KeyStore::default(),
            limits: TeamLimiter::default(),
            queue: FairQueue::new(QueueSettings::default()),
            router: Router::default(),
            teams,
            now,
        };
        entry_vm.fill_router(servers);
        entry_vm.fill_teams();
        entry_vm
    }

    fn fill_router(&mut self, servers: usize) {
        let spec = |n: usize| ServerSpec {
            vm: format!("vm-{n}").into(),
            address: ([127, 0, 0, 1], (n + 1) as u16).into(),
            service: self.service,
            slots: 8,
            connections: 64,
        };
        self.router.sync((0..servers).map(spec), self.now);
        // Takes half of all slots, so that the loads differ.
        for n in 0..servers * 4 {
            let Some(slot) = self.router.pick(self.service, self.now) else {
                break;
            };
            let until = self.now + Duration::from_secs(3600 + n as u64 % 7);
            self.router.quarantine(slot, until);
        }
    }

    fn fill_teams(&mut self) {
        for (n, &team) in self.teams.clone().iter().enumerate() {
            let random = [n as u8; 32];
            let (_, presented) = self.keys.issue("team", format!("k{n}"), random);
            self.presented_keys.push(presented);
            self.limits.set_allowance(team, 8);
            self.queue.set_weight(team, 1 + n as u32 % 5);
            self.push(team);
            self.push(team);
        }
    }

    fn push(&mut self, team: TeamKey) {
        let waiting = WaitingRequest {
            team,
            urgency: Urgency::Normal,
            start_by: self.now + MAX_WAIT,
            item: 0,
        };
        let pushed = self.queue.push(waiting, self.now);
        black_box(pushed.is_ok());
    }

    fn pick_and_release(&mut self) {
        if let Some(slot) = self.router.pick(self.service, self.now) {
            self.router.release(slot, ANSWERED, self.now);
        }
    }

    fn push_and_pop(&mut self, n: usize) {
        self.push(self.teams[n % self.teams.len()]);
        if let Some(next) = self.queue.pop(self.now, |_| true) {
            self.queue.charge(next.team, 0.02, self.now);
        }
    }

    /// Checks the key and the limit of a request, queues and routes it, and records its end.
    fn route_request(&mut self, n: usize) {
        let index = n % self.teams.len();
        let verified = self.keys.verify(&self.presented_keys[index]).is_ok();
        black_box(verified);
        let Some(unit) = self.limits.try_acquire(self.teams[index]) else {
            return;
        };
        self.push_and_pop(n);
        self.pick_and_release();
        self.limits.release(unit);
        self.now += Duration::from_micros(50);
    }
}

fn router(c: &mut Criterion) {
    let mut group = c.benchmark_group("pick and release");
    for servers in SERVER_COUNTS {
        let mut entry_vm = EntryVm::new(servers, 6);
        group.bench_function(BenchmarkId::from_parameter(servers), |b| {
            b.iter(|| entry_vm.pick_and_release());
        });
    }
}

fn queue(c: &mut Criterion) {
    let mut group = c.benchmark_group("push and pop");
    for teams in TEAM_COUNTS {
        let mut entry_vm = EntryVm::new(50, teams);
        let mut n = 0;
        group.bench_function(BenchmarkId::from_parameter(teams), |b| {
            b.iter(|| {
                n += 1;
                entry_vm.push_and_pop(n);
            });
        });
    }
}

/// Pops from the queue while no team may start a request. The queue skips each team for a time and
/// then tries it again.
fn blocked_queue(c: &mut Criterion) {
    let mut group = c.benchmark_group("pop with all teams at their limits");
    for teams in TEAM_COUNTS {
        let mut entry_vm = EntryVm::new(50, teams);
        group.bench_function(BenchmarkId::from_parameter(teams), |b| {
            b.iter(|| {
                entry_vm.now += Duration::from_micros(50);
                black_box(entry_vm.queue.pop(entry_vm.now, |_| false).is_none());
            });
        });
    }
}

/// Pushes and cancels a request in a queue that holds other requests of all teams.
fn cancel(c: &mut Criterion) {
    let mut group = c.benchmark_group("push and cancel");
    for teams in TEAM_COUNTS {
        let mut entry_vm = EntryVm::new(50, teams);
        let team = entry_vm.teams[0];
        let now = entry_vm.now;
        group.bench_function(BenchmarkId::from_parameter(teams), |b| {
            b.iter(|| {
                let waiting = WaitingRequest {
                    team,
                    urgency: Urgency::Normal,
                    start_by: now + MAX_WAIT,
                    item: 0,
                };
                if let Ok(key) = entry_vm.queue.push(waiting, now) {
                    black_box(entry_vm.queue.cancel(key).is_some());
                }
            });
        });
    }
}

fn decision(c: &mut Criterion) {
    let mut group = c.benchmark_group("key, limit, queue and route");
    for (servers, teams) in [(50, 6), (325, 40), (2_600, 320)] {
        let mut entry_vm = EntryVm::new(servers, teams);
        let mut n = 0;
        group.bench_function(BenchmarkId::new(servers.to_string(), teams), |b| {
            b.iter(|| {
                n += 1;
                entry_vm.route_request(n);
            });
        });
    }
}

criterion_group!(benches, router, queue, blocked_queue, cancel, decision);
criterion_main!(benches);
