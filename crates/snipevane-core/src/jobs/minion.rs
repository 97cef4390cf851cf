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
    pub leaves_in_ms: Option<u64>,
    /// Time at which this incarnation started, in Unix milliseconds; 0 if unknown.
    pub born_unix_ms: u64,
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
    pub booked: Resources,
    /// Runs that may be there.
    pub runs: FxHashSet<RunKey>,
    /// Incarnation that the last list of runs named, in Unix milliseconds.
    pub born: Option<u64>,
    /// Whether it has accepted the present fencing token.
    pub fence_raised: bool,
    /// Whether an order or a hold went unanswered since the last list of runs.
    pub suspect: bool,
    /// Whether it answered the last hold.
    pub reached: bool,
    /// Time of the last list of runs.
    pub last_contact: Option<Duration>,
    /// Number of the last end that was taken in.
    pub seen: u64,
    /// Number of the last end that is stored, so that the minion may forget it.
    pub stored: u64,
    /// Number of the last end that the minion was told to forget.
    pub acked: u64,
    /// Whether a hold is under way.
    pub hold_in_flight: bool,
    /// Time before which no further hold is sent.
    pub hold_not_before: Duration,
    /// Holds without an answer in a row.
    pub hold_failures: u32,
    /// Steps whose runs failed here since one was done.
    pub(super) failed_steps: Vec<StepRef>,
    /// Time before which nothing new is placed here.
    pub avoid_until: Duration,
    /// Time before which nothing new is placed here, as its runs fall behind.
    pub slow_until: Duration,
    /// Mean speed of its runs as a part of the expected one, and when it was read.
    pub speed: Option<(f64, Duration)>,
    /// Times that it was found slow since a run last kept up.
    pub times_slow: u32,
    /// Whether it runs only one short task at a time, until that keeps up.
    pub on_trial: bool,
    /// Time at which shares of its tasks were last changed.
    pub paced_at: Duration,
    /// Whether planned work is about to take it down.
    pub cordoned: bool,
    clock: Option<ClockReading>,
    /// Time at which the last lease has surely ended.
    lease_over_at: Duration,
}

impl Minion {
    /// Creates a minion of which nothing but its entry is known.
    ///
    /// Leases that an earlier term granted end at `lease_over_at` at the latest.
    pub fn new(entry: MinionEntry, lease_over_at: Duration) -> Self {
        Self {
            entry,
            listed: true,
            recorded: false,
            booked: Resources::default(),
            runs: FxHashSet::default(),
            born: None,
            fence_raised: false,
            suspect: false,
            reached: true,
            last_contact: None,
            seen: 0,
            stored: 0,
            acked: 0,
            hold_in_flight: false,
            hold_not_before: Duration::ZERO,
            hold_failures: 0,
            failed_steps: Vec::new(),
            avoid_until: Duration::ZERO,
            slow_until: Duration::ZERO,
            speed: None,
            times_slow: 0,
            on_trial: false,
            paced_at: Duration::ZERO,
            cordoned: false,
            clock: None,
            lease_over_at,
        }
    }

    /// Takes note of the minion's clock, read before `received_at`.
    pub fn read_clock(&mut self, minion_ms: u64, received_at: Duration) {
        let is_newer = self
            .clock
            .is_none_or(|clock| received_at >= clock.received_at);
        if is_newer && minion_ms >= self.clock_at_least(received_at).unwrap_or(0) {
            self.clock = Some(ClockReading {
                minion_ms,
                received_at,
            });
        }
    }

    /// Forgets clock and ends, as the minion began anew.
    pub fn reborn(&mut self, born: u64) {
        self.born = Some(born);
        self.clock = None;
        self.seen = 0;
        self.stored = 0;
        self.acked = 0;
        self.failed_steps.clear();
        self.avoid_until = Duration::ZERO;
        self.slow_until = Duration::ZERO;
        self.speed = None;
        self.times_slow = 0;
        self.on_trial = false;
    }

    /// Returns what the minion's clock shows at least, in milliseconds.
    pub fn clock_at_least(&self, now: Duration) -> Option<u64> {
        let clock = self.clock?;
        let elapsed = now.saturating_sub(clock.received_at) * SLOWEST_CLOCK_PERCENT / PERCENT;
        Some(clock.minion_ms + millis(elapsed))
    }

    /// Returns the end of a lease of `length` from now on the minion's clock, in milliseconds, and
    /// takes note that it is sent.
    pub fn grant_lease(&mut self, length: Duration, now: Duration) -> Option<u64> {
        let end = self.clock_at_least(now)? + millis(length);
        let over_at = now + length * PERCENT / SLOWEST_CLOCK_PERCENT;
        self.lease_over_at = self.lease_over_at.max(over_at);
        Some(end)
    }

    /// Returns whether all runs have surely ended for want of a lease.
    pub fn lease_is_over(&self, slack: Duration, now: Duration) -> bool {
        now > self.lease_over_at + slack
    }

    /// Returns the capacity that is left.
    pub fn room(&self) -> Resources {
        self.entry.capacity.minus(&self.booked)
    }

    /// Returns whether new work may be placed here.
    pub fn takes_work(&self, now: Duration) -> bool {
        self.listed
            && self.recorded
            && self.fence_raised
            && !self.suspect
            && !self.cordoned
            && !self.entry.draining
            && now >= self.avoid_until
            && now >= self.slow_until
    }
}

/// Returns whole milliseconds.
pub(super) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
