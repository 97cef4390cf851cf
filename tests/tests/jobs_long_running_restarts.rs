//! Randomized tests that long-running tasks which lost their runs run again.
//!
//! Each seed draws losses of all schedulers, takeovers, cuts of zones, evacuations, drains, crashes and restarts of
//! minions, and lost answers, beside queues of other work. From the record of the minions it is then seen which tasks
//! have a run.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;
use smol_str::{SmolStr, format_smolstr};
use snipevane_core::jobs::{SchedulerEvent, Site, SiteSpec, TaskId, Team, WaitReason};
use snipevane_core::placement::Resources;
use snipevane_tests::jobs::{
    FakeMinion, Faults, JobSite, entry, job, long_running_step, site, site_spec, step,
};

const START: Duration = Duration::from_secs(10);
const ZONES: usize = 3;
const MINIONS: usize = 12;

/// Number of long-running jobs in each pool, and of tasks of each.
const LONG_RUNNING_JOBS: u64 = 3;
const LONG_RUNNING_TASKS: u32 = 2;

/// Team of the long-running jobs, and its cap in thousandths of a core; the tasks use less than half of it.
const LONG_RUNNING_TEAM: &str = "serving";
const LONG_RUNNING_CAP: u64 = 30_000;

/// Number of disturbances of a seed, and the longest time between two of them.
const DISTURBANCES: usize = 12;
const MAX_PAUSE_MS: u64 = 1_500;

/// Longest time without a scheduler; leases of 6 s lapse in part of such times.
const MAX_LOSS_MS: u64 = 8_000;

/// Time after the last takeover by which the leases of the terms before are over.
const LEASES_OVER: Duration = Duration::from_millis(6_400);

/// Time in which a task with room runs from then on, while other work of its pool ends all the time.
const PLACEMENT: Duration = Duration::from_secs(2);

/// Number of seeds of a case, unless the variable `LONG_RUNNING_SEEDS` gives another; `LONG_RUNNING_SEED` gives the first.
const SEEDS: u64 = 8;

/// What disturbs the site.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Disturbances {
    /// Takeovers and losses of all schedulers.
    Terms,
    /// The same with cuts of zones and evacuations.
    Zones,
    /// The same with minions that drain, crash or restart.
    Minions,
    /// The same with lost and late answers, and a store that is away at times.
    All,
}

impl Disturbances {
    /// Returns the number of kinds of disturbances to draw from.
    fn kinds(self) -> u32 {
        match self {
            Self::Terms => 2,
            Self::Zones => 4,
            Self::Minions => 7,
            Self::All => 10,
        }
    }
}

/// A site with long-running tasks, and the other jobs that are submitted to it.
struct Play {
    site: JobSite,
    random: StdRng,
    seed: u64,
    next_job: u64,
    pools: usize,
    /// Tasks of each filling job; all of a job ask for twice as many thousandths of a core.
    filling_tasks: u32,
    long_running: Vec<TaskId>,
}

fn zone_of(number: usize) -> SmolStr {
    format_smolstr!("zone-{}", number % ZONES)
}

fn two_teams(pools: usize) -> Site {
    let spec = site_spec(pools, 0);
    let mut teams = spec.teams.clone();
    teams.push(Team {
        name: LONG_RUNNING_TEAM.into(),
        keys: vec!["key-2".into()],
        share_per_s: 0.0,
        quota: Resources {
            cpu_millis: LONG_RUNNING_CAP,
            ..Resources::default()
        },
    });
    Site::new(SiteSpec { teams, ..spec })
}

