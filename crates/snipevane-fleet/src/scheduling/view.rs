//! A process's view of the scheduler.

use std::net::SocketAddr;
use std::time::Duration;

use snipevane_adapter::rows::Row;
use snipevane_core::jobs::AdmissionSnapshot;
use snipevane_core::term::{ObservedTerm, TermSettings};

use crate::peers::messages::{AdmissionReport, Heartbeat};
use crate::rows::{self, SCHEDULER_KEY, SchedulerRow};

/// Age up to which a heartbeat shows that the scheduler is reachable.
const HEARTBEAT_VALIDITY: Duration = Duration::from_millis(1_000);

/// Time without a heartbeat after which a term counts as unheard.
const UNHEARD_AFTER: Duration = Duration::from_millis(1_500);

/// Age of the last change of the row up to which its term counts as being renewed.
const RENEWED_WITHIN: Duration = Duration::from_millis(1_000);

/// Time for which no requests go to the scheduler after one that it refused, or a heartbeat that didn't come.
const FAILURE_BACKOFF: Duration = Duration::from_millis(1_000);

/// Time for which no states are requested from the scheduler after one that didn't come in time.
const STATE_BACKOFF: Duration = Duration::from_millis(1_000);

/// The scheduler's row as last read, and the reachability of the scheduler.
#[derive(Clone, Debug, Default)]
pub struct SchedulerView {
    /// The row; `None` if there was none.
    pub row: Option<SchedulerRow>,
    observed: ObservedTerm,
    read_at: Option<Duration>,
    heartbeat_at: Option<Duration>,
    failed_at: Option<Duration>,
    /// Time at which a request for a job's state last got no response in time.
    state_overdue_at: Option<Duration>,
    /// Time since which the row's term is known and no heartbeat of it came.
    unheard_since: Option<Duration>,
    /// Time of the last heartbeat of any term.
    last_heard_at: Option<Duration>,
    /// Committed work of loaded pools as the scheduler last reported it, with the earliest time at which it can
    /// have been summed up.
    admission: Option<(AdmissionSnapshot, Duration)>,
}

impl SchedulerView {
    /// Records the row as read from the store at `now`, when the store's clock showed `clock_ms`.
    ///
    /// The row tells how long ago it was written at least, so a holder that fell silent before the read
    /// isn't given more time.
    pub fn record_read(
        &mut self,
        settings: &TermSettings,
        row: Option<&Row>,
        clock_ms: u64,
        now: Duration,
    ) {
        let value = row.and_then(|row| row.value.as_ref());
        let known_fence = self.row.as_ref().map(|row| row.fence);
        self.row = value.and_then(|value| rows::decode(SCHEDULER_KEY, value));
        if self.row.as_ref().map(|row| row.fence) != known_fence {
            self.unheard_since = Some(now);
            // The failed request went to the holder of the former term.
            self.failed_at = None;
        }
        let released = self.row.as_ref().is_none_or(|row| row.released);
        let version = row.map_or(0, |row| row.version);
        let age = self.row.as_ref().map(|row| row.least_age(clock_ms));
        let written_by = now.saturating_sub(age.unwrap_or_default());
        self.observed
            .record_read(settings, version, released, written_by, now);
        let wait = self.row.as_ref().map(SchedulerRow::observer_wait);
        self.observed.set_requested_wait(wait.unwrap_or_default());
        self.read_at = Some(now);
        self.admission = None;
    }

    /// Records that the row couldn't be read, or only after the store's outage threshold.
    pub fn record_read_failure(&mut self) {
        self.observed.record_read_failure();
    }

    /// Records the row as this process has written it.
    pub fn record_write(
        &mut self,
        settings: &TermSettings,
        row: SchedulerRow,
        version: u64,
        now: Duration,
    ) {
        self.observed
            .record_read(settings, version, row.released, now, now);
        self.observed.set_requested_wait(row.observer_wait());
        self.row = Some(row);
        self.read_at = Some(now);
        // A holder reaches itself: it leaves a term that it releases to those that don't reach it.
        self.last_heard_at = Some(now);
        self.admission = None;
    }

    /// Records a heartbeat; returns whether it is current and shows that the term is held.
    ///
    /// A new version shows that the store has committed a write of the scheduler, as a read of the
    /// row would. An old version may come from a process that was frozen and has lost its term.
    pub fn record_heartbeat(
        &mut self,
        settings: &TermSettings,
        heartbeat: Heartbeat,
        now: Duration,
    ) -> bool {
        let Some(row) = &mut self.row else {
            return false;
        };
        if heartbeat.version < self.observed.version() {
            return false;
        }
        if heartbeat.version > self.observed.version() {
            self.observed
                .record_read(settings, heartbeat.version, false, now, now);
            row.observer_wait_ms = heartbeat.observer_wait_ms;
            // A later write may no longer name them, as they were granted leases since.
            row.silent_minions.clear();
            self.observed.set_requested_wait(row.observer_wait());
        }
        row.waiting = heartbeat.waiting;
        self.heartbeat_at = Some(now);
        self.unheard_since = Some(now);
        self.last_heard_at = Some(now);
        !self.observed.is_free(settings, now)
    }

