//! Watches the scheduler's row and takes over a term that is free.

use std::rc::Rc;
use std::time::Duration;

use snipevane_adapter::rows::Transaction;
use snipevane_core::term::TermSettings;
use tokio::time::sleep;

use crate::clock::Clock;
use crate::events;
use crate::metrics;
use crate::node::Node;
use crate::peers::{self, link};
use crate::rows::{self, SCHEDULER_KEY, SCHEDULERS, SchedulerRow};
use crate::store::{Commit, StoreError};

use super::lead::{Lead, Won};

/// Time between two looks at the row.
const LOOK: Duration = Duration::from_millis(500);

/// Time between two looks when a term is about to be free.
const CLOSE_LOOK: Duration = Duration::from_millis(120);

/// Pause after a heartbeat, in which several writes of the scheduler gather.
const BETWEEN_HEARTBEATS: Duration = Duration::from_millis(100);

/// Stands for the scheduler's term until the process stops.
pub async fn stand<C: Clock>(node: Rc<Node<C>>) {
    let settings = TermSettings::default();
    while !node.stopping.get() {
        if follow(&node, &settings).await {
            continue;
        }
        let looked = look(&node, &settings).await;
        if let Err(error) = looked {
            log::debug!("the scheduler's row can't be read: {error}");
        }
        let free = may_take_over(&node, &settings);
        let able = looked.is_ok() && !node.stopping.get() && node.site.borrow().site.is_some();
        if free
            && able
            && let Some(won) = take_over(&node).await
        {
            Lead::run(node.clone(), settings, won).await;
        }
        sleep(pause(&node, &settings)).await;
    }
}

/// Listens to the scheduler; returns whether it is there.
async fn follow<C: Clock>(node: &Node<C>, settings: &TermSettings) -> bool {
    let scheduler = node.scheduler.borrow().watched(node.clock.now());
    let Some(address) = scheduler else {
        return false;
    };
    let heard = link::watch(node, settings, address).await;
    if heard {
        sleep(BETWEEN_HEARTBEATS).await;
    } else {
        let view = node.scheduler.borrow();
        let unchanged = view.unchanged_for(node.clock.now()).as_millis();
        events::record(
            &events::SCHEDULER_LOST,
            &[&address, &view.version(), &unchanged],
        );
    }
    heard
}

/// Returns whether the term is free.
///
/// It is free at once for a process whose predecessor on the same VM held it.
fn may_take_over<C: Clock>(node: &Node<C>, settings: &TermSettings) -> bool {
    let view = node.scheduler.borrow();
    let holder = view.row.as_ref();
    let predecessor = holder
        .is_some_and(|row| row.holder == node.settings.node && row.process != node.started_unix_ms);
    predecessor || view.is_free(settings, node.clock.now())
}

async fn look<C: Clock>(node: &Node<C>, settings: &TermSettings) -> Result<(), StoreError> {
    let row = node.store.get(SCHEDULERS, SCHEDULER_KEY).await?;
    node.scheduler
        .borrow_mut()
        .saw(settings, row.as_ref(), node.clock.now());
    Ok(())
}

/// Returns the time until the next look, spread so that few processes take over at once.
fn pause<C: Clock>(node: &Node<C>, settings: &TermSettings) -> Duration {
    let view = node.scheduler.borrow();
    let close = view.is_free(settings, node.clock.now() + LOOK) || view.row.is_none();
    let base = if close { CLOSE_LOOK } else { LOOK };
    base.mul_f64(node.random(0.6..1.0))
}

/// Tries to win the term by replacing the row that was seen.
async fn take_over<C: Clock>(node: &Rc<Node<C>>) -> Option<Won> {
    let (before, version) = {
        let view = node.scheduler.borrow();
        (view.row.clone(), view.version())
    };
    let row = SchedulerRow {
        holder: node.settings.node.clone(),
        address: peers::own_address(node).into(),
        process: node.started_unix_ms,
        fence: before.as_ref().map_or(0, |row| row.fence) + 1,
        minions: before
            .as_ref()
            .map_or_else(Vec::new, |row| row.minions.clone()),
        ..SchedulerRow::default()
    };
    let sent_at = node.clock.now();
    let transaction = Transaction {
        conditions: vec![(SCHEDULERS.into(), SCHEDULER_KEY.into(), version)],
        writes: vec![(SCHEDULERS.into(), SCHEDULER_KEY.into(), rows::encode(&row))],
        ..Transaction::default()
    };
    let version = match node.store.commit(&transaction).await {
        Ok(Commit::Done(version)) => version,
        Ok(Commit::Conflict(_)) => won_unseen(node, &row).await?,
        Err(error) => {
            events::record(&events::TERM_CLAIM_FAILED, &[&row.fence, &error]);
            won_unseen(node, &row).await?
        }
    };
    let holder = before.as_ref().map(|row| row.holder.as_str());
    let after = holder.unwrap_or("none");
    events::record(&events::TERM_WON, &[&row.fence, &version, &after]);
    metrics::record_term_won(row.fence);
    Some(Won {
        row,
        before,
        version,
        sent_at,
    })
}

/// Returns the row's version if a write without an answer was done.
async fn won_unseen<C: Clock>(node: &Node<C>, row: &SchedulerRow) -> Option<u64> {
    let present = node.store.get(SCHEDULERS, SCHEDULER_KEY).await.ok()??;
    let value: SchedulerRow = rows::decode(SCHEDULER_KEY, present.value.as_ref()?)?;
    (value == *row).then_some(present.version)
}
