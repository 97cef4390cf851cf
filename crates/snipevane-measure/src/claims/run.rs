//! One run of seeded requests over crashes of holders and an outage of the table.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

use super::way::Way;

/// Length of a run, in seconds.
pub(super) const LENGTH_S: f64 = 3600.0;
/// Time between two ends of holders, by turns a crash and a planned stop, in seconds.
const END_PERIOD_S: f64 = 60.0;
/// Time from a planned stop until the shard is taken and usable, in seconds.
const HANDOVER_S: f64 = 0.5;
/// Time from a crash until the list reports it and the row is taken, in seconds.
const TAKE_AFTER_S: f64 = 5.0;
/// Time from the taking until the shard is usable, in seconds.
const LONGEST_RUN_S: f64 = 10.0;
/// Outage of the table, in seconds since the start.
const OUTAGE_S: (f64, f64) = (1800.0, 2400.0);
/// Allowed skew of identifiers, in seconds.
const SKEW_S: f64 = 2.0;
/// Time that a request runs, in seconds.
const RUN_S: f64 = 0.05;
/// Time from an answer until its row is written, where rows are written later, in seconds.
const ROW_DELAY_S: f64 = 1.0;
/// Part of the answers that don't reach their caller.
const LOST_ANSWERS: f64 = 0.02;
/// Time between two attempts of a caller, in seconds.
const RETRY_S: f64 = 2.0;
/// Attempts of a caller.
const ATTEMPTS: u32 = 15;

/// Counts of one run.
#[derive(Clone, Debug, Default, Serialize)]
pub(super) struct Counts {
    /// Requests.
    pub(super) requests: u64,
    /// Requests whose caller got the answer.
    pub(super) answered: u64,
    /// Requests that ran and whose outcome the caller was told to be unknown.
    pub(super) unknown_ran: u64,
    /// Requests that didn't run and whose outcome the caller was told to be unknown.
    pub(super) unknown_not_run: u64,
    /// Requests that didn't run, as the caller was told each time.
    pub(super) not_run: u64,
    /// Of these, the ones that were made during the outage.
    pub(super) not_run_in_outage: u64,
    /// Rows written.
    pub(super) rows: f64,
}

/// Time during which one process holds a shard.
#[derive(Clone, Copy, Debug)]
struct Period {
    usable_s: f64,
    end_s: f64,
    /// Time at or below which identifiers aren't run.
    floor_s: f64,
}

#[derive(Clone, Copy, PartialEq)]
enum Told {
    Answered,
    Unknown,
    NotRun,
    Nothing,
}

pub(super) struct Run {
    way: Way,
    rng: ChaCha8Rng,
    shards: Vec<Vec<Period>>,
    counts: Counts,
}

impl Run {
    pub(super) fn new(way: Way, shards: usize, seed: u64) -> Self {
        let mut run = Self {
            way,
            rng: ChaCha8Rng::seed_from_u64(seed),
            shards: vec![Vec::new(); shards],
            counts: Counts::default(),
        };
        run.draw_ends();
        run.count_ceilings();
        run
    }

    /// Draws the requests at a rate for each second and returns the counts.
    pub(super) fn run(mut self, rate: f64) -> Counts {
        let mut at_s = 0.0;
        loop {
            at_s += -(1.0 - self.rng.random::<f64>()).ln() / rate;
            if at_s >= LENGTH_S {
                return self.counts;
            }
            self.request(at_s);
        }
    }

    /// Draws one end of a holder after the other, each of a random shard.
    ///
    /// No shard is taken while the table is away.
    fn draw_ends(&mut self) {
        let count = self.shards.len();
        let mut open = vec![(0.0, 0.0); count];
        let mut at_s = END_PERIOD_S / 2.0;
        let mut planned = false;
        while at_s < LENGTH_S {
            let shard = self.rng.random_range(0..count);
            let (usable_s, floor_s) = open[shard];
            if at_s > usable_s {
                let end_s = at_s;
                self.shards[shard].push(Period {
                    usable_s,
                    end_s,
                    floor_s,
                });
                open[shard] = self.next_period(shard, end_s, planned);
            }
            planned = !planned;
            at_s += END_PERIOD_S;
        }
        for (periods, (usable_s, floor_s)) in self.shards.iter_mut().zip(open) {
            let end_s = f64::INFINITY;
            periods.push(Period {
                usable_s,
                end_s,
                floor_s,
            });
        }
    }

