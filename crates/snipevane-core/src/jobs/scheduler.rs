//! State and settings of the job scheduler, and its scheduling round.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use rustc_hash::{FxHashMap, FxHashSet};
use slotmap::SlotMap;
use smol_str::SmolStr;

use crate::placement::Resources;

use super::action::{Action, Recipient};
use super::admission::memory::HeldBytes;
use super::ending::crash_rate::CrashRate;
use super::ending::dirty_jobs::DirtyJobs;
use super::ending::earlier_trials::EarlierTrials;
use super::event::SchedulerEvent;
use super::intake::durations::DurationEstimator;
use super::intake::ended_jobs::EndedJobs;
use super::interference::effects::Interference;
use super::minions::minion::{Minion, MinionEntry};
use super::model::id::JobId;
use super::model::job::Job;
use super::model::keys::{JobKey, MinionKey, RunKey, StepRef, TaskRef};
use super::model::progress::JobState;
use super::model::run::Run;
use super::model::site::Site;
use super::placing::advice::Permits;
use super::placing::full_pools::FullPools;
use super::placing::long_running_waits::LongRunningWaits;
use super::placing::probation::Probation;
use super::placing::silent_minions::SilentMinions;
use super::placing::unreported_runs::UnreportedRuns;
use super::queueing::queue::PoolQueue;
use super::queueing::shares::JobRateLimiter;
use super::running::late_starts::LateStarts;
use super::running::repeats::Replies;
use super::running::start_window::StartWindow;
use super::upkeep::evacuation::EvacuatedZones;

/// Timeouts, intervals and limits of the scheduler.
#[derive(Clone, Copy, Debug)]
pub struct SchedulerSettings {
    /// Lease that the runs on a minion are granted.
    pub lease: Duration,
    /// Longest lease that minions accept. They shorten a longer one to it.
    pub max_lease: Duration,
    /// Safety margin after the end of a lease, after which its runs have certainly ended.
    pub lease_margin: Duration,
    /// Longest time that a hold waits for a run to end.
    ///
    /// A hold is a long-poll request for a minion's list of runs; it also extends the lease.
    pub hold_timeout: Duration,
    /// Pause between two holds of a busy minion, during which ended runs accumulate.
    pub hold_interval: Duration,
    /// Delay before a hold without an answer is repeated; it doubles with each further failure.
    pub hold_retry_delay: Duration,
    /// Interval between holds of a minion without runs.
    pub idle_hold_interval: Duration,
    /// Delay before an order without an answer is sent again.
    pub order_retry_delay: Duration,
    /// Longest time since the list of minions was last confirmed for which work is placed in pools
    /// whose minions don't enforce their capacity.
    pub max_list_age: Duration,
    /// Number of times that a start order may get no reply until its timeout before the run is given
    /// up.
    pub max_unanswered_starts: u32,
    /// Number of consecutive failed runs after which a minion gets no work for a back-off period.
    pub failure_threshold: u32,
    /// First back-off period of a minion whose runs fail; it doubles with each further failure.
    pub failure_backoff: Duration,
    /// Longest back-off period of a minion whose runs fail.
    pub failure_backoff_max: Duration,
    /// Delay before a failed task is started again.
    pub task_retry_delay: Duration,
    /// Reply time of start orders above which fewer are sent at a time.
    pub reply_target: Duration,
    /// Longest time that a run takes to end after a stop order.
    pub stop_timeout: Duration,
    /// Longest time that a hold waits on a minion with short tasks, so that stragglers are
    /// detected, or with best-effort tasks beside latency-sensitive ones.
    pub short_hold_timeout: Duration,
    /// Longest time that a hold waits on a minion that has left an order unanswered lately, so that
    /// a lost hold is noticed soon.
    pub doubtful_hold_timeout: Duration,
    /// Largest size of a job's stored progress up to which further work of the job begins, in bytes.
    pub max_progress_bytes: usize,
    /// Whether best-effort tasks are kept apart from the latency-sensitive tasks that they are
    /// seen to disturb.
    pub separates_interfering_tasks: bool,
}

