//! A term of the scheduler on this process.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use smol_str::SmolStr;
use snipevane_core::jobs::{
    HiddenRuns, JobId, JobSpec, JobState, Scheduler, SchedulerSettings, Site,
};
use snipevane_core::term::{Term, TermSettings};
use tokio::sync::Notify;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

use crate::clock::Clock;
use crate::events;
use crate::metrics;
use crate::node::Node;
use crate::rows::SchedulerRow;

use super::{feeds, notes, orders, storing, vms};

/// Longest time between two decisions.
const TICK: Duration = Duration::from_millis(50);

/// Time between two readings of the pools' figures.
const FIGURES_EVERY: Duration = Duration::from_secs(1);

/// Shortest time between two decisions, in which events gather.
const GATHER: Duration = Duration::from_millis(3);

/// Time after the end of a lease after which its runs have surely ended.
const LEASE_SLACK: Duration = Duration::from_millis(200);

/// Longest lease granted; a lost minion's tasks wait as long.
const LONGEST_LEASE: Duration = Duration::from_millis(5_500);

/// Slowest rate of a minion's clock against ours, in percent.
const SLOWEST_CLOCK_PERCENT: u32 = 98;
const PERCENT: u32 = 100;

/// A term that was won.
pub(super) struct Won {
    /// Row that was written.
    pub(super) row: SchedulerRow,
    /// Row of the term before; none for the first term.
    pub(super) before: Option<SchedulerRow>,
    /// Version of the row.
    pub(super) version: u64,
    /// Time at which the write was sent.
    pub(super) sent_at: Duration,
}

/// The scheduler of this process's term.
pub struct Lead<C> {
    pub(super) node: Rc<Node<C>>,
    pub(super) scheduler: RefCell<Scheduler>,
    pub(super) settings: TermSettings,
    pub(super) term: RefCell<Term>,
    pub(super) row: RefCell<SchedulerRow>,
    pub(super) version: Cell<u64>,
    /// Rows to write with the next transaction: table, key, value.
    pub(super) writes: RefCell<Vec<(SmolStr, SmolStr, Vec<u8>)>>,
    /// Start of the term; none for the first one, before which nobody gave orders.
    pub(super) taken_over_at: Option<Duration>,
    /// Whether all jobs have been read, so that orders may be given.
    pub(super) loaded: Cell<bool>,
    /// Whether the term is over for good.
    pub(super) over: Cell<bool>,
    /// Why it is.
    pub(super) over_reason: Cell<&'static str>,
    /// Whether the advisor answered the last question.
    pub(super) advisor_answers: Cell<bool>,
    /// Told when the row was written.
    pub(super) written: Notify,
    /// Told when something may be decided.
    pub(super) wake: Notify,
    /// Told when something may be stored.
    pub(super) store_wake: Notify,
}

impl<C: Clock> Lead<C> {
    /// Schedules until the term is lost or the process stops.
    pub(super) async fn run(node: Rc<Node<C>>, settings: TermSettings, won: Won) {
        let Some(site) = node.site.borrow().site.clone() else {
            return;
        };
        let lead = Rc::new(Self::new(node, settings, won, site));
        lead.node.set_lead(Some(lead.clone()));
        let parts: Vec<JoinHandle<()>> = vec![
            tokio::task::spawn_local(feeds::follow_jobs(lead.clone())),
            tokio::task::spawn_local(feeds::follow_minions(lead.clone())),
            tokio::task::spawn_local(storing::store_changes(lead.clone())),
            tokio::task::spawn_local(vms::plan(lead.clone())),
            tokio::task::spawn_local(tell_figures(lead.clone())),
        ];
        lead.decide_until_over().await;
        lead.node.set_lead(None);
        for part in parts {
            part.abort();
        }
        let fence = lead.row.borrow().fence;
        events::record(&events::TERM_OVER, &[&fence, &lead.over_reason.get()]);
        metrics::term_over();
    }

