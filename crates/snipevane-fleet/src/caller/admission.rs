//! Admission control of submissions: rejects jobs whose result would come when it has no value any more.
//!
//! A rejection states that the job never runs. So it is only given if no earlier submission of the
//! identifier may have been stored; in doubt, the job is accepted.

use std::time::Duration;

use http::StatusCode;
use snipevane_core::jobs::{JobDemand, JobId, JobSpec, Queue, Rejection};

use crate::clock::Clock;
use crate::events;
use crate::metrics;
use crate::node::Node;
use crate::peers::scheduler_client;

use super::job_writer::JobWriter;
use super::reply::{self, Reply};
use super::stored_progress::read_progress_row;

/// Range of the random factor of `Retry-After`. The callers that are rejected in the last second of a burst
/// would otherwise return within one second; at three tenths, the time of a long wait still serves them.
const RETRY_JITTER: std::ops::Range<f64> = 1.0..1.3;

/// What is known of earlier submissions of an identifier.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Earlier {
    /// No submission is stored or being stored.
    None,
    /// One is stored or may be.
    Possible,
    /// The scheduler or the store didn't tell.
    Unknown,
}

/// Returns the response to a submission that is rejected; `None` if it is accepted.
pub(super) async fn reject<C: Clock>(
    node: &Node<C>,
    job_writer: &JobWriter<C>,
    id: JobId,
    spec: &JobSpec,
    queue: &Queue,
) -> Option<Reply> {
    let demand = JobDemand::new(spec, queue)?;
    let (rejection, age) = estimate(node, &demand)?;
    match earlier_submissions(node, job_writer, id).await {
        Earlier::None => {}
        Earlier::Possible => {
            metrics::record_waived_rejection(&spec.pool, "known");
            return None;
        }
        Earlier::Unknown => {
            metrics::record_waived_rejection(&spec.pool, "unconfirmed");
            return None;
        }
    }
    let retry_after = rejection.retry_after.mul_f64(node.random(RETRY_JITTER));
    events::record(
        &events::JOB_REJECTED,
        &[
            &id,
            &spec.queue,
            &spec.pool,
            &rejection.completes_in.as_millis(),
            &rejection.value_lasts.as_millis(),
            &rejection.backlog_core_ms,
            &rejection.cpu_millis,
            &age.as_millis(),
            &retry_after.as_millis(),
        ],
    );
    metrics::record_rejected_job(&spec.pool, "no_value");
    Some(reply::with_retry_after(
        StatusCode::SERVICE_UNAVAILABLE,
        "the pool is overloaded; the job was not accepted and never runs",
        retry_after,
    ))
}

/// Returns why a job is rejected, by the newest snapshot, and the snapshot's age.
fn estimate<C: Clock>(node: &Node<C>, demand: &JobDemand) -> Option<(Rejection, Duration)> {
    let now = node.clock.now();
    if let Some(leader) = node.leader() {
        let (snapshot, taken_at) = leader.admission_snapshot()?;
        let age = now.saturating_sub(taken_at);
        return Some((snapshot.rejection(demand, age)?, age));
    }
    let view = node.scheduler_view.borrow();
    let (snapshot, taken_at) = view.admission_snapshot()?;
    let age = now.saturating_sub(taken_at);
    Some((snapshot.rejection(demand, age)?, age))
}

/// Finds out whether an earlier submission of an identifier may have been stored.
///
/// The row is read last: a write that was being stored when the scheduler was asked shows in one of them.
async fn earlier_submissions<C: Clock>(
    node: &Node<C>,
    job_writer: &JobWriter<C>,
    id: JobId,
) -> Earlier {
    if job_writer.was_submitted_lately(id) {
        return Earlier::Possible;
    }
    let known_to_scheduler = match node.leader() {
        Some(leader) => Some(leader.visible_state(id).is_some()),
        None => scheduler_client::is_known(node, id).await,
    };
    match known_to_scheduler {
        Some(false) => {}
        Some(true) => return Earlier::Possible,
        None => return Earlier::Unknown,
    }
    // A row that this version can't decode is a stored job too.
    match read_progress_row(node, id).await {
        Ok(None) if !job_writer.was_submitted_lately(id) => Earlier::None,
        Ok(_) => Earlier::Possible,
        Err(_) => Earlier::Unknown,
    }
}