impl Default for SchedulerSettings {
    fn default() -> Self {
        Self {
            lease: Duration::from_millis(6_000),
            max_lease: Duration::from_millis(6_000),
            lease_margin: Duration::from_millis(150),
            hold_timeout: Duration::from_millis(1_500),
            hold_interval: Duration::from_millis(40),
            hold_retry_delay: Duration::from_millis(200),
            idle_hold_interval: Duration::from_secs(20),
            order_retry_delay: Duration::from_millis(50),
            max_list_age: Duration::from_secs(3),
            max_unanswered_starts: 3,
            failure_threshold: 2,
            failure_backoff: Duration::from_millis(1_500),
            failure_backoff_max: Duration::from_secs(12),
            task_retry_delay: Duration::from_millis(20),
            reply_target: Duration::from_millis(200),
            stop_timeout: Duration::from_millis(900),
            short_hold_timeout: Duration::from_millis(500),
            doubtful_hold_timeout: Duration::from_millis(150),
            max_progress_bytes: 300_000,
            separates_interfering_tasks: true,
        }
    }
}

/// Scheduler of one leader term, which decides for all pools which task runs on which minion.
pub struct Scheduler {
    pub(super) settings: SchedulerSettings,
    pub(super) fence: u64,
    pub(super) site: Rc<Site>,
    pub(super) minions: SlotMap<MinionKey, Minion>,
    pub(super) minion_ids: FxHashMap<SmolStr, MinionKey>,
    /// Entries of minions of pools that the configuration doesn't name.
    pub(super) left_out: FxHashMap<SmolStr, MinionEntry>,
    /// Times until which removed minions may have leases from calls that were sent before, in case they come back.
    pub(super) removed_leases: FxHashMap<SmolStr, Duration>,
    /// Time at which the list of minions was last known to be up to date.
    pub(super) minions_confirmed_at: Option<Duration>,
    /// Availability zones in which nothing may start.
    pub(super) evacuated: EvacuatedZones,
    /// Whether the operator's requests to evacuate zones are known to be up to date.
    pub(super) evacuations_confirmed: bool,
    pub(super) jobs: SlotMap<JobKey, Job>,
    pub(super) job_ids: FxHashMap<JobId, JobKey>,
    pub(super) runs: SlotMap<RunKey, Run>,
    pub(super) queues: FxHashMap<SmolStr, PoolQueue>,
    /// Resources used by the known runs of each team.
    pub(super) usage: FxHashMap<SmolStr, Resources>,
    pub(super) unreported: UnreportedRuns,
    /// Minions that the earlier term used, that haven't reported to this one, and that no VM hosts any more.
    pub(super) unhosted_minions: FxHashSet<SmolStr>,
    /// Pools whose minions on probation take one short task at a time.
    pub(super) probation: Probation,
    /// Minions that the stored row may name as silent.
    pub(super) silent: SilentMinions,
    /// Upper bound of the resources used by each team's unreported runs.
    pub(super) unreported_usage: FxHashMap<SmolStr, Resources>,
    /// Jobs that have ended, kept so that a stale row doesn't add them again.
    pub(super) ended: EndedJobs,
    /// Jobs whose row in the store is out of date.
    pub(super) dirty: DirtyJobs,
    /// Jobs whose row is being written.
    pub(super) storing: FxHashSet<JobKey>,
    /// Whether an end of a job, or a crash under one of its tasks, isn't stored yet.
    pub(super) has_urgent_change: bool,
    /// Runs with an order to send or to repeat.
    pub(super) pending_orders: FxHashSet<RunKey>,
    /// Start orders without an answer whose runs have ended.
    pub(super) late_starts: LateStarts,
    /// Bound of the start orders in flight.
    pub(super) start_window: StartWindow,
    /// Replies of minions, which tell when an order is sent again.
    pub(super) replies: Replies,
    /// What found no room in the present scheduling round.
    pub(super) full_pools: FullPools,
    /// Number of runs that the present scheduling round has placed.
    pub(super) placed_this_round: usize,
    /// Tasks whose only run is a straggler and that may get a speculative run.
    pub(super) speculation_candidates: FxHashSet<(StepRef, u32)>,
    /// Tasks that crash minions, which are to be given up or suspended.
    pub(super) crashing_tasks: Vec<(JobKey, TaskRef)>,
    /// Jobs with runs on trial that the earlier term placed.
    pub(super) earlier_trials: EarlierTrials,
    /// Jobs that may have runs on trial whose outcome isn't known although their leases are over.
    pub(super) undecided_jobs: FxHashSet<JobKey>,
    /// Number of crashes in this term that no task explains.
    pub(super) unexplained_crashes: usize,
    /// Number of these that no start order without an answer explains either.
    pub(super) background_crashes: usize,
    /// Rate of the latter.
    pub(super) crash_rate: CrashRate,
    /// Steps with suspects that wait for their trial.
    pub(super) trial_waits: BTreeSet<StepRef>,
    /// Permits that the advisor has issued.
    pub(super) permits: Permits,
    /// Rate limiter for the teams' shares of jobs per second.
    pub(super) job_rates: JobRateLimiter,
    /// Estimator of run times, which learns from completed tasks.
    pub(super) durations: DurationEstimator,
    /// Long-running tasks that have no run that works.
    pub(super) long_running_waits: LongRunningWaits,
    /// What is known of the images that interfere with others on a minion.
    pub(super) interference: Interference,
    /// Jobs with future occurrences.
    pub(super) scheduled: FxHashSet<JobKey>,
    /// Jobs with steps whose turn has come and that wait to be opened.
    pub(super) unopened: FxHashSet<JobKey>,
    pub(super) actions: Vec<Action>,
    /// Events for the log since they were last taken.
    pub(super) events: Vec<SchedulerEvent>,
    pub(super) deposed: bool,
    /// Time until which runs may end that an earlier term has ordered to stop.
    pub(super) earlier_stops_until: Duration,
}

