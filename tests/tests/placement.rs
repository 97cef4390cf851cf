//! Waiting tasks are placed by shares, urgent ones first, deferred ones by their latest start.

use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use slotmap::SlotMap;
use snipevane_core::ids::{TaskKey, TeamKey, WorkerKey};
use snipevane_core::placement::{Class, Placed, Placer, PlacerSettings, Resources, Units, Waiting};
use snipevane_core::pools::UnixMs;

const SECOND_MS: u64 = 1000;
const HOUR_MS: u64 = 3600 * SECOND_MS;

/// Units without a limit.
struct Unlimited;

impl Units for Unlimited {
    fn take(&mut self, _: TeamKey) -> bool {
        true
    }

    fn give_back(&mut self, _: TeamKey) {}
}

fn cores(cores: u64) -> Resources {
    Resources {
        cpu_millis: cores * 1000,
        memory_mib: cores * 100,
        accelerators: 0,
    }
}

/// Lets each task wait on with the size that it was given.
fn declared(waiting: &Waiting) -> Option<Resources> {
    Some(waiting.size)
}

/// A placer with keys for what it places.
struct Site {
    placer: Placer,
    teams: Vec<TeamKey>,
    workers: Vec<WorkerKey>,
    tasks: SlotMap<TaskKey, TeamKey>,
}

impl Site {
    fn new(weights: &[u32], workers: &[Resources]) -> Self {
        let mut team_keys = SlotMap::with_key();
        let mut worker_keys = SlotMap::with_key();
        let mut placer = Placer::new(PlacerSettings::default());
        let mut teams = Vec::new();
        for &weight in weights {
            let team = team_keys.insert(());
            placer.set_weight(team, weight);
            teams.push(team);
        }
        let mut keys = Vec::new();
        for &capacity in workers {
            let worker = worker_keys.insert(());
            placer.add_worker(worker, capacity);
            keys.push(worker);
        }
        Self {
            placer,
            teams,
            workers: keys,
            tasks: SlotMap::with_key(),
        }
    }

    fn waiting(&mut self, team: usize, class: Class, size: Resources) -> Waiting {
        let team = self.teams[team];
        Waiting {
            task: self.tasks.insert(team),
            team,
            class,
            size,
            run_time: Duration::from_secs(60),
            deadline: None,
            since: UnixMs(0),
            avoid: [None; 2],
        }
    }

    fn push(&mut self, team: usize, class: Class, size: Resources) -> TaskKey {
        let waiting = self.waiting(team, class, size);
        self.placer.push(waiting);
        waiting.task
    }

    fn place(&mut self, at: u64) -> Vec<Placed> {
        self.placer
            .place(UnixMs(at), usize::MAX, &mut Unlimited, declared)
    }

    fn tasks_of(&self, team: usize) -> Vec<TaskKey> {
        let running = self.tasks.iter().filter(|&(task, &owner)| {
            owner == self.teams[team] && self.placer.worker_of(task).is_some()
        });
        running.map(|(task, _)| task).collect()
    }
}

#[derive(Clone, Debug)]
struct Ask {
    weight: u32,
    size: Resources,
    tasks: usize,
}

fn ask() -> impl Strategy<Value = Ask> {
    (1..10_u32, 1..9_u64, 1..9_u64, 0..3_u64, 0..40_usize).prop_map(
        |(weight, cpu, memory, accelerators, tasks)| Ask {
            weight,
            size: Resources {
                cpu_millis: cpu * 500,
                memory_mib: memory * 700,
                accelerators,
            },
            tasks,
        },
    )
}

/// Gives the next task to the team with the least dominant part for its weight, by a scan of all.
fn naive_max_min(asks: &[Ask], capacity: &Resources) -> Vec<usize> {
    let mut given = vec![0; asks.len()];
    let mut used = vec![Resources::default(); asks.len()];
    let mut free = *capacity;
    loop {
        let mut next: Option<(f64, usize)> = None;
        for (index, ask) in asks.iter().enumerate() {
            if given[index] == ask.tasks || !ask.size.fits_in(&free) {
                continue;
            }
            let part = used[index].dominant_part(capacity) / f64::from(ask.weight);
            if next.is_none_or(|(least, _)| part < least) {
                next = Some((part, index));
            }
        }
        let Some((_, index)) = next else {
            return given;
        };
        given[index] += 1;
        used[index] = used[index].plus(&asks[index].size);
        free = free.minus(&asks[index].size);
    }
}

#[derive(Clone, Debug)]
enum Change {
    Place { cpu: u64, memory: u64 },
    End { nth: usize },
    Open { worker: usize, open: bool },
}

