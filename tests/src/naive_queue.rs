//! Reference implementations for the fair queue: one that scans all waiting requests, and weighted
//! max-min fairness by progressive filling.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use snipevane_core::ids::TeamKey;
use snipevane_core::shares::{QueueSettings, WaitingRequest};
use snipevane_proto::manifest::Urgency;

/// A waiting request of the naive queue.
#[derive(Clone, Debug)]
struct NaiveEntry {
    waiting: WaitingRequest<u32>,
    urgency: Urgency,
}

/// State of one team in the naive queue.
#[derive(Clone, Debug, Default)]
struct NaiveTeam {
    weight: Option<u32>,
    /// Time and seconds of each charge, including those expected for running requests.
    charges: Vec<(Instant, f64)>,
    expected: Vec<(Instant, f64)>,
    mean: Option<f64>,
    skipped_until: Option<Instant>,
    /// Sequence number of the last start among the starts of all teams.
    last_start_seq: u64,
}

/// Fair queue that scans all waiting requests.
#[derive(Clone, Debug)]
pub struct NaiveQueue {
    settings: QueueSettings,
    entries: Vec<NaiveEntry>,
    teams: HashMap<TeamKey, NaiveTeam>,
    mean_interval: Option<f64>,
    last_start: Option<Instant>,
    starts: u64,
}

