//! A process's view of the scheduler.

use std::net::SocketAddr;
use std::time::Duration;

use snipevane_adapter::rows::Row;
use snipevane_core::term::{ObservedTerm, TermSettings};

use crate::peers::messages::Heartbeat;
use crate::rows::{self, SCHEDULER_KEY, SchedulerRow};

/// Age up to which a heartbeat shows that the scheduler is reachable.
const HEARTBEAT_VALIDITY: Duration = Duration::from_millis(1_000);

/// Time for which no requests go to the scheduler after a failed one.
const FAILURE_BACKOFF: Duration = Duration::from_millis(1_000);

/// The scheduler's row as last read, and the reachability of the scheduler.
#[derive(Clone, Debug, Default)]
pub struct SchedulerView {
    /// The row; `None` if there was none.
    pub row: Option<SchedulerRow>,
    observed: ObservedTerm,
    read_at: Option<Duration>,
    heartbeat_at: Option<Duration>,
    failed_at: Option<Duration>,
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
        self.row = value.and_then(|value| rows::decode(SCHEDULER_KEY, value));
        let released = self.row.as_ref().is_none_or(|row| row.released);
        let version = row.map_or(0, |row| row.version);
        let age = self.row.as_ref().map(|row| row.least_age(clock_ms));
        let written_by = now.saturating_sub(age.unwrap_or_default());
        self.observed
            .record_read(settings, version, released, written_by, now);
        let wait = self.row.as_ref().map(SchedulerRow::observer_wait);
        self.observed.set_requested_wait(wait.unwrap_or_default());
        self.read_at = Some(now);
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
            self.observed.set_requested_wait(row.observer_wait());
        }
        row.waiting = heartbeat.waiting;
        self.heartbeat_at = Some(now);
        !self.observed.is_free(settings, now)
    }

    /// Records that a request to the scheduler failed.
    pub fn record_call_failure(&mut self, now: Duration) {
        self.heartbeat_at = None;
        self.failed_at = Some(now);
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
