//! Calls to the platform's store.

mod transport;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use snipevane_adapter::Request;
use snipevane_adapter::rows::{self, Page, Row, Transaction};
use thiserror::Error;

use crate::client::{Answer, CallError, Client};
use crate::clock::Clock;
use crate::metrics;

use transport::Transport;

/// Longest time that a call takes.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time that a feed's answer may take beyond its wait.
const CHANGES_TIMEOUT_MARGIN: Duration = Duration::from_millis(1_000);

/// Kind of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallKind {
    /// Changes rows.
    Commit,
    /// Reads rows.
    Read,
    /// Waits for changes.
    Changes,
}

impl CallKind {
    /// Returns the kind's name in metrics.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Commit => "commit",
            Self::Read => "read",
            Self::Changes => "changes",
        }
    }
}

/// What came of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommitOutcome {
    /// It was done; the rows have this version.
    Committed(u64),
    /// A condition didn't hold; the present rows of the conditions.
    Conflict(Vec<Row>),
}

/// A call to the store that failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum StoreError {
    /// Nothing was done.
    #[error("the store did nothing")]
    NotApplied,
    /// It may have been done, or may be later.
    #[error("the store did not answer")]
    NoAnswer,
    /// The history that was asked for is gone.
    #[error("the store's history is gone")]
    HistoryGone,
}

/// Client of the store.
pub struct StoreClient<C> {
    transport: Rc<Transport<C>>,
}

impl<C: Clock> StoreClient<C> {
    /// Creates a client of the store at an address.
    pub fn new(clock: C, client: Client, address: SocketAddr) -> Self {
        let transport = Transport::new(clock, client, address);
        Self { transport }
    }

    /// Names the entry VMs that pass calls on while the store turns this one away.
    pub fn set_relays(&self, relays: Vec<SocketAddr>) {
        self.transport.set_relays(relays);
    }

    /// Returns whether the store has answered the last call without a relay.
    pub fn is_direct(&self) -> bool {
        self.transport.is_direct()
    }

    /// Returns whether the store answered the last call by no way; a call now would only add to
    /// what nobody knows the outcome of.
    pub fn is_unreachable(&self) -> bool {
        self.transport.is_unreachable()
    }

    /// Passes a call on for another entry VM.
    ///
    /// # Errors
    ///
    /// Returns an error if the store doesn't answer in time.
    pub async fn relay(&self, call: Request, limit: Duration) -> Result<Answer, CallError> {
        self.transport.call_direct(call, limit).await
    }

    /// Changes rows.
    ///
    /// # Errors
    ///
    /// Returns an error that tells whether the change may be done all the same.
    pub async fn commit(&self, transaction: &Transaction) -> Result<CommitOutcome, StoreError> {
        let request = rows::commit(transaction);
        let response = self.call(CallKind::Commit, request, CALL_TIMEOUT).await?;
        match response.status {
            200 => Ok(CommitOutcome::Committed(decode_page(&response)?.version)),
            412 => Ok(CommitOutcome::Conflict(decode_page(&response)?.rows)),
            429 | 503 | 400 | 403 | 507 => Err(StoreError::NotApplied),
            _ => Err(StoreError::NoAnswer),
        }
    }

    /// Reads the rows of a table from a key up to, but without, another.
    ///
    /// # Errors
    ///
    /// Returns an error if a page isn't answered.
    pub async fn read(&self, table: &str, from: &str, to: &str) -> Result<Page, StoreError> {
        let mut all = self.read_page(table, from, to).await?;
        while all.more {
            let Some(last) = all.rows.last() else {
                break;
            };
            // The next key in byte order.
            let next = format!("{}\0", last.key);
            let page = self.read_page(table, &next, to).await?;
            all.more = page.more;
            all.rows.extend(page.rows);
        }
        Ok(all)
    }

    /// Sends a call and counts it.
    async fn call(
        &self,
        kind: CallKind,
        request: Request,
        limit: Duration,
    ) -> Result<Answer, StoreError> {
        let sent_at = self.transport.now();
        let response = self.transport.call(request, limit).await;
        let elapsed = self.transport.now().saturating_sub(sent_at);
        metrics::store_called(kind, outcome_label(&response), elapsed);
        Ok(response?)
    }

    async fn read_page(&self, table: &str, from: &str, to: &str) -> Result<Page, StoreError> {
        let request = rows::read(table, from, to);
        let response = self.call(CallKind::Read, request, CALL_TIMEOUT).await?;
        match response.status {
            200 => decode_page(&response),
            _ => Err(StoreError::NotApplied),
        }
    }

    /// Reads one row.
    ///
    /// # Errors
    ///
    /// Returns an error if the store doesn't answer.
    pub async fn get(&self, table: &str, key: &str) -> Result<Option<Row>, StoreError> {
        let page = self.read_page(table, key, &format!("{key}\0")).await?;
        Ok(page.rows.into_iter().next())
    }

    /// Waits for changes of a table after a version.
    ///
    /// # Errors
    ///
    /// Returns an error if the store doesn't answer, or no longer knows the changes.
    pub async fn changes(
        &self,
        table: &str,
        after: u64,
        wait: Duration,
    ) -> Result<Page, StoreError> {
        let wait_ms = u64::try_from(wait.as_millis()).unwrap_or(rows::MAX_WAIT_MS);
        let request = rows::changes(table, after, wait_ms);
        let limit = wait + CHANGES_TIMEOUT_MARGIN;
        let response = self.call(CallKind::Changes, request, limit).await?;
        match response.status {
            200 => decode_page(&response),
            410 => Err(StoreError::HistoryGone),
            _ => Err(StoreError::NotApplied),
        }
    }
}

/// Returns the name of a call's outcome in metrics.
fn outcome_label(response: &Result<Answer, CallError>) -> &'static str {
    match response.as_ref().map(|response| response.status) {
        Ok(200) => "done",
        Ok(410) => "history_gone",
        Ok(412) => "conflict",
        Ok(429) => "too_many",
        Ok(_) => "refused",
        Err(CallError::NotSent) => "not_sent",
        Err(CallError::NoAnswer) => "no_answer",
    }
}

impl From<CallError> for StoreError {
    fn from(error: CallError) -> Self {
        match error {
            CallError::NotSent => Self::NotApplied,
            CallError::NoAnswer => Self::NoAnswer,
        }
    }
}

fn decode_page(response: &Answer) -> Result<Page, StoreError> {
    rows::decode_page(&response.body).map_err(|error| {
        log::warn!("an answer of the store can't be read: {error}");
        StoreError::NoAnswer
    })
}
