//! Summary of the committed work of loaded pools, which the scheduler sends to the entry VMs.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use rustc_hash::{FxHashMap, FxHashSet};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::drain::{Capacity, millicores_to_cores};
use crate::jobs::minions::minion::{Minion, millis};
use crate::jobs::model::job::{Job, OpenTasks};
use crate::jobs::model::spec::StepSpec;
use crate::jobs::pools::moves::MoveOutlook;
use crate::jobs::queueing::precedence::Precedence;
use crate::jobs::scheduler::Scheduler;

/// Upper bounds of the classes of latest starts, in milliseconds from the time of the snapshot. Fine classes
/// up to the usual slack of jobs, about 2 s, keep the error of a comparison with a new job small.
const LATEST_START_BOUNDS_MS: [u64; 12] = [
    250, 500, 750, 1_000, 1_250, 1_500, 1_750, 2_000, 3_000, 4_000, 6_000, 8_000,
];

/// Drain time below which a pool isn't part of the snapshot. No caller is told to wait for less than a
/// second, so that a smaller backlog is no reason to reject a job; and in most seconds the snapshot is empty.
const MIN_DRAIN_TIME: Duration = Duration::from_secs(1);

/// Most pools in a snapshot, those with the longest drain times. With 97 entry VMs, four pools take about
/// 180 KB/s of the scheduler's link, and a small link carries 250 KB/s.
const MAX_POOLS: usize = 4;

/// Time over which the rate of accepted work is measured: about the age that a snapshot reaches.
const ARRIVAL_WINDOW: Duration = Duration::from_millis(500);

/// Part of the expected work that counts as certain if its run times are learned, in percent. Run times
/// scatter by half, so that their moving average has a standard error of 14 %; two of these are left out.
const LEARNED_CERTAIN_PERCENT: u64 = 70;

/// Part of the declared work that counts as certain, in percent. Declared run times are off by half.
pub(super) const DECLARED_CERTAIN_PERCENT: u64 = 50;

/// Most work of a step that is counted, in milliseconds of a core: 30 years of a core. Callers may declare any
/// run time, and the sums and percentages of 100,000 such steps don't overflow.
const MAX_STEP_WORK: u64 = 1_000_000_000_000;

pub(super) const PERCENT: u64 = 100;

/// Committed work of the pools whose backlog takes a second or more.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct AdmissionSnapshot {
    pub(super) pools: Vec<PoolLoad>,
    /// Teams with committed work over their share in these pools that have used up their share.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub(super) teams_over_share: Vec<SmolStr>,
}

/// Committed work and processors of a pool.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(super) struct PoolLoad {
    pub(super) pool: SmolStr,
    pub(super) capacity: Capacity,
    /// Part of the backlog that is certain, in percent.
    pub(super) certain_percent: u64,
    /// Backlog of each priority, the highest priority (the lowest number) first.
    pub(super) backlog: Vec<PriorityBacklog>,
}

/// Work of the jobs of one priority that may still have value, in milliseconds of a core.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(super) struct PriorityBacklog {
    pub(super) priority: u32,
    /// Work that can be in time, by its latest start: a class for each bound, and one for the rest.
    pub(super) on_time: Vec<u64>,
    /// Work that can be in time, of teams over their share.
    pub(super) over_share: u64,
    /// Work that can't be in time.
    pub(super) late: u64,
    /// Work accepted per second.
    pub(super) accepted_per_s: u64,
}

impl PriorityBacklog {
    fn new(priority: u32) -> Self {
        Self {
            priority,
            on_time: vec![0; LATEST_START_BOUNDS_MS.len() + 1],
            ..Self::default()
        }
    }

    /// Returns all work.
    pub(super) fn total(&self) -> u64 {
        self.on_time.iter().sum::<u64>() + self.over_share + self.late
    }

    /// Returns the work that can be in time and whose latest start is certainly within `slack`.
    pub(super) fn due_within(&self, slack: Duration) -> u64 {
        let bounds = LATEST_START_BOUNDS_MS.iter().zip(&self.on_time);
        let due = bounds.filter(|(bound, _)| **bound <= millis(slack));
        due.map(|(_, work)| work).sum()
    }
}

