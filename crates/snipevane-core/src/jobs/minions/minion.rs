//! The state that the scheduler keeps for a minion.

use std::collections::VecDeque;
use std::time::Duration;

use rustc_hash::FxHashSet;
use smol_str::SmolStr;

use super::incarnations::Incarnations;
use super::leases::Leases;
use crate::jobs::action::Acknowledgement;
use crate::jobs::model::keys::{JobKey, RunKey, StepRef};
use crate::placement::Resources;
use crate::reply_time::ReplyTime;

use crate::jobs::running::transmissions::Transmissions;
use crate::jobs::upkeep::vm::Cordon;

/// Number of run lists in a row with stored ends after which no connection to the minion is taken to last.
const MAX_LISTS_WITHOUT_ACK: u32 = 8;

/// Time for which a minion is doubtful after it has left an order unanswered.
const DOUBT_PERIOD: Duration = Duration::from_secs(3);

/// Number of jobs above which those whose starts weren't answered are each an unlikely cause of a crash.
const MAX_UNANSWERED_JOBS: usize = 4;

/// A minion's entry in the list of minions, as the minion publishes it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MinionEntry {
    /// Identifier of the minion.
    pub id: SmolStr,
    /// Pool that the minion belongs to.
    pub pool: SmolStr,
    /// Address of the minion's interface, with the port.
    pub address: SmolStr,
    /// Availability zone.
    pub zone: SmolStr,
    /// Rack; empty if the entry names none.
    pub rack: SmolStr,
    /// All labels of the minion.
    pub labels: Vec<SmolStr>,
    /// Total capacity, whether or not it is in use.
    pub capacity: Resources,
    /// Whether the minion is draining, so that it gets no new work.
    pub draining: bool,
    /// Time until a draining minion leaves, in milliseconds, if the entry gives it.
    pub drain_remaining_ms: Option<u64>,
    /// Time for which the minion stays slow after its start, in milliseconds; 0 once it is warm.
    pub warmup_left_ms: u64,
    /// Start of the present incarnation, in Unix milliseconds; 0 if unknown.
    pub started_unix_ms: u64,
}

/// A run end that was received and isn't known to be stored.
#[derive(Clone, Copy, Debug)]
pub(in crate::jobs) struct UnstoredEnd {
    /// Sequence number of the end.
    pub(in crate::jobs) number: u64,
    /// Job that the run belongs to.
    pub(in crate::jobs) job: JobKey,
}

/// Reservation of a minion for a job with runs on trial.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::jobs) struct Reservation {
    /// The job.
    pub(in crate::jobs) job: JobKey,
    /// Whether one of the tasks on trial is a likely cause of crashes.
    pub(in crate::jobs) of_likely_cause: bool,
}

/// What is known of the crash of a minion.
#[derive(Clone, Copy, Debug)]
pub(in crate::jobs) struct Crash {
    /// Job that is the most likely cause, if there is one.
    pub(in crate::jobs) cause: Option<JobKey>,
    /// Only job whose start the minion isn't known to have outlived, if there is one.
    pub(in crate::jobs) latest_job: Option<JobKey>,
    /// The same, if that wasn't answered though the minion had
    /// been heard of right before.
    pub(in crate::jobs) lost_with: Option<JobKey>,
    /// Time from which on start orders went to a minion that was gone already; `None` if all were answered.
    pub(in crate::jobs) starts_until: Option<Duration>,
    /// Number of jobs with starts without an answer there.
    pub(in crate::jobs) unanswered_jobs: usize,
    /// Whether the minion had runs whose start it isn't known to have outlived.
    pub(in crate::jobs) had_fresh_runs: bool,
    /// Whether the minion ran a task that had likely crashed others before.
    pub(in crate::jobs) has_likely_cause: bool,
}

impl Crash {
    /// Returns whether so many jobs had starts without an answer there that each of them is an unlikely cause.
    pub(in crate::jobs) fn is_crowded(&self) -> bool {
        self.unanswered_jobs > MAX_UNANSWERED_JOBS
    }
}

