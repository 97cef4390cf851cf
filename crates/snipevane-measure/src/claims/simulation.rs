//! Simulation of requests while holders of shards crash or stop and the table has an outage.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

use super::strategy::Strategy;
use crate::random::exponential;

/// Length of the simulated time, in seconds.
pub(super) const SIMULATED_TIME_S: f64 = 3600.0;
/// Time between two ends of holders, in seconds; every second end is a planned stop, the others are
/// crashes.
const HOLDER_END_INTERVAL_S: f64 = 60.0;
/// Delay from a planned stop until the next holder may use the shard, in seconds.
const HANDOVER_DELAY_S: f64 = 0.5;
/// Delay from a crash until the next holder has acquired the shard, in seconds; includes the delay
/// until the platform's list reports the crash.
const ACQUISITION_DELAY_S: f64 = 5.0;
/// Delay from the acquisition of a crashed holder's shard until it may be used, in seconds;
/// requests of the former holder may still run in this time.
const LONGEST_RUN_S: f64 = 10.0;
/// Start and end of the table's outage, in seconds since the start of the simulation.
const OUTAGE_S: (f64, f64) = (1800.0, 2400.0);
/// Maximum time by which a caller's clock may be ahead, in seconds.
const MAX_CLOCK_SKEW_S: f64 = 2.0;
/// Run time of a request, in seconds.
const RUN_TIME_S: f64 = 0.05;
/// Delay from a response until its row is written, if rows are written after the response, in
/// seconds.
const ROW_DELAY_S: f64 = 1.0;
/// Fraction of the responses that don't reach the caller.
const LOST_RESPONSE_FRACTION: f64 = 0.02;
/// Time between two attempts of a caller, in seconds.
const RETRY_INTERVAL_S: f64 = 2.0;
/// Maximum number of attempts of a caller.
const MAX_ATTEMPTS: u32 = 15;

/// Counts of one simulation.
#[derive(Clone, Debug, Default, Serialize)]
pub(super) struct Counts {
    /// Number of requests.
    pub(super) requests: u64,
    /// Requests whose caller received the response.
    pub(super) answered: u64,
    /// Requests that ran without their caller learning the outcome.
    pub(super) unknown_ran: u64,
    /// Requests that didn't run and whose outcome was reported as unknown.
    pub(super) unknown_not_run: u64,
    /// Requests that didn't run and were reported as not run.
    pub(super) not_run: u64,
    /// Those of `not_run` that were created during the outage.
    pub(super) not_run_in_outage: u64,
    /// Number of rows written.
    pub(super) rows: f64,
}

/// Period in which one process holds a shard, in seconds since the start of the simulation.
#[derive(Clone, Copy, Debug)]
struct HoldingPeriod {
    usable_s: f64,
    end_s: f64,
    /// Creation time at or below which new identifiers aren't run.
    floor_s: f64,
}

impl HoldingPeriod {
    /// Returns whether the process holds the shard and may use it at a time.
    fn contains(&self, at_s: f64) -> bool {
        at_s >= self.usable_s && at_s < self.end_s
    }
}

/// Outcome that an attempt reports to the caller.
#[derive(Clone, Copy, PartialEq)]
enum ReportedOutcome {
    Answered,
    Unknown,
    NotRun,
    /// The request ran, but the response didn't reach the caller.
    NoResponse,
}

pub(super) struct Simulation {
    strategy: Strategy,
    rng: ChaCha8Rng,
    shards: Vec<Vec<HoldingPeriod>>,
    counts: Counts,
}

impl Simulation {
    pub(super) fn new(strategy: Strategy, shards: usize, seed: u64) -> Self {
        let mut simulation = Self {
            strategy,
            rng: ChaCha8Rng::seed_from_u64(seed),
            shards: vec![Vec::new(); shards],
            counts: Counts::default(),
        };
        simulation.draw_holding_periods();
        simulation.count_ceiling_writes();
        simulation
    }

