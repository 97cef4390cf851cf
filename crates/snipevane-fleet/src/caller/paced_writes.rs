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
    pacing: Cell<WritePacing>,
}

impl<C: Clock> PacedWrites<C> {
    /// Creates the writes of a process that has just started.
    pub(super) fn new(node: Rc<Node<C>>) -> Self {
        let random = node.random(0.0..1.0);
        let pacing = WritePacing::new(PacingSettings::default(), node.clock.now(), random);
        Self {
            node,
            pacing: Cell::new(pacing),
        }
    }

    /// Returns the time until the next write may be sent.
    pub(super) fn delay(&self) -> Duration {
        self.pacing.get().delay(self.node.clock.now())
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
        let mut pacing = self.pacing.get();
        match result {
            Ok(_) | Err(StoreError::Rejected) => {
                pacing.record_answer(now.saturating_sub(sent_at), now, random);
            }
            Err(_) => pacing.record_failure(now, random),
        }
        self.pacing.set(pacing);
        result
    }
}
