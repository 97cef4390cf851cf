//! Questions to the entry VM that schedules, which spare calls to the store.
//!
//! All of them may fail: the caller then asks the store itself.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;
use snipevane_core::jobs::{JobId, JobSpec, JobState};
use snipevane_core::term::TermSettings;

use crate::caller::Outcome;
use crate::client::CallError;
use crate::clock::Clock;
use crate::node::Node;

use super::messages::{
    ACCEPT, Heartbeat, STATE, StateAnswer, StateQuestion, Submission, WATCH, Watch, request,
};

/// Longest time until a heartbeat comes; shorter than the time after which a look at the store
/// counts as late.
const WATCH_LIMIT: Duration = Duration::from_millis(500);

/// Longest time until the scheduler has stored a job. A caller waits 3 s as a rule, and the store
/// must still be asked after that.
const ACCEPT_LIMIT: Duration = Duration::from_millis(1_300);

/// Longest time until a state comes.
const STATE_LIMIT: Duration = Duration::from_millis(300);

/// Waits for news of the scheduler at an address; returns whether there were any.
pub(crate) async fn watch<C: Clock>(
    node: &Node<C>,
    settings: &TermSettings,
    scheduler: SocketAddr,
) -> bool {
    let known = node.scheduler.borrow().version();
    let sent_at = node.clock.now();
    let heartbeat = ask(node, scheduler, WATCH, &Watch { known }, WATCH_LIMIT).await;
    let now = node.clock.now();
    let Ok(heartbeat) = heartbeat else {
        node.scheduler.borrow_mut().link_failed(now);
        return false;
    };
    let heartbeat: Heartbeat = heartbeat;
    if let Some(age_ms) = heartbeat.config_age_ms {
        // The answer was written after the question was sent.
        let confirmed_at = sent_at.saturating_sub(Duration::from_millis(age_ms));
        let mut site = node.site.borrow_mut();
        site.confirm(heartbeat.config_version, confirmed_at);
    }
    node.scheduler.borrow_mut().heard(settings, heartbeat, now)
}

/// Asks the scheduler to store a job; none if it can't be reached, so that nothing was done.
pub(crate) async fn accept<C: Clock>(node: &Node<C>, id: JobId, spec: &JobSpec) -> Option<Outcome> {
    let scheduler = node.scheduler.borrow().link(node.clock.now())?;
    let submission = Submission {
        id,
        spec: spec.clone(),
    };
    match ask(node, scheduler, ACCEPT, &submission, ACCEPT_LIMIT).await {
        Ok(outcome) => Some(outcome),
        Err(error) => {
            node.scheduler.borrow_mut().link_failed(node.clock.now());
            (error == CallError::NoAnswer).then_some(Outcome::Unknown)
        }
    }
}

/// Asks the scheduler for the state of a job; none if it doesn't tell.
pub(crate) async fn state<C: Clock>(node: &Node<C>, id: JobId) -> Option<JobState> {
    let scheduler = node.scheduler.borrow().link(node.clock.now())?;
    match ask(node, scheduler, STATE, &StateQuestion { id }, STATE_LIMIT).await {
        Ok(StateAnswer { state }) => state,
        Err(error) => {
            log::debug!("the scheduler doesn't tell the state of job {id}: {error}");
            node.scheduler.borrow_mut().link_failed(node.clock.now());
            None
        }
    }
}

/// Sends a message and reads the answer; one that can't be read counts as none.
async fn ask<C: Clock, Q: Serialize, A: DeserializeOwned>(
    node: &Node<C>,
    scheduler: SocketAddr,
    path: &'static str,
    question: &Q,
    limit: Duration,
) -> Result<A, CallError> {
    let call = node.client.call(scheduler, request(path, question), limit);
    let answer = call.await?;
    if answer.status != 200 {
        return Err(CallError::NotSent);
    }
    crate::rows::decode(path, &answer.body).ok_or(CallError::NoAnswer)
}
