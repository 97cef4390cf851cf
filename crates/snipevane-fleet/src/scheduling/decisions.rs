//! Lets the scheduler decide, and sends the orders that it decides on.

use std::rc::Rc;
use std::time::Duration;

use snipevane_core::jobs::{Action, Scheduler, StartOrder};
use snipevane_core::senders::Assignment;
use tokio::time::{sleep, timeout};

use crate::clock::Clock;
use crate::metrics;
use crate::senders;

use super::leader::Leader;
use super::{notes, orders};

/// Longest time between scheduling decisions.
const MAX_DECISION_INTERVAL: Duration = Duration::from_millis(50);

/// Shortest time between scheduling decisions, during which events accumulate.
const MIN_DECISION_INTERVAL: Duration = Duration::from_millis(3);

/// Decides whenever something may have changed, until the term ends.
pub(super) async fn run_decision_loop<C: Clock>(leader: &Rc<Leader<C>>) {
    while !leader.ended.get() {
        let _ = timeout(MAX_DECISION_INTERVAL, leader.wake.notified()).await;
        if leader.is_releasing() {
            leader.store_wake.notify_one();
        }
        decide(leader);
        sleep(MIN_DECISION_INTERVAL).await;
    }
}

/// Gives the scheduler the configuration and the evacuated zones as last read.
fn apply_site_view<C: Clock>(leader: &Leader<C>, scheduler: &mut Scheduler) {
    let view = leader.node.site_view.borrow();
    if let Some(site) = &view.site {
        scheduler.set_site(site.clone());
    }
    scheduler.set_evacuated_zones(&view.evacuated);
    let now = leader.node.clock.now();
    let bounds = &leader.node.settings.bounds;
    scheduler.set_evacuations_confirmed(view.is_evacuation_confirmed(now, bounds));
}

fn decide<C: Clock>(leader: &Rc<Leader<C>>) {
    if !leader.may_send_orders() || leader.is_releasing() {
        return;
    }
    let mut scheduler = leader.scheduler.borrow_mut();
    apply_site_view(leader, &mut scheduler);
    let actions = scheduler.decide(leader.node.clock.now(), leader.node.clock.unix_ms());
    if scheduler.is_deposed() {
        leader.end("a minion has accepted a later term");
    }
    let changes = scheduler.has_changes() || scheduler.has_unrecorded_minions();
    let scheduler_events = scheduler.take_events();
    drop(scheduler);
    let fence = leader.fence();
    for event in &scheduler_events {
        notes::log_event(event, fence);
    }
    if changes {
        leader.store_wake.notify_one();
    }
    send(leader, actions);
}

/// Sends orders: start orders through senders where these are to be used, all others directly.
fn send<C: Clock>(leader: &Rc<Leader<C>>, actions: Vec<Action>) {
    let mut starts = Vec::new();
    let mut others = Vec::new();
    for action in actions {
        match action {
            Action::Start(order) => starts.push(order),
            other => others.push(other),
        }
    }
    let assignment = assign_starts(leader, starts);
    metrics::record_starts_sent("scheduler", assignment.direct.len());
    for batch in assignment.batches {
        metrics::record_starts_sent("sender", batch.starts.len());
        tokio::task::spawn_local(senders::send_batch(leader.clone(), batch));
    }
    let direct = assignment.direct.into_iter().map(Action::Start);
    for action in direct.chain(others) {
        tokio::task::spawn_local(orders::execute(leader.clone(), action));
    }
}

/// Decides which start orders go through which sender.
fn assign_starts<C: Clock>(leader: &Leader<C>, starts: Vec<StartOrder>) -> Assignment {
    let scheduler = leader.scheduler.borrow();
    let zone_of = |order: &StartOrder| {
        let minion = scheduler.minion(order.to.minion)?;
        Some(minion.entry.zone.clone())
    };
    let now = leader.node.clock.now();
    leader.senders.borrow_mut().assign(starts, zone_of, now)
}