impl Scheduler {
    /// Creates the scheduler of a term; `fence` is the term's fencing token.
    pub fn new(
        settings: SchedulerSettings,
        fence: u64,
        site: Rc<Site>,
        unreported: UnreportedRuns,
    ) -> Self {
        Self {
            settings,
            fence,
            site,
            minions: SlotMap::with_key(),
            minion_ids: FxHashMap::default(),
            left_out: FxHashMap::default(),
            removed_leases: FxHashMap::default(),
            minions_confirmed_at: None,
            evacuated: EvacuatedZones::default(),
            evacuations_confirmed: true,
            jobs: SlotMap::with_key(),
            job_ids: FxHashMap::default(),
            runs: SlotMap::with_key(),
            queues: FxHashMap::default(),
            usage: FxHashMap::default(),
            unreported,
            unhosted_minions: FxHashSet::default(),
            probation: Probation::default(),
            silent: SilentMinions::default(),
            unreported_usage: FxHashMap::default(),
            ended: EndedJobs::default(),
            dirty: DirtyJobs::default(),
            storing: FxHashSet::default(),
            has_urgent_change: false,
            pending_orders: FxHashSet::default(),
            late_starts: LateStarts::default(),
            start_window: StartWindow::default(),
            replies: Replies::default(),
            placed_this_round: 0,
            speculation_candidates: FxHashSet::default(),
            crashing_tasks: Vec::new(),
            earlier_trials: EarlierTrials::default(),
            undecided_jobs: FxHashSet::default(),
            unexplained_crashes: 0,
            background_crashes: 0,
            crash_rate: CrashRate::default(),
            trial_waits: BTreeSet::new(),
            permits: Permits::default(),
            job_rates: JobRateLimiter::default(),
            durations: DurationEstimator::default(),
            long_running_waits: LongRunningWaits::default(),
            interference: Interference::default(),
            scheduled: FxHashSet::default(),
            unopened: FxHashSet::default(),
            full_pools: FullPools::default(),
            actions: Vec::new(),
            events: Vec::new(),
            deposed: false,
            earlier_stops_until: Duration::ZERO,
        }
    }

    /// Replaces the site configuration by a newer one.
    pub fn set_site(&mut self, site: Rc<Site>) {
        self.site = site;
    }