/// Work of a pool while it is being summed up.
#[derive(Default)]
struct Sum {
    by_priority: BTreeMap<u32, PriorityBacklog>,
    expected: u64,
    certain: u64,
    /// Teams with jobs over their share.
    teams: FxHashSet<SmolStr>,
}

/// Work of a pool by team.
type TeamSums = BTreeMap<Option<SmolStr>, Sum>;

impl Sum {
    /// Adds a part of other work.
    fn add(&mut self, other: Self, part: f64) {
        let scaled = |work: u64| (work as f64 * part) as u64;
        self.expected += scaled(other.expected);
        self.certain += scaled(other.certain);
        self.teams.extend(other.teams);
        for (priority, work) in other.by_priority {
            let backlog = self
                .by_priority
                .entry(priority)
                .or_insert_with(|| PriorityBacklog::new(priority));
            for (class, work) in backlog.on_time.iter_mut().zip(work.on_time) {
                *class += scaled(work);
            }
            backlog.over_share += scaled(work.over_share);
            backlog.late += scaled(work.late);
            backlog.accepted_per_s += scaled(work.accepted_per_s);
        }
    }
}

impl Scheduler {
    /// Returns the committed work of the loaded pools; `None` while it isn't known.
    ///
    /// VMs that could move to a pool according to `outlook` arrive there after `move_time` at the earliest.
    pub fn admission_snapshot(
        &self,
        outlook: &MoveOutlook,
        move_time: Duration,
        now: Duration,
    ) -> Option<AdmissionSnapshot> {
        if self.minions_confirmed_at.is_none() || !self.evacuations_confirmed {
            return None;
        }
        let capacities = self.pool_capacities(outlook, move_time);
        // Tasks that may run unseen on minions of an earlier term would count as waiting.
        let unreported = self.unreported_pools(now);
        let mut loaded = Vec::new();
        for (pool, teams_work) in self.committed_work(now) {
            let capacity = capacities.get(&pool).copied().unwrap_or_default();
            let sum = self.within_quotas(teams_work, &capacity);
            let drain_time = capacity.drain_time(sum.certain);
            let drain_time = drain_time.filter(|time| *time >= MIN_DRAIN_TIME);
            let Some(drain_time) = drain_time.filter(|_| !unreported.contains(&pool)) else {
                continue;
            };
            let load = PoolLoad {
                pool,
                capacity,
                certain_percent: sum.certain * PERCENT / sum.expected.max(1),
                backlog: sum.by_priority.into_values().collect(),
            };
            loaded.push((drain_time, load, sum.teams));
        }
        loaded.sort_by_key(|(drain_time, ..)| Reverse(*drain_time));
        loaded.truncate(MAX_POOLS);
        let mut snapshot = AdmissionSnapshot::default();
        let mut teams = FxHashSet::default();
        for (_, load, teams_of_pool) in loaded {
            snapshot.pools.push(load);
            teams.extend(teams_of_pool);
        }
        let over_share = teams
            .into_iter()
            .filter(|team| self.is_over_share(team, now));
        snapshot.teams_over_share = over_share.collect();
        snapshot.teams_over_share.sort();
        Some(snapshot)
    }

    /// Returns the processors of each pool for tasks that aren't long-running. Minions that are unreachable or
    /// avoided count too, as they may be back in a moment.
    fn pool_capacities(
        &self,
        outlook: &MoveOutlook,
        move_time: Duration,
    ) -> FxHashMap<SmolStr, Capacity> {
        let mut capacities: FxHashMap<SmolStr, Capacity> = FxHashMap::default();
        for minion in self.minions.values() {
            if !minion.listed || minion.entry.draining || self.is_evacuated(&minion.entry.zone) {
                continue;
            }
            let capacity = capacities.entry(minion.entry.pool.clone()).or_default();
            let total = minion.entry.capacity.cpu_millis;
            capacity.cpu_millis += total.saturating_sub(self.long_running_cpu_millis(minion));
        }
        for pool in self.site.pools() {
            let vms = outlook.vms_for(&pool.name) as u64;
            let (vm_cpu_millis, _) = self.largest_capacity(&pool.name);
            let capacity = capacities.entry(pool.name.clone()).or_default();
            capacity.incoming_cpu_millis = vms * vm_cpu_millis;
            capacity.incoming_in_ms = millis(move_time);
        }
        capacities
    }

