//! Candidate for the scheduler's term: watches the scheduler's row and takes over a term that is
//! free.

use std::rc::Rc;
use std::time::Duration;

use snipevane_adapter::rows::Transaction;
use snipevane_core::senders::SenderSettings;
use snipevane_core::term::TermSettings;
use tokio::time::sleep;

use crate::clock::Clock;
use crate::events;
use crate::metrics;
use crate::node::Node;
use crate::peers::{self, scheduler_client};
use crate::rows::{self, SCHEDULER_KEY, SCHEDULERS_TABLE, SchedulerRow};
use crate::store::{CommitOutcome, Purpose, StoreError};

use super::leader::Leader;
use super::won_term::WonTerm;
use crate::minion_rows::MinionRows;

/// Longest delay between reads of the scheduler's row.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Longest delay between reads when the term is about to become free.
const TAKEOVER_POLL_INTERVAL: Duration = Duration::from_millis(120);

/// Delay before a failed read of the previous term's minions is retried.
const READ_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Pause after a heartbeat, so that one heartbeat covers several writes of the scheduler.
const HEARTBEAT_PAUSE: Duration = Duration::from_millis(300);

/// Watches the scheduler, takes over its term when it is free and schedules for as long as the term
/// is held; repeats this until the process stops.
pub async fn run_candidate<C: Clock>(node: Rc<Node<C>>) {
    let settings = TermSettings::default();
    while !node.stopping.get() {
        if watch_scheduler(&node, &settings).await {
            continue;
        }
        let row_read = read_scheduler_row(&node, &settings).await;
        if let Err(error) = row_read {
            log::debug!("can't read the scheduler's row, retrying: {error}");
        }
        let term_free = may_take_over(&node, &settings);
        let can_schedule =
            row_read.is_ok() && !node.stopping.get() && node.site_view.borrow().site.is_some();
        if term_free && can_schedule {
            await_batches_of_predecessor(&node).await;
            if let Some(won) = take_over(&node).await {
                Leader::run(node.clone(), settings, won).await;
            }
        }
        sleep(poll_delay(&node, &settings)).await;
    }
}

/// Waits for a heartbeat of the scheduler; returns whether it shows that the term is held.
///
/// Returns false at once if a read of the scheduler's row is due.
async fn watch_scheduler<C: Clock>(node: &Node<C>, settings: &TermSettings) -> bool {
    let scheduler = node.scheduler_view.borrow().watch_address(node.clock.now());
    let Some(address) = scheduler else {
        return false;
    };
    let scheduler_alive = scheduler_client::watch(node, settings, address).await;
    if scheduler_alive {
        sleep(HEARTBEAT_PAUSE).await;
    } else {
        let view = node.scheduler_view.borrow();
        let unchanged_ms = view.unchanged_for(node.clock.now()).as_millis();
        events::record(
            &events::SCHEDULER_LOST,
            &[&address, &view.version(), &unchanged_ms],
        );
    }
    scheduler_alive
}

/// Returns whether this process may try to win the term.
///
/// It may do so at once if an earlier process on the same VM held the term. A VM that is much smaller
/// than another candidate leaves a free term to that one for a while.
fn may_take_over<C: Clock>(node: &Node<C>, settings: &TermSettings) -> bool {
    let view = node.scheduler_view.borrow();
    let holder = view.row.as_ref();
    let predecessor = holder
        .is_some_and(|row| row.holder == node.settings.node && row.process != node.started_unix_ms);
    let delay = takeover_delay(node, settings);
    predecessor || view.is_free_for(settings, delay, node.clock.now())
}

/// Waits until no sender may send start orders any more that an earlier process on this VM decided.
async fn await_batches_of_predecessor<C: Clock>(node: &Node<C>) {
    let batches_end = node.started_at + SenderSettings::default().send_window;
    sleep(batches_end.saturating_sub(node.clock.now())).await;
}

/// Returns how long this VM leaves a free term to others: to larger VMs, to those that couldn't reach the
/// holder before, or to those that reach the store directly.
fn takeover_delay<C: Clock>(node: &Node<C>, settings: &TermSettings) -> Duration {
    let own = &node.settings.capacity;
    let largest = node.largest_candidate.get();
    let is_smaller = largest.is_some_and(|largest| largest.is_much_larger_than(own));
    let view = node.scheduler_view.borrow();
    if view.is_released_for_others(node.clock.now()) || !node.store.is_direct() {
        settings.smaller_vm_delay * 2
    } else if is_smaller {
        settings.smaller_vm_delay
    } else {
        Duration::ZERO
    }
}

