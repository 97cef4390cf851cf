//! The scheduler during a term that this process holds.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use rustc_hash::FxHashMap;
use smol_str::SmolStr;
use snipevane_adapter::rows::Transaction;
use snipevane_core::batch_limit::BatchLimit;
use snipevane_core::candidates::{Candidates, VmCapacity};
use snipevane_core::jobs::{
    Action, AdmissionSnapshot, JobId, JobSpec, JobState, MoveOutlook, OrderedVms, Scheduler,
    SchedulerSettings, Site, StartOrder, UnreportedRuns, WaveProgress,
};
use snipevane_core::reach::{Reach, ReachSettings};
use snipevane_core::senders::{Assignment, SenderOffer, SenderPool, SenderSettings, TermGrant};
use snipevane_core::term::{CommitTimes, Term, TermSettings};
use tokio::sync::Notify;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

use crate::clock::Clock;
use crate::events;
use crate::metrics;
use crate::node::Node;
use crate::rows::SchedulerRow;
use crate::senders;
use crate::store::{CommitOutcome, StoreError};

use super::callers_write::{self, CallersTurn};
use super::{feeds, handover, notes, orders, reach, storing, vms};
use crate::minion_rows::MinionRows;

/// Longest time between scheduling decisions.
const MAX_DECISION_INTERVAL: Duration = Duration::from_millis(50);

/// Interval at which the metrics of the term and of the pools are updated.
const STATS_INTERVAL: Duration = Duration::from_secs(1);

/// Time after a handover during which the same process doesn't hand over again, so that the term
/// doesn't change hands all the time if the larger VM can't take over.
pub(super) const HANDOVER_PAUSE: Duration = Duration::from_secs(30);

/// Shortest time between scheduling decisions, during which events accumulate.
const MIN_DECISION_INTERVAL: Duration = Duration::from_millis(3);

/// Age up to which a summary of the committed work is used again. It serves all entry VMs, since summing up the
/// work for each heartbeat would take a notable part of a small VM's processor.
const ADMISSION_SNAPSHOT_MAX_AGE: Duration = Duration::from_millis(100);

/// Safety margin in [`UnreportedRuns::until`], after which the runs of the last lease that an
/// earlier term may have granted have certainly ended.
///
/// `SchedulerSettings::lease_margin` is a further margin, which the scheduler adds before it treats
/// the runs that it knows of as ended, whichever term granted their leases.
const EARLIER_TERM_LEASE_MARGIN: Duration = Duration::from_millis(200);

/// Longest lease granted; the tasks of a lost minion wait this long before they start elsewhere.
const MAX_LEASE: Duration = Duration::from_millis(5_500);

/// Lowest rate of a minion's clock relative to this process's clock, in percent.
const MIN_CLOCK_RATE_PERCENT: u32 = 98;
const PERCENT: u32 = 100;

/// A term that this process has won.
pub(super) struct WonTerm {
    /// Scheduler's row that was written.
    pub(super) row: SchedulerRow,
    /// Row of the previous term; `None` for the first term.
    pub(super) previous: Option<SchedulerRow>,
    /// Rows of the minions that the previous term used.
    pub(super) minion_rows: MinionRows,
    /// Time by which the row of the previous term had been written.
    pub(super) previous_seen_at: Duration,
    /// Version of the written row.
    pub(super) version: u64,
    /// Time at which the write was sent.
    pub(super) sent_at: Duration,
    /// Time that the write took.
    pub(super) commit_time: Duration,
}

