//! Scheduling rounds of the job scheduler, by the number of waiting tasks.

use std::rc::Rc;
use std::time::Duration;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use smol_str::{SmolStr, format_smolstr};
use snipevane_core::jobs::{
    Action, HoldReply, JobId, JobSpec, MinionEntry, OrderReply, Pool, Queue, RunList, Scheduler,
    SchedulerSettings, Site, SiteSpec, StepSpec, Team, UnreportedRuns,
};
use snipevane_core::placement::Resources;

/// Numbers of minions and of waiting tasks. A round of the third size must take at most 5 ms.
const SIZES: [(usize, u32); 4] = [(350, 5_000), (350, 10_000), (350, 20_000), (700, 40_000)];

const POOLS: usize = 5;
const TEAMS: usize = 20;
const TASKS_PER_STEP: u32 = 6;
const NOW: Duration = Duration::from_secs(1_000);
const UNIX_MS: u64 = 1_700_000_000_000;

fn pool(number: usize) -> SmolStr {
    format_smolstr!("pool-{}", number % POOLS)
}

fn team(number: usize) -> SmolStr {
    format_smolstr!("team-{}", number % TEAMS)
}

fn site() -> Rc<Site> {
    let queues = (0..POOLS).map(|number| Queue {
        name: pool(number),
        pool: pool(number),
        max_attempts: 3,
        slack_factor: 1.6,
        target_latency_ms: 600,
        ..Queue::default()
    });
    let pools = (0..POOLS).map(|number| Pool {
        name: pool(number),
        enforces_capacity: true,
        standby: false,
    });
    let teams = (0..TEAMS).map(|number| Team {
        name: team(number),
        ..Team::default()
    });
    Rc::new(Site::new(SiteSpec {
        queues: queues.collect(),
        pools: pools.collect(),
        teams: teams.collect(),
        ..SiteSpec::default()
    }))
}

fn entry(number: usize) -> MinionEntry {
    MinionEntry {
        id: format_smolstr!("i-{number}"),
        pool: pool(number),
        address: format_smolstr!("10.0.{}.{}:80", number / 250, number % 250),
        rack: format_smolstr!("r{}", number / 12),
        capacity: Resources {
            cpu_millis: 16_000,
            memory_mib: 32_768,
            accelerators: 0,
        },
        ..MinionEntry::default()
    }
}

fn job(number: usize) -> JobSpec {
    let cpu_millis = 500 + 100 * (number as u64 % 20);
    JobSpec {
        queue: pool(number),
        pool: pool(number),
        team: Some(team(number)),
        payload: "payload".to_owned(),
        steps: vec![StepSpec {
            tasks: TASKS_PER_STEP,
            cpu_millis,
            memory_mib: 1_600,
            estimate_ms: 800,
            max_per_minion: number.is_multiple_of(5).then_some(2),
            speculative: number.is_multiple_of(3),
            ..StepSpec::default()
        }],
        accepted_unix_ms: UNIX_MS,
        schedule: None,
        terms: None,
    }
}

/// Confirms all orders, so that the minions become schedulable and the runs start.
fn confirm_orders(scheduler: &mut Scheduler, actions: Vec<Action>) {
    for action in actions {
        match action {
            Action::Hold(order) => {
                let list = HoldReply::Listed(RunList {
                    started_unix_ms: 1,
                    clock_ms: 1,
                    ..RunList::default()
                });
                scheduler.hold_replied(&order.to, list, NOW, NOW, UNIX_MS);
            }
            Action::Start(order) => {
                let done = OrderReply::Done { clock_ms: Some(1) };
                scheduler.start_replied(&order, done, NOW, NOW);
            }
            Action::Stop(_) | Action::SetCpuShare(_) | Action::RequestAdvice(_) => {}
        }
    }
}

/// Returns a scheduler whose fleet is full and that has waiting tasks.
fn full_fleet(minions: usize, waiting: u32) -> Scheduler {
    let settings = SchedulerSettings::default();
    let mut scheduler = Scheduler::new(settings, 1, site(), UnreportedRuns::default());
    for number in 0..minions {
        scheduler.upsert_minion(entry(number), NOW);
    }
    let named = scheduler.minions_in_use(NOW);
    scheduler.mark_minions_recorded(&named);
    let actions = scheduler.decide(NOW, UNIX_MS);
    confirm_orders(&mut scheduler, actions);
    // A minion has room for about a dozen tasks of about a core each.
    let running = minions as u32 * 12;
    for number in 0..(waiting + running).div_ceil(TASKS_PER_STEP) as usize {
        let id = JobId::new(number as u64 + 1);
        scheduler.add_job(id, job(number), None, false, NOW, UNIX_MS);
    }
    let actions = scheduler.decide(NOW, UNIX_MS);
    confirm_orders(&mut scheduler, actions);
    scheduler
}

/// Measures a round in which no task fits.
fn bench_full_fleet(c: &mut Criterion) {
    let mut group = c.benchmark_group("jobs_full");
    for (minions, waiting) in SIZES {
        let mut scheduler = full_fleet(minions, waiting);
        let id = BenchmarkId::new(format!("{minions} minions"), waiting);
        group.bench_function(id, |b| {
            b.iter(|| scheduler.decide(NOW, UNIX_MS));
        });
    }
    group.finish();
}

criterion_group! {
    name = benches;
    config = Criterion::default()
        .warm_up_time(Duration::from_millis(500))
        .measurement_time(Duration::from_secs(2));
    targets = bench_full_fleet
}
criterion_main!(benches);
