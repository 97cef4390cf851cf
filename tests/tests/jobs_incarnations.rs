//! Tests of minions that restart under their identifiers while orders, answers and entries are on their way.

#![allow(clippy::expect_used, reason = "a failed step of a test ends it")]

use std::collections::BTreeSet;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;
use smol_str::{SmolStr, format_smolstr};
use snipevane_core::jobs::{JobId, JobState, MinionEntry, StepSpec};
use snipevane_tests::jobs::{FakeMinion, Faults, JobSite, Restart, TICK, entry, job, site, step};

const START: Duration = Duration::from_secs(10);
const MINIONS: usize = 5;

/// Time for which minions restart and entries are odd.
const TROUBLED: Duration = Duration::from_secs(20);

/// Longest pause after failures and slow runs of a minion, with some time for tasks to end.
const CALM: Duration = Duration::from_secs(30);

/// Time in which minions that have restarted get work again.
const MAX_PAUSE: Duration = Duration::from_secs(3);

/// Smallest and largest start that a minion tells, in Unix milliseconds.
const BORN: std::ops::Range<u64> = 1_010_000..1_090_000;

/// A site whose minions restart, with the numbers that decide when and how.
struct Troubled {
    site: JobSite,
    random: StdRng,
    born: BTreeSet<u64>,
    jobs: Vec<JobId>,
}

impl Troubled {
    fn new(faults: Faults, seed: u64) -> Self {
        let minions = (0..MINIONS).map(|number| FakeMinion::new(entry(number, "p0"), START));
        let mut built = JobSite::new(site(1, 0), minions.collect(), seed);
        built.lists_vms = true;
        built.faults = faults;
        Self {
            site: built,
            random: StdRng::seed_from_u64(seed),
            born: BTreeSet::new(),
            jobs: Vec::new(),
        }
    }

    /// Returns a start that no incarnation had, earlier or later than the others.
    fn next_born(&mut self) -> u64 {
        loop {
            let born = self.random.random_range(BORN);
            if self.born.insert(born) {
                return born;
            }
        }
    }

    fn any_minion(&mut self) -> SmolStr {
        let number = self.random.random_range(0..MINIONS);
        format_smolstr!("i-{number}")
    }

    fn millis(&mut self, up_to: u64) -> Duration {
        Duration::from_millis(self.random.random_range(0..=up_to))
    }

    fn restart(&mut self) {
        let id = self.any_minion();
        let moves = self.random.random_bool(0.3);
        let number = self.random.random_range(100..200);
        let restart = Restart {
            downtime: self.millis(800),
            born: self.next_born(),
            address: moves.then(|| format_smolstr!("10.0.1.{number}:80")),
            entry_delay: self.millis(1_500),
        };
        self.site.restart_under_id(&id, restart);
    }

    /// Puts an entry into the list that no minion has written.
    fn list_odd_entry(&mut self) {
        let (of, other) = (self.any_minion(), self.any_minion());
        let about = self.site.minions[&of].entry.clone();
        let odd = match self.random.random_range(0..3) {
            0 => MinionEntry {
                started_unix_ms: self.next_born(),
                ..about
            },
            1 => MinionEntry {
                address: self.site.minions[&other].entry.address.clone(),
                ..about
            },
            _ => MinionEntry {
                id: format_smolstr!("odd-{}", self.next_born()),
                ..about
            },
        };
        self.site.show_entry(odd);
    }

    fn submit(&mut self) {
        let number = self.jobs.len() as u64 + 1;
        let tasks = self.random.random_range(1..=6);
        let run_ms = [100, 600, 2_500, 8_000][self.random.random_range(0..4)];
        let spec = StepSpec {
            max_per_minion: self.random.random_bool(0.5).then_some(1),
            ..step(tasks, 2_000, run_ms, &[])
        };
        let id = self.site.submit(number, job("p0", vec![spec]));
        self.jobs.push(id);
    }

    /// Lets trouble happen for a while.
    fn run_troubled(&mut self) {
        let end = self.site.now + TROUBLED;
        while self.site.now < end {
            let chance: f64 = self.random.random();
            match chance {
                ..0.35 => self.restart(),
                ..0.55 => self.list_odd_entry(),
                ..0.75 => {
                    let id = self.any_minion();
                    self.site.show_own_entry(&id);
                }
                ..0.95 => self.submit(),
                _ => self.site.take_over(),
            }
            let pause = self.millis(500);
            self.site.run(pause);
        }
    }

    /// Ends the faults and lets all minions write their entries.
    fn calm_down(&mut self) {
        self.site.faults = Faults {
            max_transit: self.site.faults.max_transit,
            ..Faults::default()
        };
        self.site.run(Duration::from_secs(2));
        for number in 0..MINIONS {
            self.site.show_own_entry(&format_smolstr!("i-{number}"));
        }
        self.site.list_minions();
        self.site.run(CALM);
    }

    /// Restarts all minions with earlier starts, and returns those that get no work in time.
    fn idle_after_restart(&mut self) -> Vec<SmolStr> {
        let ids: Vec<SmolStr> = (0..MINIONS)
            .map(|number| format_smolstr!("i-{number}"))
            .collect();
        for (number, id) in ids.iter().enumerate() {
            let restart = Restart {
                downtime: Duration::from_millis(100),
                born: number as u64 + 1,
                address: None,
                entry_delay: Duration::from_millis(100),
            };
            self.site.restart_under_id(id, restart);
        }
        self.site.run(Duration::from_millis(300));
        let spec = StepSpec {
            max_per_minion: Some(1),
            ..step(MINIONS as u32, 16_000, 4_000, &[])
        };
        let number = self.jobs.len() as u64 + 1;
        let id = self.site.submit(number, job("p0", vec![spec]));
        self.site.run(MAX_PAUSE);
        let runs = self.site.records.iter();
        let busy: BTreeSet<&SmolStr> = runs
            .filter(|run| run.task.step.job == id)
            .map(|run| &run.minion)
            .collect();
        let idle = ids.iter().filter(|id| !busy.contains(id));
        idle.cloned().collect()
    }