/// The scheduler while this process holds the scheduler's term.
pub struct Leader<C> {
    pub(crate) node: Rc<Node<C>>,
    pub(crate) scheduler: RefCell<Scheduler>,
    pub(super) settings: TermSettings,
    pub(super) term: RefCell<Term>,
    /// Times that the writes of the term took.
    pub(super) commit_times: Cell<CommitTimes>,
    pub(super) row: RefCell<SchedulerRow>,
    pub(super) version: Cell<u64>,
    /// Number of jobs that haven't started, by queue; `None` until all jobs are loaded.
    pub(super) waiting: RefCell<Option<Vec<(SmolStr, u64)>>>,
    /// Rows of the minions in use, as last stored.
    pub(super) minion_rows: RefCell<MinionRows>,
    /// Held while a write of the term is under way, as each one depends on the one before.
    pub(super) write_turn: tokio::sync::Mutex<()>,
    /// Time at which the scheduler's changes were last taken for a write.
    pub(super) changes_written_at: Cell<Duration>,
    /// Whether changes of callers wait for the turn to write.
    pub(super) callers_waiting: Cell<bool>,
    /// Whether the transactions of callers have room for the scheduler's changes, as far as is known.
    pub(super) callers_carry_changes: Cell<bool>,
    /// Limit of the scheduler's changes in a transaction, while the store rejects some for good.
    pub(super) batch_limit: Cell<BatchLimit>,
    /// Number of rows beside the first one of each job that is stored in several.
    pub(super) job_chunks: RefCell<FxHashMap<JobId, u32>>,
    /// Progress of waves that is to be stored, oldest first.
    pub(super) pending_waves: RefCell<VecDeque<WaveProgress>>,
    /// Start of the term; `None` for the first term, before which no orders were sent.
    pub(super) taken_over_at: Option<Duration>,
    /// VMs for which the previous term may have sent recent orders, with the times until which they are
    /// left alone; `None` if the previous term didn't record them.
    pub(super) previously_ordered_vms: Option<FxHashMap<SmolStr, Duration>>,
    /// VMs that are or were ordered lately.
    pub(super) ordered_vms: RefCell<OrderedVms>,
    /// VMs that pools could get; `None` until the first plan of moves.
    pub(super) move_outlook: RefCell<Option<MoveOutlook>>,
    /// Committed work of loaded pools, with the time at which it was summed up.
    admission: RefCell<Option<(Rc<AdmissionSnapshot>, Duration)>>,
    /// Whether all jobs have been read, which is required before orders are sent.
    pub(super) jobs_loaded: Cell<bool>,
    /// Other entry VMs that could take over the term.
    pub(super) candidates: RefCell<Candidates>,
    /// Who reaches this process.
    pub(super) reach: RefCell<Reach>,
    /// Other entry VMs that can send start orders.
    pub(crate) senders: RefCell<SenderPool>,
    /// Whether a larger VM is ready for the term, so that no more orders for VMs are sent.
    pub(super) handover_due: Cell<bool>,
    /// Whether most entry VMs can't reach this process, so that no more orders for VMs are sent.
    handover_due_for_reach: Cell<bool>,
    /// Whether the next write releases the term for a larger VM.
    pub(super) releasing_for_handover: Cell<bool>,
    /// Number of orders for VMs that are in flight.
    vm_orders_in_flight: Cell<usize>,
    /// Time until which an order for a VM that got no reply may still be carried out.
    vm_orders_settled_at: Cell<Duration>,
    /// Whether the term has ended; it can't be resumed.
    pub(super) ended: Cell<bool>,
    /// Reason for the end of the term, for the log.
    pub(super) end_reason: Cell<&'static str>,
    /// Whether the advisor answered the last request.
    pub(super) advisor_reachable: Cell<bool>,
    /// Notified when the row has been written or the term has ended.
    pub(super) row_written: Notify,
    /// Notified when a scheduling decision may be possible.
    pub(crate) wake: Notify,
    /// Notified when there may be something to store.
    pub(super) store_wake: Notify,
}

