//! Calls to the platform's store.

mod path;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use snipevane_adapter::Request;
use snipevane_adapter::rows::{self, Page, Row, Transaction};
use thiserror::Error;

use crate::client::{CallError, Client, Response};
use crate::clock::Clock;
use crate::metrics;

use path::Path;

/// Longest time that a call takes.
const CALL_LIMIT: Duration = Duration::from_millis(1_500);

/// Time that a feed's answer may take beyond its wait.
const FEED_SLACK: Duration = Duration::from_millis(1_000);

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
pub enum Commit {
    /// It was done; the rows have this version.
    Done(u64),
    /// A condition didn't hold; the present rows of the conditions.
    Conflict(Vec<Row>),
}

/// A call to the store that failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum StoreError {
    /// Nothing was done.
    #[error("the store did nothing")]
    NothingDone,
    /// It may have been done, or may be later.
    #[error("the store did not answer")]
    NoAnswer,
    /// The history that was asked for is gone.
    #[error("the store's history is gone")]
    HistoryGone,
}

/// Client of the store.
pub struct Store<C> {
    path: Rc<Path<C>>,
}

impl<C: Clock> Store<C> {
    /// Creates a client of the store at an address.
    pub fn new(clock: C, client: Client, address: SocketAddr) -> Self {
        let path = Path::new(clock, client, address);
        Self { path }
    }

    /// Names the entry VMs that pass calls on while the store turns this one away.
    pub fn set_relays(&self, relays: Vec<SocketAddr>) {
        self.path.set_relays(relays);
    }

    /// Returns whether the store has answered the last call without a relay.
    pub fn is_straight(&self) -> bool {
        self.path.is_straight()
    }

    /// Returns whether the store answered the last call by no way; a call now would only add to
    /// what nobody knows the outcome of.
    pub fn is_away(&self) -> bool {
        self.path.is_away()
    }

    /// Passes a call on for another entry VM.
    ///
    /// # Errors
    ///
    /// Returns an error if the store doesn't answer in time.
    pub async fn pass_on(&self, call: Request, limit: Duration) -> Result<Response, CallError> {
        self.path.straight(call, limit).await
    }

    /// Changes rows.
    ///
    /// # Errors
    ///
    /// Returns an error that tells whether the change may be done all the same.
    pub async fn commit(&self, transaction: &Transaction) -> Result<Commit, StoreError> {
        let request = rows::commit(transaction);
        let answer = self.call(CallKind::Commit, request, CALL_LIMIT).await?;
        match answer.status {
            200 => Ok(Commit::Done(page(&answer)?.version)),
            412 => Ok(Commit::Conflict(page(&answer)?.rows)),
            429 | 503 | 400 | 403 | 507 => Err(StoreError::NothingDone),
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
    ) -> Result<Response, StoreError> {
        let sent_at = self.path.now();
        let answer = self.path.call(request, limit).await;
        let took = self.path.now().saturating_sub(sent_at);
        metrics::record_store_call(kind, outcome(&answer), took);
        Ok(answer?)
    }

    async fn read_page(&self, table: &str, from: &str, to: &str) -> Result<Page, StoreError> {
        let request = rows::read(table, from, to);
        let answer = self.call(CallKind::Read, request, CALL_LIMIT).await?;
        match answer.status {
            200 => page(&answer),
            _ => Err(StoreError::NothingDone),
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
        let limit = wait + FEED_SLACK;
        let answer = self.call(CallKind::Changes, request, limit).await?;
        match answer.status {
            200 => page(&answer),
            410 => Err(StoreError::HistoryGone),
            _ => Err(StoreError::NothingDone),
        }
    }
}

/// Returns the name of a call's outcome in metrics.
fn outcome(answer: &Result<Response, CallError>) -> &'static str {
    match answer.as_ref().map(|answer| answer.status) {
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
            CallError::NotSent => Self::NothingDone,
            CallError::NoAnswer => Self::NoAnswer,
        }
    }
}

fn page(answer: &Response) -> Result<Page, StoreError> {
    rows::decode_page(&answer.body).map_err(|error| {
        log::warn!("an answer of the store can't be read: {error}");
        StoreError::NoAnswer
    })
}
