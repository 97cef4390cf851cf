//! What a process knows of the scheduler.

use std::net::SocketAddr;
use std::time::Duration;

use snipevane_adapter::rows::Row;
use snipevane_core::term::{ObservedTerm, TermSettings};

use crate::peers::messages::Heartbeat;
use crate::rows::{self, SCHEDULER_KEY, SchedulerRow};

/// Age up to which a heartbeat shows that the scheduler can be asked.
const HEARTBEAT_KEPT: Duration = Duration::from_millis(800);

/// Time for which the scheduler isn't asked after it didn't answer.
const AFTER_FAILURE: Duration = Duration::from_millis(1_000);

/// The scheduler's row as last read.
#[derive(Clone, Debug, Default)]
pub struct SchedulerView {
    /// The row; none if there was none.
    pub row: Option<SchedulerRow>,
    observed: ObservedTerm,
    read_at: Option<Duration>,
    heard_at: Option<Duration>,
    failed_at: Option<Duration>,
}

impl SchedulerView {
    /// Takes in the row, read at `now`.
    pub fn saw(&mut self, settings: &TermSettings, row: Option<&Row>, now: Duration) {
        let value = row.and_then(|row| row.value.as_ref());
        self.row = value.and_then(|value| rows::decode(SCHEDULER_KEY, value));
        let released = self.row.as_ref().is_none_or(|row| row.released);
        let version = row.map_or(0, |row| row.version);
        self.observed.record_read(settings, version, released, now);
        self.read_at = Some(now);
    }

    /// Takes in the row as this process has written it.
    pub fn wrote(
        &mut self,
        settings: &TermSettings,
        row: SchedulerRow,
        version: u64,
        now: Duration,
    ) {
        self.observed
            .record_read(settings, version, row.released, now);
        self.row = Some(row);
        self.read_at = Some(now);
    }

    /// Takes in a heartbeat; returns whether it tells of the term that is known.
    ///
    /// A new version shows that the store has taken a write of the scheduler, as a look at the row
    /// would. An old one may come from a process that was frozen and has lost its term.
    pub fn heard(&mut self, settings: &TermSettings, heartbeat: Heartbeat, now: Duration) -> bool {
        let Some(row) = &mut self.row else {
            return false;
        };
        if heartbeat.version < self.observed.version() {
            return false;
        }
        if heartbeat.version > self.observed.version() {
            self.observed
                .record_read(settings, heartbeat.version, false, now);
        }
        row.waiting = heartbeat.waiting;
        self.heard_at = Some(now);
        !self.observed.is_free(settings, now)
    }

    /// Takes note that the scheduler didn't answer.
    pub fn link_failed(&mut self, now: Duration) {
        self.heard_at = None;
        self.failed_at = Some(now);
    }

    /// Returns the address at which to listen to the scheduler; none if a look at the row is due.
    pub fn watched(&self, now: Duration) -> Option<SocketAddr> {
        let row = self.row.as_ref().filter(|row| !row.released)?;
        let failed_lately = self.failed_at.is_some_and(|at| now < at + AFTER_FAILURE);
        let address = row.address.parse().ok();
        address.filter(|_| !failed_lately)
    }

    /// Returns the address at which the scheduler has been heard just now.
    pub fn link(&self, now: Duration) -> Option<SocketAddr> {
        let fresh = self.heard_at.is_some_and(|at| now < at + HEARTBEAT_KEPT);
        self.watched(now).filter(|_| fresh)
    }

    /// Returns whether the term is free, as far as is known.
    pub fn is_free(&self, settings: &TermSettings, now: Duration) -> bool {
        self.read_at.is_some() && self.observed.is_free(settings, now)
    }

    /// Returns the version of the row.
    pub fn version(&self) -> u64 {
        self.observed.version()
    }

    /// Returns whether the row has changed within `age`.
    pub fn is_fresh(&self, age: Duration, now: Duration) -> bool {
        self.row.is_some() && now.saturating_sub(self.observed.first_seen()) < age
    }

    /// Returns for how long the row has been seen unchanged.
    pub fn unchanged_for(&self, now: Duration) -> Duration {
        now.saturating_sub(self.observed.first_seen())
    }

    /// Returns the number of a queue's jobs that haven't begun, if it is known.
    pub fn waiting_jobs(&self, queue: &str) -> Option<u64> {
        let counts = self.row.as_ref()?.waiting.as_ref()?;
        let count = counts.iter().find(|(name, _)| name == queue);
        Some(count.map_or(0, |&(_, jobs)| jobs))
    }
}
