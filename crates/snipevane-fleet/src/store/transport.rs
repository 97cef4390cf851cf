//! Transport of calls to the store: directly, or relayed by another entry VM while the store
//! refuses or doesn't answer direct calls.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use snipevane_adapter::Request;
use snipevane_adapter::rows;
use snipevane_core::relay_policy::RelayPolicy;
use snipevane_core::reply_time::ReplyTime;

use crate::client::{Arrivals, CallError, Client, RelayedBody, Response};
use crate::clock::Clock;
use crate::rows::{SCHEDULER_KEY, SCHEDULER_KEY_END, SCHEDULERS_TABLE};
use crate::{events, metrics};

use super::Purpose;

/// Bounds of the timeout for one attempt, in addition to the wait of a long poll; the next attempt goes
/// through another entry VM. Within them, the timeout follows the store's response times, as a store
/// that is slow gets slower by calls that are sent twice.
const MIN_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(700);
const MAX_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Time for which a measured response time of the store counts.
const RESPONSE_TIME_VALIDITY: Duration = Duration::from_secs(4);

/// Time for which a direct call stays in flight after its timeout; a slow store still carries it
/// out.
const LATE_COMPLETION_GRACE: Duration = Duration::from_millis(3_000);

/// Interval between probes of the direct route while calls go through other entry VMs.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// Maximum number of other entry VMs tried for a call.
const MAX_RELAYS: usize = 2;

/// Status with which the store refuses a call because of a limit, of one entry VM or of all.
const TOO_MANY_CALLS: u16 = 429;

/// Statuses with which the store, or a relay, says that nothing was done.
const REFUSAL_STATUSES: [u16; 2] = [TOO_MANY_CALLS, 503];

/// Transport from this process to the store.
pub(super) struct Transport<C> {
    clock: C,
    client: Client,
    store: SocketAddr,
    relays: RefCell<Vec<SocketAddr>>,
    /// Relay to try first: the one that relayed the last call, or one after a relay that failed.
    preferred_relay: Cell<Option<SocketAddr>>,
    /// Time since which calls go through relays without a direct call first, as the direct route failed; `None`
    /// while it is used.
    relayed_since: Cell<Option<Duration>>,
    /// Time at which the direct route was last probed.
    probed_at: Cell<Duration>,
    /// Whether the store answered the last direct call and didn't refuse it.
    direct: Cell<bool>,
    /// Whether the last call was refused or unanswered on every route.
    unreachable: Cell<bool>,
    /// Start of the outage; valid only while the store is unreachable.
    unreachable_since: Cell<Duration>,
    /// Time that the store takes to respond to direct calls that aren't long polls.
    response_time: Cell<ReplyTime>,
    /// Decides which calls are sent again.
    relay_policy: Cell<RelayPolicy>,
    /// Random numbers for the jitter of pauses.
    rng: RefCell<StdRng>,
}

impl<C: Clock> Transport<C> {
    /// Creates a transport that has no relays yet.
    pub(super) fn new(clock: C, client: Client, store: SocketAddr) -> Rc<Self> {
        Rc::new(Self {
            clock,
            client,
            store,
            relays: RefCell::default(),
            preferred_relay: Cell::new(None),
            relayed_since: Cell::new(None),
            probed_at: Cell::new(Duration::ZERO),
            direct: Cell::new(false),
            unreachable: Cell::new(false),
            unreachable_since: Cell::new(Duration::ZERO),
            response_time: Cell::new(ReplyTime::new(RESPONSE_TIME_VALIDITY)),
            relay_policy: Cell::default(),
            rng: RefCell::new(StdRng::seed_from_u64(0)),
        })
    }

    /// Returns the present time.
    pub(super) fn now(&self) -> Duration {
        self.clock.now()
    }

    /// Sets the entry VMs that relay calls.
    pub(super) fn set_relays(&self, relays: Vec<SocketAddr>) {
        *self.relays.borrow_mut() = relays;
    }