impl<C: Clock> Leader<C> {
    /// Schedules until the term is lost or the process stops.
    pub(super) async fn run(node: Rc<Node<C>>, settings: TermSettings, won: WonTerm) {
        let Some(site) = node.site_view.borrow().site.clone() else {
            return;
        };
        let leader = Rc::new(Self::new(node, settings, won, site));
        leader.node.set_leader(Some(leader.clone()));
        let tasks: Vec<JoinHandle<()>> = vec![
            tokio::task::spawn_local(feeds::follow_jobs(leader.clone())),
            tokio::task::spawn_local(feeds::follow_minions(leader.clone())),
            tokio::task::spawn_local(storing::store_changes(leader.clone())),
            tokio::task::spawn_local(vms::run_planner(leader.clone())),
            tokio::task::spawn_local(report_pool_stats(leader.clone())),
            tokio::task::spawn_local(handover::hand_over_to_better_vm(leader.clone())),
            tokio::task::spawn_local(reach::follow_reports(leader.clone())),
            tokio::task::spawn_local(reach::release_if_unreached(leader.clone())),
        ];
        leader.run_decision_loop().await;
        leader.node.set_leader(None);
        for task in tasks {
            task.abort();
        }
        let fence = leader.row.borrow().fence;
        events::record(&events::TERM_ENDED, &[&fence, &leader.end_reason.get()]);
        metrics::record_term_ended();
    }

    fn new(node: Rc<Node<C>>, settings: TermSettings, won: WonTerm, site: Rc<Site>) -> Self {
        let bounds = &node.settings.bounds;
        let scheduler_settings = SchedulerSettings {
            lease: bounds.max_lease.min(MAX_LEASE),
            stop_timeout: bounds.stop_timeout,
            ..SchedulerSettings::default()
        };
        let taken_over_at = won.previous.as_ref().map(|_| won.sent_at);
        let unreported = unreported_runs(&won, bounds.max_lease.min(MAX_LEASE), node.clock.now());
        let mut scheduler = Scheduler::new(scheduler_settings, won.row.fence, site, unreported);
        if let Some(at) = taken_over_at {
            scheduler.distrust_lists_before_stops(at);
        }
        let adopted = won.row.ordered_vms.as_deref();
        let ordered_vms = OrderedVms::adopt(adopted.unwrap_or_default(), won.previous_seen_at);
        let previously_ordered_vms = adopted.map(|_| ordered_vms.reserved().clone());
        let mut commit_times = CommitTimes::default();
        commit_times.record(won.commit_time, node.clock.now());
        Self {
            scheduler: RefCell::new(scheduler),
            settings,
            term: RefCell::new(Term::new(settings, won.sent_at)),
            commit_times: Cell::new(commit_times),
            row: RefCell::new(won.row),
            version: Cell::new(won.version),
            waiting: RefCell::default(),
            minion_rows: RefCell::new(won.minion_rows),
            write_turn: tokio::sync::Mutex::default(),
            changes_written_at: Cell::new(node.clock.now()),
            callers_waiting: Cell::new(false),
            callers_carry_changes: Cell::new(true),
            batch_limit: Cell::default(),
            job_chunks: RefCell::default(),
            pending_waves: RefCell::default(),
            taken_over_at,
            previously_ordered_vms,
            ordered_vms: RefCell::new(ordered_vms),
            move_outlook: RefCell::default(),
            admission: RefCell::default(),
            jobs_loaded: Cell::new(false),
            candidates: RefCell::new(Candidates::new(node.settings.capacity)),
            reach: RefCell::new(Reach::new(
                ReachSettings::default(),
                won.sent_at,
                won.previous.is_some_and(|row| row.released_unreached),
            )),
            senders: RefCell::new(SenderPool::new(SenderSettings::default())),
            handover_due: Cell::new(false),
            handover_due_for_reach: Cell::new(false),
            releasing_for_handover: Cell::new(false),
            vm_orders_in_flight: Cell::new(0),
            vm_orders_settled_at: Cell::new(Duration::ZERO),
            ended: Cell::new(false),
            end_reason: Cell::new("the process is stopping"),
            advisor_reachable: Cell::new(true),
            row_written: Notify::new(),
            wake: Notify::new(),
            store_wake: Notify::new(),
            node,
        }
    }

    /// Adds a job that this process has just stored in `chunks` rows beside the first one.
    pub(crate) fn job_stored(&self, id: JobId, spec: JobSpec, chunks: u32) {
        self.record_chunks(id, chunks);
        let (now, unix_ms) = (self.node.clock.now(), self.node.clock.unix_ms());
        let mut scheduler = self.scheduler.borrow_mut();
        scheduler.add_job(id, spec, None, false, now, unix_ms);
        drop(scheduler);
        self.wake.notify_one();
    }

