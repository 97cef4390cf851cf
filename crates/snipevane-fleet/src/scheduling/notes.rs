//! Logs the scheduler's decisions.

use std::time::Duration;

use snipevane_core::jobs::{Loss, Note, Refusal, StopReason};

use crate::events::{self, record};
use crate::metrics;

/// Logs a decision of a term.
pub(super) fn log_note(note: &Note, fence: u64) {
    match note {
        Note::JobTaken {
            job,
            pool,
            adopted,
            due_in,
        } => record(
            &events::JOB_ENQUEUED,
            &[job, pool, &fence, adopted, &due_in.as_millis()],
        ),
        Note::Placed {
            step,
            tasks,
            waiting,
            age,
        } => {
            metrics::record_placement(*tasks, *age);
            record(
                &events::TASKS_PLACED,
                &[step, tasks, waiting, &age.as_millis(), &fence],
            );
        }
        Note::CopyPlaced { task, minion } => {
            record(&events::SPECULATIVE_RUN_PLACED, &[task, minion, &fence]);
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
            &[task, attempt, minion, &loss(*why), &fence],
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
            record(kind, &[minion, &age(*last_list)]);
        }
    }
}

/// Returns an age in milliseconds, or that there is none.
fn age(age: Option<Duration>) -> String {
    age.map_or_else(|| "none".to_owned(), |age| age.as_millis().to_string())
}

fn loss(why: Loss) -> &'static str {
    match why {
        Loss::LeaseOver => "lease over",
        Loss::BeganAnew => "minion began anew",
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
        StopReason::Moved => "its VM is emptied",
        StopReason::Unconfirmed => "start not confirmed",
        StopReason::Unwanted => "left by an earlier term",
    }
}

/// Returns the name of a refusal in logs and metrics.
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
