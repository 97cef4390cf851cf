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
    AdmissionSnapshot, JobId, JobMemory, JobSpec, JobState, MoveOutlook, NoMemory, OrderedVms,
    Scheduler, SchedulerSettings, Site, WaveProgress,
};
use snipevane_core::reach::{Reach, ReachSettings};
use snipevane_core::senders::{SenderOffer, SenderPool, SenderSettings, TermGrant};
use snipevane_core::term::{CommitTimes, Term, TermSettings};
use tokio::sync::Notify;
use tokio::task::JoinHandle;

use crate::clock::Clock;
use crate::events;
use crate::metrics;
use crate::minion_rows::MinionRows;
use crate::node::Node;
use crate::rows::SchedulerRow;
use crate::store::{CommitOutcome, StoreError};

use super::callers_write::{self, CallersTurn};
use super::open_vm_orders::OpenVmOrders;
use super::won_term::WonTerm;
use super::{decisions, feeds, handover, reach, stats, storing, vms};

/// Time after a handover during which the same process doesn't hand over again, so that the term
/// doesn't change hands all the time if the larger VM can't take over.
pub(super) const HANDOVER_PAUSE: Duration = Duration::from_secs(30);

/// Age up to which a summary of the committed work is used again. It serves all entry VMs, since summing up the
/// work for each heartbeat would take a notable part of a small VM's processor.
const ADMISSION_SNAPSHOT_MAX_AGE: Duration = Duration::from_millis(100);

/// Longest lease granted; the tasks of a lost minion wait this long before they start elsewhere.
const MAX_LEASE: Duration = Duration::from_millis(5_500);

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
    /// Memory that the jobs take.
    pub(super) job_memory: RefCell<JobMemory>,
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
    /// Orders for VMs that may still be carried out.
    pub(super) open_vm_orders: OpenVmOrders,
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
        allow_handover_after_others(&node, &won);
        let leader = Rc::new(Self::new(node, settings, won, site));
        leader.node.set_leader(Some(leader.clone()));
        let tasks: Vec<JoinHandle<()>> = vec![
            tokio::task::spawn_local(feeds::follow_jobs(leader.clone())),
            tokio::task::spawn_local(feeds::follow_minions(leader.clone())),
            tokio::task::spawn_local(storing::store_changes(leader.clone())),
            tokio::task::spawn_local(vms::run_planner(leader.clone())),
            tokio::task::spawn_local(stats::report_stats(leader.clone())),
            tokio::task::spawn_local(handover::hand_over_to_better_vm(leader.clone())),
            tokio::task::spawn_local(reach::follow_reports(leader.clone())),
            tokio::task::spawn_local(reach::release_if_unreached(leader.clone())),
        ];
        decisions::run_decision_loop(&leader).await;
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
            max_lease: bounds.max_lease,
            stop_timeout: bounds.stop_timeout,
            ..SchedulerSettings::default()
        };
        let taken_over_at = won.previous.as_ref().map(|_| won.sent_at);
        let unreported = won.unreported_runs(scheduler_settings.lease, node.clock.now());
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
            job_memory: RefCell::new(JobMemory::new(node.settings.limits.memory_bytes)),
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
            open_vm_orders: OpenVmOrders::default(),
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

    /// Reserves memory for a new job.
    ///
    /// # Errors
    ///
    /// Returns an error if those that are held leave too little.
    pub(crate) fn reserve_memory(&self, spec: &JobSpec) -> Result<(), NoMemory> {
        let sum = || self.scheduler.borrow().held_bytes();
        let now = self.node.clock.now();
        self.job_memory.borrow_mut().reserve(spec, sum, now)
    }

    /// Returns whether a job is known to have been cancelled before it was stored.
    pub(crate) fn has_tombstone(&self, id: JobId) -> bool {
        self.scheduler.borrow().has_tombstone(id)
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
}

/// Ends the pause without handovers if another process has held the term since the last one, as handovers then
/// don't lead back here.
fn allow_handover_after_others<C: Clock>(node: &Node<C>, won: &WonTerm) {
    let previous = won.previous.as_ref();
    let was_held_here = previous.is_some_and(|row| row.holder == node.settings.node);
    if !was_held_here {
        node.no_handover_until.set(Duration::ZERO);
    }
}
