//! Logs the scheduler's decisions.

use std::time::Duration;

use snipevane_core::jobs::{Loss, Note, Refusal, StopReason};

use crate::events::{self, record};
use crate::metrics;

/// Logs a decision of the scheduler, with the fencing token of its term.
pub(super) fn log_event(event: &Note, fence: u64) {
    match event {
        Note::JobTaken {
            job,
            pool,
            adopted,
            due_in,
        } => record(
            &events::JOB_TAKEN,
            &[job, pool, &fence, adopted, &due_in.as_millis()],
        ),
        Note::Placed {
            step,
            tasks,
            waiting,
            age,
        } => {
            metrics::placed(*tasks, *age);
            record(
                &events::PLACED,
                &[step, tasks, waiting, &age.as_millis(), &fence],
            );
        }
        Note::CopyPlaced { task, minion } => {
            record(&events::COPY_PLACED, &[task, minion, &fence]);
        }
        Note::RunFailed {
            task,
            attempt,
            minion,
        } => record(&events::RUN_FAILED, &[task, attempt, minion, &fence]),
        Note::RunLost {
            task,
            attempt,
            minion,
            why,
        } => record(
            &events::RUN_LOST,
            &[task, attempt, minion, &loss_reason(*why), &fence],
        ),
        Note::RunStopped {
            task,
            attempt,
            minion,
            why,
        } => record(
            &events::RUN_STOPPED,
            &[task, attempt, minion, &stop_reason(*why), &fence],
        ),
        Note::MinionSlow {
            minion,
            speed,
            usual,
        } => record(
            &events::MINION_SLOW,
            &[minion, &format!("{speed:.2}"), &format!("{usual:.2}")],
        ),
        Note::MinionFailing { minion, failures } => {
            record(&events::MINION_FAILING, &[minion, failures]);
        }
        Note::MinionReached {
            minion,
            reached,
            last_list,
        } => {
            let kind = if *reached {
                &events::MINION_REGAINED
            } else {
                &events::MINION_LOST
            };
            record(kind, &[minion, &format_age(*last_list)]);
        }
    }
}

/// Formats an age in milliseconds; returns "none" if there is no age.
fn format_age(age: Option<Duration>) -> String {
    age.map_or_else(|| "none".to_owned(), |age| age.as_millis().to_string())
}

fn loss_reason(why: Loss) -> &'static str {
    match why {
        Loss::LeaseOver => "lease over",
        Loss::BeganAnew => "minion restarted",
        Loss::NotListed => "not listed",
        Loss::IncarnationGone => "incarnation gone",
        Loss::StartRefused(refusal) => refusal_name(refusal),
    }
}

fn stop_reason(why: StopReason) -> &'static str {
    match why {
        StopReason::JobEnded => "job ended",
        StopReason::Surplus => "another run is done",
        StopReason::Behind => "falls behind",
        StopReason::Moved => "its VM is drained",
        StopReason::Unconfirmed => "start not confirmed",
        StopReason::Unwanted => "left by an earlier term",
    }
}

/// Returns the name of a minion's refusal, as used in logs and metrics.
pub(super) fn refusal_name(refusal: Refusal) -> &'static str {
    match refusal {
        Refusal::Fenced => "fenced",
        Refusal::Outdated => "outdated",
        Refusal::LeaseOver => "lease_over",
        Refusal::NoRoom => "no_room",
        Refusal::NoPermit => "no_permit",
        Refusal::Unhealthy => "unhealthy",
        Refusal::Invalid => "invalid",
        Refusal::OtherInstance => "other_instance",
    }
}