    /// Records the committed work that came with a current heartbeat, which was requested at `sent_at`.
    ///
    /// Its age is counted from the request, so that a response that was delayed isn't taken for a recent one.
    pub fn record_admission(&mut self, report: Option<AdmissionReport>, sent_at: Duration) {
        self.admission = report.map(|report| {
            let offset = Duration::from_millis(report.taken_after_ms.unsigned_abs());
            let taken_at = if report.taken_after_ms >= 0 {
                sent_at + offset
            } else {
                sent_at.saturating_sub(offset)
            };
            (report.snapshot, taken_at)
        });
    }

    /// Returns the committed work of loaded pools, and the earliest time at which it was summed up; `None` if
    /// the scheduler hasn't reported it since its row was read.
    pub fn admission_snapshot(&self) -> Option<(&AdmissionSnapshot, Duration)> {
        let (snapshot, taken_at) = self.admission.as_ref()?;
        Some((snapshot, *taken_at))
    }

    /// Records that a request to the scheduler at an address failed, unless another address has been read since.
    pub fn record_call_failure_at(&mut self, scheduler: SocketAddr, now: Duration) {
        let row = self.row.as_ref();
        let present = row.and_then(|row| row.address.parse::<SocketAddr>().ok());
        if present == Some(scheduler) {
            self.record_call_failure(now);
        }
    }

    /// Records that a request for a job's state got no response in time.
    ///
    /// The scheduler may only be slow, of which the heartbeats tell. Entry VMs that took it for unreachable would write
    /// their submissions themselves, each in transactions of its own, and make the scheduler's writes slower still.
    pub fn record_state_overdue(&mut self, now: Duration) {
        self.state_overdue_at = Some(now);
    }

    /// Records that the scheduler refused a request, couldn't be connected to, or sent no heartbeat.
    pub fn record_call_failure(&mut self, now: Duration) {
        self.heartbeat_at = None;
        self.failed_at = Some(now);
    }

    /// Returns the fencing token of the term that is being renewed although no heartbeat of it came for a
    /// while.
    pub fn unheard_term(&self, now: Duration) -> Option<u64> {
        let row = self.row.as_ref().filter(|row| !row.released)?;
        let unheard = self
            .unheard_since
            .is_some_and(|since| now >= since + UNHEARD_AFTER);
        (unheard && self.is_fresh(RENEWED_WITHIN, now)).then_some(row.fence)
    }

    /// Returns whether this process heard the holder that has released its term because most entry VMs can't
    /// reach it.
    pub fn is_released_for_others(&self, now: Duration) -> bool {
        let unreached = self.row.as_ref().is_some_and(|row| row.released_unreached);
        let heard = self.last_heard_at;
        unreached && heard.is_some_and(|at| now < at + UNHEARD_AFTER)
    }

    /// Returns the address at which to watch the scheduler; `None` if the row must be read instead.
    pub fn watch_address(&self, now: Duration) -> Option<SocketAddr> {
        let row = self.row.as_ref().filter(|row| !row.released)?;
        let failed_lately = self.failed_at.is_some_and(|at| now < at + FAILURE_BACKOFF);
        let address = row.address.parse().ok();
        address.filter(|_| !failed_lately)
    }

    /// Returns the scheduler's address if a recent heartbeat shows that it is reachable.
    pub fn reachable_address(&self, now: Duration) -> Option<SocketAddr> {
        let fresh = self
            .heartbeat_at
            .is_some_and(|at| now < at + HEARTBEAT_VALIDITY);
        self.watch_address(now).filter(|_| fresh)
    }

    /// Returns the address at which to request the states of jobs; `None` if they must be read from the store.
    pub fn state_address(&self, now: Duration) -> Option<SocketAddr> {
        let overdue = self.state_overdue_at;
        let overdue_lately = overdue.is_some_and(|at| now < at + STATE_BACKOFF);
        self.reachable_address(now).filter(|_| !overdue_lately)
    }

    /// Returns whether the term is free, as far as this process knows.
    pub fn is_free(&self, settings: &TermSettings, now: Duration) -> bool {
        self.read_at.is_some() && self.observed.is_free(settings, now)
    }

    /// Returns whether the term has been free for `delay`, as far as this process knows.
    pub fn is_free_for(&self, settings: &TermSettings, delay: Duration, now: Duration) -> bool {
        self.read_at.is_some() && self.observed.is_free_for(settings, delay, now)
    }

    /// Returns whether the scheduler has measured that the store is slow.
    pub fn is_store_slow(&self) -> bool {
        let row = self.row.as_ref();
        row.is_some_and(|row| row.observer_wait_ms.is_some())
    }

    /// Returns the version of the row.
    pub fn version(&self) -> u64 {
        self.observed.version()
    }

    /// Returns whether there is a row and it has changed within the last `age`.
    pub fn is_fresh(&self, age: Duration, now: Duration) -> bool {
        self.row.is_some() && now.saturating_sub(self.observed.first_seen()) < age
    }

    /// Returns how long the row has been observed unchanged.
    pub fn unchanged_for(&self, now: Duration) -> Duration {
        now.saturating_sub(self.observed.first_seen())
    }

    /// Returns the number of a queue's jobs that haven't started, if known.
    pub fn waiting_jobs(&self, queue: &str) -> Option<u64> {
        let counts = self.row.as_ref()?.waiting.as_ref()?;
        let count = counts.iter().find(|(name, _)| name == queue);
        Some(count.map_or(0, |&(_, jobs)| jobs))
    }
}
