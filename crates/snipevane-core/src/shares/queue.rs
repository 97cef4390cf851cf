//! The share queue of one service at one entry VM.

use std::collections::{BTreeSet, VecDeque};
use std::time::{Duration, Instant};

use rustc_hash::FxHashMap;
use slotmap::{SlotMap, new_key_type};
use snipevane_proto::manifest::Urgency;

use super::error::QueueFull;
use super::order::{Rank, TeamOrder};
use super::start_interval::StartInterval;
use super::team::{CLASSES, TeamState};
use crate::ids::TeamKey;

new_key_type! {
    /// Key of a waiting request.
    pub struct WaitKey;
}

const URGENT: usize = 0;
const OVERNIGHT: usize = 2;

/// Largest exponent that the scale of uses reaches before all uses are scaled down.
const MAX_EXPONENT: f64 = 256.0;
/// Shortest and longest time after which a refused caller is asked to try again.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);
/// Time between two starts in seconds, as long as none was seen.
const INITIAL_INTERVAL_SECONDS: f64 = 0.1;
/// Longest time before its latest start at which overnight work counts as urgent.
const MAX_OVERNIGHT_LEAD: Duration = Duration::from_secs(3600);

/// Settings of a [`FairQueue`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QueueSettings {
    /// Requests that wait at most.
    pub max_waiting: usize,
    /// Length up to which a team may hold more than its part, in percent of `max_waiting`.
    pub unrestricted_percent: usize,
    /// Time in which past use counts half.
    pub half_life: Duration,
    /// Time for which a team that can't start anything isn't asked again.
    pub skip_duration: Duration,
    /// Shortest time before its latest start at which overnight work counts as urgent.
    pub overnight_lead: Duration,
}

impl Default for QueueSettings {
    fn default() -> Self {
        Self {
            max_waiting: 1024,
            unrestricted_percent: 75,
            half_life: Duration::from_secs(60),
            skip_duration: Duration::from_millis(10),
            overnight_lead: Duration::from_secs(5),
        }
    }
}

/// A request that waits for a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WaitingRequest<T> {
    /// Team that the request belongs to.
    pub team: TeamKey,
    /// Order in which the request is taken.
    pub urgency: Urgency,
    /// Latest time at which the request may start.
    pub start_by: Instant,
    /// The request itself.
    pub item: T,
}

#[derive(Clone, Debug)]
struct Entry<T> {
    waiting: WaitingRequest<T>,
    /// Urgency under which the request waits now.
    class: usize,
    /// Number in order of arrival.
    arrival: u64,
}

/// Requests that wait for a slot of one service.
#[derive(Clone, Debug)]
pub struct FairQueue<T> {
    settings: QueueSettings,
    entries: SlotMap<WaitKey, Entry<T>>,
    teams: FxHashMap<TeamKey, TeamState>,
    orders: [TeamOrder; CLASSES],
    /// Waiting requests in order of their latest start for each urgency.
    by_deadline: [BTreeSet<(Instant, u64, WaitKey)>; CLASSES],
    /// Teams left out for now, in order of the time at which they are asked again.
    skipped: VecDeque<(Instant, TeamKey)>,
    /// Sum of the shares of the teams that have requests waiting.
    waiting_weight: u64,
    start_interval: StartInterval,
    /// Requests whose latest start passed before [`FairQueue::expire`] asked for them.
    expired: Vec<T>,
    arrivals: u64,
    starts: u64,
    /// Time at which the scale of uses is 1.
    epoch: Option<Instant>,
}