impl NaiveQueue {
    /// Creates an empty queue.
    pub fn new(settings: QueueSettings) -> Self {
        Self {
            settings,
            entries: Vec::new(),
            teams: HashMap::new(),
            mean_interval: None,
            last_start: None,
            starts: 0,
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

    /// Adds a request; returns whether there was room.
    pub fn push(&mut self, waiting: &WaitingRequest<u32>) -> bool {
        let len = self.entries.len();
        if len >= self.settings.max_waiting {
            return false;
        }
        let waiting_count = self.count(waiting.team);
        let own_weight = self.weight(waiting.team);
        let total_weight: u64 = self.waiting_weight(Some(waiting.team));
        let is_below_fair_share =
            waiting_count as u64 * total_weight < own_weight * self.settings.max_waiting as u64;
        let unrestricted_len = self.settings.max_waiting * self.settings.unrestricted_percent / 100;
        if len >= unrestricted_len && !is_below_fair_share {
            return false;
        }
        self.entries.push(NaiveEntry {
            urgency: waiting.urgency,
            waiting: waiting.clone(),
        });
        true
    }

    /// Removes a request.
    pub fn cancel(&mut self, item: u32) {
        self.entries.retain(|entry| entry.waiting.item != item);
    }

    /// Removes the requests whose latest start time has passed; returns their items, sorted.
    pub fn expire(&mut self, now: Instant) -> Vec<u32> {
        let late = |entry: &NaiveEntry| entry.waiting.start_by < now;
        let mut items: Vec<u32> = self
            .entries
            .iter()
            .filter(|&entry| late(entry))
            .map(|entry| entry.waiting.item)
            .collect();
        items.sort_unstable();
        self.entries.retain(|entry| !late(entry));
        items
    }

    /// Checks the result of a pop against the request that should start next, and removes it.
    ///
    /// Expired requests must have been removed before.
    ///
    /// # Errors
    ///
    /// Returns what the naive queue would have done instead.
    pub fn check_pop(
        &mut self,
        now: Instant,
        can_start: impl Fn(TeamKey) -> bool,
        popped: Option<&WaitingRequest<u32>>,
    ) -> Result<(), String> {
        for team in self.teams.values_mut() {
            team.skipped_until = team.skipped_until.filter(|&until| until > now);
        }
        self.promote(now);
        // Teams that can't start are skipped in the order in which they would have started.
        while let Some((team, urgency)) = self.first(now) {
            if !can_start(team) {
                self.team(team).skipped_until = Some(now + self.settings.skip_duration);
                continue;
            }
            let Some(popped) = popped else {
                return Err(format!("{team:?} could have started"));
            };
            let next = self
                .entries
                .iter()
                .enumerate()
                .filter(|(_, entry)| entry.waiting.team == team && entry.urgency == urgency)
                .min_by_key(|(index, entry)| (entry.waiting.start_by, *index));
            let Some((index, entry)) = next else {
                return Err("a team without requests came first".to_owned());
            };
            if entry.waiting != *popped {
                return Err(format!("{:?} comes before {popped:?}", entry.waiting));
            }
            self.entries.remove(index);
            self.start(team, now);
            return Ok(());
        }
        match popped {
            None => Ok(()),
            Some(popped) => Err(format!("{popped:?} could not start")),
        }
    }

    /// Sets a team's weight to its share; 0 counts as 1.
    pub fn set_weight(&mut self, team: TeamKey, share: u32) {
        self.team(team).weight = Some(share.max(1));
    }

    /// Charges a team for a request that ended, in seconds of slot time.
    pub fn charge(&mut self, team: TeamKey, seconds: f64, now: Instant) {
        let half_life = self.settings.half_life;
        let team = self.team(team);
        if !team.expected.is_empty() {
            // Each running request accounts for an equal part of the expected usage.
            let part = decayed(&team.expected, now, half_life) / team.expected.len() as f64;
            team.charges.push((now, -part));
            let left = decayed(&team.expected, now, half_life) - part;
            let running = team.expected.len() - 1;
            team.expected = vec![(now, left / running.max(1) as f64); running];
        }
        team.charges.push((now, seconds));
        let mean = team.mean.unwrap_or(1.0);
        team.mean = Some(mean + (seconds - mean) * 0.125);
        team.skipped_until = None;
    }

    fn start(&mut self, team: TeamKey, now: Instant) {
        if let Some(last) = self.last_start {
            let interval = now.duration_since(last).as_secs_f64();
            let mean = self.mean_interval.unwrap_or(interval);
            self.mean_interval = Some(mean + (interval - mean) / 32.0);
        }
        self.last_start = (!self.entries.is_empty()).then_some(now);
        self.starts += 1;
        let last_start_seq = self.starts;
        let team = self.team(team);
        team.last_start_seq = last_start_seq;
        let mean = team.mean.unwrap_or(1.0);
        team.charges.push((now, mean));
        team.expected.push((now, mean));
    }

    /// Makes overnight requests urgent once their backlog needs the time left to the earliest of
    /// their latest start times.
    fn promote(&mut self, now: Instant) {
        loop {
            let overnight = |entry: &&mut NaiveEntry| entry.urgency == Urgency::Overnight;
            let backlog = self.entries.iter_mut().filter(overnight).count();
            let open = self
                .last_start
                .map_or(0.0, |last| now.duration_since(last).as_secs_f64() / 32.0);
            let interval = self.mean_interval.map_or(0.0, |mean| mean.max(open));
            let seconds = (backlog as f64 * interval).min(3600.0);
            let lead = self.settings.min_overnight_lead + Duration::from_secs_f64(seconds);
            let due = |entry: &&mut NaiveEntry| entry.waiting.start_by <= now + lead;
            let first = self
                .entries
                .iter_mut()
                .filter(overnight)
                .filter(due)
                .min_by_key(|entry| entry.waiting.start_by);
            match first {
                Some(entry) => entry.urgency = Urgency::Urgent,
                None => return,
            }
        }
    }

    /// Returns the team that starts the next request, and the urgency of that request.
    fn first(&self, now: Instant) -> Option<(TeamKey, Urgency)> {
        let startable = |entry: &&NaiveEntry| !self.is_skipped(entry.waiting.team);
        let entries = || self.entries.iter().filter(startable);
        let urgency = entries().map(|entry| entry.urgency).min()?;
        let mut best: Option<TeamKey> = None;
        for entry in entries().filter(|entry| entry.urgency == urgency) {
            let team = entry.waiting.team;
            if best.is_none_or(|best| self.comes_before(team, best, now)) {
                best = Some(team);
            }
        }
        best.map(|team| (team, urgency))
    }

    fn comes_before(&self, team: TeamKey, other: TeamKey, now: Instant) -> bool {
        let (used, least) = (
            self.normalized_usage(team, now),
            self.normalized_usage(other, now),
        );
        if (used - least).abs() > 1e-9 * (1.0 + least) {
            return used < least;
        }
        (self.last_start_seq(team), team) < (self.last_start_seq(other), other)
    }

    fn last_start_seq(&self, team: TeamKey) -> u64 {
        self.teams
            .get(&team)
            .map_or(0, |state| state.last_start_seq)
    }

    fn normalized_usage(&self, team: TeamKey, now: Instant) -> f64 {
        let Some(state) = self.teams.get(&team) else {
            return 0.0;
        };
        decayed(&state.charges, now, self.settings.half_life).max(0.0) / self.weight(team) as f64
    }

    fn is_skipped(&self, team: TeamKey) -> bool {
        let state = self.teams.get(&team);
        state.is_some_and(|state| state.skipped_until.is_some())
    }

    fn weight(&self, team: TeamKey) -> u64 {
        let weight = self.teams.get(&team).and_then(|state| state.weight);
        weight.unwrap_or(1).into()
    }

    fn count(&self, team: TeamKey) -> usize {
        let of_team = |entry: &&NaiveEntry| entry.waiting.team == team;
        self.entries.iter().filter(of_team).count()
    }

    /// Returns the sum of the weights of the teams with waiting requests and of team `more`.
    fn waiting_weight(&self, more: Option<TeamKey>) -> u64 {
        let mut teams: Vec<TeamKey> = self.entries.iter().map(|e| e.waiting.team).collect();
        teams.extend(more);
        teams.sort_unstable();
        teams.dedup();
        teams.iter().map(|&team| self.weight(team)).sum()
    }

    fn team(&mut self, team: TeamKey) -> &mut NaiveTeam {
        self.teams.entry(team).or_default()
    }
}

/// Returns the sum of the charges, each decayed by half with each half-life.
fn decayed(charges: &[(Instant, f64)], now: Instant, half_life: Duration) -> f64 {
    let decay = |&(at, seconds): &(Instant, f64)| {
        let halvings = now.duration_since(at).as_secs_f64() / half_life.as_secs_f64();
        seconds * (-halvings).exp2()
    };
    charges.iter().map(decay).sum()
}

/// Divides a capacity by weighted max-min fairness.
///
/// `demands` are pairs of a demand and a weight. All demands are filled at rates proportional to
/// their weights until each is met or the capacity is used up.
pub fn max_min(capacity: f64, demands: &[(f64, u32)]) -> Vec<f64> {
    let mut given = vec![0.0; demands.len()];
    let mut remaining = capacity;
    let mut open: Vec<usize> = (0..demands.len()).collect();
    while !open.is_empty() && remaining > 1e-9 {
        let weights: f64 = open.iter().map(|&i| f64::from(demands[i].1)).sum();
        let level = remaining / weights;
        let met = |&i: &usize| demands[i].0 - given[i] <= level * f64::from(demands[i].1);
        let (full, rest): (Vec<usize>, Vec<usize>) = open.iter().partition(|&i| met(i));
        let filled = if full.is_empty() { &rest } else { &full };
        for &i in filled {
            let part = (demands[i].0 - given[i]).min(level * f64::from(demands[i].1));
            given[i] += part;
            remaining -= part;
        }
        if full.is_empty() {
            break;
        }
        open = rest;
    }
    given
}
