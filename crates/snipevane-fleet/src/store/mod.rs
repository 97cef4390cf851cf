//! Client of the platform's store.

mod builder;
mod call_kind;
mod error;
mod purpose;
mod transport;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rustc_hash::FxHashMap;
use smol_str::SmolStr;
use snipevane_adapter::Request;
use snipevane_adapter::rows::{self, Page, Row, Transaction};

use crate::client::{Arrivals, CallError, Client, RelayedBody, Response};
use crate::clock::Clock;
use crate::metrics;

pub(crate) use builder::TransactionBuilder;
pub(crate) use call_kind::CallKind;
pub use error::StoreError;
pub use purpose::Purpose;
use transport::{Transport, outcome_label};

/// Maximum number of times that a page of a table is read until that succeeds.
const MAX_PAGE_ATTEMPTS: u32 = 3;

/// Timeout for a call that doesn't wait for changes.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time after which a reading of the store's clock is no longer extrapolated, as clocks run at
/// different rates.
const CLOCK_READING_VALIDITY: Duration = Duration::from_secs(5);

/// Time that the response to a long poll for changes may take beyond its wait.
const CHANGES_TIMEOUT_MARGIN: Duration = Duration::from_millis(1_000);

/// Outcome of a transaction that the store answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommitOutcome {
    /// It was committed; the rows have this version.
    Committed(u64),
    /// A condition wasn't met; these are the current rows that the conditions name.
    Conflict(Vec<Row>),
}

/// Client of the store.
pub struct StoreClient<C> {
    transport: Rc<Transport<C>>,
    /// Last reading of the store's clock, in milliseconds, and the time at which its call was sent.
    clock_reading: Cell<Option<(u64, Duration)>>,
    /// Responses with changes that are arriving, by table.
    arriving_changes: RefCell<FxHashMap<SmolStr, Arrivals>>,
}

impl<C: Clock> StoreClient<C> {
    /// Creates a client of the store at an address.
    pub fn new(clock: C, client: Client, address: SocketAddr) -> Self {
        let transport = Transport::new(clock, client, address);
        Self {
            transport,
            clock_reading: Cell::new(None),
            arriving_changes: RefCell::default(),
        }
    }

    /// Seeds the jitter of pauses between further attempts.
    pub(crate) fn seed_jitter(&self, seed: u64) {
        self.transport.seed_jitter(seed);
    }

    /// Sets the entry VMs that relay calls while the store refuses or doesn't answer direct calls.
    pub fn set_relays(&self, relays: Vec<SocketAddr>) {
        self.transport.set_relays(relays);
    }

    /// Returns whether an entry VM is known that relays calls.
    pub fn has_relays(&self) -> bool {
        self.transport.has_relays()
    }

    /// Returns whether the store answered the last direct call and didn't refuse it.
    pub fn is_direct(&self) -> bool {
        self.transport.is_direct()
    }

    /// Returns since when calls have gone through other entry VMs because the store doesn't answer direct ones;
    /// `None` if they don't.
    pub fn relayed_since(&self) -> Option<Duration> {
        self.transport.relayed_since()
    }

    /// Returns whether the last call was refused or unanswered on every route.
    ///
    /// Another call would then only add to the calls whose outcome is unknown.
    pub fn is_unreachable(&self) -> bool {
        self.transport.is_unreachable()
    }