    /// Returns when a shard is usable again, and the floor of its next holder.
    fn next_period(&self, shard: usize, end_s: f64, planned: bool) -> (f64, f64) {
        // A stop in the outage can't write the released row.
        let released = planned && !in_outage(end_s);
        let (take_after_s, wait_s) = match released {
            true => (HANDOVER_S, 0.0),
            false => (TAKE_AFTER_S, LONGEST_RUN_S),
        };
        let mut taken_s = end_s + take_after_s;
        if in_outage(taken_s) {
            taken_s = OUTAGE_S.1;
        }
        let ceiling_s = if released {
            end_s
        } else {
            self.ceiling(shard, end_s)
        };
        let floor_s = match self.way {
            Way::OwnerClockFloor { .. } => ceiling_s.max(taken_s + SKEW_S),
            Way::RowEach
            | Way::Owner { .. }
            | Way::OwnerWitness { .. }
            | Way::OwnerAndRows { .. } => ceiling_s,
        };
        (taken_s + wait_s, floor_s)
    }

    fn count_ceilings(&mut self) {
        if let Some(lead_s) = self.way.lead_s() {
            let writes = (LENGTH_S - (OUTAGE_S.1 - OUTAGE_S.0)) / (lead_s / 2.0);
            self.counts.rows += writes * self.shards.len() as f64;
        }
    }

    /// Returns the ceiling that the row of a shard holds at a time.
    ///
    /// It is raised every half lead, at another phase for each shard.
    fn ceiling(&self, shard: usize, at_s: f64) -> f64 {
        let Some(lead_s) = self.way.lead_s() else {
            return 0.0;
        };
        let half_s = lead_s / 2.0;
        let phase_s = half_s * shard as f64 / self.shards.len() as f64;
        let goes_on = matches!(self.way, Way::OwnerWitness { .. });
        let before_outage = if in_outage(at_s) && !goes_on {
            OUTAGE_S.0
        } else {
            at_s
        };
        let raises = ((before_outage - phase_s) / half_s).floor();
        raises * half_s + phase_s + lead_s
    }

    fn request(&mut self, minted_s: f64) {
        self.counts.requests += 1;
        let shard = self.rng.random_range(0..self.shards.len());
        let mut ran_at = None;
        let mut told = Told::Nothing;
        for attempt in 0..ATTEMPTS {
            let at_s = minted_s + RETRY_S * f64::from(attempt);
            told = self.attempt(shard, minted_s, at_s, &mut ran_at);
            if matches!(told, Told::Answered | Told::Unknown) {
                break;
            }
        }
        match (told, ran_at) {
            (Told::Answered, _) => self.counts.answered += 1,
            (Told::Unknown, None) => self.counts.unknown_not_run += 1,
            (Told::Unknown | Told::Nothing, _) | (Told::NotRun, Some(_)) => {
                self.counts.unknown_ran += 1;
            }
            (Told::NotRun, None) => {
                self.counts.not_run += 1;
                self.counts.not_run_in_outage += u64::from(in_outage(minted_s));
            }
        }
    }

    fn attempt(
        &mut self,
        shard: usize,
        minted_s: f64,
        at_s: f64,
        ran_at: &mut Option<f64>,
    ) -> Told {
        let holds = |period: &&Period| at_s >= period.usable_s && at_s < period.end_s;
        let Some(period) = self.shards[shard].iter().find(holds).copied() else {
            return Told::NotRun;
        };
        if let Some(ran_s) = *ran_at {
            let remembered = ran_s >= period.usable_s || self.has_row(shard, ran_s);
            return if remembered {
                Told::Answered
            } else {
                Told::Unknown
            };
        }
        match self.way {
            Way::RowEach if in_outage(at_s) => return Told::NotRun,
            Way::RowEach => {}
            Way::Owner { .. }
            | Way::OwnerClockFloor { .. }
            | Way::OwnerWitness { .. }
            | Way::OwnerAndRows { .. } => {
                if minted_s <= period.floor_s {
                    return Told::Unknown;
                }
                if minted_s > self.ceiling(shard, at_s) {
                    return Told::NotRun;
                }
            }
        }
        *ran_at = Some(at_s);
        self.counts.rows += self.way.rows_for_request();
        let holder_lost = at_s + RUN_S >= period.end_s;
        if holder_lost || self.rng.random::<f64>() < LOST_ANSWERS {
            return Told::Nothing;
        }
        Told::Answered
    }

    /// Tells whether the answer to a request that ran at a time was written to the table.
    fn has_row(&self, shard: usize, ran_s: f64) -> bool {
        let runs = |period: &&Period| ran_s >= period.usable_s && ran_s < period.end_s;
        let holder = self.shards[shard].iter().find(runs);
        let lived_until = holder.map_or(0.0, |period| period.end_s);
        match self.way {
            Way::RowEach => lived_until > ran_s + RUN_S,
            Way::Owner { .. } | Way::OwnerClockFloor { .. } | Way::OwnerWitness { .. } => false,
            Way::OwnerAndRows { .. } => {
                lived_until > ran_s + RUN_S + ROW_DELAY_S && !in_outage(ran_s)
            }
        }
    }
}

fn in_outage(at_s: f64) -> bool {
    at_s >= OUTAGE_S.0 && at_s < OUTAGE_S.1
}
