//! Writes of callers' changes without a scheduler, at a pace that leaves the store to the scheduler.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use snipevane_adapter::rows::Transaction;
use snipevane_core::write_pacing::{PacingSettings, WritePacing};
use tokio::time::sleep;

use crate::clock::Clock;
use crate::node::Node;
use crate::store::{CommitOutcome, Purpose, StoreError};

/// Interval at which a pause checks whether this process has won the term, which ends the pause.
const TERM_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Writes of callers' changes while this process doesn't schedule.
pub(super) struct PacedWrites<C> {
    node: Rc<Node<C>>,
    /// Pacing since the first write; `None` until the number of entry VMs is known.
    pacing: Cell<Option<WritePacing>>,
    /// Random number from 0 to 1 that decides when the first write may be sent.
    start_turn: f64,
}

impl<C: Clock> PacedWrites<C> {
    /// Creates the writes of a process that has just started.
    pub(super) fn new(node: Rc<Node<C>>) -> Self {
        let start_turn = node.random(0.0..1.0);
        Self {
            node,
            pacing: Cell::new(None),
            start_turn,
        }
    }

    /// Returns the pacing, which begins at the start of the process.
    ///
    /// The first writes of all entry VMs are spread as far as the store's rate requires, and over the longest time
    /// while their number isn't known.
    fn pacing(&self) -> WritePacing {
        if let Some(pacing) = self.pacing.get() {
            return pacing;
        }
        let defaults = PacingSettings::default();
        let spread = self.node.write_spread(defaults.max_start_pause);
        let settings = spread.map_or(defaults, |spread| defaults.with_start_spread(spread));
        let pacing = WritePacing::new(settings, self.node.started_at, self.start_turn);
        self.pacing.set(spread.map(|_| pacing));
        pacing
    }

    /// Returns the time until the next write may be sent.
    pub(super) fn delay(&self) -> Duration {
        self.pacing().delay(self.node.clock.now())
    }

    /// Waits until the next write may be sent, or until this process schedules.
    pub(super) async fn wait_for_turn(&self) {
        loop {
            let delay = self.delay();
            if delay.is_zero() || self.node.leader().is_some() {
                return;
            }
            sleep(delay.min(TERM_CHECK_INTERVAL)).await;
        }
    }

    /// Commits a transaction and sets the pause that follows.
    ///
    /// # Errors
    ///
    /// Returns an error that tells whether the transaction may be committed nevertheless.
    pub(super) async fn commit(
        &self,
        transaction: &Transaction,
    ) -> Result<CommitOutcome, StoreError> {
        let sent_at = self.node.clock.now();
        let result = self
            .node
            .store
            .commit(Purpose::CallersWrite, transaction)
            .await;
        let now = self.node.clock.now();
        let random = self.node.random(0.0..1.0);
        let mut pacing = self.pacing();
        match result {
            Ok(_) | Err(StoreError::Rejected) => {
                pacing.record_answer(now.saturating_sub(sent_at), now, random);
            }
            Err(_) => pacing.record_failure(now, random),
        }
        self.pacing.set(Some(pacing));
        result
    }
}
