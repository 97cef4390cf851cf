//! Concurrency limits: in any order of events, the units of a team in use in the whole fleet stay
//! within the team's limit.

use proptest::prelude::{Strategy, any, proptest};
use proptest::strategy::ValueTree;
use proptest::test_runner::TestRunner;
use slotmap::SlotMap;
use smol_str::SmolStr;
use snipevane_core::ids::TeamKey;
use snipevane_core::limits::{AllocationRollout, TeamLimiter, Unit, VersionAllocation};
use snipevane_core::shards::ShardName;
use snipevane_tests::requests::{seeded, shards};

const VMS: usize = 5;
const TEAMS: [&str; 3] = ["audit", "ledger", "renewals"];

/// Rule by which an entry VM determines its allowances.
#[derive(Clone, Copy, PartialEq)]
enum Rule {
    Rollout,
    /// Uses the allocation of the version in force at once, without coordination.
    AllocationInForce,
}

#[derive(Clone, Debug)]
enum Event {
    Accept,
    Apply { vm: usize, version: u64 },
    Learn { vm: usize, version: u64 },
    Take { vm: usize, team: usize },
    Release { vm: usize, unit: usize },
    Confirm { vm: usize },
    Send { from: usize, to: usize },
    Deliver { message: usize, keep: bool },
    Lose { message: usize },
    Crash { vm: usize },
    FormerRunEnds { vm: usize },
}

struct Vm {
    shard: ShardName,
    rollout: AllocationRollout,
    limits: TeamLimiter,
    keys: SlotMap<TeamKey, ()>,
    teams: Vec<Option<TeamKey>>,
    units: Vec<(usize, Unit)>,
    /// Teams of the units that work of earlier incarnations still uses.
    former: Vec<usize>,
    holds: bool,
    confirmed: u64,
}

/// Confirmations sent from one entry VM to another.
#[derive(Clone)]
struct Message {
    to: usize,
    confirmations: Vec<(ShardName, u64)>,
}

struct Fleet {
    rule: Rule,
    versions: Vec<VersionAllocation>,
    accepted: u64,
    vms: Vec<Vm>,
    messages: Vec<Message>,
}

impl Vm {
    fn new(shard: ShardName) -> Self {
        Self {
            shard,
            rollout: AllocationRollout::new(),
            limits: TeamLimiter::default(),
            keys: SlotMap::default(),
            teams: vec![None; TEAMS.len()],
            units: Vec::new(),
            former: Vec::new(),
            holds: false,
            confirmed: 0,
        }
    }

    /// Sets the allowances; the key of a team that the version lacks is removed, as in a site.
    fn refresh(&mut self, rule: Rule, allocation: &VersionAllocation) {
        for (index, name) in TEAMS.iter().enumerate() {
            if allocation.limit(name) == 0 {
                self.teams[index].take().map(|key| self.keys.remove(key));
            } else if self.teams[index].is_none() {
                let key = self.keys.insert(());
                self.limits.add_team(key, &SmolStr::new(name));
                self.teams[index] = Some(key);
            }
            let units = match rule {
                Rule::Rollout => self.rollout.allowance(name, &self.shard),
                Rule::AllocationInForce if self.holds => allocation.units(name, &self.shard),
                Rule::AllocationInForce => 0,
            };
            if let Some(key) = self.teams[index] {
                self.limits.set_allowance(key, units);
            }
        }
        let keys = &self.keys;
        self.limits.retain_teams(|team| keys.contains_key(team));
    }

    fn running(&self, team: usize) -> usize {
        let own = self.units.iter().filter(|(of, _)| *of == team).count();
        own + self.former.iter().filter(|of| **of == team).count()
    }
}

impl Fleet {
    fn new(rule: Rule, versions: Vec<VersionAllocation>) -> Self {
        let vms = shards(VMS as u16).into_iter().map(Vm::new).collect();
        let mut fleet = Self {
            rule,
            versions,
            accepted: 1,
            vms,
            messages: Vec::new(),
        };
        for vm in 0..VMS {
            fleet.apply(vm, 1);
            fleet.take_shard(vm);
        }
        fleet
    }

    fn apply(&mut self, vm: usize, version: u64) {
        if version <= self.accepted {
            let allocation = self.versions[version as usize - 1].clone();
            self.vms[vm].rollout.put_in_force(allocation);
            self.refresh(vm);
        }
    }