impl<T> FairQueue<T> {
    /// Creates an empty queue.
    pub fn new(settings: QueueSettings) -> Self {
        Self {
            settings,
            entries: SlotMap::with_key(),
            teams: FxHashMap::default(),
            orders: Default::default(),
            by_deadline: Default::default(),
            skipped: VecDeque::new(),
            waiting_weight: 0,
            start_interval: StartInterval::default(),
            expired: Vec::new(),
            arrivals: 0,
            starts: 0,
            epoch: None,
        }
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the number of waiting requests of a team.
    pub fn len_of(&self, team: TeamKey) -> usize {
        self.teams.get(&team).map_or(0, TeamState::len)
    }

    /// Adds a request.
    ///
    /// A team may fill the queue up to `unrestricted_percent`; above it each team is kept to its weighted
    /// part, so that one team's backlog leaves room for the others.
    ///
    /// # Errors
    ///
    /// Returns [`QueueFull`] if the queue or the team's part of it is full.
    pub fn push(&mut self, waiting: WaitingRequest<T>, now: Instant) -> Result<WaitKey, QueueFull> {
        if !self.has_room(waiting.team) {
            let retry_after = self.retry_after(waiting.team, now);
            return Err(QueueFull { retry_after });
        }
        let team = waiting.team;
        let entry = Entry {
            class: class_of(waiting.urgency),
            arrival: self.arrivals,
            waiting,
        };
        self.arrivals += 1;
        let state = self.teams.entry(team).or_insert_with(TeamState::new);
        if state.len() == 0 {
            self.waiting_weight += u64::from(state.weight);
        }
        let key = self.entries.insert(entry);
        self.link(key);
        Ok(key)
    }

    /// Takes the request that starts next.
    ///
    /// `can_start` tells whether a team may start one more request. A team that it refuses is left
    /// out for `skip_duration`, or until [`charge`](Self::charge) or [`resume_team`](Self::resume_team) names it.
    /// Each request that was taken must be charged once, with zero seconds if it didn't run.
    pub fn pop(
        &mut self,
        now: Instant,
        mut can_start: impl FnMut(TeamKey) -> bool,
    ) -> Option<WaitingRequest<T>> {
        self.pop_where(now, |waiting| can_start(waiting.team))
    }

    /// Takes the request that starts next; `can_start` sees the team's next request.
    ///
    /// Otherwise like [`pop`](Self::pop): the team of a request that can't start is left out for
    /// `skip_duration`, with its later requests.
    pub fn pop_where(
        &mut self,
        now: Instant,
        mut can_start: impl FnMut(&WaitingRequest<T>) -> bool,
    ) -> Option<WaitingRequest<T>> {
        self.remove_expired(now);
        self.resume_due_teams(now);
        self.promote_overnight(now);
        for class in 0..CLASSES {
            while let Some(team) = self.orders[class].first() {
                let key = self.first_waiting(team, class)?;
                if can_start(&self.entries.get(key)?.waiting) {
                    return self.start(key, now);
                }
                self.skip_team(team, now);
            }
        }
        None
    }

    /// Removes a waiting request.
    pub fn cancel(&mut self, key: WaitKey) -> Option<WaitingRequest<T>> {
        if !self.entries.contains_key(key) {
            return None;
        }
        self.unlink(key);
        let entry = self.entries.remove(key)?;
        self.remove_weight_if_empty(entry.waiting.team);
        Some(entry.waiting)
    }

    /// Removes the requests whose latest start has passed.
    pub fn expire(&mut self, now: Instant) -> Vec<T> {
        self.remove_expired(now);
        std::mem::take(&mut self.expired)
    }

    /// Returns the earliest latest start of all waiting requests.
    pub fn next_expiry(&self) -> Option<Instant> {
        let firsts = self.by_deadline.iter().filter_map(BTreeSet::first);
        firsts.map(|&(start_by, ..)| start_by).min()
    }

    /// Sets a team's share; 0 counts as 1.
    pub fn set_weight(&mut self, team: TeamKey, share: u32) {
        let state = self.teams.entry(team).or_insert_with(TeamState::new);
        let weight = share.max(1);
        if state.len() > 0 {
            self.waiting_weight += u64::from(weight);
            self.waiting_weight -= u64::from(state.weight);
        }
        state.weight = weight;
        self.reorder(team);
    }

    /// Drops what is known of a team without waiting or running requests.
    pub fn remove_team(&mut self, team: TeamKey) {
        if self.teams.get(&team).is_some_and(TeamState::is_idle) {
            self.teams.remove(&team);
        }
    }

    /// Charges a team for a request that ended, in seconds of slot use.
    pub fn charge(&mut self, team: TeamKey, seconds: f64, now: Instant) {
        let scale = self.scale(now);
        let state = self.teams.entry(team).or_insert_with(TeamState::new);
        state.finish(seconds.max(0.0), scale);
        state.skipped_until = None;
        self.reorder(team);
    }

    /// Asks a team again that was left out because it couldn't start anything.
    pub fn resume_team(&mut self, team: TeamKey) {
        if let Some(state) = self.teams.get_mut(&team) {
            state.skipped_until = None;
        }
        self.reorder(team);
    }

    /// Returns the time after which a team's next request is likely to start.
    ///
    /// Follows from the team's waiting requests, its share among the waiting teams, and the recent
    /// rate at which requests started.
    pub fn retry_after(&self, team: TeamKey, now: Instant) -> Duration {
        let (ahead, weight) = match self.teams.get(&team) {
            Some(state) => (state.len(), state.weight),
            None => (0, 1),
        };
        let others = match ahead {
            0 => self.waiting_weight,
            _ => self.waiting_weight - u64::from(weight),
        };
        let fraction = f64::from(weight) / (others as f64 + f64::from(weight));
        let interval = self
            .start_interval
            .seconds(now)
            .unwrap_or(INITIAL_INTERVAL_SECONDS);
        let seconds = (ahead as f64 + 1.0) * interval / fraction;
        let longest = MAX_RETRY_AFTER.as_secs_f64();
        Duration::from_secs_f64(seconds.min(longest)).max(MIN_RETRY_AFTER)
    }

    fn remove_expired(&mut self, now: Instant) {
        for class in 0..CLASSES {
            while let Some(&(start_by, _, key)) = self.by_deadline[class].first() {
                if start_by >= now {
                    break;
                }
                let expired = self.cancel(key);
                self.expired.extend(expired.map(|waiting| waiting.item));
            }
        }
    }

    fn has_room(&self, team: TeamKey) -> bool {
        let len = self.entries.len();
        if len >= self.settings.max_waiting {
            return false;
        }
        if len * 100 < self.settings.max_waiting * self.settings.unrestricted_percent {
            return true;
        }
        let Some(state) = self.teams.get(&team) else {
            return true;
        };
        let weight = u64::from(state.weight);
        let waiting = state.len();
        let all = match waiting {
            0 => self.waiting_weight + weight,
            _ => self.waiting_weight,
        };
        (waiting as u64) * all < weight * self.settings.max_waiting as u64
    }

    fn first_waiting(&self, team: TeamKey, class: usize) -> Option<WaitKey> {
        let &(.., key) = self.teams.get(&team)?.waiting[class].first()?;
        Some(key)
    }

    fn start(&mut self, key: WaitKey, now: Instant) -> Option<WaitingRequest<T>> {
        let scale = self.scale(now);
        let waiting = self.cancel(key)?;
        let team = waiting.team;
        self.start_interval
            .record_start(now, !self.entries.is_empty());
        self.starts += 1;
        if let Some(state) = self.teams.get_mut(&team) {
            state.start(scale);
            state.last_start_seq = self.starts;
        }
        self.reorder(team);
        Some(waiting)
    }

    /// Leaves a team out of all orders for a while.
    fn skip_team(&mut self, team: TeamKey, now: Instant) {
        let until = now + self.settings.skip_duration;
        if let Some(state) = self.teams.get_mut(&team) {
            state.skipped_until = Some(until);
        }
        self.skipped.push_back((until, team));
        self.reorder(team);
    }

    fn resume_due_teams(&mut self, now: Instant) {
        while let Some(&(until, team)) = self.skipped.front() {
            if until > now {
                return;
            }
            self.skipped.pop_front();
            let state = self.teams.get(&team);
            // The team may have been released and held again since.
            if state.is_some_and(|state| state.skipped_until == Some(until)) {
                self.resume_team(team);
            }
        }
    }

    /// Makes overnight work urgent once its backlog needs the time left to its first latest start.
    fn promote_overnight(&mut self, now: Instant) {
        while let Some(&(start_by, _, key)) = self.by_deadline[OVERNIGHT].first() {
            if now + self.overnight_lead(now) < start_by {
                return;
            }
            self.unlink(key);
            if let Some(entry) = self.entries.get_mut(key) {
                entry.class = URGENT;
            }
            self.link(key);
        }
    }

    fn overnight_lead(&self, now: Instant) -> Duration {
        let backlog = self.by_deadline[OVERNIGHT].len() as f64;
        let seconds = backlog * self.start_interval.seconds(now).unwrap_or(0.0);
        let longest = MAX_OVERNIGHT_LEAD.as_secs_f64();
        self.settings.overnight_lead + Duration::from_secs_f64(seconds.min(longest))
    }

    /// Adds a request to the lists of its urgency.
    fn link(&mut self, key: WaitKey) {
        let Some(entry) = self.entries.get(key) else {
            return;
        };
        let (team, class) = (entry.waiting.team, entry.class);
        let position = (entry.waiting.start_by, entry.arrival, key);
        self.by_deadline[class].insert(position);
        if let Some(state) = self.teams.get_mut(&team) {
            state.waiting[class].insert(position);
        }
        self.reorder(team);
    }

    /// Removes a request from the lists of its urgency.
    fn unlink(&mut self, key: WaitKey) {
        let Some(entry) = self.entries.get(key) else {
            return;
        };
        let (team, class) = (entry.waiting.team, entry.class);
        let position = (entry.waiting.start_by, entry.arrival, key);
        self.by_deadline[class].remove(&position);
        if let Some(state) = self.teams.get_mut(&team) {
            state.waiting[class].remove(&position);
        }
        self.reorder(team);
    }

    fn remove_weight_if_empty(&mut self, team: TeamKey) {
        let Some(state) = self.teams.get(&team) else {
            return;
        };
        if state.len() == 0 {
            self.waiting_weight -= u64::from(state.weight);
        }
    }

    /// Puts a team where it belongs in the order of each urgency.
    fn reorder(&mut self, team: TeamKey) {
        let Some(state) = self.teams.get_mut(&team) else {
            return;
        };
        let rank = Rank::new(state.normalized_usage(), state.last_start_seq);
        for (class, order) in self.orders.iter_mut().enumerate() {
            let waits = state.skipped_until.is_none() && !state.waiting[class].is_empty();
            let next = waits.then_some(rank);
            if next == state.ranks[class] {
                continue;
            }
            if let Some(old) = state.ranks[class] {
                order.remove(old, team);
            }
            if let Some(new) = next {
                order.insert(new, team);
            }
            state.ranks[class] = next;
        }
    }

    /// Returns the factor by which a use counts now; it doubles with each half-life.
    ///
    /// Scaling new uses up orders the teams like letting all former uses decay.
    fn scale(&mut self, now: Instant) -> f64 {
        let epoch = *self.epoch.get_or_insert(now);
        let elapsed = now.saturating_duration_since(epoch).as_secs_f64();
        let exponent = elapsed / self.settings.half_life.as_secs_f64();
        if exponent <= MAX_EXPONENT {
            return exponent.exp2();
        }
        let factor = (-exponent).exp2();
        let teams: Vec<TeamKey> = self.teams.keys().copied().collect();
        for team in teams {
            if let Some(state) = self.teams.get_mut(&team) {
                state.rescale(factor);
            }
            self.reorder(team);
        }
        self.epoch = Some(now);
        1.0
    }
}

fn class_of(urgency: Urgency) -> usize {
    match urgency {
        Urgency::Urgent => URGENT,
        Urgency::Normal => 1,
        Urgency::Overnight => OVERNIGHT,
    }
}
