//! Simulation of the demand under one strategy.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use slotmap::SlotMap;
use snipevane_core::ids::TeamKey;
use snipevane_core::limits::{TeamLimiter, Unit};
use snipevane_core::shards::{ShardName, ShardSet};

use super::hints::Hints;
use super::site::{Arrival, Size};
use super::strategy::{ForwardContext, Strategy};
use crate::event_queue::EventQueue;

/// Time between two publications of an entry VM's free units, in milliseconds.
const PUBLISH_PERIOD_MS: f64 = 300.0;
/// Minimum and maximum network delay between two entry VMs, in milliseconds.
const MESSAGE_DELAY_MS: (f64, f64) = (0.25, 0.75);

/// Counts of one simulation.
#[derive(Clone, Debug, Default, Serialize)]
pub(super) struct Counts {
    /// Requests that arrived while their team was below its limit.
    pub(super) eligible: u64,
    /// Eligible requests that were refused.
    pub(super) refused: u64,
    /// Eligible requests that ran at the first peer asked.
    pub(super) one_hop: u64,
    /// Eligible requests that ran at the second peer asked or a later one.
    pub(super) later_hop: u64,
    /// Number of requests that ran, eligible or not.
    pub(super) ran: u64,
    /// Maximum number of units by which a team exceeded its limit.
    pub(super) above_limit: u32,
}

/// A forwarded request, with the peers that were asked for a unit.
struct Forward {
    arrival: Arrival,
    eligible: bool,
    asked_peers: Vec<usize>,
}

enum Event {
    Arrive(Arrival),
    /// A forwarded request arrives at the peer that was asked last.
    Forwarded(Forward),
    /// The response that the peer asked last has no free unit arrives.
    Declined(Forward),
    End {
        vm: usize,
        team: usize,
        unit: Unit,
    },
    Publish(usize),
}

/// Simulated time, in milliseconds.
#[derive(Clone, Copy)]
struct TimeMs(f64);

impl PartialEq for TimeMs {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for TimeMs {}

impl PartialOrd for TimeMs {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for TimeMs {
    fn cmp(&self, other: &Self) -> Ordering {
        self.0.total_cmp(&other.0)
    }
}

/// Simulation of the demand under one strategy.
pub(super) struct Simulation {
    strategy: Strategy,
    rng: ChaCha8Rng,
    teams: Vec<TeamKey>,
    limits: Vec<u32>,
    /// Entry VMs that have allocated units, with their number of units, by team.
    holders: Vec<Vec<(usize, u32)>>,
    zones: usize,
    vms: Vec<TeamLimiter>,
    in_use: Vec<u32>,
    hints: Hints,
    events: EventQueue<TimeMs, Event>,
    now_ms: f64,
    counts: Counts,
}

impl Simulation {
    pub(super) fn new(size: Size, strategy: Strategy, seed: u64) -> Self {
        let limits = size.limits();
        let mut keys: SlotMap<TeamKey, ()> = SlotMap::default();
        let teams: Vec<TeamKey> = limits.iter().map(|_| keys.insert(())).collect();
        let shards = ShardSet::new(
            (0..size.entry_vms())
                .map(|vm| shard_name(vm, size.zones()))
                .collect(),
        );
        let allocated: Vec<Vec<u32>> = limits
            .iter()
            .enumerate()
            .map(|(team, &limit)| {
                strategy
                    .allocation
                    .allocate(&shards, limit, &format!("team-{team}"))
            })
            .collect();
        let mut vms: Vec<TeamLimiter> = (0..size.entry_vms())
            .map(|_| TeamLimiter::default())
            .collect();
        for (vm, units) in vms.iter_mut().enumerate() {
            for (&team, allocated) in teams.iter().zip(&allocated) {
                units.set_allowance(team, allocated[vm]);
            }
        }
        let holders = allocated.into_iter().map(holders).collect();
        let hints = Hints::new(vms.len(), teams.len());
        Self {
            strategy,
            rng: ChaCha8Rng::seed_from_u64(seed),
            in_use: vec![0; teams.len()],
            teams,
            limits,
            holders,
            zones: size.zones(),
            vms,
            hints,
            events: EventQueue::default(),
            now_ms: 0.0,
            counts: Counts::default(),
        }
    }

    /// Simulates the arrivals until the last request ends, and returns the counts.
    pub(super) fn run(mut self, arrivals: &[Arrival]) -> Counts {
        for vm in 0..self.vms.len() {
            let phase_ms = PUBLISH_PERIOD_MS * vm as f64 / self.vms.len() as f64;
            self.push(phase_ms, Event::Publish(vm));
        }
        let end_ms = arrivals.last().map_or(0.0, |arrival| arrival.at_ms);
        let mut arrivals = arrivals.iter();
        if let Some(&first) = arrivals.next() {
            self.push(first.at_ms, Event::Arrive(first));
        }
        while let Some((TimeMs(now_ms), event)) = self.events.pop() {
            self.now_ms = now_ms;
            match event {
                Event::Arrive(arrival) => {
                    if let Some(&next) = arrivals.next() {
                        self.push(next.at_ms, Event::Arrive(next));
                    }
                    self.on_arrival(arrival);
                }
                Event::Forwarded(forward) => self.on_forwarded(forward),
                Event::Declined(forward) => self.on_declined(forward),
                Event::End { vm, team, unit } => {
                    self.vms[vm].release(unit);
                    self.in_use[team] -= 1;
                }
                Event::Publish(vm) => {
                    self.hints.publish(vm, &self.vms[vm], &self.teams);
                    if self.now_ms < end_ms {
                        self.push(self.now_ms + PUBLISH_PERIOD_MS, Event::Publish(vm));
                    }
                }
            }
        }
        self.counts
    }