    fn take_shard(&mut self, vm: usize) {
        let vm_state = &mut self.vms[vm];
        if vm_state.former.is_empty() {
            vm_state.holds = true;
            vm_state.rollout.add_shard(vm_state.shard.clone());
            self.refresh(vm);
        }
    }

    fn refresh(&mut self, vm: usize) {
        let vm = &mut self.vms[vm];
        let in_force = vm.rollout.in_force() as usize;
        vm.refresh(self.rule, &self.versions[in_force - 1]);
    }

    fn confirm(&mut self, vm: usize) {
        let vm = &mut self.vms[vm];
        let version = vm.rollout.in_force();
        if vm.holds && vm.rollout.can_confirm(version, vm.limits.in_use_by_names()) {
            vm.confirmed = version;
            vm.rollout.confirm(&vm.shard, version);
        }
    }

    fn deliver(&mut self, message: Message) {
        for (shard, version) in &message.confirmations {
            self.vms[message.to].rollout.confirm(shard, *version);
        }
        self.refresh(message.to);
    }

    fn send(&mut self, from: usize, to: usize) {
        let known = self.vms[from].rollout.confirmations();
        let confirmations = known
            .map(|(shard, version)| (shard.clone(), version))
            .collect();
        self.messages.push(Message { to, confirmations });
    }

    fn crash(&mut self, vm: usize) {
        let confirmed = self.vms[vm].confirmed;
        let mut next = Vm::new(self.vms[vm].shard.clone());
        next.confirmed = confirmed;
        next.former = std::mem::take(&mut self.vms[vm].former);
        next.former
            .extend(self.vms[vm].units.drain(..).map(|(team, _)| team));
        self.vms[vm] = next;
        // The transaction that takes a shard checks that the version is the accepted one.
        self.apply(vm, self.accepted);
        self.take_shard(vm);
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Accept => self.accepted = (self.accepted + 1).min(self.versions.len() as u64),
            Event::Apply { vm, version } => self.apply(vm, version),
            Event::Learn { vm, version } if version <= self.accepted => {
                let allocation = self.versions[version as usize - 1].clone();
                self.vms[vm].rollout.record_version(allocation);
                self.refresh(vm);
            }
            Event::Take { vm, team } => {
                let vm = &mut self.vms[vm];
                let unit = vm.teams[team].and_then(|key| vm.limits.try_acquire(key));
                vm.units.extend(unit.map(|unit| (team, unit)));
            }
            Event::Release { vm, unit } if !self.vms[vm].units.is_empty() => {
                let vm = &mut self.vms[vm];
                let (_, unit) = vm.units.swap_remove(unit % vm.units.len());
                vm.limits.release(unit);
            }
            Event::Confirm { vm } => self.confirm(vm),
            Event::Send { from, to } => self.send(from, to),
            Event::Deliver { message, keep } if !self.messages.is_empty() => {
                let index = message % self.messages.len();
                let message = self.messages[index].clone();
                if !keep {
                    self.messages.swap_remove(index);
                }
                self.deliver(message);
            }
            Event::Lose { message } if !self.messages.is_empty() => {
                self.messages.swap_remove(message % self.messages.len());
            }
            Event::Crash { vm } => self.crash(vm),
            Event::FormerRunEnds { vm } => {
                self.vms[vm].former.pop();
                if !self.vms[vm].holds {
                    self.take_shard(vm);
                }
            }
            _ => {}
        }
    }

    /// Returns a description of a team that runs more than its largest limit since the last
    /// settled version, if there is one.
    fn exceeded_limit(&self) -> Option<String> {
        let settled = self
            .vms
            .iter()
            .map(|vm| vm.confirmed)
            .min()
            .unwrap_or(0)
            .max(1);
        TEAMS.iter().enumerate().find_map(|(team, name)| {
            let running: usize = self.vms.iter().map(|vm| vm.running(team)).sum();
            let versions = &self.versions[settled as usize - 1..self.accepted as usize];
            let limit = versions
                .iter()
                .map(|allocation| allocation.limit(name))
                .max()
                .unwrap_or(0);
            (running > limit as usize).then(|| format!("{name}: {running} of {limit}"))
        })
    }

    /// Ends all running work, applies the last version everywhere, and delivers all messages.
    fn settle(&mut self) {
        self.accepted = self.versions.len() as u64;
        for vm in 0..VMS {
            while !self.vms[vm].former.is_empty() {
                self.step(Event::FormerRunEnds { vm });
            }
            while !self.vms[vm].units.is_empty() {
                self.step(Event::Release { vm, unit: 0 });
            }
            self.apply(vm, self.accepted);
            self.confirm(vm);
        }
        for (from, to) in (0..VMS).flat_map(|from| (0..VMS).map(move |to| (from, to))) {
            self.send(from, to);
        }
        while let Some(message) = self.messages.pop() {
            self.deliver(message);
        }
    }
}

