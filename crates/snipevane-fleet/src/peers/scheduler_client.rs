//! Client for the entry VM that schedules.
//!
//! Its responses save calls to the store. Any request may fail; the caller then uses the store
//! itself.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;
use snipevane_core::jobs::{JobId, JobSpec};
use snipevane_core::term::TermSettings;
use tokio::time::sleep;

use crate::caller::Outcome;
use crate::client::CallError;
use crate::clock::Clock;
use crate::node::Node;
use crate::senders;

use super::messages::{
    ACCEPT_PATH, Heartbeat, STATE_PATH, StateRequest, StateResponse, SubmitRequest, WATCH_PATH,
    WatchRequest, post_request,
};

/// Timeout for a heartbeat. The scheduler's row is read at once if none comes.
const WATCH_TIMEOUT: Duration = Duration::from_millis(500);

/// Time after which a job is no longer left to a scheduler without heartbeats, so that time is left to
/// store it from here. Callers usually wait 3 s.
const SUBMIT_TIMEOUT: Duration = Duration::from_millis(1_300);

/// Timeout for a scheduler with heartbeats to store a job. A slow store only gets slower if entry VMs
/// write to it at the same time.
const MAX_SUBMIT_TIMEOUT: Duration = Duration::from_millis(2_600);

/// Interval at which the scheduler's heartbeats are checked.
const HEARTBEAT_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Timeout for a request for a job's state.
const STATE_TIMEOUT: Duration = Duration::from_millis(300);

/// Waits for a heartbeat from the scheduler at an address and records the result.
///
/// Returns whether a heartbeat came that is current and shows that the term is held.
pub(crate) async fn watch<C: Clock>(
    node: &Node<C>,
    settings: &TermSettings,
    scheduler: SocketAddr,
) -> bool {
    let known = node.scheduler_view.borrow().version();
    let sent_at = node.clock.now();
    let can_take_over = !node.stopping.get() && node.store.is_direct();
    let request = WatchRequest {
        known,
        vm: node.settings.node.clone(),
        capacity: can_take_over.then_some(node.settings.capacity),
        offer: senders::offer(node),
    };
    let heartbeat = send_request(node, scheduler, WATCH_PATH, &request, WATCH_TIMEOUT).await;
    let now = node.clock.now();
    let Ok(heartbeat) = heartbeat else {
        node.scheduler_view
            .borrow_mut()
            .record_call_failure_at(scheduler, now);
        return false;
    };
    let mut heartbeat: Heartbeat = heartbeat;
    if let Some(grant) = heartbeat.grant {
        node.order_sender.renew_permission(grant, sent_at);
    }
    if let Some(age_ms) = heartbeat.config_age_ms {
        // The age was taken after the request was sent, so the confirmation is no older than this.
        let confirmed_at = sent_at.saturating_sub(Duration::from_millis(age_ms));
        let mut site = node.site_view.borrow_mut();
        site.confirm(heartbeat.config_version, confirmed_at);
    }
    node.largest_candidate.set(heartbeat.largest_candidate);
    let admission = heartbeat.admission.take();
    let mut view = node.scheduler_view.borrow_mut();
    let is_held = view.record_heartbeat(settings, heartbeat, now);
    if is_held {
        view.record_admission(admission, sent_at);
    }
    is_held
}

/// Asks the scheduler to store a job.
///
/// Returns `None` if the scheduler can't be reached or refuses the request; nothing was stored
/// then.
pub(crate) async fn submit_job<C: Clock>(
    node: &Node<C>,
    id: JobId,
    spec: &JobSpec,
) -> Option<Outcome> {
    let scheduler = node
        .scheduler_view
        .borrow()
        .reachable_address(node.clock.now())?;
    let request = SubmitRequest {
        id,
        spec: spec.clone(),
        accepts_busy: true,
        accepts_rejected: true,
        accepts_cancelled: true,
        accepts_unheld: true,
    };
    let submission = send_request(node, scheduler, ACCEPT_PATH, &request, MAX_SUBMIT_TIMEOUT);
    let result = tokio::select! {
        result = submission => result,
        () = heartbeats_lost(node, scheduler) => Err(CallError::NoAnswer),
    };
    match result {
        Ok(outcome) => Some(outcome),
        // The scheduler's heartbeats tell whether it is only slow.
        Err(CallError::NoAnswer) => Some(Outcome::Unknown),
        Err(CallError::NotSent) => {
            let mut view = node.scheduler_view.borrow_mut();
            view.record_call_failure_at(scheduler, node.clock.now());
            None
        }
    }
}

/// Waits until [`SUBMIT_TIMEOUT`] has passed and the scheduler isn't known to be reachable.
async fn heartbeats_lost<C: Clock>(node: &Node<C>, scheduler: SocketAddr) {
    sleep(SUBMIT_TIMEOUT).await;
    loop {
        let now = node.clock.now();
        if node.scheduler_view.borrow().reachable_address(now) != Some(scheduler) {
            return;
        }
        sleep(HEARTBEAT_CHECK_INTERVAL).await;
    }
}

/// Asks the scheduler whether it knows a job or may have stored it; returns `None` if it doesn't tell.
pub(crate) async fn is_known<C: Clock>(node: &Node<C>, id: JobId) -> Option<bool> {
    let response = job_state(node, id).await?;
    response
        .may_be_stored
        .map(|may_be_stored| may_be_stored || response.state.is_some())
}

/// Asks the scheduler for what it knows of a job; returns `None` if it doesn't tell.
pub(crate) async fn job_state<C: Clock>(node: &Node<C>, id: JobId) -> Option<StateResponse> {
    let scheduler = node
        .scheduler_view
        .borrow()
        .state_address(node.clock.now())?;
    let request = StateRequest { id };
    match send_request(node, scheduler, STATE_PATH, &request, STATE_TIMEOUT).await {
        Ok(response) => Some(response),
        Err(error) => {
            log::debug!("the scheduler gave no state of job {id}: {error}");
            let now = node.clock.now();
            let mut view = node.scheduler_view.borrow_mut();
            match error {
                CallError::NoAnswer => view.record_state_overdue(now),
                CallError::NotSent => view.record_call_failure_at(scheduler, now),
            }
            None
        }
    }
}

/// Sends a message to the scheduler and decodes the response.
///
/// A response that can't be decoded counts as [`CallError::NoAnswer`], one with an error status as
/// [`CallError::NotSent`].
async fn send_request<C: Clock, Q: Serialize, A: DeserializeOwned>(
    node: &Node<C>,
    scheduler: SocketAddr,
    path: &'static str,
    message: &Q,
    limit: Duration,
) -> Result<A, CallError> {
    let call = node
        .client
        .call(scheduler, post_request(path, message), limit);
    let response = call.await?;
    if response.status != 200 {
        return Err(CallError::NotSent);
    }
    crate::rows::decode(path, &response.body).ok_or(CallError::NoAnswer)
}