    /// Returns the processors that the long-running tasks on a minion take.
    fn long_running_cpu_millis(&self, minion: &Minion) -> u64 {
        let runs = minion.runs.iter().copied();
        let long_running =
            runs.filter(|&run| self.step_of(run).is_some_and(|step| step.long_running));
        let runs = long_running.filter_map(|run| self.runs.get(run));
        runs.map(|run| run.allocated.cpu_millis).sum()
    }

    /// Returns the committed work of each pool by team.
    fn committed_work(&self, now: Duration) -> BTreeMap<SmolStr, TeamSums> {
        let mut sums: BTreeMap<SmolStr, TeamSums> = BTreeMap::new();
        let active = self.jobs.values();
        let active = active.filter(|job| !job.state.is_final() && job.due() > 0);
        for job in active {
            let teams = sums.entry(job.spec.pool.clone()).or_default();
            let sum = teams.entry(job.spec.team.clone()).or_default();
            for (number, tasks) in job.open_tasks().into_iter().enumerate() {
                let spec = &job.spec.steps[number];
                if !spec.long_running {
                    self.add_step(sum, job, number, (tasks, spec), now);
                }
            }
        }
        sums
    }

    /// Returns the work of a pool, of which a team's part is reduced to what its quota lets it do until the
    /// pool has worked off the rest. Work that waits for a quota leaves processors to new jobs of other teams.
    fn within_quotas(&self, teams: TeamSums, capacity: &Capacity) -> Sum {
        let with_quotas = teams.into_iter().map(|(team, sum)| {
            let team = team.as_ref().and_then(|team| self.site.team(team));
            let quota = team.map(|team| team.quota.cpu_millis);
            (sum, quota.filter(|&quota| quota > 0))
        });
        let teams: Vec<(Sum, Option<u64>)> = with_quotas.collect();
        let work: Vec<_> = teams
            .iter()
            .map(|(sum, quota)| (sum.expected, *quota))
            .collect();
        let busy_ms = capacity.busy_ms(&work);
        let mut all = Sum::default();
        for (sum, quota) in teams {
            let possible = quota.map(|quota| millicores_to_cores(quota) * busy_ms);
            let part = possible.map_or(1.0, |work| work / sum.expected.max(1) as f64);
            all.add(sum, part.min(1.0));
        }
        all
    }

    fn add_step(
        &self,
        sum: &mut Sum,
        job: &Job,
        number: usize,
        (tasks, spec): (OpenTasks, &StepSpec),
        now: Duration,
    ) {
        let precedence = self.precedence(job, number, now);
        if precedence == Precedence::Behind {
            return;
        }
        let image = job.spec.image_of(spec);
        let task_ms = self
            .durations
            .expected(image, spec.estimate())
            .as_secs_f64()
            * spec.cpu_millis as f64;
        // On average, a running task has done half of its work.
        let left = tasks.waiting as f64 + tasks.running as f64 / 2.0;
        let work = ((left * task_ms) as u64).min(MAX_STEP_WORK);
        let certain_percent = if self.durations.has_learned(image) {
            LEARNED_CERTAIN_PERCENT
        } else {
            DECLARED_CERTAIN_PERCENT
        };
        sum.expected += work;
        sum.certain += work * certain_percent / PERCENT;
        // A team without a token, but without a job over its share, gets its next token in time for the next
        // job if it goes on at its rate.
        if job.over_rate_share {
            sum.teams.extend(job.spec.team.clone());
        }
        let backlog = sum
            .by_priority
            .entry(job.terms.priority)
            .or_insert_with(|| PriorityBacklog::new(job.terms.priority));
        match precedence {
            Precedence::LatestStart(at) => {
                let left = millis(at.saturating_sub(now));
                let class = LATEST_START_BOUNDS_MS.partition_point(|&bound| bound < left);
                backlog.on_time[class] += work;
            }
            Precedence::OverShare => backlog.over_share += work,
            Precedence::Late => backlog.late += work,
            Precedence::Behind => {}
        }
        if now <= job.accepted_at + ARRIVAL_WINDOW {
            let all = f64::from(spec.tasks) * f64::from(job.due()) * task_ms
                / ARRIVAL_WINDOW.as_secs_f64();
            backlog.accepted_per_s += (all as u64).min(MAX_STEP_WORK);
        }
    }
}