fn event() -> impl Strategy<Value = Event> {
    (0..20_u8, 0..VMS, 0..VMS, any::<u8>(), 1..=6_u64).prop_map(|(kind, vm, to, n, version)| {
        let n = usize::from(n);
        match kind {
            0 => Event::Accept,
            1..=3 => Event::Apply { vm, version },
            4 => Event::Learn { vm, version },
            5..=9 => Event::Take {
                vm,
                team: n % TEAMS.len(),
            },
            10 | 11 => Event::Release { vm, unit: n },
            12 | 13 => Event::Confirm { vm },
            14 | 15 => Event::Send { from: vm, to },
            16 | 17 => Event::Deliver {
                message: n,
                keep: version % 2 == 0,
            },
            18 if n < 128 => Event::Lose { message: n },
            18 => Event::Crash { vm },
            _ => Event::FormerRunEnds { vm },
        }
    })
}

/// Generates versions with any non-empty subset of the shards, and team limits from 0 to 12.
///
/// A limit of 0 means that the team doesn't exist. Half of the versions keep the first limits, so
/// that only the shards change.
fn versions() -> impl Strategy<Value = Vec<VersionAllocation>> {
    let limits = || proptest::collection::vec(0..=12_u32, TEAMS.len());
    let version = (1..32_u8, proptest::option::of(limits()));
    let versions = proptest::collection::vec(version, 6);
    (limits(), versions).prop_map(|(first, versions)| {
        let mut former = Vec::new();
        (1..)
            .zip(versions)
            .map(|(version, (members, limits))| {
                let all = shards(VMS as u16).into_iter().enumerate();
                let members = all.filter(|(index, _)| members >> index & 1 == 1);
                let members: Vec<ShardName> = members.map(|(_, shard)| shard).collect();
                let earlier = former.clone();
                former.extend(members.clone());
                let teams = TEAMS
                    .iter()
                    .map(SmolStr::new)
                    .zip(limits.unwrap_or(first.clone()));
                let teams = teams.filter(|(_, limit)| *limit > 0);
                VersionAllocation::new(version, members, earlier, teams)
            })
            .collect()
    })
}

fn run(
    rule: Rule,
    versions: Vec<VersionAllocation>,
    events: Vec<Event>,
) -> (Fleet, Option<String>) {
    let mut fleet = Fleet::new(rule, versions);
    for event in events {
        fleet.step(event);
        let exceeded = fleet.exceeded_limit();
        if exceeded.is_some() {
            return (fleet, exceeded);
        }
    }
    (fleet, None)
}

proptest! {
    #![proptest_config(seeded(2000))]

    #[test]
    fn no_order_of_events_exceeds_a_limit(
        versions in versions(),
        events in proptest::collection::vec(event(), 0..250),
    ) {
        let (mut fleet, exceeded) = run(Rule::Rollout, versions, events);
        assert_eq!(exceeded, None);
        fleet.settle();
        // Once the last version is settled, the fleet grants as many units as one central counter.
        let allocation = fleet.versions.last().unwrap().clone();
        for (team, name) in TEAMS.iter().enumerate() {
            for vm in 0..VMS {
                (0..20).for_each(|_| fleet.step(Event::Take { vm, team }));
            }
            let running: usize = fleet.vms.iter().map(|vm| vm.running(team)).sum();
            assert_eq!(running, allocation.limit(name) as usize);
        }
    }
}

/// Verifies that the test above detects an exceeded limit.
#[test]
fn a_limit_is_exceeded_without_the_rollout_rule() {
    let mut runner = TestRunner::new(seeded(1));
    let strategy = (versions(), proptest::collection::vec(event(), 250));
    let exceeded = (0..200)
        .filter(|_| {
            let (versions, events) = strategy.new_tree(&mut runner).unwrap().current();
            run(Rule::AllocationInForce, versions, events).1.is_some()
        })
        .count();
    assert!(exceeded > 0);
}

