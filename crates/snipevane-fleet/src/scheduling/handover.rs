//! Handover of the term to a VM that can schedule better.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::sleep;

use crate::clock::Clock;

use super::leader::{HANDOVER_PAUSE, Leader};

/// Interval at which the holder of the term checks whether another VM should hold it.
const HANDOVER_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Time for which a scheduler reaches the store only through other entry VMs before it hands its term over. Each
/// of its writes then takes a detour, and all submissions wait for them. Several probes of the direct route fail in
/// that time, so that single lost or refused calls don't end a term.
const MAX_RELAYED_TIME: Duration = Duration::from_millis(2_000);

/// Hands the term over once a much larger VM has been present for a while, or once this VM has reached the
/// store only through others for a while.
///
/// Orders for VMs that may still be carried out are awaited first: this process goes on running, and
/// the next scheduler must not give an order for the same VM meanwhile.
pub(super) async fn hand_over_to_better_vm<C: Clock>(leader: Rc<Leader<C>>) {
    loop {
        sleep(HANDOVER_CHECK_INTERVAL).await;
        let node = &leader.node;
        let now = node.clock.now();
        let reason = leader.handover_reason(now);
        let due = now >= node.no_handover_until.get() && leader.holds_term();
        let reason = reason.filter(|_| due);
        leader.handover_due.set(reason.is_some());
        let Some(reason) = reason else {
            continue;
        };
        if leader.open_vm_orders.any(now) {
            continue;
        }
        node.no_handover_until.set(now + HANDOVER_PAUSE);
        node.largest_candidate.set(leader.largest_candidate());
        leader.end_reason.set(reason);
        leader.releasing_for_handover.set(true);
        leader.store_wake.notify_one();
        return;
    }
}

impl<C: Clock> Leader<C> {
    /// Returns why another VM should hold the term, if one should.
    fn handover_reason(&self, now: Duration) -> Option<&'static str> {
        let relayed_since = self.node.store.relayed_since();
        let is_cut_off = relayed_since.is_some_and(|since| now >= since + MAX_RELAYED_TIME);
        let candidates = self.candidates.borrow();
        if candidates.has_settled_larger(now) {
            Some("handed over to a larger VM")
        } else if is_cut_off && candidates.has_settled(now) {
            Some("handed over to a VM that reaches the store")
        } else {
            None
        }
    }
}