    fn new(node: Rc<Node<C>>, settings: TermSettings, won: Won, site: Rc<Site>) -> Self {
        let bounds = &node.settings.bounds;
        let lease_settings = SchedulerSettings {
            lease: bounds.lease.min(LONGEST_LEASE),
            stop: bounds.stop,
            ..SchedulerSettings::default()
        };
        let taken_over_at = won.before.as_ref().map(|_| won.sent_at);
        let hidden = hidden_runs(&won, bounds.lease.min(LONGEST_LEASE), node.clock.now());
        let scheduler = Scheduler::new(lease_settings, won.row.fence, site, hidden);
        Self {
            scheduler: RefCell::new(scheduler),
            settings,
            term: RefCell::new(Term::new(settings, won.sent_at)),
            row: RefCell::new(won.row),
            version: Cell::new(won.version),
            writes: RefCell::default(),
            taken_over_at,
            loaded: Cell::new(false),
            over: Cell::new(false),
            over_reason: Cell::new("the process stops"),
            advisor_answers: Cell::new(true),
            written: Notify::new(),
            wake: Notify::new(),
            store_wake: Notify::new(),
            node,
        }
    }

    /// Takes in a job that this process has just stored.
    pub(crate) fn job_stored(&self, id: JobId, spec: JobSpec) {
        let (now, unix_ms) = (self.node.clock.now(), self.node.clock.unix_ms());
        let mut scheduler = self.scheduler.borrow_mut();
        scheduler.add_job(id, spec, None, false, now, unix_ms);
        drop(scheduler);
        self.wake.notify_one();
    }

    /// Returns the state of a job as callers may see it, if the job is known.
    pub(crate) fn shown_state(&self, id: JobId) -> Option<JobState> {
        self.scheduler.borrow().shown_state(id)
    }

    /// Waits until the row has another version than `known`.
    pub(crate) async fn written_after(&self, known: u64) {
        while self.version.get() == known && !self.over.get() {
            self.written.notified().await;
        }
    }

    /// Ends the term for good.
    pub(super) fn end(&self, reason: &'static str) {
        self.over_reason.set(reason);
        self.over.set(true);
        self.written.notify_waiters();
    }

    /// Returns whether orders may be given.
    pub(super) fn may_order(&self) -> bool {
        let holds = self.term.borrow().is_valid(self.node.clock.now());
        holds && self.loaded.get() && !self.over.get()
    }

    async fn decide_until_over(self: &Rc<Self>) {
        while !self.over.get() {
            let _ = timeout(TICK, self.wake.notified()).await;
            if self.node.stopping.get() {
                self.store_wake.notify_one();
            }
            self.decide();
            sleep(GATHER).await;
        }
    }

    fn decide(self: &Rc<Self>) {
        if !self.may_order() || self.node.stopping.get() {
            return;
        }
        let site = self.node.site.borrow().site.clone();
        let mut scheduler = self.scheduler.borrow_mut();
        if let Some(site) = site {
            scheduler.set_site(site);
        }
        let actions = scheduler.decide(self.node.clock.now(), self.node.clock.unix_ms());
        if scheduler.is_deposed() {
            self.end("a minion has seen a later term");
        }
        let changes = scheduler.has_changes() || scheduler.has_unrecorded_minions();
        let notes = scheduler.take_notes();
        drop(scheduler);
        let fence = self.row.borrow().fence;
        for note in &notes {
            notes::log_note(note, fence);
        }
        if changes {
            self.store_wake.notify_one();
        }
        for action in actions {
            tokio::task::spawn_local(orders::carry_out(self.clone(), action));
        }
    }
}

/// Tells the figures of each pool while the term lasts.
async fn tell_figures<C: Clock>(lead: Rc<Lead<C>>) {
    loop {
        sleep(FIGURES_EVERY).await;
        let figures = lead.scheduler.borrow().figures(lead.node.clock.now());
        let renewed_at = lead.term.borrow().renewed_at();
        let age = lead.node.clock.now().saturating_sub(renewed_at);
        metrics::term_age(age);
        for (pool, figures) in &figures {
            metrics::pool_figures(pool, figures);
        }
    }
}

/// Returns what an earlier term may have left running out of sight.
fn hidden_runs(won: &Won, lease: Duration, now: Duration) -> HiddenRuns {
    let Some(before) = &won.before else {
        return HiddenRuns::default();
    };
    HiddenRuns {
        until: now + lease * PERCENT / SLOWEST_CLOCK_PERCENT + LEASE_SLACK,
        minions: before.minions.iter().cloned().collect(),
    }
}