async fn read_scheduler_row<C: Clock>(
    node: &Node<C>,
    settings: &TermSettings,
) -> Result<(), StoreError> {
    let asked_at = node.clock.now();
    let read = node
        .store
        .get_with_clock(Purpose::TermPoll, SCHEDULERS_TABLE, SCHEDULER_KEY)
        .await;
    let now = node.clock.now();
    let mut view = node.scheduler_view.borrow_mut();
    if read.is_err() || now > asked_at + settings.outage_threshold {
        view.record_read_failure();
    }
    let (row, clock_ms) = read?;
    view.record_read(settings, row.as_ref(), clock_ms, now);
    Ok(())
}

/// Returns the time until the next read of the row, with jitter so that few processes try to take
/// over at the same time.
fn poll_delay<C: Clock>(node: &Node<C>, settings: &TermSettings) -> Duration {
    let view = node.scheduler_view.borrow();
    let takeover_near =
        view.is_free(settings, node.clock.now() + POLL_INTERVAL) || view.row.is_none();
    let base = if takeover_near {
        TAKEOVER_POLL_INTERVAL
    } else {
        POLL_INTERVAL
    };
    base.mul_f64(node.random(0.6..1.0))
}

/// Tries to win the term by replacing the row that was last read; returns `None` if that fails.
async fn take_over<C: Clock>(node: &Rc<Node<C>>) -> Option<WonTerm> {
    let sent_at = node.clock.now();
    let (previous, version, previous_seen_at) = {
        let view = node.scheduler_view.borrow();
        let unchanged_for = view.unchanged_for(sent_at);
        (
            view.row.clone(),
            view.version(),
            sent_at.saturating_sub(unchanged_for),
        )
    };
    let row = SchedulerRow {
        holder: node.settings.node.clone(),
        address: peers::own_address(node).into(),
        process: node.started_unix_ms,
        fence: previous.as_ref().map_or(0, |row| row.fence) + 1,
        minions: previous
            .as_ref()
            .map_or_else(Vec::new, |row| row.minions.clone()),
        // As the row is newer than the previous one, the VMs stay reserved a little longer than need be.
        ordered_vms: previous
            .as_ref()
            .map_or(Some(Vec::new()), |row| row.ordered_vms.clone()),
        sent_clock_ms: node.store.latest_clock_ms(),
        // The store may still be slow, of which this term has measured nothing yet.
        observer_wait_ms: previous.as_ref().and_then(|row| row.observer_wait_ms),
        ..SchedulerRow::default()
    };
    let transaction = Transaction {
        conditions: vec![(SCHEDULERS_TABLE.into(), SCHEDULER_KEY.into(), version)],
        writes: vec![(
            SCHEDULERS_TABLE.into(),
            SCHEDULER_KEY.into(),
            rows::encode(&row),
        )],
        ..Transaction::default()
    };
    let committed = node.store.commit(Purpose::TermClaim, &transaction).await;
    let commit_time = node.clock.now().saturating_sub(sent_at);
    let version = match committed {
        Ok(CommitOutcome::Committed(version)) => version,
        Ok(CommitOutcome::Conflict(_)) => confirm_uncertain_win(node, &row).await?,
        Err(error) => {
            events::record(&events::TERM_CLAIM_FAILED, &[&row.fence, &error]);
            confirm_uncertain_win(node, &row).await?
        }
    };
    let holder = previous.as_ref().map(|row| row.holder.as_str());
    let previous_holder = holder.unwrap_or("none");
    events::record(&events::TERM_WON, &[&row.fence, &version, &previous_holder]);
    metrics::record_term_won(row.fence);
    Some(WonTerm {
        minion_rows: read_minion_rows(node, sent_at + TermSettings::default().term).await?,
        row,
        previous,
        previous_seen_at,
        version,
        sent_at,
        commit_time,
    })
}

/// Reads the rows of the previous term's minions, which nobody else changes once the term is won.
///
/// Returns `None` if that fails until the term is over.
async fn read_minion_rows<C: Clock>(node: &Node<C>, term_end: Duration) -> Option<MinionRows> {
    loop {
        match node
            .store
            .read(Purpose::SchedulerRead, SCHEDULERS_TABLE, "", "")
            .await
        {
            Ok(page) => return Some(MinionRows::decode(&page.rows)),
            Err(error) => log::warn!("can't read the minions in use, retrying: {error}"),
        }
        if node.clock.now() >= term_end {
            return None;
        }
        sleep(READ_RETRY_DELAY).await;
    }
}

/// Reads the row back after a write of unknown outcome; returns its version if it was committed.
async fn confirm_uncertain_win<C: Clock>(node: &Node<C>, row: &SchedulerRow) -> Option<u64> {
    let present = node
        .store
        .get(Purpose::TermClaim, SCHEDULERS_TABLE, SCHEDULER_KEY)
        .await
        .ok()??;
    let value: SchedulerRow = rows::decode(SCHEDULER_KEY, present.value.as_ref()?)?;
    (value == *row).then_some(present.version)
}