    /// Returns the jobs that haven't ended.
    fn open_jobs(&self) -> Vec<(JobId, JobState)> {
        let jobs = self.jobs.iter().map(|&id| (id, self.site.state(id)));
        let open = jobs.filter(|(_, state)| !state.is_final());
        open.collect()
    }

    /// Returns the jobs that were given up although no two minions had crashed under runs of one of their
    /// tasks.
    fn jobs_given_up_early(&self) -> Vec<JobId> {
        let jobs = self.jobs.iter().copied();
        let given_up = jobs.filter(|&id| self.site.state(id) == JobState::Failed);
        let early = given_up.filter(|&id| !self.has_task_with_two_crashes(id));
        early.collect()
    }

    fn has_task_with_two_crashes(&self, id: JobId) -> bool {
        let runs = self.site.records.iter();
        let mut tasks = runs.filter(|run| run.task.step.job == id);
        tasks.any(|run| self.site.crashes_under(run.task).len() >= 2)
    }
}

fn transit() -> Faults {
    Faults {
        max_transit: Duration::from_millis(120),
        ..Faults::default()
    }
}

fn lossy() -> Faults {
    Faults {
        lost_reply_rate: 0.1,
        lost_request_rate: 0.1,
        late_list_rate: 0.2,
        ..transit()
    }
}

/// Returns faults by which unanswered orders are carried out seconds later, by the incarnation that then has the
/// identifier.
fn late_orders() -> Faults {
    Faults {
        delay_rate: 0.05,
        delayed_orders_outlive_incarnation: true,
        ..transit()
    }
}

/// Guards against tasks that run twice, and minions that get no work for good, after restarts whose starts step back.
#[rstest]
#[case::prompt(Faults::default())]
#[case::in_transit(transit())]
#[case::lossy(lossy())]
fn restarts_run_no_task_twice_and_strand_no_minion(
    #[case] faults: Faults,
    #[values(1, 2, 3, 4, 5, 6)] seed: u64,
) {
    play(faults, seed);
}

/// Guards against tasks that run twice because an order of unknown fate is dropped at a restart, and is then carried
/// out by the next incarnation.
#[rstest]
fn orders_that_outlive_an_incarnation_run_no_task_twice(#[values(1, 2, 3, 6, 7, 8)] seed: u64) {
    play(late_orders(), seed);
}

/// Guards against starts of tasks that are done, by an order that the next incarnation carries out late.
#[rstest]
fn orders_of_ended_runs_start_nothing_after_a_restart(#[values(4, 5)] seed: u64) {
    play(late_orders(), seed);
}

/// Plays trouble and what follows, and checks what the minions did.
///
/// # Panics
///
/// Panics with the seed if a task has run twice, a job hasn't ended or a minion gets no work.
fn play(faults: Faults, seed: u64) {
    let mut built = Troubled::new(faults, seed);
    built.run_troubled();
    built.calm_down();
    assert_eq!(built.open_jobs(), Vec::new(), "seed {seed}");
    let idle = built.idle_after_restart();
    assert_eq!(idle, Vec::<SmolStr>::new(), "seed {seed}");
    let repeated = built.site.starts_after_acknowledged_end();
    assert!(repeated.is_empty(), "seed {seed}: {repeated:?}");
}

/// Guards against jobs that fail after one crash, as an order that reached no living minion counts as another.
#[rstest]
#[case::prompt(Faults::default(), [22, 36, 89])]
#[case::in_transit(transit(), [46, 58, 61])]
#[case::lossy(lossy(), [13, 14, 15])]
fn restarts_give_up_no_job_after_one_crash(#[case] faults: Faults, #[case] seeds: [u64; 3]) {
    let given_up = seeds.map(|seed| {
        let mut built = Troubled::new(faults, seed);
        built.run_troubled();
        built.calm_down();
        (seed, built.jobs_given_up_early())
    });
    assert_eq!(given_up, seeds.map(|seed| (seed, Vec::new())));
}

/// Guards against tasks that run twice on one minion, and jobs that hang, because its start shifts while it works.
#[rstest]
fn a_start_that_shifts_ends_no_runs(
    #[values(1_005_000, 1_020_000)] born: u64,
    #[values(0, 1, 2, 10)] list_ticks_later: u32,
    #[values(1, 2)] seed: u64,
) {
    let mut site = Troubled::new(Faults::default(), seed).site;
    for minion in site.minions.values_mut() {
        minion.entry.started_unix_ms = minion.incarnation;
    }
    site.list_minions();
    site.run(Duration::from_millis(100));
    let spec = StepSpec {
        max_per_minion: Some(1),
        ..step(MINIONS as u32, 1_000, 9_000, &[])
    };
    let id = site.submit(1, job("p0", vec![spec]));
    site.run(Duration::from_secs(1));
    let busy = site.records[0].minion.clone();
    let shifted = MinionEntry {
        started_unix_ms: born,
        ..site.minions[&busy].entry.clone()
    };
    site.scheduler.upsert_minion(shifted, site.now);
    site.run(TICK * list_ticks_later);
    site.shift_start(&busy, born);
    site.run(CALM);
    assert_eq!(site.state(id), JobState::Completed);
    assert_eq!(site.records.len(), MINIONS, "each task has run once");
}
