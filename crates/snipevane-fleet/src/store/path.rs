//! Ways to the store: straight, or through another entry VM while the store turns this one away.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use snipevane_adapter::Request;

use crate::client::{CallError, Client, Response};
use crate::clock::Clock;
use crate::{events, metrics};

/// Time after which a call that has no answer is tried through another entry VM.
const PATIENCE: Duration = Duration::from_millis(700);

/// Time for which a call stays under way after it was given up; a slow store still does it.
const LATE: Duration = Duration::from_millis(3_000);

/// Time for which calls go through other entry VMs before the straight way is tried again.
const DETOUR: Duration = Duration::from_millis(1_000);

/// Other entry VMs that are tried for a call.
const MAX_RELAYS: usize = 2;

/// Status with which the store, or a relay, says that nothing was done.
const TURNED_AWAY: [u16; 2] = [429, 503];

/// Ways from this process to the store.
pub(super) struct Path<C> {
    clock: C,
    client: Client,
    store: SocketAddr,
    relays: RefCell<Vec<SocketAddr>>,
    /// Relay to try first.
    next: Cell<usize>,
    /// Time until which the straight way isn't tried first.
    detour_until: Cell<Duration>,
    /// Whether the store answered the last straight call.
    straight: Cell<bool>,
    /// Whether the last call had no answer by any way.
    away: Cell<bool>,
    /// Time since which calls have had no answer, while it is away.
    lost_at: Cell<Duration>,
}

impl<C: Clock> Path<C> {
    /// Creates the straight way.
    pub(super) fn new(clock: C, client: Client, store: SocketAddr) -> Rc<Self> {
        Rc::new(Self {
            clock,
            client,
            store,
            relays: RefCell::default(),
            next: Cell::new(0),
            detour_until: Cell::new(Duration::ZERO),
            straight: Cell::new(false),
            away: Cell::new(false),
            lost_at: Cell::new(Duration::ZERO),
        })
    }

    /// Returns the present time.
    pub(super) fn now(&self) -> Duration {
        self.clock.now()
    }

    /// Names the entry VMs that pass calls on.
    pub(super) fn set_relays(&self, relays: Vec<SocketAddr>) {
        *self.relays.borrow_mut() = relays;
    }

    /// Sends a call, straight or through another entry VM.
    ///
    /// A call that is sent both ways may be carried out twice; changes under a condition are not.
    ///
    /// # Errors
    ///
    /// Returns an error if no way brings an answer; it tells whether the call may be carried out.
    pub(super) async fn call(
        &self,
        request: Request,
        limit: Duration,
    ) -> Result<Response, CallError> {
        let answer = self.try_ways(request, limit).await;
        let answered = answer.as_ref().is_ok_and(|answer| !is_refusal(answer));
        self.note_reached(answered);
        answer
    }

    /// Takes note of whether the store answered, and logs a change.
    fn note_reached(&self, answered: bool) {
        let now = self.clock.now();
        let way = if now < self.detour_until.get() {
            "through another entry VM"
        } else {
            "straight"
        };
        if self.away.replace(!answered) != answered {
            return;
        }
        if answered {
            let away = now.saturating_sub(self.lost_at.get()).as_millis();
            events::record(&events::STORE_REGAINED, &[&away, &way]);
        } else {
            self.lost_at.set(now);
            events::record(&events::STORE_LOST, &[&way]);
        }
        metrics::set_store_reachable(answered);
    }

    /// Returns whether the last call had no answer by any way.
    pub(super) fn is_away(&self) -> bool {
        self.away.get()
    }

    async fn try_ways(&self, request: Request, limit: Duration) -> Result<Response, CallError> {
        let waits = limit.saturating_sub(super::CALL_LIMIT);
        let on_detour = self.clock.now() < self.detour_until.get();
        let mut uncertain = false;
        let mut refused = None;
        if !on_detour {
            match self.straight(request.clone(), waits + PATIENCE).await {
                Ok(answer) if !is_refusal(&answer) => return Ok(answer),
                Ok(answer) => refused = Some(answer),
                Err(error) => uncertain |= error == CallError::NoAnswer,
            }
            log::debug!("the store doesn't answer straight");
        }
        for relay in self.relays_to_try() {
            match self
                .client
                .call(relay, request.clone(), waits + PATIENCE)
                .await
            {
                Ok(answer) if !is_refusal(&answer) && answer.status < 500 => {
                    if !on_detour {
                        self.begin_detour(relay);
                    }
                    return Ok(answer);
                }
                Ok(answer) => uncertain |= answer.status >= 500 && !is_refusal(&answer),
                Err(error) => uncertain |= error == CallError::NoAnswer,
            }
        }
        self.detour_until.set(Duration::ZERO);
        match refused {
            _ if uncertain => Err(CallError::NoAnswer),
            Some(answer) => Ok(answer),
            None => Err(CallError::NotSent),
        }
    }

    /// Sends a call straight to the store.
    ///
    /// # Errors
    ///
    /// Returns an error if no answer comes in time.
    pub(super) async fn straight(
        &self,
        request: Request,
        limit: Duration,
    ) -> Result<Response, CallError> {
        let longest = limit + LATE;
        let call = self
            .client
            .call_detached(self.store, request, limit, longest);
        let answer = call.await;
        self.straight
            .set(answer.as_ref().is_ok_and(|answer| !is_refusal(answer)));
        answer
    }

    /// Returns whether the store has answered the last straight call.
    pub(super) fn is_straight(&self) -> bool {
        self.straight.get()
    }

    fn begin_detour(&self, relay: SocketAddr) {
        let relays = self.relays.borrow();
        let index = relays.iter().position(|known| *known == relay);
        self.next.set(index.unwrap_or(0));
        self.detour_until.set(self.clock.now() + DETOUR);
    }

    fn relays_to_try(&self) -> Vec<SocketAddr> {
        let relays = self.relays.borrow();
        let first = self.next.get();
        if !relays.is_empty() {
            self.next.set((first + 1) % relays.len());
        }
        let turned = relays.iter().cycle().skip(first).take(relays.len());
        turned.take(MAX_RELAYS).copied().collect()
    }
}

fn is_refusal(answer: &Response) -> bool {
    TURNED_AWAY.contains(&answer.status)
}
