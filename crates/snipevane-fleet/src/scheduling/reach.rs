//! Reports of entry VMs that the scheduler doesn't reach, and the release of a term that most of them can't
//! reach.

use std::rc::Rc;
use std::time::Duration;

use snipevane_adapter::rows::Transaction;
use snipevane_core::backoff::Backoff;
use tokio::time::sleep;

use crate::clock::Clock;
use crate::events;
use crate::metrics;
use crate::node::Node;
use crate::rows::{self, REACH_TABLE, ReachRow};
use crate::store::{Purpose, StoreError};

use super::leader::Leader;

/// Interval at which an entry VM checks whether it hears the scheduler, and the holder its reach.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Shortest interval at which a report is repeated while it holds. The longest one is below the time for which the
/// holder counts a report.
const REPORT_INTERVAL: Duration = Duration::from_millis(1_500);
const MAX_REPORT_INTERVAL: Duration = Duration::from_millis(3_000);

/// Time that a long poll for reports waits.
const FEED_WAIT: Duration = Duration::from_millis(2_500);

/// Delay before a failed call is retried.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// Reports in the store, for as long as the process lives, when this entry VM gets no heartbeats of a term that is
/// being renewed.
pub async fn report_unheard_terms<C: Clock>(node: Rc<Node<C>>) {
    let mut backoff = Backoff::new(RETRY_DELAY, REPORT_INTERVAL);
    loop {
        sleep(CHECK_INTERVAL).await;
        if unheard_term(&node).is_none() {
            continue;
        }
        // Many entry VMs may lose the scheduler at the same time; it may be heard again meanwhile.
        let spread = node.write_spread(MAX_REPORT_INTERVAL).unwrap_or_default();
        sleep(spread.mul_f64(node.random(0.0..1.0))).await;
        let Some(fence) = unheard_term(&node) else {
            continue;
        };
        let row = ReachRow { fence };
        let transaction = Transaction {
            writes: vec![(
                REACH_TABLE.into(),
                node.settings.node.clone(),
                rows::encode(&row),
            )],
            ..Transaction::default()
        };
        match node.store.commit(Purpose::ReachReport, &transaction).await {
            Ok(_) => {
                events::record(&events::TERM_UNHEARD, &[&fence]);
                backoff.reset();
                sleep(REPORT_INTERVAL.max(spread)).await;
            }
            Err(error) => {
                log::debug!("can't report that the scheduler isn't heard: {error}");
                sleep(backoff.next_delay(node.random(0.0..1.0))).await;
            }
        }
    }
}

/// Returns the fencing token of the term that is renewed in the store although this entry VM gets no heartbeats
/// of it.
fn unheard_term<C: Clock>(node: &Node<C>) -> Option<u64> {
    if node.leader().is_some() || node.stopping.get() || !node.store.is_direct() {
        return None;
    }
    let view = node.scheduler_view.borrow();
    view.unheard_term(node.clock.now())
}

/// Follows the reports until the term ends.
pub(super) async fn follow_reports<C: Clock>(leader: Rc<Leader<C>>) {
    loop {
        match leader
            .node
            .store
            .read(Purpose::SchedulerRead, REACH_TABLE, "", "")
            .await
        {
            Ok(page) => follow_changes(&leader, page.version).await,
            Err(error) => log::debug!("can't read reports of entry VMs, retrying: {error}"),
        }
        sleep(RETRY_DELAY).await;
    }
}

async fn follow_changes<C: Clock>(leader: &Leader<C>, mut version: u64) {
    loop {
        let changes =
            leader
                .node
                .store
                .changes(Purpose::SchedulerRead, REACH_TABLE, version, FEED_WAIT);
        match changes.await {
            Ok(page) => {
                let now = leader.node.clock.now();
                for row in &page.rows {
                    let value = row.value.as_ref();
                    let report = value.and_then(|value| rows::decode::<ReachRow>(&row.key, value));
                    if report.is_some_and(|report| report.fence == leader.fence()) {
                        leader.reach.borrow_mut().record_report(&row.key, now);
                    }
                }
                version = version.max(page.version);
            }
            Err(StoreError::HistoryGone) => return,
            Err(error) => {
                log::debug!("can't read changes of reports, retrying: {error}");
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Releases the term once a clear majority of the entry VMs can't reach this one.
///
/// Orders for VMs that may still be carried out are awaited first, as for every handover.
pub(super) async fn release_if_unreached<C: Clock>(leader: Rc<Leader<C>>) {
    loop {
        sleep(CHECK_INTERVAL).await;
        let now = leader.node.clock.now();
        let counts = leader.reach.borrow().counts(now);
        metrics::set_reach(counts);
        let due = leader.reach.borrow_mut().should_release(now);
        leader.set_handover_due_for_reach(due);
        if !due || leader.open_vm_orders.any(now) {
            continue;
        }
        events::record(
            &events::TERM_UNREACHED,
            &[&counts.unreached, &counts.reached, &leader.fence()],
        );
        leader.release_unreached();
        return;
    }
}
