//! Placement of tasks and the whole life of a task, by the number of workers.

use std::hint::black_box;
use std::time::Duration;

use criterion::{BenchmarkId, Criterion, Throughput, criterion_group, criterion_main};
use slotmap::SlotMap;
use smol_str::{SmolStr, format_smolstr};
use snipevane_core::ids::{TaskKey, TeamKey, WorkerKey};
use snipevane_core::placement::{Class, Placer, PlacerSettings, Resources, Units, Waiting};
use snipevane_core::pools::UnixMs;
use snipevane_core::tasks::{Scheduler, SchedulerSettings, Submission, TaskAction, TaskId};
use snipevane_proto::manifest::Urgency;

/// Workers and teams of each size; the last one is the target.
const SIZES: [(usize, usize); 3] = [(50, 6), (650, 80), (2600, 320)];
const BATCH: usize = 2000;
const JOBS: [&str; 4] = ["roll-up", "renewal", "archive", "reconcile"];

struct Unlimited;

impl Units for Unlimited {
    fn take(&mut self, _: TeamKey) -> bool {
        true
    }

    fn give_back(&mut self, _: TeamKey) {}
}

fn size(index: usize) -> Resources {
    let cores = [1, 2, 1, 4][index % 4];
    Resources {
        cpu_millis: cores * 1000,
        memory_mib: cores * 2048,
        accelerators: 0,
    }
}

fn capacity() -> Resources {
    Resources {
        cpu_millis: 64_000,
        memory_mib: 256 * 1024,
        accelerators: 0,
    }
}

fn declared(waiting: &Waiting) -> Option<Resources> {
    Some(waiting.size)
}

fn teams(count: usize) -> Vec<TeamKey> {
    let mut keys = SlotMap::with_key();
    (0..count).map(|_| keys.insert(())).collect()
}

/// A full fleet with tasks that wait: a batch ends, and as many are placed.
fn place(c: &mut Criterion) {
    let mut group = c.benchmark_group("place");
    group.throughput(Throughput::Elements(BATCH as u64));
    for (workers, team_count) in SIZES {
        let teams = teams(team_count);
        let mut worker_keys: SlotMap<WorkerKey, ()> = SlotMap::with_key();
        let mut placer = Placer::new(PlacerSettings::default());
        for (index, &team) in teams.iter().enumerate() {
            placer.set_weight(team, 1 + u32::try_from(index % 9).unwrap_or_default());
        }
        for _ in 0..workers {
            placer.add_worker(worker_keys.insert(()), capacity());
        }
        let mut tasks: SlotMap<TaskKey, ()> = SlotMap::with_key();
        let mut running: std::collections::VecDeque<TaskKey> = std::collections::VecDeque::new();
        let mut now = 0;
        let mut index = 0;
        let mut push = |placer: &mut Placer, tasks: &mut SlotMap<TaskKey, ()>| {
            index += 1;
            placer.push(Waiting {
                task: tasks.insert(()),
                team: teams[index % teams.len()],
                class: Class::Normal,
                size: size(index),
                run_time: Duration::from_secs(60),
                deadline: None,
                since: UnixMs(0),
                avoid: [None; 2],
            });
        };
        for _ in 0..workers * 64 + 10 * BATCH {
            push(&mut placer, &mut tasks);
        }
        let placed = placer.place(UnixMs(0), usize::MAX, &mut Unlimited, declared);
        running.extend(placed.iter().map(|one| one.task));
        group.bench_function(BenchmarkId::from_parameter(workers), |b| {
            b.iter(|| {
                now += 100;
                for task in running.drain(..BATCH.min(running.len())) {
                    placer.end(task);
                    tasks.remove(task);
                }
                for _ in 0..BATCH {
                    push(&mut placer, &mut tasks);
                }
                let placed = placer.place(UnixMs(now), BATCH, &mut Unlimited, declared);
                running.extend(placed.iter().map(|one| one.task));
                black_box(placed.len())
            });
        });
    }
    group.finish();
}

/// Submission, claim, placement, usage report and end of each task.
fn whole_life(c: &mut Criterion) {
    let mut group = c.benchmark_group("whole_life");
    group.throughput(Throughput::Elements(BATCH as u64));
    for (workers, team_count) in SIZES {
        let teams = teams(team_count);
        let mut worker_keys: SlotMap<WorkerKey, ()> = SlotMap::with_key();
        let mut scheduler = Scheduler::new(SchedulerSettings {
            retention: Duration::from_secs(1),
            ..SchedulerSettings::default()
        });
        for _ in 0..workers {
            scheduler.add_worker(worker_keys.insert(()), capacity());
        }
        let mut index = 0;
        let mut now = 0;
        group.bench_function(BenchmarkId::from_parameter(workers), |b| {
            b.iter(|| {
                now += 100;
                for _ in 0..BATCH {
                    index += 1;
                    let submission = Submission {
                        id: TaskId(format_smolstr!("{index}")),
                        team: teams[index % teams.len()],
                        job: SmolStr::new_static(JOBS[index % JOBS.len()]),
                        size: size(index),
                        run_time: Duration::from_secs(60),
                        deadline: None,
                        urgency: Urgency::Normal,
                    };
                    let _ = black_box(scheduler.submit(submission, UnixMs(now)));
                }
                let claims = scheduler.claim(BATCH);
                scheduler.claims_written(&claims, true);
                for action in scheduler.round(UnixMs(now), &mut Unlimited) {
                    if let TaskAction::Start(start) = action {
                        let (task, epoch) = (start.task, start.epoch);
                        let _ = scheduler.usage(task, epoch, size(0));
                        let now = UnixMs(now + 50);
                        let _ = scheduler.finished(task, epoch, now, &mut Unlimited);
                    }
                }
            });
        });
    }
    group.finish();
}

criterion_group!(benches, place, whole_life);
criterion_main!(benches);
