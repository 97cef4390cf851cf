//! Tests of how long suspects wait for their trial while many tasks crash minions at once.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;
use smol_str::SmolStr;
use snipevane_core::jobs::{JobId, SchedulerEvent, TaskId};
use snipevane_tests::jobs::{FakeMinion, JobSite, entry, job, site, step};

use crate::set_up::{END_TIME, MAX_STARTS_AFTER_THIRD_CRASH, START, assert_completed};

const MINIONS: usize = 12;

/// Size and run time of each task.
const TASK_MILLIS: u64 = 500;
const RUN_MS: u64 = 1_000;

/// Time in which jobs are submitted, and the share of tasks among these that crash their minions.
const LOAD_TIME: Duration = Duration::from_secs(14);

/// Interval between two looks at what waits.
const ROUND: Duration = Duration::from_millis(100);

/// Time for which a task may wait for its trial while half of the pool's room is free.
const MAX_WAIT: Duration = Duration::from_secs(9);

/// Tasks that crash minions among sound ones, and how long each has waited.
struct Play {
    built: JobSite,
    tasks: Vec<SubmittedTask>,
    /// Number of starts of each task until its last run was known to be lost.
    lost: BTreeMap<TaskId, usize>,
    /// Tasks that were blamed for a crash.
    blamed: BTreeSet<TaskId>,
}

/// A task, whether it crashes minions, and for how long it has waited for its trial with half of the pool's room free.
struct SubmittedTask {
    job: JobId,
    task: TaskId,
    is_deadly: bool,
    waited: Duration,
    longest_wait: Duration,
}

impl Play {
    fn new(cores: u64, seed: u64) -> Self {
        let minions = (0..MINIONS).map(|number| {
            let mut entry = entry(number, "p0");
            entry.capacity.cpu_millis = cores * 1_000;
            FakeMinion::new(entry, START)
        });
        let mut built = JobSite::new(site(1, 0), minions.collect(), seed);
        built.crashed_minions_keep_ids = true;
        built.crashes_are_silent = false;
        built.downtime = Duration::from_secs(3);
        built.run(ROUND);
        Self {
            built,
            tasks: Vec::new(),
            lost: BTreeMap::new(),
            blamed: BTreeSet::new(),
        }
    }

    /// Submits jobs of one task each for a while, of which some crash their minions; then these tasks are sound.
    fn load(&mut self, jobs_per_round: u64, deadly_share: f64, random: &mut StdRng) {
        let end = START + LOAD_TIME;
        while self.built.now < end {
            for _ in 0..jobs_per_round {
                self.submit(random.random_bool(deadly_share), random);
            }
            self.advance();
        }
        self.built.crashing_tasks.clear();
        self.built.tasks_crashing_at_once.clear();
    }

    fn submit(&mut self, is_deadly: bool, random: &mut StdRng) {
        let number = self.tasks.len() as u64 + 1;
        let steps = vec![step(1, TASK_MILLIS, RUN_MS, &[])];
        let job = self.built.submit(number, job("p0", steps));
        let task = self.built.task_id(number, 0, 0);
        if is_deadly && random.random_bool(0.5) {
            self.built.make_crashing_at_once(task);
        } else if is_deadly {
            let after = Duration::from_millis(random.random_range(0..300));
            self.built.make_crashing(task, after);
        }
        self.tasks.push(SubmittedTask {
            job,
            task,
            is_deadly,
            waited: Duration::ZERO,
            longest_wait: Duration::ZERO,
        });
    }

    /// Lets one round pass and adds it to the waits of the tasks that were lost with a minion and don't run.
    fn advance(&mut self) {
        self.built.run(ROUND);
        let mut used: BTreeMap<&SmolStr, u64> = BTreeMap::new();
        let mut starts: BTreeMap<TaskId, usize> = BTreeMap::new();
        for run in &self.built.records {
            *starts.entry(run.task).or_default() += 1;
            if run.to.is_none() {
                *used.entry(&run.minion).or_default() += TASK_MILLIS;
            }
        }
        for event in self.built.scheduler.take_events() {
            match event {
                SchedulerEvent::RunLost { task, .. } => {
                    let starts = starts.get(&task).copied().unwrap_or_default();
                    self.lost.insert(task, starts);
                }
                SchedulerEvent::CrashBlamed { task, .. } => {
                    self.blamed.insert(task);
                }
                _ => {}
            }
        }
        let up = self.built.minions.values().filter(|minion| minion.up);
        let free = up.map(|minion| {
            let used = used.get(&minion.entry.id).copied().unwrap_or_default();
            minion.entry.capacity.cpu_millis.saturating_sub(used)
        });
        let whole = self.built.minions.values();
        let whole: u64 = whole.map(|minion| minion.entry.capacity.cpu_millis).sum();
        let has_room = free.sum::<u64>() * 2 >= whole;
        for task in &mut self.tasks {
            let known = self.lost.get(&task.task);
            let is_suspect = self.blamed.contains(&task.task);
            let is_waiting = is_suspect && known.is_some() && known == starts.get(&task.task);
            if !is_waiting || self.built.state(task.job).is_final() {
                task.waited = Duration::ZERO;
            } else if has_room {
                task.waited += ROUND;
                task.longest_wait = task.longest_wait.max(task.waited);
            }
        }
    }
}

/// Guards against suspects that wait without end for the few minions that other suspects leave, and against sound jobs
/// and starts that this costs.
#[rstest]
fn no_suspect_waits_long_for_its_trial_while_many_tasks_crash_minions(
    #[values(8, 16)] cores: u64,
    #[values(4, 8, 16)] jobs_per_round: u64,
    #[values(0.02, 0.1, 0.4)] deadly_share: f64,
) {
    for seed in 0..3 {
        let mut random = StdRng::seed_from_u64(seed);
        let mut play = Play::new(cores, seed);
        play.load(jobs_per_round, deadly_share, &mut random);
        let end = play.built.now + END_TIME;
        while play.built.now < end {
            play.advance();
        }
        for task in &play.tasks {
            let waited = task.longest_wait;
            assert!(
                waited <= MAX_WAIT,
                "seed {seed}: {:?} {waited:?}",
                task.task
            );
            let starts = play.built.starts_after_third_crash(task.task);
            assert!(
                starts <= MAX_STARTS_AFTER_THIRD_CRASH,
                "seed {seed}: {starts} starts"
            );
            if !task.is_deadly {
                assert_completed(&play.built, &[task.job], seed);
            }
        }
    }
}
