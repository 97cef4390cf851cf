//! Logs the scheduler's decisions.

use std::time::Duration;

use smol_str::SmolStr;
use snipevane_core::jobs::{
    LossReason, Refusal, RepeatedOrder, SchedulerEvent, StopReason, WaitReason,
};

use crate::events::{self, record};
use crate::metrics;

/// Logs a decision of the scheduler, with the fencing token of its term.
pub(super) fn log_event(event: &SchedulerEvent, fence: u64) {
    match event {
        SchedulerEvent::JobEnqueued {
            job,
            pool,
            adopted,
            due_in,
            due_occurrences,
            held_bytes,
        } => record(
            &events::JOB_ENQUEUED,
            &[
                job,
                pool,
                &fence,
                adopted,
                &due_in.as_millis(),
                due_occurrences,
                held_bytes,
            ],
        ),
        SchedulerEvent::TasksPlaced {
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
        SchedulerEvent::SpeculativeRunPlaced { task, minion } => {
            record(&events::SPECULATIVE_RUN_PLACED, &[task, minion, &fence]);
        }
        SchedulerEvent::RunFailed {
            task,
            attempt,
            minion,
        } => record(&events::RUN_FAILED, &[task, attempt, minion, &fence]),
        SchedulerEvent::RunLost {
            task,
            attempt,
            minion,
            reason,
            began,
            sent_to,
            incarnation,
        } => record(
            &events::RUN_LOST,
            &[
                task,
                attempt,
                minion,
                &loss_reason(*reason),
                began,
                &format_incarnation(*sent_to),
                &format_incarnation(*incarnation),
                &fence,
            ],
        ),
        SchedulerEvent::MinionRestarted {
            minion,
            from,
            to,
            ended,
            kept,
            since_lease,
            leases_left,
        } => record(
            &events::MINION_RESTARTED,
            &[
                minion,
                from,
                to,
                ended,
                kept,
                &format_age(*since_lease),
                &leases_left.as_millis(),
                &fence,
            ],
        ),
        SchedulerEvent::RunListIgnored {
            minion,
            listed,
            known,
        } => record(&events::RUN_LIST_IGNORED, &[minion, listed, known, &fence]),
        SchedulerEvent::LongRunningTaskWaits {
            task,
            pool,
            reason,
            waited,
            left,
            minions,
        } => record(
            &events::LONG_RUNNING_TASK_WAITS,
            &[
                task,
                pool,
                &wait_reason(*reason),
                &waited.as_millis(),
                &left.map_or_else(|| "unknown".to_owned(), |left| left.as_millis().to_string()),
                minions,
                &fence,
            ],
        ),
        SchedulerEvent::MinionCrashed {
            minion,
            runs,
            cause,
        } => {
            metrics::record_minion_crash();
            let cause = cause.map_or_else(|| "unknown".to_owned(), |job| job.to_string());
            record(&events::MINION_CRASHED, &[minion, runs, &cause, &fence]);
        }
        SchedulerEvent::TaskGivenUp {
            task,
            crashes,
            lost_starts,
            attributed,
        } => {
            metrics::record_task_given_up();
            record(
                &events::TASK_GIVEN_UP,
                &[task, crashes, lost_starts, attributed, &fence],
            );
        }
        SchedulerEvent::TaskSuspended {
            task,
            crashes,
            lost_starts,
            unexplained,
            pause,
        } => {
            metrics::record_task_suspended();
            record(
                &events::TASK_SUSPENDED,
                &[
                    task,
                    crashes,
                    lost_starts,
                    unexplained,
                    &pause.as_millis(),
                    &fence,
                ],
            );
        }
        SchedulerEvent::RunStopped {
            task,
            attempt,
            minion,
            reason,
        } => {
            if *reason == StopReason::Interference {
                metrics::record_relocation();
            }
            record(
                &events::RUN_STOPPED,
                &[task, attempt, minion, &stop_reason(*reason), &fence],
            );
        }
        SchedulerEvent::LongRunningTaskStopped {
            task,
            attempt,
            minion,
            reason,
            unavailable,
            max_unavailable,
            over_budget,
        } => {
            metrics::record_long_running_stop(stop_reason(*reason), *over_budget);
            record(
                &events::LONG_RUNNING_TASK_STOPPED,
                &[
                    task,
                    attempt,
                    minion,
                    &stop_reason(*reason),
                    unavailable,
                    max_unavailable,
                    over_budget,
                    &fence,
                ],
            );
        }
        SchedulerEvent::UnknownRunStopped {
            task,
            attempt,
            minion,
        } => record(
            &events::UNKNOWN_RUN_STOPPED,
            &[task, attempt, minion, &fence],
        ),
        SchedulerEvent::LateStartStopped {
            task,
            attempt,
            minion,
            transmissions,
        } => record(
            &events::LATE_START_STOPPED,
            &[task, attempt, minion, transmissions, &fence],
        ),
        SchedulerEvent::CrashBlamed {
            task,
            attempt,
            at_work,
            crashes,
            lost_starts,
            unexplained,
            attributed,
        } => record(
            &events::CRASH_BLAMED,
            &[
                task,
                attempt,
                &format_age(*at_work),
                crashes,
                lost_starts,
                unexplained,
                attributed,
                &fence,
            ],
        ),
        SchedulerEvent::CrashWeighed {
            task,
            attempt,
            minion,
            finding,
            inputs,
        } => {
            let doubt = inputs.doubt;
            let chance = doubt.map_or_else(|| "none".into(), |it| format!("{:.4}", it.chance));
            let crashes = doubt.map_or_else(|| "none".into(), |it| it.crashes.to_string());
            record(
                &events::CRASH_WEIGHED,
                &[
                    task,
                    attempt,
                    minion,
                    finding,
                    &format_age(doubt.map(|it| it.silent_for)),
                    &chance,
                    &crashes,
                    &inputs.is_only_start,
                    &inputs.unanswered_jobs,
                    &inputs.has_likely_cause,
                    &inputs.has_other_cause,
                    &fence,
                ],
            );
        }
        SchedulerEvent::PlacedAfterCrashes {
            task,
            attempt,
            minion,
            evidence,
            undecided,
            of_earlier_terms,
        } => record(
            &events::PLACED_AFTER_CRASHES,
            &[
                task,
                attempt,
                minion,
                &evidence.crashes,
                &evidence.lost_starts,
                &evidence.unconfirmed,
                &evidence.passed_over,
                undecided,
                &evidence.attributed,
                &evidence.unexplained,
                of_earlier_terms,
                &fence,
            ],
        ),
        SchedulerEvent::PairSeparation {
            latency_sensitive,
            best_effort,
            apart,
            added_ms,
            target_ms,
            confidence,
            changes,
            pairs_apart,
        } => {
            metrics::set_pairs_kept_apart(*pairs_apart);
            let kind = if *apart {
                &events::PAIR_KEPT_APART
            } else {
                &events::PAIR_RELEASED
            };
            let figures = [
                format!("{added_ms:.1}"),
                format!("{target_ms:.0}"),
                format!("{confidence:.3}"),
            ];
            let [added_ms, target_ms, confidence] = &figures;
            record(
                kind,
                &[
                    latency_sensitive,
                    best_effort,
                    added_ms,
                    target_ms,
                    confidence,
                    changes,
                    &fence,
                ],
            );
        }
        SchedulerEvent::MinionLeftOut { minion, pool } => {
            metrics::record_minion_left_out();
            record(&events::MINION_LEFT_OUT, &[minion, pool, &fence]);
        }
        SchedulerEvent::MinionSlow {
            minion,
            speed,
            usual,
        } => record(
            &events::MINION_SLOW,
            &[minion, &format!("{speed:.2}"), &format!("{usual:.2}")],
        ),
        SchedulerEvent::MinionFailing { minion, failures } => {
            record(&events::MINION_FAILING, &[minion, failures]);
        }
        SchedulerEvent::StartsLimited { limit, reply_time } => {
            record(
                &events::STARTS_LIMITED,
                &[limit, &reply_time.as_millis(), &fence],
            );
        }
        SchedulerEvent::OrderRepeated {
            order,
            minion,
            transmissions,
        } => log_repeated_order(*order, minion, *transmissions, fence),
        SchedulerEvent::ZoneEvacuated {
            zone,
            minions,
            runs,
        } => record(&events::ZONE_EVACUATED, &[zone, minions, runs, &fence]),
        SchedulerEvent::ZoneRestored { zone } => record(&events::ZONE_RESTORED, &[zone, &fence]),
        SchedulerEvent::PlacementPaused { paused: true } => {
            record(&events::PLACEMENT_PAUSED, &[&fence]);
        }
        SchedulerEvent::PlacementPaused { paused: false } => {
            record(&events::PLACEMENT_RESUMED, &[&fence]);
        }
        SchedulerEvent::MinionReachability {
            minion,
            reachable,
            last_list,
        } => {
            let kind = if *reachable {
                &events::MINION_REGAINED
            } else {
                &events::MINION_LOST
            };
            record(kind, &[minion, &format_age(*last_list)]);
        }
    }
}

/// Logs an order that was sent again. A hold belongs to no task.
fn log_repeated_order(order: RepeatedOrder, minion: &SmolStr, transmissions: u32, fence: u64) {
    let (name, run) = match order {
        RepeatedOrder::Start(task, attempt) => ("start", Some((task, attempt))),
        RepeatedOrder::Stop(task, attempt) => ("stop", Some((task, attempt))),
        RepeatedOrder::Hold => ("hold", None),
    };
    metrics::record_order_repeat(name);
    let task = run.map_or_else(|| "none".to_owned(), |(task, _)| task.to_string());
    let attempt = run.map_or(0, |(_, attempt)| attempt);
    record(
        &events::ORDER_REPEATED,
        &[&name, &task, &attempt, minion, &transmissions, &fence],
    );
}

/// Formats an age in milliseconds; returns "none" if there is no age.
fn format_age(age: Option<Duration>) -> String {
    age.map_or_else(|| "none".to_owned(), |age| age.as_millis().to_string())
}

/// Formats the start of an incarnation in Unix milliseconds; returns "none" if none is known.
fn format_incarnation(started_unix_ms: Option<u64>) -> String {
    started_unix_ms.map_or_else(|| "none".to_owned(), |at| at.to_string())
}

fn loss_reason(reason: LossReason) -> &'static str {
    match reason {
        LossReason::LeaseExpired => "lease over",
        LossReason::MinionRestarted => "minion restarted",
        LossReason::NotListed => "not listed",
        LossReason::IncarnationGone => "incarnation gone",
        LossReason::NotHosted => "on no VM",
        LossReason::ZoneEvacuated => "its zone is evacuated",
        LossReason::NoSignOfLife => "no sign of life before the start",
        LossReason::StartRefused(refusal) => refusal_name(refusal),
    }
}