    /// Returns whether a minion has refused a request because it had seen a higher fencing token.
    pub fn is_deposed(&self) -> bool {
        self.deposed
    }

    /// Runs a scheduling round and returns its orders, which the caller must send at once.
    ///
    /// `unix_ms` is the current wall-clock time in Unix milliseconds.
    pub fn decide(&mut self, now: Duration, unix_ms: u64) -> Vec<Action> {
        self.crash_rate.update(self.background_crashes, now);
        self.add_minions_of_new_pools(now);
        self.add_due_occurrences(now, unix_ms);
        self.extend_unreported_leases(now, unix_ms);
        self.forget_removed_leases(now);
        self.end_expired_runs(now);
        self.give_up_crashing_tasks(now, unix_ms);
        self.end_trials();
        self.update_trials_on_leaving_minions();
        self.withdraw_starts_in_evacuated_zones();
        self.withdraw_trials_on_suspect_minions();
        self.stop_late_starts(now);
        self.repeat_orders(now);
        self.events.extend(self.interference.age(now));
        self.place(now);
        self.send_orders(now);
        self.send_holds(now);
        self.report_long_running_waits(now);
        std::mem::take(&mut self.actions)
    }

    /// Takes the events that are to be logged.
    pub fn take_events(&mut self) -> Vec<SchedulerEvent> {
        std::mem::take(&mut self.events)
    }

    /// Returns all minions with their keys.
    pub fn minions(&self) -> impl Iterator<Item = (MinionKey, &Minion)> {
        self.minions.iter()
    }

    /// Returns the minion with this key.
    pub fn minion(&self, key: MinionKey) -> Option<&Minion> {
        self.minions.get(key)
    }

    /// Returns the key of the minion with this identifier.
    pub fn minion_by_id(&self, id: &str) -> Option<MinionKey> {
        self.minion_ids.get(id).copied()
    }

    /// Returns the job with this identifier, unless it is unknown or has been dropped.
    pub fn job(&self, id: JobId) -> Option<&Job> {
        self.jobs.get(*self.job_ids.get(&id)?)
    }

    /// Returns the state of a job that callers may see: a final state only once it is stored.
    pub fn visible_state(&self, id: JobId) -> Option<JobState> {
        let Some(key) = self.job_ids.get(&id) else {
            return self.ended.state(id);
        };
        let state = self.jobs.get(*key)?.state;
        let has_unstored_changes = self.dirty.contains(*key) || self.storing.contains(key);
        let shown = if state.is_final() && has_unstored_changes {
            JobState::Running
        } else {
            state
        };
        Some(shown)
    }

    /// Returns the number of jobs without a schedule that haven't started, by queue.
    pub fn waiting_jobs(&self) -> Vec<(SmolStr, u64)> {
        let mut counts: BTreeMap<SmolStr, u64> = BTreeMap::new();
        let waiting = self
            .jobs
            .values()
            .filter(|job| job.state == JobState::Queued && job.spec.schedule.is_none());
        for job in waiting {
            *counts.entry(job.spec.queue.clone()).or_default() += 1;
        }
        counts.into_iter().collect()
    }

    /// Returns the memory that the jobs take, by team.
    pub fn held_bytes(&self) -> HeldBytes {
        let mut held = HeldBytes::default();
        for job in self.jobs.values() {
            held.add(job.spec.team.as_ref(), job.held_bytes());
        }
        held
    }

    /// Returns the number of occurrences that are due and haven't begun, over all jobs.
    pub fn due_occurrences(&self) -> u64 {
        let due = self.jobs.values().map(Job::due_occurrences);
        due.map(u64::from).sum()
    }

    /// Returns the runs that may still exist on a minion.
    pub fn runs(&self) -> impl Iterator<Item = &Run> {
        self.runs.values()
    }

    /// Returns the recipient of orders to a minion: its address and the fencing token.
    pub(super) fn recipient(&self, key: MinionKey) -> Option<Recipient> {
        let minion = self.minions.get(key)?;
        Some(Recipient {
            minion: key,
            id: minion.entry.id.clone(),
            address: minion.entry.address.clone(),
            fence: self.fence,
        })
    }
}