impl Play {
    fn new(seed: u64) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let pools = random.random_range(1..=2);
        let minions = (0..MINIONS).map(|number| {
            let mut entry = entry(number, &format!("p{}", number / ZONES % pools));
            entry.zone = zone_of(number);
            FakeMinion::new(entry, START)
        });
        let mut site = JobSite::new(two_teams(pools), minions.collect(), seed);
        site.lists_vms = true;
        site.crashed_minions_keep_ids = random.random_bool(0.5);
        site.run(Duration::from_millis(200));
        let filling_tasks = random.random_range(0..12);
        let mut play = Self {
            site,
            random,
            seed,
            next_job: 1,
            pools,
            filling_tasks,
            long_running: Vec::new(),
        };
        play.submit_long_running();
        play.run(Duration::from_secs(2));
        play
    }

    fn submit_long_running(&mut self) {
        for pool in 0..self.pools {
            for _ in 0..LONG_RUNNING_JOBS {
                let steps = vec![long_running_step(LONG_RUNNING_TASKS)];
                let mut spec = job(&format!("p{pool}"), steps);
                spec.team = Some(LONG_RUNNING_TEAM.into());
                let number = self.next_job;
                self.next_job += 1;
                self.site.submit(number, spec);
                let tasks =
                    (0..LONG_RUNNING_TASKS).map(|index| self.site.task_id(number, 0, index));
                self.long_running.extend(tasks);
            }
        }
    }

    /// Runs the site while other jobs arrive.
    fn run(&mut self, time: Duration) {
        let end = self.site.now + time;
        while self.site.now < end {
            if self.filling_tasks > 0 {
                let pool = self.random.random_range(0..self.pools);
                let steps = vec![step(self.filling_tasks, 2_000, 800, &[])];
                self.site
                    .submit(self.next_job, job(&format!("p{pool}"), steps));
                self.next_job += 1;
            }
            let pause = Duration::from_millis(100).min(end - self.site.now);
            self.site.run(pause);
        }
    }

    fn any_minion(&mut self) -> SmolStr {
        let up = self.site.minions.values().filter(|minion| minion.up);
        let up: Vec<SmolStr> = up.map(|minion| minion.entry.id.clone()).collect();
        up[self.random.random_range(0..up.len())].clone()
    }

    fn any_zone(&mut self) -> SmolStr {
        zone_of(self.random.random_range(0..ZONES))
    }

    fn disturb(&mut self, disturbances: Disturbances) {
        match self.random.random_range(0..disturbances.kinds()) {
            0 => self.site.take_over(),
            1 => {
                let loss = self.random.random_range(100..MAX_LOSS_MS);
                self.site.lose_schedulers(Duration::from_millis(loss));
            }
            2 => self.cut_zone(),
            3 => self.evacuate_zone(),
            4 => {
                let id = self.any_minion();
                self.site.crash_minion(&id);
            }
            5 => {
                let id = self.any_minion();
                let downtime = Duration::from_millis(self.random.random_range(20..2_000));
                self.site.restart_minion_after(&id, downtime, None);
            }
            6 => self.drain_minion(),
            7 => {
                self.site.faults = Faults {
                    lost_reply_rate: self.random.random_range(0.0..0.5),
                    lost_request_rate: self.random.random_range(0.0..0.5),
                    ..Faults::default()
                }
            }
            8 => self.site.store_available = !self.site.store_available,
            _ => {
                self.site.faults = Faults {
                    delay_rate: self.random.random_range(0.0..0.2),
                    hold_delay_rate: self.random.random_range(0.0..0.2),
                    failed_sender_rate: self.random.random_range(0.0..0.5),
                    ..Faults::default()
                }
            }
        }
    }

    fn cut_zone(&mut self) {
        if self.random.random_bool(0.5) {
            self.site.partitioned.clear();
        } else {
            let zone = self.any_zone();
            let minions = self.site.minions.values();
            let in_zone = minions.filter(|minion| minion.entry.zone == zone);
            let in_zone: Vec<SmolStr> = in_zone.map(|minion| minion.entry.id.clone()).collect();
            self.site.partitioned.extend(in_zone);
        }
        self.site.list_minions();
    }

    fn evacuate_zone(&mut self) {
        let zone = self.any_zone();
        if !self.site.evacuated.remove(&zone) && self.site.evacuated.is_empty() {
            self.site.evacuated.insert(zone);
        }
    }

    fn drain_minion(&mut self) {
        let id = self.any_minion();
        if let Some(minion) = self.site.minions.get_mut(&id) {
            minion.entry.draining = !minion.entry.draining;
        }
        self.site.list_minions();
    }

    fn end_disturbances(&mut self) {
        self.site.faults = Faults::default();
        self.site.store_available = true;
        self.site.partitioned.clear();
        self.site.evacuated = [].into_iter().collect();
        for minion in self.site.minions.values_mut() {
            minion.entry.draining = false;
        }
        self.site.list_minions();
    }

    /// Returns the long-running tasks that don't have exactly one run, with the number of their runs.
    fn findings(&self) -> Vec<String> {
        let runs = self.long_running.iter().map(|&task| {
            let count = self.site.live_runs_of(task);
            (task, count)
        });
        let wrong = runs.filter(|(_, count)| *count != 1);
        wrong
            .map(|(task, count)| format!("seed {}: {task} has {count} runs", self.seed))
            .collect()
    }
}