    /// Returns the latest value that the store's clock can show now, in milliseconds; `None` if it
    /// hasn't been read lately.
    pub fn latest_clock_ms(&self) -> Option<u64> {
        let (clock_ms, asked_at) = self.clock_reading.get()?;
        let elapsed = self.transport.now().saturating_sub(asked_at);
        if elapsed > CLOCK_READING_VALIDITY {
            return None;
        }
        Some(clock_ms + u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX) + 1)
    }

    /// Decodes a page and records the reading of the store's clock that it contains. The call was sent at
    /// `asked_at`.
    fn decode_page(&self, response: &Response, asked_at: Duration) -> Result<Page, StoreError> {
        let page = decode_page(response)?;
        if page.clock_ms > 0 {
            self.clock_reading.set(Some((page.clock_ms, asked_at)));
        }
        Ok(page)
    }

    /// Relays a call of another entry VM directly to the store; returns the status of the response and its
    /// body, which may still be arriving.
    ///
    /// # Errors
    ///
    /// Returns an error if the response doesn't begin to arrive within `limit`.
    pub async fn relay(
        &self,
        call: Request,
        limit: Duration,
    ) -> Result<(u16, RelayedBody), CallError> {
        self.transport.relay(call, limit).await
    }

    /// Commits a transaction.
    ///
    /// # Errors
    ///
    /// Returns an error that tells whether the transaction may be committed nevertheless.
    pub async fn commit(
        &self,
        purpose: Purpose,
        transaction: &Transaction,
    ) -> Result<CommitOutcome, StoreError> {
        let request = rows::commit_request(transaction);
        let asked_at = self.transport.now();
        let response = self
            .call(purpose, CallKind::Commit, request, CALL_TIMEOUT)
            .await?;
        match response.status {
            200 => {
                let page = self.decode_page(&response, asked_at)?;
                Ok(CommitOutcome::Committed(page.version))
            }
            412 => {
                let page = self.decode_page(&response, asked_at)?;
                Ok(CommitOutcome::Conflict(page.rows))
            }
            400 | 403 | 413 => Err(StoreError::Rejected),
            429 | 503 | 507 => Err(StoreError::NotApplied),
            _ => Err(StoreError::NoAnswer),
        }
    }

    /// Reads the rows of a table from the key `from` up to the key `to`, exclusive.
    ///
    /// # Errors
    ///
    /// Returns an error if a page can't be read.
    pub async fn read(
        &self,
        purpose: Purpose,
        table: &str,
        from: &str,
        to: &str,
    ) -> Result<Page, StoreError> {
        let mut all = self
            .read_page_with_retries(purpose, table, from, to)
            .await?;
        while all.more {
            let Some(last) = all.rows.last() else {
                break;
            };
            // The smallest key after `last` in byte order.
            let next = format!("{}\0", last.key);
            let page = self
                .read_page_with_retries(purpose, table, &next, to)
                .await?;
            all.more = page.more;
            all.rows.extend(page.rows);
        }
        Ok(all)
    }

    /// Reads a page, several times if need be, so that one failure doesn't discard the pages that were
    /// read before.
    async fn read_page_with_retries(
        &self,
        purpose: Purpose,
        table: &str,
        from: &str,
        to: &str,
    ) -> Result<Page, StoreError> {
        let mut attempts = 1;
        loop {
            match self.read_page(purpose, table, from, to).await {
                Err(error) if attempts < MAX_PAGE_ATTEMPTS => {
                    log::debug!("can't read a page of table {table}, retrying: {error}");
                    attempts += 1;
                }
                result => return result,
            }
        }
    }

    /// Sends a call and records it in the metrics.
    async fn call(
        &self,
        purpose: Purpose,
        kind: CallKind,
        request: Request,
        limit: Duration,
    ) -> Result<Response, StoreError> {
        self.call_counted(purpose, kind, request, limit, &Arrivals::default())
            .await
    }

    /// Sends a call as [`Self::call`] does. Its response counts among `arrivals` while it is arriving.
    async fn call_counted(
        &self,
        purpose: Purpose,
        kind: CallKind,
        request: Request,
        limit: Duration,
        arrivals: &Arrivals,
    ) -> Result<Response, StoreError> {
        let sent_at = self.transport.now();
        let response = self.transport.call(purpose, request, limit, arrivals).await;
        let elapsed = self.transport.now().saturating_sub(sent_at);
        metrics::record_store_call(kind, outcome_label(&response), elapsed);
        Ok(response?)
    }

    async fn read_page(
        &self,
        purpose: Purpose,
        table: &str,
        from: &str,
        to: &str,
    ) -> Result<Page, StoreError> {
        let request = rows::read_request(table, from, to);
        let asked_at = self.transport.now();
        let response = self
            .call(purpose, CallKind::Read, request, CALL_TIMEOUT)
            .await?;
        match response.status {
            200 => self.decode_page(&response, asked_at),
            _ => Err(StoreError::NotApplied),
        }
    }

    /// Reads one row.
    ///
    /// # Errors
    ///
    /// Returns an error if the store doesn't answer.
    pub async fn get(
        &self,
        purpose: Purpose,
        table: &str,
        key: &str,
    ) -> Result<Option<Row>, StoreError> {
        let (row, _) = self.get_with_clock(purpose, table, key).await?;
        Ok(row)
    }

    /// Reads one row, and the store's clock at that moment, in milliseconds.
    ///
    /// # Errors
    ///
    /// Returns an error if the store doesn't answer.
    pub async fn get_with_clock(
        &self,
        purpose: Purpose,
        table: &str,
        key: &str,
    ) -> Result<(Option<Row>, u64), StoreError> {
        let page = self
            .read_page(purpose, table, key, &format!("{key}\0"))
            .await?;
        Ok((page.rows.into_iter().next(), page.clock_ms))
    }

    /// Returns whether a response with changes of a table is arriving.
    pub fn is_receiving_changes(&self, table: &str) -> bool {
        self.arriving_changes(table).any()
    }

    fn arriving_changes(&self, table: &str) -> Arrivals {
        let mut arriving = self.arriving_changes.borrow_mut();
        arriving.entry(table.into()).or_default().clone()
    }

    /// Long-polls for changes of a table after a version, for up to `wait`.
    ///
    /// # Errors
    ///
    /// Returns an error if the store doesn't answer, or no longer has the changes.
    pub async fn changes(
        &self,
        purpose: Purpose,
        table: &str,
        after: u64,
        wait: Duration,
    ) -> Result<Page, StoreError> {
        let wait_ms = u64::try_from(wait.as_millis()).unwrap_or(rows::MAX_WAIT_MS);
        let request = rows::changes_request(table, after, wait_ms);
        let limit = wait + CHANGES_TIMEOUT_MARGIN;
        let arrivals = self.arriving_changes(table);
        let response = self
            .call_counted(purpose, CallKind::Changes, request, limit, &arrivals)
            .await?;
        match response.status {
            200 => decode_page(&response),
            410 => Err(StoreError::HistoryGone),
            _ => Err(StoreError::NotApplied),
        }
    }
}

fn decode_page(response: &Response) -> Result<Page, StoreError> {
    rows::decode_page(&response.body).map_err(|error| {
        log::warn!(
            "can't decode a response of the store, treating the call's outcome as unknown: {error}"
        );
        StoreError::NoAnswer
    })
}