/// Creates a version with some of the shards `z0/0`, `z1/0`, ... and one team.
fn version(version: u64, members: &[usize], former: &[usize], limit: u32) -> VersionAllocation {
    let all = shards(VMS as u16);
    let pick = |members: &[usize]| members.iter().map(|&index| all[index].clone()).collect();
    let limits = [(SmolStr::new("ledger"), limit)];
    VersionAllocation::new(version, pick(members), pick(former), limits)
}

#[test]
fn a_shard_that_a_skipped_version_removed_counts_until_it_confirms() {
    let all = shards(VMS as u16);
    let mut rollout = AllocationRollout::new();
    rollout.put_in_force(version(2, &[1], &[0], 2));
    rollout.add_shard(all[1].clone());
    rollout.confirm(&all[1], 2);
    assert_eq!(rollout.allowance("ledger", &all[1]), 0);
    assert_eq!(rollout.missing_versions(), [1]);
    rollout.confirm(&all[0], 2);
    assert_eq!(rollout.allowance("ledger", &all[1]), 2);
}

#[test]
fn nothing_is_raised_while_another_shard_is_ahead() {
    let all = shards(VMS as u16);
    let mut rollout = AllocationRollout::new();
    rollout.put_in_force(version(1, &[0, 1], &[], 2));
    rollout.add_shard(all[0].clone());
    rollout.confirm_all([(&all[0], 1), (&all[1], 1)]);
    assert_eq!(rollout.allowance("ledger", &all[0]), 1);
    // The other shard still uses one unit, which version 3 allocates to it.
    rollout.confirm(&all[1], 3);
    rollout.put_in_force(version(2, &[0], &[1], 2));
    rollout.confirm(&all[0], 2);
    assert_eq!(rollout.allowance("ledger", &all[0]), 1);
}

#[test]
fn units_of_a_removed_team_count_when_the_team_is_added_again() {
    let mut keys: SlotMap<TeamKey, ()> = SlotMap::default();
    let mut limits = TeamLimiter::default();
    let (name, first) = (SmolStr::new("ledger"), keys.insert(()));
    limits.add_team(first, &name);
    limits.set_allowance(first, 1);
    let unit = limits.try_acquire(first).unwrap();
    keys.remove(first);
    limits.retain_teams(|team| keys.contains_key(team));
    assert_eq!(limits.in_use_by_name("ledger"), 1);

    let second = keys.insert(());
    limits.add_team(second, &name);
    limits.set_allowance(second, 1);
    assert_eq!(limits.try_acquire(second), None);
    limits.release(unit);
    assert!(limits.try_acquire(second).is_some());
}

#[test]
fn a_lowered_allowance_grants_nothing_until_enough_is_given_back() {
    let mut keys: SlotMap<TeamKey, ()> = SlotMap::default();
    let (mut limits, team) = (TeamLimiter::default(), keys.insert(()));
    limits.set_allowance(team, 3);
    let mut units: Vec<Unit> = (0..4).filter_map(|_| limits.try_acquire(team)).collect();
    assert_eq!(units.len(), 3);
    limits.set_allowance(team, 1);
    for in_use in [2, 1] {
        assert_eq!((limits.try_acquire(team), limits.free(team)), (None, 0));
        limits.release(units.pop().unwrap());
        assert_eq!(limits.in_use(team), in_use);
    }
    limits.release(units.pop().unwrap());
    assert!(limits.try_acquire(team).is_some());
}

/// Guards against unbounded memory, and against limits exceeded after a merge, while a shard
/// confirms no version.
#[test]
fn many_unconfirmed_versions_are_merged() {
    let all = shards(VMS as u16);
    let mut rollout = AllocationRollout::new();
    rollout.put_in_force(version(1, &[0, 1], &[], 4));
    rollout.add_shard(all[0].clone());
    for number in 2..200 {
        let members: &[usize] = if number % 2 == 0 { &[0] } else { &[0, 1] };
        rollout.put_in_force(version(number, members, &[0, 1], 4));
        rollout.confirm(&all[0], number);
        assert_eq!(rollout.allowance("ledger", &all[0]), 2);
    }
    assert_eq!(rollout.missing_versions(), [0; 0]);
    rollout.put_in_force(version(200, &[0], &[1], 4));
    rollout.confirm(&all[1], 200);
    assert_eq!(rollout.allowance("ledger", &all[0]), 4);
}