fn stop_reason(reason: StopReason) -> &'static str {
    match reason {
        StopReason::JobEnded => "job ended",
        StopReason::Redundant => "another run is done",
        StopReason::Straggler => "falls behind",
        StopReason::ZoneEvacuated => "its zone is evacuated",
        StopReason::Evicted => "its VM is drained",
        StopReason::Interference => "disturbs another task",
        StopReason::StartUnconfirmed => "start not confirmed",
        StopReason::Orphaned => "left by an earlier term",
    }
}

/// Returns the name of a minion's refusal, as used in logs and metrics.
pub(super) fn refusal_name(refusal: Refusal) -> &'static str {
    match refusal {
        Refusal::Fenced => "fenced",
        Refusal::Outdated => "outdated",
        Refusal::LeaseExpired => "lease_over",
        Refusal::InsufficientCapacity => "no_room",
        Refusal::NoPermit => "no_permit",
        Refusal::Unhealthy => "unhealthy",
        Refusal::Invalid => "invalid",
        Refusal::WrongIncarnation => "other_instance",
    }
}

fn wait_reason(reason: WaitReason) -> &'static str {
    match reason {
        WaitReason::OrderUnsent => "start order not sent",
        WaitReason::OrderUnanswered => "start order not answered",
        WaitReason::RunIsStopping => "run is being stopped",
        WaitReason::MinionSilent => "its minion doesn't answer",
        WaitReason::RequestsUnconfirmed => "operator's requests not confirmed",
        WaitReason::UnreportedRuns { .. } => "a minion hasn't listed its runs in this term",
        WaitReason::Delayed { .. } => "delayed after early ends or crashes",
        WaitReason::StartWindow => "start window is full",
        WaitReason::NoMinion => "no minion takes new work",
        WaitReason::Gang => "gang is incomplete",
        WaitReason::Quota => "team's quota",
        WaitReason::NoPermit => "no permit of the advisor",
        WaitReason::NoRoom => "no room",
        WaitReason::Startable => "none left",
    }
}