    /// Records in how many rows beside the first one a job is stored.
    pub(super) fn record_chunks(&self, id: JobId, chunks: u32) {
        if chunks > 0 {
            self.job_chunks.borrow_mut().insert(id, chunks);
        }
    }

    /// Returns the longest time that a write took lately.
    pub(crate) fn commit_time(&self) -> Duration {
        self.commit_times.get().longest()
    }

    /// Returns whether all stored jobs are known, apart from those that other processes have just stored.
    pub(crate) fn knows_stored_jobs(&self) -> bool {
        self.jobs_loaded.get()
    }

    /// Waits for the turn to write changes of callers; returns `None` if it takes too long or the term is
    /// over.
    pub(crate) async fn callers_turn(&self) -> Option<CallersTurn<'_>> {
        callers_write::callers_turn(self).await
    }

    /// Commits changes of callers together with the scheduler's row, so that the write renews the term.
    ///
    /// # Errors
    ///
    /// Returns an error that tells whether the changes may be committed nevertheless.
    pub(crate) async fn commit_for_callers(
        &self,
        turn: CallersTurn<'_>,
        changes: &Transaction,
    ) -> Result<CommitOutcome, StoreError> {
        callers_write::commit_for_callers(self, turn, changes).await
    }

    /// Returns the state of a job as shown to callers, if the job is known.
    pub(crate) fn visible_state(&self, id: JobId) -> Option<JobState> {
        self.scheduler.borrow().visible_state(id)
    }

    /// Returns the committed work of loaded pools and the time at which it was summed up; `None` while it
    /// isn't known, as after a takeover, or while an entry VM may be storing submissions that this process doesn't
    /// know of: a rejection of a repeat of such a submission would be false.
    pub(crate) fn admission_snapshot(&self) -> Option<(Rc<AdmissionSnapshot>, Duration)> {
        if !self.may_send_orders() || self.is_releasing() {
            return None;
        }
        let now = self.node.clock.now();
        if !self.reach.borrow().is_complete(now) {
            return None;
        }
        let mut cached = self.admission.borrow_mut();
        if let Some((snapshot, taken_at)) = cached.as_ref()
            && now < *taken_at + ADMISSION_SNAPSHOT_MAX_AGE
        {
            return Some((snapshot.clone(), *taken_at));
        }
        let outlook = self.move_outlook.borrow();
        let unplanned = MoveOutlook::default();
        let outlook = match (outlook.as_ref(), self.node.settings.vm_api_address) {
            (Some(outlook), _) => outlook,
            (None, None) => &unplanned,
            (None, Some(_)) => return None,
        };
        let move_time = self.node.settings.bounds.move_time;
        let scheduler = self.scheduler.borrow();
        let snapshot = scheduler.admission_snapshot(outlook, move_time, now);
        *cached = snapshot.map(|snapshot| (Rc::new(snapshot), now));
        cached.clone()
    }

    /// Records that another entry VM could take over the term.
    pub(crate) fn record_candidate(&self, vm: &SmolStr, capacity: VmCapacity) {
        let now = self.node.clock.now();
        self.candidates.borrow_mut().record(vm, capacity, now);
    }

    /// Returns the capacity of the largest other VM that could take over the term.
    pub(crate) fn largest_candidate(&self) -> Option<VmCapacity> {
        let now = self.node.clock.now();
        self.candidates.borrow().largest(now)
    }

    /// Records that another entry VM was heard, and its offer to send start orders, if it has one.
    ///
    /// A VM that no grant of this term has reached yet would refuse batches.
    pub(crate) fn record_sender(&self, vm: &SmolStr, offer: Option<SenderOffer>) {
        let now = self.node.clock.now();
        let mut senders = self.senders.borrow_mut();
        match offer.filter(|offer| offer.permitted_fence == self.fence()) {
            Some(offer) => senders.record_offer(vm, offer, now),
            None => senders.record_no_offer(vm),
        }
    }

    /// Returns the grant to send orders under the term; `None` if no more orders are decided.
    pub(crate) fn term_grant(&self) -> Option<TermGrant> {
        if !self.may_send_orders() || self.is_releasing() {
            return None;
        }
        let term_end = self.term.borrow().end();
        TermGrant::new(self.fence(), term_end, self.node.clock.now())
    }

    /// Returns the fencing token of the term.
    pub(crate) fn fence(&self) -> u64 {
        self.row.borrow().fence
    }

    /// Returns the time from which a term that is to be released may be: senders send no more orders then.
    pub(super) fn release_due(&self) -> Duration {
        self.senders.borrow().sending_ends_at()
    }

    /// Returns whether the next write releases the term; no more orders are decided until then.
    pub(super) fn is_releasing(&self) -> bool {
        self.node.stopping.get() || self.releasing_for_handover.get()
    }

    /// Waits until the row has a version other than `known` or the term has ended.
    pub(crate) async fn wait_for_row_change(&self, known: u64) {
        while self.version.get() == known && !self.ended.get() {
            self.row_written.notified().await;
        }
    }

    /// Ends the term for good; `reason` is logged.
    pub(super) fn end(&self, reason: &'static str) {
        self.end_reason.set(reason);
        self.ended.set(true);
        self.row_written.notify_waiters();
    }

    /// Returns whether orders may be sent: the term is held and all jobs have been read.
    pub(crate) fn may_send_orders(&self) -> bool {
        self.holds_term() && self.jobs_loaded.get()
    }

    /// Returns whether the term is held.
    pub(super) fn holds_term(&self) -> bool {
        self.term.borrow().is_valid(self.node.clock.now()) && !self.ended.get()
    }

    /// Returns whether orders for VMs may be sent, which they may not shortly before a handover.
    pub(super) fn may_send_vm_orders(&self) -> bool {
        let handover_due = self.handover_due.get() || self.handover_due_for_reach.get();
        self.may_send_orders() && !handover_due
    }

    /// Records that an order for a VM is sent.
    pub(super) fn vm_order_sent(&self) {
        self.vm_orders_in_flight
            .set(self.vm_orders_in_flight.get() + 1);
    }

    /// Records that an order for a VM is no longer in flight, and whether it got a reply.
    pub(super) fn vm_order_settled(&self, replied: bool) {
        self.vm_orders_in_flight
            .set(self.vm_orders_in_flight.get() - 1);
        if !replied {
            let vm_lease = self.node.settings.bounds.vm_lease;
            self.vm_orders_settled_at
                .set(self.node.clock.now() + vm_lease);
        }
    }

    /// Records a request for a heartbeat.
    pub(crate) fn record_heard(&self, vm: &SmolStr) {
        let now = self.node.clock.now();
        self.reach.borrow_mut().record_heard(vm, now);
    }

    /// Sets whether the term is about to be released for its reach.
    pub(super) fn set_handover_due_for_reach(&self, due: bool) {
        self.handover_due_for_reach.set(due);
    }

    /// Releases the term with the next write, for the entry VMs that can't reach this one.
    pub(super) fn release_unreached(&self) {
        self.node
            .no_handover_until
            .set(self.node.clock.now() + HANDOVER_PAUSE);
        self.row.borrow_mut().released_unreached = true;
        self.end_reason.set("most entry VMs can't reach this one");
        self.releasing_for_handover.set(true);
        self.store_wake.notify_one();
    }

    /// Returns whether an order for a VM may still be carried out.
    pub(super) fn has_open_vm_orders(&self, now: Duration) -> bool {
        self.vm_orders_in_flight.get() > 0 || now < self.vm_orders_settled_at.get()
    }

    async fn run_decision_loop(self: &Rc<Self>) {
        while !self.ended.get() {
            let _ = timeout(MAX_DECISION_INTERVAL, self.wake.notified()).await;
            if self.is_releasing() {
                self.store_wake.notify_one();
            }
            self.decide();
            sleep(MIN_DECISION_INTERVAL).await;
        }
    }

    /// Gives the scheduler the configuration and the evacuated zones as last read.
    fn apply_site_view(&self, scheduler: &mut Scheduler) {
        let view = self.node.site_view.borrow();
        if let Some(site) = &view.site {
            scheduler.set_site(site.clone());
        }
        scheduler.set_evacuated_zones(&view.evacuated);
        let now = self.node.clock.now();
        let bounds = &self.node.settings.bounds;
        scheduler.set_evacuations_confirmed(view.is_evacuation_confirmed(now, bounds));
    }

    fn decide(self: &Rc<Self>) {
        if !self.may_send_orders() || self.is_releasing() {
            return;
        }
        let mut scheduler = self.scheduler.borrow_mut();
        self.apply_site_view(&mut scheduler);
        let actions = scheduler.decide(self.node.clock.now(), self.node.clock.unix_ms());
        if scheduler.is_deposed() {
            self.end("a minion has accepted a later term");
        }
        let changes = scheduler.has_changes() || scheduler.has_unrecorded_minions();
        let scheduler_events = scheduler.take_events();
        drop(scheduler);
        let fence = self.row.borrow().fence;
        for event in &scheduler_events {
            notes::log_event(event, fence);
        }
        if changes {
            self.store_wake.notify_one();
        }
        self.send(actions);
    }

    /// Sends orders: start orders through senders where these are to be used, all others directly.
    fn send(self: &Rc<Self>, actions: Vec<Action>) {
        let mut starts = Vec::new();
        let mut others = Vec::new();
        for action in actions {
            match action {
                Action::Start(order) => starts.push(order),
                other => others.push(other),
            }
        }
        let assignment = self.assign_starts(starts);
        metrics::record_starts_sent("scheduler", assignment.direct.len());
        for batch in assignment.batches {
            metrics::record_starts_sent("sender", batch.starts.len());
            tokio::task::spawn_local(senders::send_batch(self.clone(), batch));
        }
        let direct = assignment.direct.into_iter().map(Action::Start);
        for action in direct.chain(others) {
            tokio::task::spawn_local(orders::execute(self.clone(), action));
        }
    }

    fn assign_starts(&self, starts: Vec<StartOrder>) -> Assignment {
        let scheduler = self.scheduler.borrow();
        let zone_of = |order: &StartOrder| {
            let minion = scheduler.minion(order.to.minion)?;
            Some(minion.entry.zone.clone())
        };
        let now = self.node.clock.now();
        self.senders.borrow_mut().assign(starts, zone_of, now)
    }
}