    /// Seeds the jitter of pauses, so that entry VMs that are refused together don't return together.
    pub(super) fn seed_jitter(&self, seed: u64) {
        *self.rng.borrow_mut() = StdRng::seed_from_u64(seed);
    }

    /// Returns whether an entry VM is known that relays calls.
    pub(super) fn has_relays(&self) -> bool {
        !self.relays.borrow().is_empty()
    }

    /// Sends a call, directly or through another entry VM. `limit` bounds the time until the response
    /// begins to arrive; it counts among `arrivals` until it is complete.
    ///
    /// A call that is sent by several routes may be carried out twice; a conditional change is not.
    ///
    /// # Errors
    ///
    /// Returns an error if no route brings a response; it tells whether the call may be carried
    /// out.
    pub(super) async fn call(
        self: &Rc<Self>,
        purpose: Purpose,
        request: Request,
        limit: Duration,
        arrivals: &Arrivals,
    ) -> Result<Response, CallError> {
        let response = self
            .call_with_failover(purpose, request, limit, arrivals)
            .await;
        let reachable = response
            .as_ref()
            .is_ok_and(|response| !is_refusal(response));
        self.record_reachability(reachable);
        response
    }

    /// Records whether the store is reachable, and logs a change.
    fn record_reachability(&self, reachable: bool) {
        let now = self.clock.now();
        let route = if self.relayed_since.get().is_some() {
            "through another entry VM"
        } else {
            "straight"
        };
        if self.unreachable.replace(!reachable) != reachable {
            return;
        }
        if reachable {
            let outage_ms = now.saturating_sub(self.unreachable_since.get()).as_millis();
            events::record(&events::STORE_REGAINED, &[&outage_ms, &route]);
        } else {
            self.unreachable_since.set(now);
            events::record(&events::STORE_LOST, &[&route]);
        }
        metrics::set_store_reachable(reachable);
    }

    /// Returns whether the last call was refused or unanswered on every route.
    pub(super) fn is_unreachable(&self) -> bool {
        self.unreachable.get()
    }

    /// Tries a direct call, unless relays are preferred at present, and then the relays.
    async fn call_with_failover(
        self: &Rc<Self>,
        purpose: Purpose,
        request: Request,
        limit: Duration,
        arrivals: &Arrivals,
    ) -> Result<Response, CallError> {
        let long_poll_wait = limit.saturating_sub(super::CALL_TIMEOUT);
        let attempt_limit = long_poll_wait + self.attempt_timeout();
        let mut uncertain = false;
        let mut refused = None;
        let now = self.clock.now();
        self.update_relay_policy(|policy| policy.record_call(now));
        let is_direct_first = self.relayed_since.get().is_none();
        if is_direct_first {
            let on_response = self.response_timer(long_poll_wait);
            match self
                .call_direct(
                    purpose,
                    request.clone(),
                    attempt_limit,
                    on_response,
                    arrivals,
                )
                .await
            {
                Ok(response) if !is_refusal(&response) => return Ok(response),
                Ok(response) => refused = Some(response),
                Err(error) => uncertain |= error == CallError::NoAnswer,
            }
            log::debug!("store refused or didn't answer a direct call; trying relays");
        } else {
            self.probe_direct_route();
        }
        let is_over_limit = refused.as_ref().is_some_and(is_over_limit);
        for (index, relay) in self.relays_to_try().into_iter().enumerate() {
            let is_further = is_direct_first || index > 0;
            if is_further && !self.may_try_again(purpose, is_over_limit) {
                break;
            }
            let response = self
                .client
                .call_while_arriving(relay, request.clone(), attempt_limit, arrivals)
                .await;
            metrics::record_store_attempt(purpose, "relayed", outcome_label(&response));
            if let Some(response) = response.as_ref().ok().filter(|_| is_over_limit) {
                self.record_relay_of_refusal(response);
            }
            match response {
                Ok(response) if !is_refusal(&response) && response.status < 500 => {
                    self.preferred_relay.set(Some(relay));
                    self.keep_relaying();
                    return Ok(response);
                }
                Ok(response) => uncertain |= response.status >= 500 && !is_refusal(&response),
                Err(error) => uncertain |= error == CallError::NoAnswer,
            }
            self.prefer_relay_after(relay);
        }
        self.relayed_since.set(None);
        match refused {
            _ if uncertain => Err(CallError::NoAnswer),
            Some(response) => Ok(response),
            None => Err(CallError::NotSent),
        }
    }