/// A minion, its runs, and the state of the calls to it.
#[derive(Clone, Debug)]
pub struct Minion {
    /// Latest entry that the list of minions had for it.
    pub entry: MinionEntry,
    /// Whether the list of minions still contains it.
    pub listed: bool,
    /// Whether the scheduler's stored row names it, so that a later term knows of it.
    pub recorded: bool,
    /// Capacity allocated to runs.
    pub allocated: Resources,
    /// Runs that may exist on the minion.
    pub runs: FxHashSet<RunKey>,
    /// Incarnations that are known from its lists of runs.
    pub(in crate::jobs) incarnations: Incarnations,
    /// Time at which its entry was last read.
    pub(in crate::jobs) entry_read_at: Duration,
    /// Whether the minion has accepted the present term's fencing token.
    pub fence_accepted: bool,
    /// Whether it gets neither leases nor starts, as the stored row may name it as silent.
    pub(in crate::jobs) leases_withheld: bool,
    /// Whether the state of its runs is in doubt, for example because an order or a hold went
    /// unanswered since the last list of runs.
    pub suspect: bool,
    /// Whether it is reachable, by the outcome of the last hold; true until one has failed.
    pub reachable: bool,
    /// Whether its last list contains runs of tasks that the scheduler doesn't know, which take up an
    /// unknown part of its capacity until they have ended.
    pub(in crate::jobs) has_unknown_runs: bool,
    /// Address at which it last listed its runs; empty before.
    pub(in crate::jobs) listed_at: SmolStr,
    /// Time at which the last call was sent that the minion is known to have answered.
    pub(in crate::jobs) alive_at: Option<Duration>,
    /// Time at which the minion was last known to be running, from its lists of runs.
    pub last_contact: Option<Duration>,
    /// Minion's clock in the last list of runs that was processed, in milliseconds.
    pub(in crate::jobs) list_clock_ms: u64,
    /// Sequence number of the last run end that was received and processed.
    pub received_seq: u64,
    /// Ends that were received and whose job has a change to store, by ascending number.
    pub(in crate::jobs) unstored_ends: VecDeque<UnstoredEnd>,
    /// Sequence number of the last run end that is stored, so that the minion may forget it.
    pub stored_seq: u64,
    /// Sequence number of the last run end that the minion has forgotten, by its run lists.
    pub acked_seq: u64,
    /// Run lists in a row that contained ends that were stored before.
    pub(in crate::jobs) lists_without_ack: u32,
    /// Transmissions of the present hold.
    pub holds: Transmissions,
    /// Longest time for which the minion may hold back its reply to the last hold.
    pub(in crate::jobs) hold_wait: Duration,
    /// Time on the minion's clock to which the present hold extends the leases, if it does.
    pub(in crate::jobs) hold_lease_end_ms: Option<u64>,
    /// Time that its replies to orders take.
    pub(in crate::jobs) reply_time: ReplyTime,
    /// Time at which an order was last sent to it again for want of a reply.
    pub(in crate::jobs) repeated_at: Option<Duration>,
    /// Number of orders that were sent to it again since its last reply.
    pub(in crate::jobs) repeats_since_reply: u32,
    /// Time before which no further hold is sent.
    pub hold_not_before: Duration,
    /// Consecutive holds that failed.
    pub hold_failures: u32,
    /// Steps of the runs that have failed here since a run was last done, one entry per failure.
    pub(in crate::jobs) failed_steps: Vec<StepRef>,
    /// Time before which nothing new is placed here because runs failed or orders were refused.
    pub failure_backoff_until: Duration,
    /// Time before which nothing new is placed here because its runs are slow.
    pub slow_backoff_until: Duration,
    /// Mean speed of its runs as a fraction of the expected speed, and the time of the measurement.
    pub speed: Option<(f64, Duration)>,
    /// Number of times that it was found slow since a run last finished in time.
    pub slow_count: u32,
    /// Whether it gets only one short task at a time, until one finishes in time.
    pub on_probation: bool,
    /// Time at which CPU shares of its tasks were last changed.
    pub cpu_shares_changed_at: Duration,
    /// Time since which tail latency is high in its run lists, if it is.
    pub(in crate::jobs) tail_high_since: Option<Duration>,
    /// Time until which it is cold, that is, slow because it has just started.
    pub cold_until: Duration,
    /// Whether it gets no new work, as maintenance or a move of its VM is in progress.
    pub cordon: Cordon,
    /// Whether maintenance of its VM is requested and hasn't begun, so that long-running tasks would have to
    /// leave soon.
    pub awaits_maintenance: bool,
    /// Job with a run on trial here; no other job gets work here meanwhile.
    pub(in crate::jobs) trial: Option<Reservation>,
    /// Time at which a restart was last noticed.
    pub(in crate::jobs) restarted_at: Option<Duration>,
    /// Crash of the present incarnation, once it is known.
    pub(in crate::jobs) crash: Option<Crash>,
    /// Leases of its runs, and what is known of its clock.
    pub(in crate::jobs) leases: Leases,
}

