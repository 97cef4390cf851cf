//! Weighted fair queue of one service at one entry VM.

use std::collections::{BTreeSet, VecDeque};
use std::time::{Duration, Instant};

use rustc_hash::FxHashMap;
use slotmap::{SlotMap, new_key_type};
use snipevane_proto::manifest::Urgency;

use super::error::QueueFull;
use super::ranking::{Rank, TeamRanking};
use super::start_interval::StartInterval;
use super::team::{TeamState, URGENCY_COUNT};
use crate::ids::TeamKey;

new_key_type! {
    /// Key of a waiting request.
    pub struct WaitKey;
}

const URGENT: usize = 0;
const OVERNIGHT: usize = 2;

/// Largest binary exponent of the usage scale, above which all usage is scaled down.
const MAX_EXPONENT: f64 = 256.0;
/// Minimum and maximum time after which a refused caller is asked to retry.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);
/// Assumed interval between two starts in seconds, until one has been seen.
const INITIAL_INTERVAL_SECONDS: f64 = 0.1;
/// Maximum time by which the backlog of overnight requests makes them urgent earlier.
const MAX_OVERNIGHT_LEAD: Duration = Duration::from_secs(3600);

/// Settings of a [`FairQueue`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QueueSettings {
    /// Maximum number of waiting requests.
    pub max_waiting: usize,
    /// Length in percent of `max_waiting` up to which no team is limited to its fair share.
    pub unrestricted_percent: usize,
    /// Time after which past usage counts half.
    pub half_life: Duration,
    /// Time for which a team is skipped after it couldn't start a request.
    pub skip_duration: Duration,
    /// Minimum time before its latest start at which an overnight request becomes urgent.
    pub min_overnight_lead: Duration,
}

impl Default for QueueSettings {
    fn default() -> Self {
        Self {
            max_waiting: 1024,
            unrestricted_percent: 75,
            half_life: Duration::from_secs(60),
            skip_duration: Duration::from_millis(10),
            min_overnight_lead: Duration::from_secs(5),
        }
    }
}

/// A request that waits for a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WaitingRequest<T> {
    /// Team that the request belongs to.
    pub team: TeamKey,
    /// Urgency of the request; more urgent ones start first.
    pub urgency: Urgency,
    /// Latest time at which the request may start.
    pub start_by: Instant,
    /// The request itself.
    pub item: T,
}

#[derive(Clone, Debug)]
struct Entry<T> {
    waiting: WaitingRequest<T>,
    /// Index of the urgency under which the request waits now.
    urgency_index: usize,
    /// Sequence number of the arrival.
    arrival: u64,
}

/// Weighted fair queue of requests that wait for a slot of one service.
#[derive(Clone, Debug)]
pub struct FairQueue<T> {
    settings: QueueSettings,
    entries: SlotMap<WaitKey, Entry<T>>,
    teams: FxHashMap<TeamKey, TeamState>,
    rankings: [TeamRanking; URGENCY_COUNT],
    /// Waiting requests of each urgency, in order of their latest start time.
    by_deadline: [BTreeSet<(Instant, u64, WaitKey)>; URGENCY_COUNT],
    /// Skipped teams, in order of the time until which they are skipped.
    skipped: VecDeque<(Instant, TeamKey)>,
    /// Sum of the weights of the teams that have waiting requests.
    waiting_weight: u64,
    start_interval: StartInterval,
    /// Expired requests that [`FairQueue::expire`] hasn't returned yet.
    expired: Vec<T>,
    arrivals: u64,
    starts: u64,
    /// Time at which the usage scale is 1.
    scale_start: Option<Instant>,
}

