//! Reports of entry VMs that the scheduler doesn't reach, and the release of a term that most of them can't
//! reach.

use std::rc::Rc;
use std::time::Duration;

use snipevane_adapter::rows::{Row, Transaction};
use snipevane_core::reach_reports::{ReportPacing, ReportSettings};
use tokio::time::sleep;

use crate::clock::Clock;
use crate::events;
use crate::metrics;
use crate::node::Node;
use crate::rows::{self, REACH_TABLE, ReachRow};
use crate::store::{CommitOutcome, Purpose, StoreError};

use super::leader::Leader;

/// Interval at which an entry VM checks whether it hears the scheduler, and the holder its reach.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Time that a long poll for reports waits.
const FEED_WAIT: Duration = Duration::from_millis(2_500);

/// Delay between polls for reports, during which they accumulate.
const BATCH_DELAY: Duration = Duration::from_millis(200);

/// Longest interval between two reports of an entry VM that is taken into account.
const MAX_INTERVAL: Duration = Duration::from_secs(60);

/// Delay before a failed call is retried.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// Reports in the store, for as long as the process lives, when this entry VM gets no heartbeats of a term that is
/// being renewed.
pub async fn report_unheard_terms<C: Clock>(node: Rc<Node<C>>) {
    let settings = ReportSettings::for_rate(node.settings.store_rates.part_transactions_per_s);
    let mut pacing = ReportPacing::new(settings);
    loop {
        sleep(CHECK_INTERVAL).await;
        // Until their number is known, the entry VMs can't share the rate of reports.
        let Some(vms) = node.entry_vms.get() else {
            continue;
        };
        let unheard = unheard_term(&node);
        let is_due = pacing.is_due(unheard, vms, node.random(0.0..1.0), node.clock.now());
        let Some(fence) = unheard.filter(|_| is_due) else {
            continue;
        };
        let interval = settings.interval(vms);
        let row = ReachRow {
            fence,
            interval_ms: u64::try_from(interval.as_millis()).ok(),
        };
        let reported = report(&node, row).await;
        let now = node.clock.now();
        match reported {
            Ok(_) => {
                events::record(&events::TERM_UNHEARD, &[&fence]);
                pacing.record_stored(vms, now);
            }
            Err(error) => {
                log::debug!("can't report that the scheduler isn't heard: {error}");
                pacing.record_failed(vms, node.random(0.0..1.0), now);
            }
        }
    }
}

async fn report<C: Clock>(node: &Node<C>, row: ReachRow) -> Result<CommitOutcome, StoreError> {
    let transaction = Transaction {
        writes: vec![(
            REACH_TABLE.into(),
            node.settings.node.clone(),
            rows::encode(&row),
        )],
        ..Transaction::default()
    };
    node.store.commit(Purpose::ReachReport, &transaction).await
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
                    apply_report(leader, row, now);
                }
                version = version.max(page.version);
                sleep(BATCH_DELAY).await;
            }
            Err(StoreError::HistoryGone) => return,
            Err(error) => {
                log::debug!("can't read changes of reports, retrying: {error}");
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

fn apply_report<C: Clock>(leader: &Leader<C>, row: &Row, now: Duration) {
    let value = row.value.as_ref();
    let report = value.and_then(|value| rows::decode::<ReachRow>(&row.key, value));
    let Some(report) = report.filter(|report| report.fence == leader.fence()) else {
        return;
    };
    let min_interval = ReportSettings::default().min_interval;
    let interval = report.interval_ms.map(Duration::from_millis);
    let interval = interval.unwrap_or(min_interval).min(MAX_INTERVAL);
    let mut reach = leader.reach.borrow_mut();
    reach.record_report(&row.key, interval, now);
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