impl Minion {
    /// Creates a minion of which only the entry is known, and the leases that it may have from earlier calls.
    pub(in crate::jobs) fn new(entry: MinionEntry, leases: Leases) -> Self {
        Self {
            entry,
            listed: true,
            recorded: false,
            allocated: Resources::default(),
            runs: FxHashSet::default(),
            incarnations: Incarnations::default(),
            entry_read_at: Duration::ZERO,
            fence_accepted: false,
            leases_withheld: false,
            suspect: false,
            reachable: true,
            has_unknown_runs: false,
            listed_at: SmolStr::default(),
            alive_at: None,
            last_contact: None,
            list_clock_ms: 0,
            received_seq: 0,
            unstored_ends: VecDeque::new(),
            stored_seq: 0,
            acked_seq: 0,
            lists_without_ack: 0,
            holds: Transmissions::default(),
            hold_wait: Duration::ZERO,
            hold_lease_end_ms: None,
            reply_time: ReplyTime::default(),
            repeated_at: None,
            repeats_since_reply: 0,
            hold_not_before: Duration::ZERO,
            hold_failures: 0,
            failed_steps: Vec::new(),
            failure_backoff_until: Duration::ZERO,
            slow_backoff_until: Duration::ZERO,
            speed: None,
            slow_count: 0,
            on_probation: false,
            cpu_shares_changed_at: Duration::ZERO,
            tail_high_since: None,
            cold_until: Duration::ZERO,
            cordon: Cordon::None,
            awaits_maintenance: false,
            trial: None,
            restarted_at: None,
            crash: None,
            leases,
        }
    }

    /// Returns whether a restart was noticed after this time.
    pub(in crate::jobs) fn restarted_since(&self, at: Duration) -> bool {
        self.restarted_at
            .is_some_and(|restarted_at| at < restarted_at)
    }

    /// Records that the ends up to a number are stored.
    pub(in crate::jobs) fn record_stored_ends(&mut self, last_number: u64) {
        self.stored_seq = self.stored_seq.max(last_number);
        while self
            .unstored_ends
            .pop_front_if(|end| end.number <= last_number)
            .is_some()
        {}
    }

    /// Returns what a hold is to acknowledge now: nothing if the minion has forgotten all stored ends.
    ///
    /// Another incarnation may have used the same sequence numbers for ends that weren't read yet. So an
    /// acknowledgement needs a connection that leads to no later one, unless none lasts from one hold to the next.
    pub(in crate::jobs) fn acknowledgement(&self) -> Acknowledgement {
        if self.stored_seq <= self.acked_seq {
            return Acknowledgement::default();
        }
        let no_connection_lasts = self.lists_without_ack >= MAX_LISTS_WITHOUT_ACK && !self.suspect;
        Acknowledgement {
            last_end: self.stored_seq,
            connected_before: (!no_connection_lasts).then(|| self.incarnations.ran_after()),
        }
    }

