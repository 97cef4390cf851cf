//! Claims on the identifiers of one shard.

use std::collections::BTreeMap;
use std::time::Duration;

use uuid::Uuid;

use super::{ClaimSettings, StoredResponse};
use crate::shards::uuid_unix_ms;

/// Outcome of a claim on an identifier, which decides whether its request runs.
#[derive(Debug, PartialEq, Eq)]
pub enum ClaimOutcome<R> {
    /// The request is to be run now, only by whoever holds the ticket.
    Run(ClaimTicket),
    /// A request with this identifier is running.
    Running,
    /// The request was run and got this response.
    Completed(R),
    /// The identifier was used before with a different request body.
    BodyMismatch,
    /// The request may have been run before, so it isn't run again.
    Unknown,
    /// The identifier's time is above the ceiling or too far ahead of the clock, or there is no
    /// room for another claim; the request wasn't run and may be retried later.
    RetryLater {
        /// Delay after which a retry can succeed.
        retry_after: Duration,
    },
    /// The identifier isn't a UUID of version 7; the request wasn't run.
    NotUuidV7,
}

/// Permission to run the request with one identifier once.
#[derive(Debug, PartialEq, Eq)]
#[must_use = "a claim that isn't finished stays running"]
pub struct ClaimTicket {
    id: Uuid,
}

impl ClaimTicket {
    /// Returns the identifier.
    pub fn id(&self) -> Uuid {
        self.id
    }
}

/// Outcome of the run of a claimed request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunOutcome<R> {
    /// A backend server responded; the response is stored for retries.
    Completed(R),
    /// A backend server may have run the request.
    Unknown,
    /// No backend server ran the request, so a retry may run it.
    NotRun,
}

#[derive(Debug)]
enum State<R> {
    Running,
    Completed(R),
    Unknown,
}

#[derive(Debug)]
struct Entry<R> {
    body_hash: [u8; 32],
    state: State<R>,
}

/// Claims on the identifiers of one shard, kept in memory by the shard's holder.
///
/// New identifiers are run only if their time is above the floor and at or below the ceiling. The
/// ceiling is written to the shard's row before it is used, so the next holder can take it as its
/// floor. While the row can't be written, another entry VM records a higher ceiling instead.
///
/// The floor never falls, and evicting a claim raises it to the claim's time. An identifier whose
/// claim was evicted is therefore never run again.
#[derive(Debug)]
pub struct Claims<R> {
    settings: ClaimSettings,
    floor_ms: u64,
    ceiling_ms: u64,
    highest_accepted_ms: u64,
    stored_response_bytes: usize,
    /// Claims by identifier; UUIDs of version 7 are ordered by time.
    entries: BTreeMap<Uuid, Entry<R>>,
}

impl<R: StoredResponse> Claims<R> {
    /// Creates an empty set of claims; no identifier is run before
    /// [`set_ceiling`](Self::set_ceiling) is called.
    pub fn new(settings: ClaimSettings, floor_ms: u64) -> Self {
        Self {
            settings,
            floor_ms,
            ceiling_ms: floor_ms,
            highest_accepted_ms: floor_ms,
            stored_response_bytes: 0,
            entries: BTreeMap::new(),
        }
    }

    /// Raises the ceiling, in Unix milliseconds, after it was written to the shard's row.
    ///
    /// While the row can't be written, the ceiling may be raised after another entry VM has
    /// recorded it instead.
    ///
    /// A lower ceiling than the current one is ignored.
    pub fn set_ceiling(&mut self, ms: u64) {
        self.ceiling_ms = self.ceiling_ms.max(ms);
    }

    /// Raises the floor, in Unix milliseconds, when identifiers may have moved here from another
    /// shard.
    ///
    /// A lower floor than the current one is ignored.
    pub fn raise_floor(&mut self, ms: u64) {
        self.floor_ms = self.floor_ms.max(ms);
    }

    /// Lowers the ceiling to the latest identifier that was accepted, and returns the ceiling.
    ///
    /// No later identifier is accepted from then on. The returned ceiling is the one to write when
    /// the shard is released, in Unix milliseconds.
    pub fn close(&mut self) -> u64 {
        self.ceiling_ms = self.highest_accepted_ms();
        self.ceiling_ms
    }

    /// Returns the next ceiling to write, in Unix milliseconds, or `None` while the current one
    /// suffices.
    pub fn next_ceiling(&self, unix_ms: u64) -> Option<u64> {
        let lead_ms = millis(self.settings.ceiling_lead);
        // The ceiling is raised once less than half of the lead is left, so that hardly any
        // identifier has to wait for the write.
        if self.ceiling_ms >= unix_ms.saturating_add(lead_ms / 2) {
            return None;
        }
        Some(unix_ms.saturating_add(lead_ms))
    }

    /// Returns the ceiling to request from the [`Witness`](super::Witness) while the row can't be
    /// written, in Unix milliseconds.
    ///
    /// Not used by the entry VM, which announces ceilings to its peers instead.
    ///
    /// The witness and `row_ceiling_ms` would be those of the row that the table is known to hold.
    /// No witness could be asked while a pending write that names another witness may still be
    /// applied.
    pub fn next_extension(&self, unix_ms: u64, row_ceiling_ms: u64) -> Option<u64> {
        let max_extension_ms = millis(self.settings.max_extension);
        let next_ms = self.next_ceiling(unix_ms)?;
        let next_ms = next_ms.min(row_ceiling_ms.saturating_add(max_extension_ms));
        (next_ms > self.ceiling_ms).then_some(next_ms)
    }