    /// Returns whether a call that failed may be sent through another entry VM. `is_over_limit`: the store refused
    /// it because of a limit.
    fn may_try_again(&self, purpose: Purpose, is_over_limit: bool) -> bool {
        if purpose.is_schedulers_work() {
            return true;
        }
        let now = self.clock.now();
        if is_over_limit && self.relay_policy.get().is_store_at_limit(now) {
            return false;
        }
        self.update_relay_policy(RelayPolicy::take_retry)
    }

    /// Records the response that another entry VM brought to a call that the store had refused because of a limit.
    fn record_relay_of_refusal(&self, response: &Response) {
        let now = self.clock.now();
        if is_over_limit(response) {
            let random = self.rng.borrow_mut().random_range(0.0..1.0);
            self.update_relay_policy(|policy| policy.record_relayed_refusal(now, random));
        } else if !is_refusal(response) && response.status < 500 {
            self.update_relay_policy(RelayPolicy::record_relayed_answer);
        }
    }

    fn update_relay_policy<T>(&self, update: impl FnOnce(&mut RelayPolicy) -> T) -> T {
        let mut policy = self.relay_policy.get();
        let result = update(&mut policy);
        self.relay_policy.set(policy);
        result
    }

    /// Sends a call directly to the store. `on_response` is called when the response begins to arrive,
    /// also if that is late.
    ///
    /// # Errors
    ///
    /// Returns an error if the response doesn't begin to arrive in time, or stops arriving.
    pub(super) async fn call_direct(
        &self,
        purpose: Purpose,
        request: Request,
        limit: Duration,
        on_response: impl FnOnce() + 'static,
        arrivals: &Arrivals,
    ) -> Result<Response, CallError> {
        let abort_after = limit + LATE_COMPLETION_GRACE;
        let call = self.client.call_detached(
            self.store,
            request,
            limit,
            abort_after,
            on_response,
            arrivals,
        );
        let response = call.await;
        metrics::record_store_attempt(purpose, "direct", outcome_label(&response));
        self.record_direct(response.as_ref().ok().map(|response| response.status));
        response
    }

    /// Sends a call of another entry VM directly to the store; returns the status of the response and its
    /// body.
    ///
    /// # Errors
    ///
    /// Returns an error if the response doesn't begin to arrive in time.
    pub(super) async fn relay(
        &self,
        request: Request,
        limit: Duration,
    ) -> Result<(u16, RelayedBody), CallError> {
        let abort_after = limit + LATE_COMPLETION_GRACE;
        let call = self
            .client
            .relay_detached(self.store, request, limit, abort_after);
        let response = call.await;
        let status = response.as_ref().map(|(status, _)| *status);
        let outcome = status_label(status.map_err(|error| *error));
        metrics::record_store_attempt(Purpose::Relay, "direct", outcome);
        self.record_direct(status.ok());
        response
    }

    /// Records the status of the response to a direct call; `None` if there was no response.
    fn record_direct(&self, status: Option<u16>) {
        let answered = status.is_some_and(|status| !REFUSAL_STATUSES.contains(&status));
        self.direct.set(answered);
        if answered {
            self.relayed_since.set(None);
        }
    }

    /// Lets calls go through relays from now on, unless the direct route works.
    fn keep_relaying(&self) {
        if !self.direct.get() && self.relayed_since.get().is_none() {
            self.relayed_since.set(Some(self.clock.now()));
        }
    }

    /// Returns since when calls have gone through other entry VMs; `None` if they don't.
    pub(super) fn relayed_since(&self) -> Option<Duration> {
        self.relayed_since.get()
    }