    /// Simulates requests at a rate, in requests per second, and returns the counts.
    pub(super) fn run(mut self, rate: f64) -> Counts {
        let mut at_s = 0.0;
        loop {
            at_s += exponential(&mut self.rng) / rate;
            if at_s >= SIMULATED_TIME_S {
                return self.counts;
            }
            self.simulate_request(at_s);
        }
    }

    /// Draws the periods between the ends of holders; each end affects a random shard.
    ///
    /// No shard is acquired during the outage.
    fn draw_holding_periods(&mut self) {
        let count = self.shards.len();
        let mut next_periods = vec![(0.0, 0.0); count];
        let mut at_s = HOLDER_END_INTERVAL_S / 2.0;
        let mut is_planned = false;
        while at_s < SIMULATED_TIME_S {
            let shard = self.rng.random_range(0..count);
            let (usable_s, floor_s) = next_periods[shard];
            if at_s > usable_s {
                let end_s = at_s;
                self.shards[shard].push(HoldingPeriod {
                    usable_s,
                    end_s,
                    floor_s,
                });
                next_periods[shard] = self.next_period(shard, end_s, is_planned);
            }
            is_planned = !is_planned;
            at_s += HOLDER_END_INTERVAL_S;
        }
        for (periods, (usable_s, floor_s)) in self.shards.iter_mut().zip(next_periods) {
            let end_s = f64::INFINITY;
            periods.push(HoldingPeriod {
                usable_s,
                end_s,
                floor_s,
            });
        }
    }

    /// Returns from when on the next holder may use the shard, and the next holder's floor.
    fn next_period(&self, shard: usize, end_s: f64, is_planned: bool) -> (f64, f64) {
        // A holder that stops during the outage can't mark its row as released.
        let is_released = is_planned && !in_outage(end_s);
        let (acquisition_delay_s, usable_delay_s) = match is_released {
            true => (HANDOVER_DELAY_S, 0.0),
            false => (ACQUISITION_DELAY_S, LONGEST_RUN_S),
        };
        let mut acquired_s = end_s + acquisition_delay_s;
        if in_outage(acquired_s) {
            acquired_s = OUTAGE_S.1;
        }
        let ceiling_s = if is_released {
            end_s
        } else {
            self.ceiling(shard, end_s)
        };
        let floor_s = match self.strategy {
            Strategy::OwnerClockFloor { .. } => ceiling_s.max(acquired_s + MAX_CLOCK_SKEW_S),
            Strategy::RowPerRequest
            | Strategy::Owner { .. }
            | Strategy::OwnerWitness { .. }
            | Strategy::OwnerAndRows { .. } => ceiling_s,
        };
        (acquired_s + usable_delay_s, floor_s)
    }

    fn count_ceiling_writes(&mut self) {
        if let Some(lead_s) = self.strategy.lead_s() {
            let writes = (SIMULATED_TIME_S - (OUTAGE_S.1 - OUTAGE_S.0)) / (lead_s / 2.0);
            self.counts.rows += writes * self.shards.len() as f64;
        }
    }

    /// Returns the ceiling of a shard that may be used at a time, in seconds.
    ///
    /// The ceiling is raised every half lead, with a different phase for each shard.
    fn ceiling(&self, shard: usize, at_s: f64) -> f64 {
        let Some(lead_s) = self.strategy.lead_s() else {
            return 0.0;
        };
        let half_s = lead_s / 2.0;
        let phase_s = half_s * shard as f64 / self.shards.len() as f64;
        let extends_during_outage = matches!(self.strategy, Strategy::OwnerWitness { .. });
        let last_write_s = if in_outage(at_s) && !extends_during_outage {
            OUTAGE_S.0
        } else {
            at_s
        };
        let raises = ((last_write_s - phase_s) / half_s).floor();
        raises * half_s + phase_s + lead_s
    }

