//! Measures how near each team comes to its share.

use super::max_min::{Claim, shares};

/// Time that the run takes to fill the fleet, which isn't counted.
const WARM_UP_SECS: f64 = 120.0;

const MINUTE_SAMPLES: usize = 60;

/// Part of the capacity that is asked for at least while the fleet counts as full.
const FULL_PART: f64 = 1.0;

/// A team's mean parts over a minute.
#[derive(Clone, Debug)]
pub(super) struct Minute {
    pub(super) secs: f64,
    pub(super) used: Vec<f64>,
    pub(super) ideal: Vec<f64>,
}

/// Compares what teams use with weighted max-min shares of what they ask for.
#[derive(Clone, Debug, Default)]
pub(super) struct ShareMeter {
    weights: Vec<u32>,
    samples: usize,
    used: Vec<f64>,
    ideal: Vec<f64>,
    pub(super) minutes: Vec<Minute>,
}

impl ShareMeter {
    pub(super) fn new(weights: Vec<u32>) -> Self {
        Self {
            samples: 0,
            used: vec![0.0; weights.len()],
            ideal: vec![0.0; weights.len()],
            minutes: Vec::new(),
            weights,
        }
    }

    /// Takes in what each team uses and what waits, in cores.
    pub(super) fn sample(&mut self, secs: f64, used: &[f64], waiting: &[f64], capacity: f64) {
        if secs < WARM_UP_SECS {
            return;
        }
        let asked: f64 = used.iter().sum::<f64>() + waiting.iter().sum::<f64>();
        if asked < capacity * FULL_PART {
            return;
        }
        let claims = self
            .weights
            .iter()
            .enumerate()
            .map(|(team, &weight)| Claim {
                weight: f64::from(weight),
                demand: used[team] + waiting[team],
            });
        let claims: Vec<Claim> = claims.collect();
        for (team, ideal) in shares(&claims, capacity).into_iter().enumerate() {
            self.ideal[team] += ideal / capacity;
            self.used[team] += used[team] / capacity;
        }
        self.samples += 1;
        if self.samples == MINUTE_SAMPLES {
            self.end_minute(secs);
        }
    }

    fn end_minute(&mut self, secs: f64) {
        let mean = |sums: &mut Vec<f64>| -> Vec<f64> {
            let means = sums.iter().map(|sum| sum / MINUTE_SAMPLES as f64).collect();
            sums.fill(0.0);
            means
        };
        let minute = Minute {
            secs,
            used: mean(&mut self.used),
            ideal: mean(&mut self.ideal),
        };
        self.minutes.push(minute);
        self.samples = 0;
    }

    /// Returns the part of the fleet in each minute that other teams used than those it belongs to.
    pub(super) fn distances(&self) -> Vec<f64> {
        let distance = |minute: &Minute| {
            let pairs = minute.used.iter().zip(&minute.ideal);
            pairs.map(|(used, ideal)| (ideal - used).max(0.0)).sum()
        };
        self.minutes.iter().map(distance).collect()
    }

    pub(super) fn mean_distance(&self) -> f64 {
        let distances = self.distances();
        distances.iter().sum::<f64>() / distances.len().max(1) as f64
    }

    pub(super) fn worst_distance(&self) -> f64 {
        self.distances().into_iter().fold(0.0, f64::max)
    }
}
