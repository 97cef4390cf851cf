//! Seeded tasks of all teams over a run.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use smol_str::{SmolStr, format_smolstr};
use snipevane_core::placement::Resources;
use snipevane_core::pools::UnixMs;
use snipevane_proto::manifest::Urgency;

use super::demand::burst;
use super::setting::Size;

/// Part of the run that is day; afterwards little but deferred work is left.
pub(super) const DAY_PART: f64 = 0.66;

/// Part of the run at which offices open, by which deferred work has to be done.
pub(super) const OFFICES_OPEN_PART: f64 = 0.97;

/// Work that large and small teams submit by day, as a multiple of their share of the fleet.
const LARGE_LOAD: f64 = 1.4;
const SMALL_LOAD: f64 = 0.9;
const NIGHT_LOAD: f64 = 0.1;

/// Part of the fleet that urgent work uses.
const URGENT_LOAD: f64 = 0.02;
const URGENT_SECS: f64 = 2.0;

/// Deferred work, as a part of what the fleet can do at night.
const DEFERRED_LOAD: f64 = 0.35;
const DEFERRED_CORES: u64 = 2;
const DEFERRED_SECS: f64 = 45.0;

/// Cores of each of a team's jobs.
const JOB_CORES: [u64; 3] = [1, 2, 4];

/// What jobs declare, as a multiple of what their tasks use.
const DECLARED: [f64; 4] = [0.5, 1.0, 1.5, 3.0];

/// Tasks that can never run to their end, and those of a job that is cancelled as a whole.
const BROKEN_TASKS: usize = 50;
const CANCELLED_TASKS: usize = 3000;

const MIB_PER_CORE: u64 = 1536;
const PART_BROKEN_SUBMITTED: f64 = 0.1;
const PARTS_BULK_SUBMITTED: [f64; 2] = [0.2, 0.45];
const BULK_TEAM: usize = 1;

/// A task of a run.
#[derive(Clone, Debug)]
pub(super) struct SimTask {
    pub(super) team: usize,
    pub(super) job: SmolStr,
    pub(super) declared: Resources,
    pub(super) declared_run: Duration,
    pub(super) actual: Resources,
    pub(super) run_secs: f64,
    pub(super) deadline: Option<UnixMs>,
    pub(super) urgency: Urgency,
    /// Whether the task fails wherever it runs.
    pub(super) broken: bool,
}

/// Generates the tasks of each step of a run.
pub(super) struct Workload {
    rng: ChaCha8Rng,
    size: Size,
    weights: Vec<u32>,
    carried: Vec<f64>,
}

