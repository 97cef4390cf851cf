//! How the tasks on a fake minion interfere, and the errors of what it reports.

use std::collections::BTreeMap;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Amount that a best-effort task at its full CPU share adds to the tail latency of the
/// latency-sensitive tasks on its minion, in milliseconds.
pub(super) const INTERFERENCE_MS: f64 = 40.0;

/// How the tasks on a minion interfere, and what it reports of it.
#[derive(Clone, Debug)]
pub struct Interference {
    /// Amounts that a best-effort image at its full CPU share adds to the tail latency of a
    /// latency-sensitive one, in milliseconds, by the names of both; [`INTERFERENCE_MS`] for other
    /// pairs.
    pub added_ms: BTreeMap<(&'static str, &'static str), f64>,
    /// Factor of all tail latencies, which stands for a slow minion or a higher load.
    pub tail_factor: f64,
    /// Largest error of a reported tail latency, as a fraction of it.
    pub noise: f64,
    /// Tail latency that is reported whatever it really is, in milliseconds.
    pub reported_ms: Option<f64>,
    pub(super) random: ChaCha8Rng,
}

impl Default for Interference {
    fn default() -> Self {
        Self {
            added_ms: BTreeMap::new(),
            tail_factor: 1.0,
            noise: 0.0,
            reported_ms: None,
            random: ChaCha8Rng::seed_from_u64(0),
        }
    }
}

impl Interference {
    /// Returns figures with errors up to this fraction, drawn from a seed.
    pub fn with_noise(noise: f64, seed: u64) -> Self {
        Self {
            noise,
            random: ChaCha8Rng::seed_from_u64(seed),
            ..Self::default()
        }
    }
}