fn findings(disturbances: Disturbances, seed: u64) -> Vec<String> {
    let mut play = Play::new(seed);
    for _ in 0..DISTURBANCES {
        play.disturb(disturbances);
        let pause = Duration::from_millis(play.random.random_range(0..MAX_PAUSE_MS));
        play.run(pause);
    }
    play.end_disturbances();
    play.run(LEASES_OVER + PLACEMENT);
    play.findings()
}

/// Guards against long-running tasks that lapse and never run again, or run twice.
#[rstest]
fn long_running_tasks_run_again_after_disturbances(
    #[values(
        Disturbances::Terms,
        Disturbances::Zones,
        Disturbances::Minions,
        Disturbances::All
    )]
    disturbances: Disturbances,
) {
    let first = std::env::var("LONG_RUNNING_SEED").ok();
    let first = first.and_then(|seed| seed.parse().ok()).unwrap_or(0);
    let count = std::env::var("LONG_RUNNING_SEEDS").ok();
    let count = count.and_then(|count| count.parse().ok()).unwrap_or(SEEDS);
    let seeds = first..first + count;
    let findings: Vec<String> = seeds
        .flat_map(|seed| findings(disturbances, seed))
        .collect();
    assert!(findings.is_empty(), "{findings:#?}");
}

/// Time from the end of a long-running task's last run in which it runs again, if there is room.
const RESTART_BOUND: Duration = Duration::from_secs(9);

/// Guards against long-running tasks that wait anew with each takeover for the leases of a minion which no term has
/// reached, although the first wait has shown that they are over.
#[rstest]
fn a_silent_minion_delays_long_running_tasks_only_once(
    #[values(1_500, 3_000, 4_500)] between_ms: u64,
) {
    let mut play = Play::new(57);
    let silent = play.any_minion();
    play.site.partitioned.insert(silent);
    let all_lapse = Duration::from_millis(6_500);
    play.site.lose_schedulers(all_lapse);
    let since = play.site.now;
    while play.site.now < since + RESTART_BOUND {
        play.run(Duration::from_millis(between_ms));
        play.site.take_over();
    }
    let findings = play.findings();
    assert!(findings.is_empty(), "{findings:#?}");
}

/// Returns the reasons that were reported for tasks that wait.
fn reported_reasons(site: &mut JobSite) -> Vec<WaitReason> {
    let events = site.scheduler.take_events().into_iter();
    let reasons = events.filter_map(|event| match event {
        SchedulerEvent::LongRunningTaskWaits { reason, .. } => Some(reason),
        _ => None,
    });
    reasons.collect()
}

/// Returns a site whose minions are all in zone 0, 1 or 2, with one long-running job of `tasks` tasks.
fn site_with_one_job(cap_cpu_millis: u64, tasks: u32) -> JobSite {
    let minions = (0..ZONES).map(|number| {
        let mut entry = entry(number, "p0");
        entry.zone = zone_of(number);
        FakeMinion::new(entry, START)
    });
    let mut built = JobSite::new(site(1, cap_cpu_millis), minions.collect(), 1);
    built.submit(1, job("p0", vec![long_running_step(tasks)]));
    built
}