/// Updates the metrics of the term's age and of each pool until the term ends.
async fn report_pool_stats<C: Clock>(leader: Rc<Leader<C>>) {
    loop {
        sleep(STATS_INTERVAL).await;
        let stats = leader
            .scheduler
            .borrow()
            .pool_stats(leader.node.clock.now());
        let reply_time = leader
            .scheduler
            .borrow()
            .order_reply_time(leader.node.clock.now());
        let renewed_at = leader.term.borrow().renewed_at();
        let age = leader.node.clock.now().saturating_sub(renewed_at);
        metrics::set_term_age(age);
        metrics::set_order_reply_time(reply_time);
        let senders = leader.senders.borrow().usable(leader.node.clock.now());
        metrics::set_usable_senders(senders);
        let commit_time = leader.commit_time();
        metrics::set_longest_commit_time(commit_time);
        metrics::set_observer_wait(leader.settings.observer_wait(commit_time));
        for (pool, stats) in &stats {
            metrics::set_pool_stats(pool, stats);
        }
    }
}

/// Returns the runs of earlier terms that may still exist on minions that haven't listed them yet.
fn unreported_runs(won: &WonTerm, lease: Duration, now: Duration) -> UnreportedRuns {
    let Some(previous) = &won.previous else {
        return UnreportedRuns::default();
    };
    let in_rows = won.minion_rows.minions().cloned();
    let minions = previous.minions.iter().cloned().chain(in_rows);
    UnreportedRuns {
        until: now + lease * PERCENT / MIN_CLOCK_RATE_PERCENT + EARLIER_TERM_LEASE_MARGIN,
        minions: minions.collect(),
    }
}