impl Workload {
    pub(super) fn new(size: Size, seed: u64) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            size,
            weights: weights(size.teams),
            carried: vec![0.0; size.teams * 2],
        }
    }

    /// Returns the tasks that arrive in the step that ends at `secs`.
    pub(super) fn step(&mut self, secs: f64, step_secs: f64) -> Vec<SimTask> {
        let run_secs = self.size.tasks_for.as_secs_f64();
        if secs > run_secs {
            return Vec::new();
        }
        let mut tasks = Vec::new();
        for team in 0..self.size.teams {
            self.normal(team, secs, step_secs, &mut tasks);
            self.urgent(team, secs, step_secs, &mut tasks);
        }
        let passes = |part: f64| {
            let at = part * run_secs;
            secs - step_secs < at && at <= secs
        };
        if passes(0.0) || secs <= step_secs {
            self.deferred(&mut tasks);
        }
        if passes(PART_BROKEN_SUBMITTED) {
            let broken = (0..BROKEN_TASKS).map(|_| SimTask {
                broken: true,
                ..task(0, "broken", 1, 5.0)
            });
            tasks.extend(broken);
        }
        for part in PARTS_BULK_SUBMITTED {
            if passes(part) {
                let bulk = (0..CANCELLED_TASKS).map(|_| task(BULK_TEAM, "bulk", 1, 30.0));
                tasks.extend(bulk);
            }
        }
        tasks
    }

    /// Returns the jobs that are cancelled as a whole in the step that ends at `secs`.
    pub(super) fn cancelled(&self, secs: f64, step_secs: f64) -> Option<(usize, SmolStr)> {
        const CANCELLED_AFTER_PART: f64 = 0.02;
        let run_secs = self.size.tasks_for.as_secs_f64();
        let cancelled = PARTS_BULK_SUBMITTED.iter().any(|part| {
            let at = (part + CANCELLED_AFTER_PART) * run_secs;
            secs - step_secs < at && at <= secs
        });
        cancelled.then(|| (BULK_TEAM, SmolStr::new_static("bulk")))
    }

    fn normal(&mut self, team: usize, secs: f64, step_secs: f64, tasks: &mut Vec<SimTask>) {
        const MEAN_SECS: f64 = 30.0;
        let day = secs < DAY_PART * self.size.tasks_for.as_secs_f64();
        let load = match (day, self.is_large(team)) {
            (false, _) => NIGHT_LOAD,
            (true, true) => LARGE_LOAD,
            (true, false) => SMALL_LOAD,
        };
        let cores = JOB_CORES.iter().sum::<u64>() as f64 / JOB_CORES.len() as f64;
        let rate = self.cores_of(team) * load / (cores * MEAN_SECS);
        let level = burst(secs, team, self.size.teams);
        let count = self.arrivals(team, rate * level * step_secs);
        for _ in 0..count {
            let job = self.rng.random_range(0..JOB_CORES.len());
            let run_secs = self.rng.random_range(5.0..55.0);
            let name = format_smolstr!("job-{job}");
            let mut task = task(team, &name, JOB_CORES[job], run_secs);
            let factor = DECLARED[(team + job) % DECLARED.len()];
            task.declared = scale(&task.actual, factor).min(&self.size.worker);
            task.declared_run = Duration::from_secs_f64(run_secs * factor);
            tasks.push(task);
        }
    }

    fn urgent(&mut self, team: usize, secs: f64, step_secs: f64, tasks: &mut Vec<SimTask>) {
        let rate = self.cores_of(team) * URGENT_LOAD / URGENT_SECS;
        // Urgent work bursts half an interval after the team's other work.
        let level = burst(secs, team + self.size.teams / 2, self.size.teams);
        let count = self.arrivals(self.size.teams + team, rate * level * step_secs);
        for _ in 0..count {
            let run_secs = self.rng.random_range(0.5 * URGENT_SECS..1.5 * URGENT_SECS);
            tasks.push(SimTask {
                urgency: Urgency::Urgent,
                ..task(team, "urgent", 1, run_secs)
            });
        }
    }

    fn deferred(&mut self, tasks: &mut Vec<SimTask>) {
        let run_secs = self.size.tasks_for.as_secs_f64();
        let night_secs = (OFFICES_OPEN_PART - DAY_PART) * run_secs;
        let deadline = UnixMs((OFFICES_OPEN_PART * run_secs * 1000.0) as u64);
        for team in 0..self.size.teams {
            let work = self.cores_of(team) * night_secs * DEFERRED_LOAD;
            let count = (work / (DEFERRED_CORES as f64 * DEFERRED_SECS)) as usize;
            for _ in 0..count {
                tasks.push(SimTask {
                    urgency: Urgency::Overnight,
                    deadline: Some(deadline),
                    ..task(team, "archive", DEFERRED_CORES, DEFERRED_SECS)
                });
            }
        }
    }

    fn arrivals(&mut self, slot: usize, mean: f64) -> usize {
        let carried = &mut self.carried[slot];
        *carried += mean * self.rng.random_range(0.5..1.5);
        let count = carried.floor();
        *carried -= count;
        count as usize
    }

    fn is_large(&self, team: usize) -> bool {
        self.weights[team] >= LARGE_WEIGHT
    }

    /// Returns the cores of a team's share.
    fn cores_of(&self, team: usize) -> f64 {
        let total: u32 = self.weights.iter().sum();
        let cores = self.size.workers as f64 * self.size.worker.cpu_millis as f64 / 1000.0;
        cores * f64::from(self.weights[team]) / f64::from(total)
    }
}

const LARGE_WEIGHT: u32 = 4;

/// Returns the teams' weights: a few large ones.
pub(super) fn weights(teams: usize) -> Vec<u32> {
    const PATTERN: [u32; 6] = [8, 6, 4, 1, 1, 1];
    let large_every = teams.div_ceil(20).max(1);
    (0..teams)
        .map(|team| {
            if teams <= PATTERN.len() {
                return PATTERN[team];
            }
            if team % large_every == 0 { 8 } else { 1 }
        })
        .collect()
}

fn task(team: usize, job: &str, cores: u64, run_secs: f64) -> SimTask {
    let actual = Resources {
        cpu_millis: cores * 1000,
        memory_mib: cores * MIB_PER_CORE,
        accelerators: 0,
    };
    SimTask {
        team,
        job: SmolStr::new(job),
        declared: actual,
        declared_run: Duration::from_secs_f64(run_secs),
        actual,
        run_secs,
        deadline: None,
        urgency: Urgency::Normal,
        broken: false,
    }
}

fn scale(size: &Resources, factor: f64) -> Resources {
    Resources {
        cpu_millis: (size.cpu_millis as f64 * factor) as u64,
        memory_mib: (size.memory_mib as f64 * factor) as u64,
        accelerators: size.accelerators,
    }
}
