//! Metrics of the term and of the pools, which the process that schedules updates.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::sleep;

use crate::clock::Clock;
use crate::metrics;

use super::leader::Leader;

/// Interval at which the metrics of the term and of the pools are updated.
const STATS_INTERVAL: Duration = Duration::from_secs(1);

/// Updates the metrics until the term ends.
pub(super) async fn report_stats<C: Clock>(leader: Rc<Leader<C>>) {
    loop {
        sleep(STATS_INTERVAL).await;
        let now = leader.node.clock.now();
        report_term(&leader, now);
        report_orders(&leader, now);
        report_held_jobs(&leader);
        let pool_stats = leader.scheduler.borrow().pool_stats(now);
        for (pool, stats) in &pool_stats {
            metrics::set_pool_stats(pool, stats);
        }
    }
}

/// Updates the metrics of the term's age and of its writes.
fn report_term<C: Clock>(leader: &Leader<C>, now: Duration) {
    let renewed_at = leader.term.borrow().renewed_at();
    metrics::set_term_age(now.saturating_sub(renewed_at));
    let commit_time = leader.commit_time();
    metrics::set_longest_commit_time(commit_time);
    metrics::set_observer_wait(leader.settings.observer_wait(commit_time));
}

/// Updates the metrics of what is held of jobs.
fn report_held_jobs<C: Clock>(leader: &Leader<C>) {
    let scheduler = leader.scheduler.borrow();
    let due_occurrences = scheduler.due_occurrences();
    metrics::set_held_jobs(
        scheduler.held_bytes().all,
        leader.job_memory.borrow().max_bytes(),
        due_occurrences,
    );
}

/// Updates the metrics of how orders are sent and answered.
fn report_orders<C: Clock>(leader: &Leader<C>, now: Duration) {
    let reply_time = leader.scheduler.borrow().order_reply_time(now);
    metrics::set_order_reply_time(reply_time);
    let senders = leader.senders.borrow().usable(now);
    metrics::set_usable_senders(senders);
}