fn change() -> impl Strategy<Value = Change> {
    prop_oneof![
        3 => (1..6_u64, 1..9_u64).prop_map(|(cpu, memory)| Change::Place { cpu, memory }),
        2 => (0..60_usize).prop_map(|nth| Change::End { nth }),
        1 => (0..13_usize, any::<bool>()).prop_map(|(worker, open)| Change::Open { worker, open }),
    ]
}

proptest! {
    #![proptest_config(Config {
        cases: 300,
        rng_seed: RngSeed::Fixed(6),
        failure_persistence: None,
        ..Config::default()
    })]

    /// Compares the tasks of each team with a naive max-min solver.
    #[test]
    fn shares_agree_with_a_naive_max_min_solver(
        asks in proptest::collection::vec(ask(), 1..9),
        cpu in 4..60_u64,
        memory in 4..60_u64,
        accelerators in 0..20_u64,
    ) {
        let capacity = Resources {
            cpu_millis: cpu * 1000,
            memory_mib: memory * 1024,
            accelerators,
        };
        let weights: Vec<u32> = asks.iter().map(|ask| ask.weight).collect();
        let mut site = Site::new(&weights, &[capacity]);
        for (team, ask) in asks.iter().enumerate() {
            for _ in 0..ask.tasks {
                site.push(team, Class::Normal, ask.size);
            }
        }
        site.place(0);
        let given: Vec<usize> = (0..asks.len()).map(|team| site.tasks_of(team).len()).collect();
        prop_assert_eq!(given, naive_max_min(&asks, &capacity));
    }

    /// Compares the worker that is found with a naive scan for the first one that fits.
    #[test]
    fn the_index_finds_what_a_scan_finds(
        changes in proptest::collection::vec(change(), 1..120),
    ) {
        let capacity = Resources { cpu_millis: 8, memory_mib: 12, accelerators: 0 };
        let mut site = Site::new(&[1], &[capacity; 13]);
        let mut naive = vec![(capacity, true); 13];
        let mut running: Vec<(TaskKey, usize, Resources)> = Vec::new();
        for change in changes {
            match change {
                Change::Place { cpu, memory } => {
                    let size = Resources { cpu_millis: cpu, memory_mib: memory, accelerators: 0 };
                    let fit = naive.iter().position(|(free, open)| *open && size.fits_in(free));
                    let task = site.push(0, Class::Normal, size);
                    // What doesn't fit now doesn't wait on.
                    let only = |other: &Waiting| (other.task == task).then_some(size);
                    let placed = site.placer.place(UnixMs(0), 1, &mut Unlimited, only);
                    let found = placed.first().map(|one| one.worker);
                    prop_assert_eq!(found, fit.map(|worker| site.workers[worker]));
                    if let Some(worker) = fit {
                        naive[worker].0 = naive[worker].0.minus(&size);
                        running.push((task, worker, size));
                    }
                }
                Change::End { nth } if nth < running.len() => {
                    let (task, worker, size) = running.swap_remove(nth);
                    prop_assert!(site.placer.end(task));
                    naive[worker].0 = naive[worker].0.plus(&size);
                }
                Change::End { .. } => {}
                Change::Open { worker, open } => {
                    site.placer.set_open(site.workers[worker], open);
                    naive[worker].1 = open;
                }
            }
        }
    }
}

#[test]
fn a_full_fleet_comes_to_the_weighted_shares_as_tasks_end() {
    let mut site = Site::new(&[1, 3], &[cores(20); 4]);
    for _ in 0..400 {
        site.push(0, Class::Normal, cores(1));
    }
    site.place(0);
    for _ in 0..400 {
        site.push(1, Class::Normal, cores(1));
    }
    for second in 1..60 {
        let first = site.tasks_of(0);
        let second_team = site.tasks_of(1);
        for task in first.iter().take(4).chain(second_team.iter().take(4)) {
            site.placer.end(*task);
        }
        site.place(second * SECOND_MS);
    }
    assert_eq!(site.tasks_of(0).len() + site.tasks_of(1).len(), 80);
    let part = site.placer.dominant_part(site.teams[1]);
    assert!((part - 0.75).abs() <= 0.02, "{part}");
}

#[test]
fn a_team_that_used_the_fleet_alone_gives_way_for_a_while() {
    let mut site = Site::new(&[1, 1], &[cores(80)]);
    let old: Vec<TaskKey> = (0..80)
        .map(|_| site.push(0, Class::Normal, cores(1)))
        .collect();
    site.place(0);
    site.place(120 * SECOND_MS);
    old.iter().for_each(|&task| assert!(site.placer.end(task)));
    for team in [0, 1].repeat(80) {
        site.push(team, Class::Normal, cores(1));
    }
    site.place(121 * SECOND_MS);
    let newcomer = site.tasks_of(1).len();
    assert!(newcomer > 60, "{newcomer} of 80");
}