    fn on_arrival(&mut self, arrival: Arrival) {
        let eligible = self.in_use[arrival.team] < self.limits[arrival.team];
        self.counts.eligible += u64::from(eligible);
        if !self.start(arrival, arrival.vm) {
            self.forward(Forward {
                arrival,
                eligible,
                asked_peers: Vec::new(),
            });
        }
    }

    fn on_forwarded(&mut self, forward: Forward) {
        let peer = forward.asked_peers.last().copied();
        if !peer.is_some_and(|peer| self.start(forward.arrival, peer)) {
            let at_ms = self.now_ms + self.draw_message_delay_ms();
            self.push(at_ms, Event::Declined(forward));
            return;
        }
        if forward.eligible && forward.asked_peers.len() == 1 {
            self.counts.one_hop += 1;
        } else if forward.eligible {
            self.counts.later_hop += 1;
        }
    }

    fn on_declined(&mut self, forward: Forward) {
        if self.strategy.corrects_hints()
            && let Some(&peer) = forward.asked_peers.last()
        {
            let arrival = &forward.arrival;
            self.hints
                .record_taken(arrival.vm, peer, arrival.team, u32::MAX);
        }
        self.forward(forward);
    }

    /// Forwards a request to the next peer, or refuses it after the last attempt.
    fn forward(&mut self, mut forward: Forward) {
        let Arrival { team, vm, .. } = forward.arrival;
        let cx = ForwardContext {
            vm,
            team,
            zones: self.zones,
            asked_peers: &forward.asked_peers,
        };
        let holders = &self.holders[team];
        let peer = self
            .strategy
            .choose(&self.hints, holders, &cx, &mut self.rng);
        let Some(peer) = peer else {
            self.counts.refused += u64::from(forward.eligible);
            return;
        };
        if self.strategy.corrects_hints() {
            self.hints.record_taken(vm, peer, team, 1);
        }
        forward.asked_peers.push(peer);
        let at_ms = self.now_ms + self.draw_message_delay_ms();
        self.push(at_ms, Event::Forwarded(forward));
    }

    /// Starts a request if the entry VM has a free unit, and returns whether it did.
    fn start(&mut self, arrival: Arrival, vm: usize) -> bool {
        let team = arrival.team;
        let Some(unit) = self.vms[vm].try_acquire(self.teams[team]) else {
            return false;
        };
        self.in_use[team] += 1;
        let above = self.in_use[team].saturating_sub(self.limits[team]);
        self.counts.above_limit = self.counts.above_limit.max(above);
        self.counts.ran += 1;
        self.push(
            self.now_ms + arrival.run_time_ms,
            Event::End { vm, team, unit },
        );
        true
    }

    fn draw_message_delay_ms(&mut self) -> f64 {
        self.rng
            .random_range(MESSAGE_DELAY_MS.0..MESSAGE_DELAY_MS.1)
    }

    fn push(&mut self, at_ms: f64, event: Event) {
        self.events.push(TimeMs(at_ms), event);
    }
}

/// Returns the number of requests that would run if one counter enforced each limit for all entry
/// VMs.
pub(super) fn count_with_one_counter(size: Size, arrivals: &[Arrival]) -> u64 {
    let limits = size.limits();
    let mut ends: Vec<BinaryHeap<std::cmp::Reverse<u64>>> = vec![BinaryHeap::new(); limits.len()];
    let mut ran = 0;
    for arrival in arrivals {
        let ends = &mut ends[arrival.team];
        let micros = |ms: f64| (ms * 1000.0) as u64;
        while ends
            .peek()
            .is_some_and(|end| end.0 <= micros(arrival.at_ms))
        {
            ends.pop();
        }
        if ends.len() < limits[arrival.team] as usize {
            ends.push(std::cmp::Reverse(micros(
                arrival.at_ms + arrival.run_time_ms,
            )));
            ran += 1;
        }
    }
    ran
}

fn holders(allocated: Vec<u32>) -> Vec<(usize, u32)> {
    let holders = allocated.into_iter().enumerate();
    holders.filter(|(_, units)| *units > 0).collect()
}

fn shard_name(vm: usize, zones: usize) -> ShardName {
    ShardName {
        zone: format!("z{}", vm % zones).into(),
        index: (vm / zones) as u16,
    }
}