    /// Records which ends a run list of the known incarnation contained, once they are processed: `first` is the
    /// lowest sequence number.
    pub(in crate::jobs) fn record_listed_ends(&mut self, first: Option<u64>) {
        let forgotten = first.map_or(self.received_seq, |first| first.saturating_sub(1));
        let has_new_ack = forgotten > self.acked_seq;
        self.acked_seq = self.acked_seq.max(forgotten);
        let has_stored_ends = self.stored_seq > self.acked_seq;
        self.lists_without_ack = if has_new_ack || !has_stored_ends {
            0
        } else {
            self.lists_without_ack.saturating_add(1)
        };
    }

    /// Returns whether the minion may get a task of a job although it, or the task, may be on trial.
    pub(in crate::jobs) fn trial_allows(&self, job: JobKey, may_begin_trial: bool) -> bool {
        self.trial.map_or(may_begin_trial, |trial| trial.job == job)
    }

    /// Records the time for which the entry, read at `now`, says that the minion stays slow.
    pub(in crate::jobs) fn record_warmup(&mut self, now: Duration) {
        let left = Duration::from_millis(self.entry.warmup_left_ms);
        self.cold_until = if left.is_zero() {
            self.cold_until.min(now)
        } else {
            now + left
        };
    }

    /// Returns whether the minion is cold, that is, slow because it has just started.
    pub fn is_cold(&self, now: Duration) -> bool {
        now < self.cold_until
    }

    /// Returns whether so many runs have failed here since one was done that the minion is to blame.
    pub(in crate::jobs) fn is_failing(&self, failure_threshold: u32) -> bool {
        self.failed_steps.len() >= failure_threshold as usize
    }

    /// Returns whether the minion has left an order unanswered lately.
    pub(in crate::jobs) fn is_doubtful(&self, now: Duration) -> bool {
        self.repeated_at.is_some_and(|at| now < at + DOUBT_PERIOD)
    }

    /// Resets the clock, the sequence numbers and the record of failures and speed after a restart.
    ///
    /// The next incarnation accepts leases of up to `max_lease`.
    pub(in crate::jobs) fn reset_for_incarnation(
        &mut self,
        incarnation: u64,
        max_lease: Duration,
        now: Duration,
    ) {
        self.incarnations.record(incarnation, now);
        self.leases.reset_clock(max_lease);
        self.hold_lease_end_ms = None;
        self.list_clock_ms = 0;
        self.received_seq = 0;
        self.unstored_ends.clear();
        self.stored_seq = 0;
        self.acked_seq = 0;
        self.failed_steps.clear();
        self.failure_backoff_until = Duration::ZERO;
        self.slow_backoff_until = Duration::ZERO;
        self.speed = None;
        self.slow_count = 0;
        self.on_probation = false;
        self.crash = None;
        self.has_unknown_runs = false;
    }

    /// Returns the start of the last known incarnation, in Unix milliseconds.
    pub fn incarnation(&self) -> Option<u64> {
        self.incarnations.known()
    }

    /// Returns the lowest value that the minion's clock can show now, in milliseconds; `None` if
    /// the clock hasn't been read.
    pub fn clock_lower_bound(&self, now: Duration) -> Option<u64> {
        self.leases.clock_lower_bound(now)
    }

    /// Returns the capacity that isn't allocated.
    pub fn free_capacity(&self) -> Resources {
        self.entry.capacity.minus(&self.allocated)
    }

    /// Returns whether the entry describes the present incarnation, as far as is known. Another one may be
    /// of a smaller kind.
    fn has_current_entry(&self) -> bool {
        let entry_start = self.entry.started_unix_ms;
        !self
            .incarnations
            .is_outdated(entry_start, self.entry_read_at)
    }

    /// Returns whether new work may be placed here.
    pub fn is_schedulable(&self, now: Duration) -> bool {
        self.listed
            && self.recorded
            && self.fence_accepted
            && !self.leases_withheld
            && !self.suspect
            && self.cordon == Cordon::None
            && !self.entry.draining
            && self.has_current_entry()
            && !self.has_unknown_runs
            && self.allocated.fits_in(&self.entry.capacity)
            && now >= self.failure_backoff_until
            && now >= self.slow_backoff_until
    }
}

/// Converts a duration to whole milliseconds, at most `u64::MAX`.
pub(in crate::jobs) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
