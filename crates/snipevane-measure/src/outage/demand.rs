//! Rows that a node has to write over time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use smol_str::{SmolStr, format_smolstr};
use snipevane_platform::Importance;

use super::OutageSettings;

/// A row to write.
#[derive(Clone, Debug)]
pub(super) struct DueRow {
    pub(super) key: SmolStr,
    pub(super) importance: Importance,
}

/// The rows of one node, each written again after its period.
pub(super) struct Demand {
    node: usize,
    rows: BinaryHeap<Reverse<(Instant, usize)>>,
    essential_every: Duration,
    bookkeeping_every: Duration,
}

impl Demand {
    /// Creates a node's demand, its rows spread over their periods.
    pub(super) fn new(settings: &OutageSettings, node: usize, start: Instant) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(settings.seed ^ (node as u64) << 20);
        let mut rows = BinaryHeap::new();
        for row in 0..=settings.bookkeeping_rows {
            let period = if row == 0 {
                settings.essential_every
            } else {
                settings.bookkeeping_every
            };
            let first = start + period.mul_f64(rng.random_range(0.0..1.0));
            rows.push(Reverse((first, row)));
        }
        Self {
            node,
            rows,
            essential_every: settings.essential_every,
            bookkeeping_every: settings.bookkeeping_every,
        }
    }

    /// Returns the next row that is due.
    pub(super) fn next_due(&mut self, now: Instant) -> Option<DueRow> {
        let Reverse((due, row)) = *self.rows.peek()?;
        if due > now {
            return None;
        }
        self.rows.pop();
        let (importance, period) = if row == 0 {
            (Importance::Essential, self.essential_every)
        } else {
            (Importance::Bookkeeping, self.bookkeeping_every)
        };
        self.rows.push(Reverse((due + period, row)));
        let key = format_smolstr!("{}/{row}", self.node);
        Some(DueRow { key, importance })
    }
}