    /// Returns whether the store answered the last direct call and didn't refuse it.
    pub(super) fn is_direct(&self) -> bool {
        self.direct.get()
    }

    /// Returns a function that records how long a direct call has taken, unless it is a long poll.
    fn response_timer(self: &Rc<Self>, long_poll_wait: Duration) -> impl FnOnce() + 'static {
        let sent_at = self.clock.now();
        let transport = self.clone();
        move || {
            if long_poll_wait.is_zero() {
                transport.record_response_time(sent_at);
            }
        }
    }

    /// Records the response to a direct call that was sent at `sent_at`.
    fn record_response_time(&self, sent_at: Duration) {
        let now = self.clock.now();
        let mut response_time = self.response_time.get();
        response_time.record(now.saturating_sub(sent_at), now);
        self.response_time.set(response_time);
    }

    /// Returns the timeout for one attempt, without the wait of a long poll.
    fn attempt_timeout(&self) -> Duration {
        let upper_bound = self.response_time.get().upper_bound(self.clock.now());
        upper_bound
            .unwrap_or_default()
            .clamp(MIN_ATTEMPT_TIMEOUT, MAX_ATTEMPT_TIMEOUT)
    }

    /// Checks in the background, at intervals, whether the store answers direct calls again.
    ///
    /// A call that tried the direct route first would wait for its timeout: while this VM is cut off from the
    /// store, each second one of the scheduler's writes took 0.7 s longer.
    fn probe_direct_route(self: &Rc<Self>) {
        let now = self.clock.now();
        if now < self.probed_at.get() + PROBE_INTERVAL {
            return;
        }
        self.probed_at.set(now);
        let transport = self.clone();
        tokio::task::spawn_local(async move {
            let probe = rows::read_request(SCHEDULERS_TABLE, SCHEDULER_KEY, SCHEDULER_KEY_END);
            let limit = transport.attempt_timeout();
            // The outcome is recorded as that of every direct call.
            let _ = transport
                .call_direct(
                    Purpose::RouteProbe,
                    probe,
                    limit,
                    || {},
                    &Arrivals::default(),
                )
                .await;
        });
    }

    /// Prefers the relay that follows one that has failed.
    fn prefer_relay_after(&self, failed: SocketAddr) {
        let relays = self.relays.borrow();
        let index = relays.iter().position(|known| *known == failed);
        let next = index.map_or(0, |index| index + 1) % relays.len().max(1);
        self.preferred_relay.set(relays.get(next).copied());
    }

    fn relays_to_try(&self) -> Vec<SocketAddr> {
        let relays = self.relays.borrow();
        let preferred = self.preferred_relay.get();
        let first = relays.iter().position(|relay| Some(*relay) == preferred);
        let rotated = relays.iter().cycle().skip(first.unwrap_or(0));
        let rotated = rotated.take(relays.len().min(MAX_RELAYS));
        rotated.copied().collect()
    }
}

fn is_refusal(response: &Response) -> bool {
    REFUSAL_STATUSES.contains(&response.status)
}

/// Returns whether the store refused a call because of a limit.
fn is_over_limit(response: &Response) -> bool {
    response.status == TOO_MANY_CALLS
}

/// Returns the metric label of a call's outcome.
pub(super) fn outcome_label(response: &Result<Response, CallError>) -> &'static str {
    let status = response.as_ref().map(|response| response.status);
    status_label(status.map_err(|error| *error))
}

/// Returns the metric label of the outcome of a call with this status.
fn status_label(status: Result<u16, CallError>) -> &'static str {
    match status {
        Ok(200) => "done",
        Ok(410) => "history_gone",
        Ok(412) => "conflict",
        Ok(400 | 403 | 413) => "rejected",
        Ok(429) => "too_many",
        Ok(_) => "refused",
        Err(CallError::NotSent) => "not_sent",
        Err(CallError::NoAnswer) => "no_answer",
    }
}