    fn simulate_request(&mut self, created_s: f64) {
        self.counts.requests += 1;
        let shard = self.rng.random_range(0..self.shards.len());
        let mut ran_at = None;
        let mut reported = ReportedOutcome::NoResponse;
        for attempt in 0..MAX_ATTEMPTS {
            let at_s = created_s + RETRY_INTERVAL_S * f64::from(attempt);
            reported = self.simulate_attempt(shard, created_s, at_s, &mut ran_at);
            if matches!(
                reported,
                ReportedOutcome::Answered | ReportedOutcome::Unknown
            ) {
                break;
            }
        }
        match (reported, ran_at) {
            (ReportedOutcome::Answered, _) => self.counts.answered += 1,
            (ReportedOutcome::Unknown, None) => self.counts.unknown_not_run += 1,
            (ReportedOutcome::Unknown | ReportedOutcome::NoResponse, _)
            | (ReportedOutcome::NotRun, Some(_)) => {
                self.counts.unknown_ran += 1;
            }
            (ReportedOutcome::NotRun, None) => {
                self.counts.not_run += 1;
                self.counts.not_run_in_outage += u64::from(in_outage(created_s));
            }
        }
    }

    fn simulate_attempt(
        &mut self,
        shard: usize,
        created_s: f64,
        at_s: f64,
        ran_at: &mut Option<f64>,
    ) -> ReportedOutcome {
        let Some(period) = self.holding_period(shard, at_s) else {
            return ReportedOutcome::NotRun;
        };
        if let Some(ran_s) = *ran_at {
            let remembered = ran_s >= period.usable_s || self.has_stored_row(shard, ran_s);
            return if remembered {
                ReportedOutcome::Answered
            } else {
                ReportedOutcome::Unknown
            };
        }
        match self.strategy {
            Strategy::RowPerRequest if in_outage(at_s) => return ReportedOutcome::NotRun,
            Strategy::RowPerRequest => {}
            Strategy::Owner { .. }
            | Strategy::OwnerClockFloor { .. }
            | Strategy::OwnerWitness { .. }
            | Strategy::OwnerAndRows { .. } => {
                if created_s <= period.floor_s {
                    return ReportedOutcome::Unknown;
                }
                if created_s > self.ceiling(shard, at_s) {
                    return ReportedOutcome::NotRun;
                }
            }
        }
        *ran_at = Some(at_s);
        self.counts.rows += self.strategy.rows_per_request();
        let holder_lost = at_s + RUN_TIME_S >= period.end_s;
        if holder_lost || self.rng.random::<f64>() < LOST_RESPONSE_FRACTION {
            return ReportedOutcome::NoResponse;
        }
        ReportedOutcome::Answered
    }

    /// Returns the period of the process that holds a shard at a time, if one does.
    fn holding_period(&self, shard: usize, at_s: f64) -> Option<HoldingPeriod> {
        let mut periods = self.shards[shard].iter();
        periods.find(|period| period.contains(at_s)).copied()
    }

    /// Returns whether the outcome of a request that ran at `ran_s` is stored in the table.
    fn has_stored_row(&self, shard: usize, ran_s: f64) -> bool {
        let period = self.holding_period(shard, ran_s);
        let held_until_s = period.map_or(0.0, |period| period.end_s);
        match self.strategy {
            Strategy::RowPerRequest => held_until_s > ran_s + RUN_TIME_S,
            Strategy::Owner { .. }
            | Strategy::OwnerClockFloor { .. }
            | Strategy::OwnerWitness { .. } => false,
            Strategy::OwnerAndRows { .. } => {
                held_until_s > ran_s + RUN_TIME_S + ROW_DELAY_S && !in_outage(ran_s)
            }
        }
    }
}

fn in_outage(at_s: f64) -> bool {
    at_s >= OUTAGE_S.0 && at_s < OUTAGE_S.1
}