impl<T> FairQueue<T> {
    /// Creates an empty queue.
    pub fn new(settings: QueueSettings) -> Self {
        Self {
            settings,
            entries: SlotMap::with_key(),
            teams: FxHashMap::default(),
            rankings: Default::default(),
            by_deadline: Default::default(),
            skipped: VecDeque::new(),
            waiting_weight: 0,
            start_interval: StartInterval::default(),
            expired: Vec::new(),
            arrivals: 0,
            starts: 0,
            scale_start: None,
        }
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no request is waiting.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the number of waiting requests of a team.
    pub fn len_of(&self, team: TeamKey) -> usize {
        self.teams.get(&team).map_or(0, TeamState::len)
    }

    /// Adds a request.
    ///
    /// A team may fill the queue up to `unrestricted_percent`. Above that, each team is limited to
    /// its weighted share of the queue, so that one team's backlog leaves room for the others.
    ///
    /// # Errors
    ///
    /// Returns [`QueueFull`] if the queue or the team's share of it is full.
    pub fn push(&mut self, waiting: WaitingRequest<T>, now: Instant) -> Result<WaitKey, QueueFull> {
        if !self.has_room(waiting.team) {
            let retry_after = self.retry_after(waiting.team, now);
            return Err(QueueFull { retry_after });
        }
        let team = waiting.team;
        let entry = Entry {
            urgency_index: urgency_index_of(waiting.urgency),
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

    /// Removes and returns the request that starts next.
    ///
    /// `can_start` tells whether a team may start one more request. If it returns `false`, the team
    /// is skipped for `skip_duration`, or until [`charge`](Self::charge) or
    /// [`resume_team`](Self::resume_team) is called for it. Each request returned must be charged
    /// once, with zero seconds if it didn't run.
    pub fn pop(
        &mut self,
        now: Instant,
        mut can_start: impl FnMut(TeamKey) -> bool,
    ) -> Option<WaitingRequest<T>> {
        self.pop_where(now, |waiting| can_start(waiting.team))
    }

    /// Like [`pop`](Self::pop), but `can_start` gets the team's next request.
    ///
    /// If that request can't start, the team is skipped for `skip_duration`, including its later
    /// requests.
    pub fn pop_where(
        &mut self,
        now: Instant,
        mut can_start: impl FnMut(&WaitingRequest<T>) -> bool,
    ) -> Option<WaitingRequest<T>> {
        self.remove_expired(now);
        self.resume_due_teams(now);
        self.promote_overnight(now);
        for urgency_index in 0..URGENCY_COUNT {
            while let Some(team) = self.rankings[urgency_index].first() {
                let key = self.first_waiting(team, urgency_index)?;
                if can_start(&self.entries.get(key)?.waiting) {
                    return self.start(key, now);
                }
                self.skip_team(team, now);
            }
        }
        None
    }

    /// Removes a waiting request; returns `None` if it no longer waits.
    pub fn cancel(&mut self, key: WaitKey) -> Option<WaitingRequest<T>> {
        if !self.entries.contains_key(key) {
            return None;
        }
        self.unlink(key);
        let entry = self.entries.remove(key)?;
        self.remove_weight_if_empty(entry.waiting.team);
        Some(entry.waiting)
    }

    /// Removes and returns the requests whose latest start time has passed.
    ///
    /// Requests that other calls found expired since the last call are returned as well.
    pub fn expire(&mut self, now: Instant) -> Vec<T> {
        self.remove_expired(now);
        std::mem::take(&mut self.expired)
    }

    /// Returns when the first waiting request expires, which is the earliest `start_by`.
    pub fn next_expiry(&self) -> Option<Instant> {
        let firsts = self.by_deadline.iter().filter_map(BTreeSet::first);
        firsts.map(|&(start_by, ..)| start_by).min()
    }

    /// Sets a team's weight to its share; 0 counts as 1.
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

    /// Removes the state of a team, unless it has waiting or running requests.
    pub fn remove_team(&mut self, team: TeamKey) {
        if self.teams.get(&team).is_some_and(TeamState::is_idle) {
            self.teams.remove(&team);
        }
    }

    /// Charges a team for a request that ended, in seconds of slot time.
    ///
    /// A skipped team is no longer skipped.
    pub fn charge(&mut self, team: TeamKey, seconds: f64, now: Instant) {
        let scale = self.scale(now);
        let state = self.teams.entry(team).or_insert_with(TeamState::new);
        state.finish(seconds.max(0.0), scale);
        state.skipped_until = None;
        self.reorder(team);
    }

    /// Stops skipping a team that couldn't start a request.
    pub fn resume_team(&mut self, team: TeamKey) {
        if let Some(state) = self.teams.get_mut(&team) {
            state.skipped_until = None;
        }
        self.reorder(team);
    }

    /// Estimates the time after which one more request of a team would start.
    ///
    /// The estimate follows from the number of the team's waiting requests, its weight among the
    /// waiting teams, and the recent interval between starts.
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
        for urgency_index in 0..URGENCY_COUNT {
            while let Some(&(start_by, _, key)) = self.by_deadline[urgency_index].first() {
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
        let total_weight = match waiting {
            0 => self.waiting_weight + weight,
            _ => self.waiting_weight,
        };
        (waiting as u64) * total_weight < weight * self.settings.max_waiting as u64
    }

    fn first_waiting(&self, team: TeamKey, urgency_index: usize) -> Option<WaitKey> {
        let &(.., key) = self.teams.get(&team)?.waiting[urgency_index].first()?;
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

    /// Removes a team from the rankings of all urgencies for `skip_duration`.
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
            // The team may have been resumed and skipped again since.
            if state.is_some_and(|state| state.skipped_until == Some(until)) {
                self.resume_team(team);
            }
        }
    }

    /// Makes overnight requests urgent once the estimated time to start all of them, plus a margin,
    /// reaches the earliest `start_by` among them.
    fn promote_overnight(&mut self, now: Instant) {
        while let Some(&(start_by, _, key)) = self.by_deadline[OVERNIGHT].first() {
            if now + self.overnight_lead(now) < start_by {
                return;
            }
            self.unlink(key);
            if let Some(entry) = self.entries.get_mut(key) {
                entry.urgency_index = URGENT;
            }
            self.link(key);
        }
    }

    fn overnight_lead(&self, now: Instant) -> Duration {
        let backlog = self.by_deadline[OVERNIGHT].len() as f64;
        let seconds = backlog * self.start_interval.seconds(now).unwrap_or(0.0);
        let longest = MAX_OVERNIGHT_LEAD.as_secs_f64();
        self.settings.min_overnight_lead + Duration::from_secs_f64(seconds.min(longest))
    }

    /// Adds a request to the indexes of its urgency.
    fn link(&mut self, key: WaitKey) {
        let Some(entry) = self.entries.get(key) else {
            return;
        };
        let (team, urgency_index) = (entry.waiting.team, entry.urgency_index);
        let position = (entry.waiting.start_by, entry.arrival, key);
        self.by_deadline[urgency_index].insert(position);
        if let Some(state) = self.teams.get_mut(&team) {
            state.waiting[urgency_index].insert(position);
        }
        self.reorder(team);
    }

    /// Removes a request from the indexes of its urgency.
    fn unlink(&mut self, key: WaitKey) {
        let Some(entry) = self.entries.get(key) else {
            return;
        };
        let (team, urgency_index) = (entry.waiting.team, entry.urgency_index);
        let position = (entry.waiting.start_by, entry.arrival, key);
        self.by_deadline[urgency_index].remove(&position);
        if let Some(state) = self.teams.get_mut(&team) {
            state.waiting[urgency_index].remove(&position);
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

    /// Updates a team's rank in the ranking of each urgency.
    fn reorder(&mut self, team: TeamKey) {
        let Some(state) = self.teams.get_mut(&team) else {
            return;
        };
        let rank = Rank::new(state.normalized_usage(), state.last_start_seq);
        for (urgency_index, ranking) in self.rankings.iter_mut().enumerate() {
            let waits = state.skipped_until.is_none() && !state.waiting[urgency_index].is_empty();
            let next = waits.then_some(rank);
            if next == state.ranks[urgency_index] {
                continue;
            }
            if let Some(old) = state.ranks[urgency_index] {
                ranking.remove(old, team);
            }
            if let Some(new) = next {
                ranking.insert(new, team);
            }
            state.ranks[urgency_index] = next;
        }
    }

    /// Returns the factor by which new usage is scaled now; it doubles with each half-life.
    ///
    /// Scaling new usage up orders the teams in the same way as decaying all past usage would.
    fn scale(&mut self, now: Instant) -> f64 {
        let scale_start = *self.scale_start.get_or_insert(now);
        let elapsed = now.saturating_duration_since(scale_start).as_secs_f64();
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
        self.scale_start = Some(now);
        1.0
    }
}

fn urgency_index_of(urgency: Urgency) -> usize {
    match urgency {
        Urgency::Urgent => URGENT,
        Urgency::Normal => 1,
        Urgency::Overnight => OVERNIGHT,
    }
}
