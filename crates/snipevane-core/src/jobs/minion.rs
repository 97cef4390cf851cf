//! A minion as the scheduler knows it.

use std::time::Duration;

use rustc_hash::FxHashSet;
use slotmap::new_key_type;
use smol_str::SmolStr;

use crate::placement::Resources;

use super::queue::StepRef;
use super::run::RunKey;

new_key_type! {
    /// Key of a minion.
    pub struct MinionKey;
}

/// Slowest rate of a minion's clock against ours, in percent.
const SLOWEST_CLOCK_PERCENT: u32 = 98;
const PERCENT: u32 = 100;

/// What a minion says of itself.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MinionEntry {
    /// Identifier.
    pub id: SmolStr,
    /// Pool that it belongs to.
    pub pool: SmolStr,
    /// Address of its interface, with the port.
    pub address: SmolStr,
    /// Availability zone.
    pub zone: SmolStr,
    /// Rack, if one is named.
    pub rack: SmolStr,
    /// All labels.
    pub labels: Vec<SmolStr>,
    /// Whole capacity.
    pub capacity: Resources,
    /// Whether it is leaving.
    pub draining: bool,
    /// Time that is left before it leaves, if it says so, in milliseconds.
    pub drain_remaining_ms: Option<u64>,
    /// Time at which this incarnation started, in Unix milliseconds; 0 if unknown.
    pub started_unix_ms: u64,
}

/// A reading of a minion's clock.
#[derive(Clone, Copy, Debug)]
struct ClockReading {
    minion_ms: u64,
    received_at: Duration,
}

/// A minion with what was ordered from it.
#[derive(Clone, Debug)]
pub struct Minion {
    /// What it says of itself.
    pub entry: MinionEntry,
    /// Whether the list of minions still holds it.
    pub listed: bool,
    /// Whether the scheduler's stored row names it.
    pub recorded: bool,
    /// Capacity taken by runs.
    pub allocated: Resources,
    /// Runs that may be there.
    pub runs: FxHashSet<RunKey>,
    /// Incarnation that the last list of runs named, in Unix milliseconds.
    pub incarnation: Option<u64>,
    /// Whether it has accepted the present fencing token.
    pub fence_accepted: bool,
    /// Whether an order or a hold went unanswered since the last list of runs.
    pub suspect: bool,
    /// Whether it answered the last hold.
    pub reachable: bool,
    /// Time of the last list of runs.
    pub last_contact: Option<Duration>,
    /// Number of the last end that was taken in.
    pub received_seq: u64,
    /// Number of the last end that is stored, so that the minion may forget it.
    pub stored_seq: u64,
    /// Number of the last end that the minion was told to forget.
    pub acked_seq: u64,
    /// Whether a hold is under way.
    pub hold_in_flight: bool,
    /// Time before which no further hold is sent.
    pub hold_not_before: Duration,
    /// Holds without an answer in a row.
    pub hold_failures: u32,
    /// Steps whose runs failed here since one was done.
    pub(super) failed_steps: Vec<StepRef>,
    /// Time before which nothing new is placed here.
    pub failure_backoff_until: Duration,
    /// Time before which nothing new is placed here, as its runs fall behind.
    pub slow_backoff_until: Duration,
    /// Mean speed of its runs as a part of the expected one, and when it was read.
    pub speed: Option<(f64, Duration)>,
    /// Times that it was found slow since a run last kept up.
    pub slow_count: u32,
    /// Whether it runs only one short task at a time, until that keeps up.
    pub on_probation: bool,
    /// Time at which shares of its tasks were last changed.
    pub cpu_shares_changed_at: Duration,
    /// Whether planned work is about to take it down.
    pub cordoned: bool,
    clock: Option<ClockReading>,
    /// Time at which the last lease has surely ended.
    leases_expire_at: Duration,
}

impl Minion {
    /// Creates a minion of which nothing but its entry is known.
    ///
    /// Leases that an earlier term granted end at `leases_expire_at` at the latest.
    pub fn new(entry: MinionEntry, leases_expire_at: Duration) -> Self {
        Self {
            entry,
            listed: true,
            recorded: false,
            allocated: Resources::default(),
            runs: FxHashSet::default(),
            incarnation: None,
            fence_accepted: false,
            suspect: false,
            reachable: true,
            last_contact: None,
            received_seq: 0,
            stored_seq: 0,
            acked_seq: 0,
            hold_in_flight: false,
            hold_not_before: Duration::ZERO,
            hold_failures: 0,
            failed_steps: Vec::new(),
            failure_backoff_until: Duration::ZERO,
            slow_backoff_until: Duration::ZERO,
            speed: None,
            slow_count: 0,
            on_probation: false,
            cpu_shares_changed_at: Duration::ZERO,
            cordoned: false,
            clock: None,
            leases_expire_at,
        }
    }

    /// Takes note of the minion's clock, read before `received_at`.
    pub fn update_clock(&mut self, minion_ms: u64, received_at: Duration) {
        let is_newer = self
            .clock
            .is_none_or(|clock| received_at >= clock.received_at);
        if is_newer && minion_ms >= self.clock_lower_bound(received_at).unwrap_or(0) {
            self.clock = Some(ClockReading {
                minion_ms,
                received_at,
            });
        }
    }

    /// Forgets clock and ends, as the minion began anew.
    pub fn reset_for_incarnation(&mut self, incarnation: u64) {
        self.incarnation = Some(incarnation);
        self.clock = None;
        self.received_seq = 0;
        self.stored_seq = 0;
        self.acked_seq = 0;
        self.failed_steps.clear();
        self.failure_backoff_until = Duration::ZERO;
        self.slow_backoff_until = Duration::ZERO;
        self.speed = None;
        self.slow_count = 0;
        self.on_probation = false;
    }

    /// Returns what the minion's clock shows at least, in milliseconds.
    pub fn clock_lower_bound(&self, now: Duration) -> Option<u64> {
        let clock = self.clock?;
        let elapsed = now.saturating_sub(clock.received_at) * SLOWEST_CLOCK_PERCENT / PERCENT;
        Some(clock.minion_ms + millis(elapsed))
    }

    /// Returns the end of a lease of `length` from now on the minion's clock, in milliseconds, and
    /// takes note that it is sent.
    pub fn grant_lease(&mut self, length: Duration, now: Duration) -> Option<u64> {
        let end = self.clock_lower_bound(now)? + millis(length);
        let expires_at = now + length * PERCENT / SLOWEST_CLOCK_PERCENT;
        self.leases_expire_at = self.leases_expire_at.max(expires_at);
        Some(end)
    }

    /// Returns whether all runs have surely ended for want of a lease.
    pub fn leases_expired(&self, slack: Duration, now: Duration) -> bool {
        now > self.leases_expire_at + slack
    }

    /// Returns the capacity that is left.
    pub fn free_capacity(&self) -> Resources {
        self.entry.capacity.minus(&self.allocated)
    }

    /// Returns whether new work may be placed here.
    pub fn is_schedulable(&self, now: Duration) -> bool {
        self.listed
            && self.recorded
            && self.fence_accepted
            && !self.suspect
            && !self.cordoned
            && !self.entry.draining
            && now >= self.failure_backoff_until
            && now >= self.slow_backoff_until
    }
}

/// Returns whole milliseconds.
pub(super) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