/// Guards against a long-running task that waits without a line that tells why.
#[rstest]
#[case::quota(1_500, 2, WaitReason::Quota)]
#[case::no_room(0, 4, WaitReason::NoRoom)]
fn a_task_that_waits_is_reported_with_the_reason(
    #[case] cap_cpu_millis: u64,
    #[case] tasks: u32,
    #[case] reason: WaitReason,
) {
    let mut built = site_with_one_job(cap_cpu_millis, tasks);
    built.run(Duration::from_millis(2_900));
    assert_eq!(reported_reasons(&mut built), []);
    built.run(Duration::from_millis(9_600));
    assert_eq!(reported_reasons(&mut built), [reason; 3]);
    let waiting = built.scheduler.pool_stats(built.now)["p0"].long_running_waiting;
    assert_eq!(waiting, 1);
}

#[test]
fn a_task_in_evacuated_zones_is_reported_as_without_minion() {
    let mut built = site_with_one_job(0, 1);
    built.evacuated = (0..ZONES).map(zone_of).collect();
    built.run(Duration::from_millis(4_000));
    assert_eq!(reported_reasons(&mut built), [WaitReason::NoMinion]);
}

#[test]
fn a_task_that_waits_for_a_silent_minion_is_reported_with_the_end_of_its_leases() {
    let mut built = site_with_one_job(0, 1);
    built.run(Duration::from_secs(1));
    let with_run = built.records[0].minion.clone();
    built.partitioned.insert(with_run);
    built.take_over();
    let taken_over_at = built.now;
    built.run(Duration::from_millis(4_000));
    let reasons = reported_reasons(&mut built);
    assert!(
        matches!(reasons[..], [WaitReason::UnreportedRuns { until }] if until > taken_over_at + Duration::from_secs(6)),
        "{reasons:?}"
    );
    built.run(Duration::from_millis(3_000));
    let waiting = built.scheduler.pool_stats(built.now)["p0"].long_running_waiting;
    assert_eq!(waiting, 0);
}

/// Guards against a second run of a task: a silent minion is back, and the term extends its leases although the stored
/// row still tells the next term that they are over soon.
#[rstest]
fn a_silent_minion_that_is_back_gets_no_lease_before_the_row_is_stored(
    #[values(false, true)] listed_while_silent: bool,
) {
    let mut built = site_with_one_job(0, 1);
    built.run(Duration::from_secs(1));
    let task = built.task_id(1, 0, 0);
    let with_run = built.records[0].minion.clone();
    built.partitioned.insert(with_run.clone());
    built.take_over();
    if listed_while_silent {
        let silent = std::mem::take(&mut built.partitioned);
        built.list_minions();
        built.partitioned = silent;
    }
    built.run(Duration::from_secs(2));
    built.store_available = false;
    built.partitioned.clear();
    built.list_minions();
    built.run(Duration::from_millis(3_000));
    assert_eq!(built.live_runs_of(task), 1);
    built.partitioned.insert(with_run);
    built.take_over();
    built.store_available = true;
    built.run(Duration::from_secs(5));
    assert_eq!(built.live_runs_of(task), 1);
}

/// Guards against a minion that stays without leases although it is back and the row is stored.
#[test]
fn a_silent_minion_that_is_back_gets_leases_once_the_row_is_stored() {
    let mut built = site_with_one_job(0, 1);
    built.run(Duration::from_secs(1));
    let with_run = built.records[0].minion.clone();
    built.partitioned.insert(with_run);
    built.take_over();
    built.run(Duration::from_secs(2));
    built.partitioned.clear();
    built.list_minions();
    built.run(Duration::from_secs(20));
    assert_eq!(built.records.len(), 1, "the first run goes on");
    assert_eq!(built.records[0].to, None);
}
