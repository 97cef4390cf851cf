//! Restarts of minions under their identifiers, what is on its way meanwhile, and odd entries about them.

use std::time::Duration;

use rand::RngExt;
use smol_str::SmolStr;
use snipevane_core::jobs::{Action, MinionEntry, RunEnd};

use super::super::minion::Record;
use super::delivery::{fence, no_answer, recipient, sent_to};
use super::{Event, JobSite, ORDER_TIMEOUT, Outcome};

/// Largest delay of a run list that arrives after its hold has counted as unanswered.
const MAX_LATENESS: Duration = Duration::from_millis(1_500);

/// How a minion restarts under its identifier.
#[derive(Clone, Debug)]
pub struct Restart {
    /// Time for which it is down.
    pub downtime: Duration,
    /// Start of the next incarnation as the minion tells it, in milliseconds.
    pub born: u64,
    /// Address of the next incarnation, if it is another one.
    pub address: Option<SmolStr>,
    /// Time from the start of the next incarnation until the list of minions has its entry.
    pub entry_delay: Duration,
}

/// A restart that isn't over yet.
#[derive(Clone, Debug)]
pub(super) enum PendingRestart {
    /// The next incarnation starts.
    Start(SmolStr, Restart),
    /// The list of minions has the entry of the incarnation.
    Listing(SmolStr),
}

impl JobSite {
    /// Ends the present incarnation of a minion that is up, and starts the next one later.
    pub fn restart_under_id(&mut self, id: &SmolStr, restart: Restart) {
        let now = self.now;
        let Some(minion) = self.minions.get_mut(id).filter(|minion| minion.up) else {
            return;
        };
        let entry = minion.entry.clone();
        self.shown_entries.entry(id.clone()).or_insert(entry);
        minion.crash(&mut self.records, now);
        let at = now + restart.downtime;
        self.restarts
            .push((at, PendingRestart::Start(id.clone(), restart)));
    }

    /// Goes on with the restarts whose next step is due.
    pub(super) fn run_restarts(&mut self) {
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.restarts)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.restarts = later;
        for (_, restart) in due {
            match restart {
                PendingRestart::Start(id, restart) => self.start_incarnation(id, &restart),
                PendingRestart::Listing(id) => self.show_own_entry(&id),
            }
        }
    }

    fn start_incarnation(&mut self, id: SmolStr, restart: &Restart) {
        let now = self.now;
        let Some(minion) = self.minions.get_mut(&id) else {
            return;
        };
        minion.restart(now);
        minion.incarnation = restart.born;
        minion.entry.started_unix_ms = restart.born;
        if let Some(address) = &restart.address {
            minion.entry.address = address.clone();
        }
        let at = now + restart.entry_delay;
        self.restarts.push((at, PendingRestart::Listing(id)));
    }

    /// Makes a minion tell another start although it hasn't restarted, as after a change of its time of day.
    ///
    /// # Panics
    ///
    /// Panics if there is no such minion.
    pub fn shift_start(&mut self, id: &SmolStr, born: u64) {
        let minion = self.minions.get_mut(id).expect("a known minion");
        let runs = self.records.iter_mut();
        let runs = runs.filter(|run| run.minion == *id && run.incarnation == minion.incarnation);
        for run in runs {
            run.incarnation = born;
        }
        minion.incarnation = born;
        minion.entry.started_unix_ms = born;
    }

    /// Puts an entry about a minion into the list that isn't its own.
    pub fn show_entry(&mut self, entry: MinionEntry) {
        if self.minions.contains_key(&entry.id) {
            self.shown_entries.insert(entry.id.clone(), entry.clone());
        }
        self.scheduler.upsert_minion(entry, self.now);
    }

    /// Lets a minion that is up write its own entry.
    pub fn show_own_entry(&mut self, id: &SmolStr) {
        let Some(minion) = self.minions.get(id).filter(|minion| minion.up) else {
            return;
        };
        self.shown_entries.remove(id);
        let entry = minion.entry.clone();
        self.scheduler.upsert_minion(entry, self.now);
    }

    /// Sends an order that arrives after a while.
    pub(super) fn send_in_transit(&mut self, action: Action) {
        let incarnation = self.minions[&recipient(&action)].incarnation;
        let transit = self.faults.max_transit.mul_f64(self.random.random());
        let sent_at = self.now;
        self.schedule(transit, Event::Arrive(action, incarnation, sent_at));
    }

    /// Carries out an order that arrives, if the incarnation that it was sent to still runs there.
    pub(super) fn arrive(&mut self, action: Action, incarnation: u64, sent_at: Duration) {
        let is_own_term = fence(&action) == self.scheduler_fence();
        let minion = &self.minions[&recipient(&action)];
        let is_reached = minion.up
            && minion.incarnation == incarnation
            && minion.entry.address == sent_to(&action).address;
        let executed = is_reached.then(|| self.execute(&action, false));
        if !is_own_term {
            return;
        }
        let is_lost = self.random.random_bool(self.faults.lost_reply_rate);
        let is_late = self.random.random_bool(self.faults.late_list_rate);
        match executed {
            Some(Outcome::Hold(reply, _)) if is_late => {
                let lateness = ORDER_TIMEOUT + MAX_LATENESS.mul_f64(self.random.random());
                let list = Event::DeliverLate(action.clone(), reply, sent_at);
                self.schedule(lateness, list);
                self.deliver_no_answer_since(action, sent_at);
            }
            Some(outcome) if !is_lost => {
                let transit = self.faults.max_transit.mul_f64(self.random.random());
                let outcome = outcome.sent_at(sent_at);
                self.schedule(transit, Event::Deliver(action, outcome));
            }
            _ => self.deliver_no_answer_since(action, sent_at),
        }
    }

    /// Reports at the order's timeout that it wasn't answered.
    fn deliver_no_answer_since(&mut self, action: Action, sent_at: Duration) {
        let outcome = no_answer(&action, sent_at);
        let elapsed = self.now.saturating_sub(sent_at);
        let left = ORDER_TIMEOUT.saturating_sub(elapsed);
        self.schedule(left, Event::Deliver(action, outcome));
    }

    /// Returns the starts of tasks of which an earlier run had ended as done, if that end was acknowledged at
    /// any time.
    pub fn starts_after_acknowledged_end(&self) -> Vec<(&Record, &Record)> {
        let done = self
            .records
            .iter()
            .filter(|run| run.end == Some(RunEnd::Done) && run.acked_before_lapse);
        let pairs = done.flat_map(|done| {
            let later = self.records.iter().filter(move |start| {
                start.task == done.task && done.to.is_some_and(|end| start.from >= end)
            });
            later.map(move |start| (done, start))
        });
        pairs.collect()
    }
}
