//! Candidate for the scheduler's term: watches the scheduler's row and takes over a term that is
//! free.

use std::rc::Rc;
use std::time::Duration;

use snipevane_adapter::rows::{Row, Transaction};
use snipevane_core::backoff::Backoff;
use snipevane_core::claim_turn::ClaimTurn;
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

/// Longest delay between reads of the scheduler's row, unless the store can't serve as many.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Longest delay between reads when the term is about to become free, unless the store can't serve as many.
const TAKEOVER_POLL_INTERVAL: Duration = Duration::from_millis(120);

/// Bounds of the time over which the claims of a free term are spread. The lower one is for the first term of a site,
/// when not all entry VMs are registered.
const FIRST_CLAIM_SPREAD: Duration = Duration::from_millis(300);
const MAX_CLAIM_SPREAD: Duration = Duration::from_millis(4_000);

/// Share of the time over which claims are spread that a smaller VM waits in addition, as a divisor: nearly always,
/// one of several larger VMs has claimed the term by then.
const SMALLER_VM_SPREAD_DIVISOR: u32 = 4;

/// Delay before a failed read of the previous term's minions is retried.
const READ_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Pause after a heartbeat, so that one heartbeat covers several writes of the scheduler.
const HEARTBEAT_PAUSE: Duration = Duration::from_millis(300);

/// Watches the scheduler, takes over its term when it is free and schedules for as long as the term
/// is held; repeats this until the process stops.
pub async fn run_candidate<C: Clock>(node: Rc<Node<C>>) {
    let settings = TermSettings::default();
    let mut turn = ClaimTurn::default();
    let mut backoff = Backoff::new(TAKEOVER_POLL_INTERVAL, POLL_INTERVAL);
    while !node.stopping.get() {
        if watch_scheduler(&node, &settings).await {
            turn.record_held();
            continue;
        }
        let delay = match read_scheduler_row(&node, &settings).await {
            Ok(()) => {
                backoff.reset();
                claim_in_turn(&node, &settings, &mut turn).await;
                poll_delay(&node, &settings, &turn)
            }
            Err(error) => {
                log::debug!("can't read the scheduler's row, retrying: {error}");
                node.read_interval(backoff.next_delay(node.random(0.0..1.0)))
            }
        };
        sleep(delay).await;
    }
}

/// Claims the term if it is free by the row that was just read and it is this process's turn, and schedules for as long
/// as it is held.
async fn claim_in_turn<C: Clock>(
    node: &Rc<Node<C>>,
    settings: &TermSettings,
    turn: &mut ClaimTurn,
) {
    let is_configured = node.site_view.borrow().site.is_some();
    // A turn that passes before the configuration is read would be used by all such VMs at the same time.
    if !is_configured || !may_take_over(node, settings) {
        turn.record_held();
        return;
    }
    let Some(spread) = claim_spread(node) else {
        return;
    };
    let now = node.clock.now();
    let earliest = now.max(end_of_predecessors_batches(node));
    let version = node.scheduler_view.borrow().version();
    let due_at = turn.due_at(version, spread, node.random(0.0..1.0), earliest);
    if now < due_at || node.stopping.get() {
        return;
    }
    match take_over(node).await {
        Some(won) => {
            turn.record_held();
            Leader::run(node.clone(), *settings, won).await;
        }
        None => turn.record_failure(),
    }
}

/// Returns the time over which the claims of the free term are spread; `None` if it can't be told yet.
fn claim_spread<C: Clock>(node: &Node<C>) -> Option<Duration> {
    if follows_predecessor(node) {
        return Some(Duration::ZERO);
    }
    let spread = node.write_spread(MAX_CLAIM_SPREAD)?;
    let is_first_term = node.scheduler_view.borrow().row.is_none();
    Some(if is_first_term {
        spread.max(FIRST_CLAIM_SPREAD)
    } else {
        spread
    })
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
    let delay = takeover_delay(node, settings);
    let view = node.scheduler_view.borrow();
    follows_predecessor(node) || view.is_free_for(settings, delay, node.clock.now())
}

/// Returns whether an earlier process on this VM holds the term.
fn follows_predecessor<C: Clock>(node: &Node<C>) -> bool {
    let view = node.scheduler_view.borrow();
    let holder = view.row.as_ref();
    holder
        .is_some_and(|row| row.holder == node.settings.node && row.process != node.started_unix_ms)
}

/// Returns when no sender may send start orders any more that an earlier process on this VM decided.
fn end_of_predecessors_batches<C: Clock>(node: &Node<C>) -> Duration {
    node.started_at + SenderSettings::default().send_window
}

/// Returns how long this VM leaves a free term to others: to larger VMs, to those that couldn't reach the
/// holder before, or to those that reach the store directly.
fn takeover_delay<C: Clock>(node: &Node<C>, settings: &TermSettings) -> Duration {
    let own = &node.settings.capacity;
    let largest = node.largest_candidate.get();
    let is_smaller = largest.is_some_and(|largest| largest.is_much_larger_than(own));
    let spread = node.write_spread(MAX_CLAIM_SPREAD).unwrap_or_default();
    let smaller_vm_delay = settings.smaller_vm_delay + spread / SMALLER_VM_SPREAD_DIVISOR;
    let view = node.scheduler_view.borrow();
    if view.is_released_for_others(node.clock.now()) || !node.store.is_direct() {
        smaller_vm_delay * 2
    } else if is_smaller {
        smaller_vm_delay
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

/// Returns the time until the next read of the row: until this process's turn to claim the term, or an interval with
/// jitter so that few processes try to take over at the same time.
fn poll_delay<C: Clock>(node: &Node<C>, settings: &TermSettings, turn: &ClaimTurn) -> Duration {
    let now = node.clock.now();
    let view = node.scheduler_view.borrow();
    let takeover_near = view.is_free(settings, now + POLL_INTERVAL) || view.row.is_none();
    let base = if takeover_near {
        TAKEOVER_POLL_INTERVAL
    } else {
        POLL_INTERVAL
    };
    let interval = node.read_interval(base).mul_f64(node.random(0.6..1.0));
    let until_turn = turn.drawn().map(|due_at| due_at.saturating_sub(now));
    until_turn.map_or(interval, |wait| interval.min(wait))
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
        Ok(CommitOutcome::Conflict(rows)) => version_if_won(rows.first()?, &row)?,
        Err(error) => {
            events::record(&events::TERM_CLAIM_FAILED, &[&row.fence, &error]);
            if error != StoreError::NoAnswer {
                return None;
            }
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
    version_if_won(&present, row)
}

/// Returns the version of the scheduler's row in the store if it is the claim `row`.
fn version_if_won(present: &Row, row: &SchedulerRow) -> Option<u64> {
    let value: SchedulerRow = rows::decode(SCHEDULER_KEY, present.value.as_ref()?)?;
    (value == *row).then_some(present.version)
}