#[test]
fn urgent_work_is_taken_first_whatever_the_shares() {
    let mut site = Site::new(&[1, 100], &[cores(10)]);
    for _ in 0..20 {
        site.push(1, Class::Normal, cores(1));
    }
    for _ in 0..8 {
        site.push(0, Class::Urgent, cores(1));
    }
    site.place(0);
    assert_eq!((site.tasks_of(0).len(), site.tasks_of(1).len()), (8, 2));
}

#[test]
fn deferred_work_waits_by_day_and_starts_in_time() {
    let mut site = Site::new(&[1, 1], &[cores(10)]);
    let office_opens = 24 * HOUR_MS;
    // An hour of the whole fleet, two at the half that deferred work may count on.
    for _ in 0..600 {
        let mut waiting = site.waiting(0, Class::Deferred, cores(1));
        waiting.deadline = Some(UnixMs(office_opens));
        site.placer.push(waiting);
    }
    for _ in 0..40 {
        site.push(1, Class::Normal, cores(1));
    }
    site.place(12 * HOUR_MS);
    assert_eq!((site.tasks_of(0).len(), site.tasks_of(1).len()), (0, 10));
    for task in site.tasks_of(1) {
        site.placer.end(task);
    }
    site.place(office_opens - 2 * HOUR_MS - 10 * 60 * SECOND_MS);
    assert_eq!(site.tasks_of(0).len(), 0, "still early enough");
    for task in site.tasks_of(1) {
        site.placer.end(task);
    }
    site.place(office_opens - 2 * HOUR_MS);
    assert_eq!(
        site.tasks_of(0).len(),
        10,
        "before the normal work that waits"
    );
}

#[test]
fn deferred_work_leaves_room_for_urgent_work() {
    let mut site = Site::new(&[1], &[cores(100)]);
    for _ in 0..200 {
        site.push(0, Class::Deferred, cores(1));
    }
    site.place(0);
    assert_eq!(site.tasks_of(0).len(), 90);
}

#[test]
fn urgent_work_that_fits_nowhere_makes_deferred_tasks_give_way() {
    let mut site = Site::new(&[1, 1], &[cores(4); 2]);
    for _ in 0..4 {
        site.push(0, Class::Normal, cores(1));
    }
    site.place(0);
    for _ in 0..3 {
        site.push(0, Class::Deferred, cores(1));
    }
    site.place(0);
    site.push(0, Class::Normal, cores(1));
    site.place(0);
    site.push(1, Class::Urgent, cores(2));
    site.place(SECOND_MS / 2);
    assert_eq!(site.placer.give_way(UnixMs(SECOND_MS / 2), declared), []);
    let victims = site.placer.give_way(UnixMs(SECOND_MS), declared);
    let on_second = victims
        .iter()
        .all(|&task| site.placer.worker_of(task) == Some(site.workers[1]));
    assert!(victims.len() == 2 && on_second, "{victims:?}");
    assert_eq!(
        site.placer.give_way(UnixMs(3 * SECOND_MS), declared),
        [],
        "asked once"
    );
    victims
        .iter()
        .for_each(|&task| assert!(site.placer.end(task)));
    site.place(3 * SECOND_MS);
    assert_eq!(site.tasks_of(1).len(), 1);
}

#[test]
fn room_is_made_again_if_another_urgent_task_took_it() {
    let mut site = Site::new(&[1, 1], &[cores(4)]);
    for _ in 0..4 {
        site.push(0, Class::Normal, cores(1));
    }
    site.place(0);
    site.push(0, Class::Urgent, cores(1));
    let victims = site.placer.give_way(UnixMs(2 * SECOND_MS), declared);
    assert_eq!(victims.len(), 1);
    // A team that uses nothing comes first.
    site.push(1, Class::Urgent, cores(1));
    assert!(site.placer.end(victims[0]));
    site.place(2 * SECOND_MS);
    assert_eq!(site.tasks_of(1).len(), 1);
    let again = site.placer.give_way(UnixMs(4 * SECOND_MS), declared);
    assert!(again.len() == 1 && again != victims);
}

#[test]
fn a_large_task_is_not_starved_by_small_ones() {
    let mut site = Site::new(&[1, 1], &[cores(8); 2]);
    for _ in 0..400 {
        site.push(0, Class::Normal, cores(1));
    }
    site.place(0);
    let large = site.push(1, Class::Normal, cores(8));
    for second in 1..120 {
        // One small task ends on each worker, never all of a worker's at once.
        for worker in site.workers.clone() {
            let tasks = &site.placer.workers().get(worker).unwrap().tasks;
            if let Some(&task) = tasks.first() {
                site.placer.end(task);
            }
        }
        site.place(second * SECOND_MS);
        if site.placer.worker_of(large).is_some() {
            return;
        }
    }
    panic!("the large task never started");
}