    /// Claims an identifier and returns whether its request is to be run.
    pub fn claim(&mut self, id: Uuid, body_hash: [u8; 32], unix_ms: u64) -> ClaimOutcome<R> {
        let Some(id_ms) = uuid_unix_ms(id) else {
            return ClaimOutcome::NotUuidV7;
        };
        if let Some(entry) = self.entries.get(&id) {
            return entry.outcome_for_retry(&body_hash);
        }
        if id_ms <= self.floor_ms {
            return ClaimOutcome::Unknown;
        }
        let max_ms = self.max_timestamp_ms(unix_ms);
        if id_ms > max_ms {
            let retry_after = Duration::from_millis(id_ms - max_ms);
            return ClaimOutcome::RetryLater { retry_after };
        }
        if id_ms > self.ceiling_ms || !self.make_room(id_ms) {
            let retry_after = self.settings.ceiling_retry_delay;
            return ClaimOutcome::RetryLater { retry_after };
        }
        self.highest_accepted_ms = self.highest_accepted_ms.max(id_ms);
        let state = State::Running;
        self.entries.insert(id, Entry { body_hash, state });
        ClaimOutcome::Run(ClaimTicket { id })
    }

    /// Returns what is known of an identifier without claiming it.
    ///
    /// Returns `None` if there is no claim on the identifier and its time is above the floor.
    pub fn look_up(&self, id: Uuid, body_hash: [u8; 32]) -> Option<ClaimOutcome<R>> {
        let Some(id_ms) = uuid_unix_ms(id) else {
            return Some(ClaimOutcome::NotUuidV7);
        };
        match self.entries.get(&id) {
            Some(entry) => Some(entry.outcome_for_retry(&body_hash)),
            None if id_ms <= self.floor_ms => Some(ClaimOutcome::Unknown),
            None => None,
        }
    }

    /// Records the outcome of the run of a claimed request.
    pub fn finish(&mut self, ticket: ClaimTicket, outcome: RunOutcome<R>) {
        let id = ticket.id;
        let Some(entry) = self.entries.get_mut(&id) else {
            return;
        };
        match outcome {
            RunOutcome::NotRun => {
                self.entries.remove(&id);
            }
            RunOutcome::Unknown => entry.state = State::Unknown,
            RunOutcome::Completed(response) => {
                self.stored_response_bytes =
                    self.stored_response_bytes.saturating_add(response.bytes());
                entry.state = State::Completed(response);
                self.evict_excess_responses();
            }
        }
    }

    /// Returns the time at or below which identifiers without a claim aren't run, in Unix
    /// milliseconds.
    pub fn floor_ms(&self) -> u64 {
        self.floor_ms
    }

    /// Returns the time above which identifiers aren't run yet, in Unix milliseconds.
    pub fn ceiling_ms(&self) -> u64 {
        self.ceiling_ms
    }

    /// Returns the latest time of an identifier that was accepted to run, in Unix milliseconds.
    ///
    /// Starts at the floor.
    pub fn highest_accepted_ms(&self) -> u64 {
        self.highest_accepted_ms
    }

    /// Returns the number of claims that are kept.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no claim is kept.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the memory of all stored responses together, in bytes.
    pub fn stored_response_bytes(&self) -> usize {
        self.stored_response_bytes
    }

    fn max_timestamp_ms(&self, unix_ms: u64) -> u64 {
        unix_ms.saturating_add(millis(self.settings.max_clock_skew))
    }

    /// Evicts claims until there is room for one with the given time.
    ///
    /// Returns false if no claim can be added.
    fn make_room(&mut self, id_ms: u64) -> bool {
        while self.entries.len() >= self.settings.max_claims.max(1) {
            if !self.evict_oldest() {
                return false;
            }
        }
        // Evicting may have raised the floor above the new identifier.
        id_ms > self.floor_ms
    }

    fn evict_excess_responses(&mut self) {
        while self.stored_response_bytes > self.settings.max_stored_response_bytes {
            if !self.evict_oldest() {
                return;
            }
        }
    }

    /// Evicts the oldest claim that isn't running and raises the floor to its time.
    ///
    /// Returns false if all claims are running.
    fn evict_oldest(&mut self) -> bool {
        let mut finished = self.entries.iter().filter(|(_, entry)| !entry.is_running());
        let Some((&id, _)) = finished.next() else {
            return false;
        };
        if let Some(entry) = self.entries.remove(&id) {
            self.stored_response_bytes = self.stored_response_bytes.saturating_sub(entry.bytes());
        }
        self.floor_ms = self.floor_ms.max(uuid_unix_ms(id).unwrap_or(0));
        true
    }
}

impl<R: StoredResponse> Entry<R> {
    fn outcome_for_retry(&self, body_hash: &[u8; 32]) -> ClaimOutcome<R> {
        if self.body_hash != *body_hash {
            return ClaimOutcome::BodyMismatch;
        }
        match &self.state {
            State::Running => ClaimOutcome::Running,
            State::Completed(response) => ClaimOutcome::Completed(response.clone()),
            State::Unknown => ClaimOutcome::Unknown,
        }
    }

    fn is_running(&self) -> bool {
        matches!(self.state, State::Running)
    }

    fn bytes(&self) -> usize {
        match &self.state {
            State::Completed(response) => response.bytes(),
            State::Running | State::Unknown => 0,
        }
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
