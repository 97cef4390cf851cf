//! Admission control with real daemons: under overload, a job that would come too late is rejected on every
//! entry VM, and no repeat of a submission that may be stored is.

#![allow(clippy::expect_used, reason = "a failed step of a test ends it")]

#[allow(dead_code, reason = "the module is shared with other tests")]
mod site;

use std::time::Duration;

use serde_json::json;
use site::{Site, call, call_with_wait, eventually};
use snipevane_adapter_standin::{Step, submission};
use snipevane_core::reach::ReachSettings;

/// Estimated run time of a task. A job that starts within 6.6 s is in time (1.6 times the estimate and 0.6 s), so
/// that a new job waits behind the backlog for that long, on a slow machine too.
const ESTIMATE_MS: u64 = 10_000;

const KNOWN_JOB: &str = "00000000000000aa";
const REPEATED_JOB: &str = "00000000000000bb";

/// Identifier of the job whose 2,000 tasks take 20 minutes on 16 cores.
const LARGE_JOB: &str = "00000000000000dd";

/// Identifier of the job of which the platform knows nothing.
const NEW_JOB: &str = "00000000000000cc";

fn job(tasks: u32) -> String {
    let body = json!({
        "spec": ESTIMATE_MS.to_string(),
        "phases": [{ "replicas": tasks, "cpu": 1_000, "memMb": 10, "estimateMs": ESTIMATE_MS }],
    });
    body.to_string()
}

fn submit(site: &Site, node: usize, id: &str, tasks: u32) -> (u16, String) {
    let path = format!("/p/{id}");
    let callers = site.nodes[node].callers;
    call(callers, "POST", &path, "key", &job(tasks))
}

/// Starts three daemons whose pool, a minion with 16 cores, gets work for 20 minutes. Returns the site and the
/// index of the scheduler.
fn overloaded_site(name: &str) -> (Site, usize) {
    let site = Site::start(name, 3, 1);
    // All entry VMs have heard the scheduler by then, and it has planned the pools. A young term rejects
    // nothing, as entry VMs may still be storing submissions by themselves.
    std::thread::sleep(ReachSettings::default().settled_after + Duration::from_secs(1));
    let scheduler = site.scheduler().expect("a scheduler");
    assert_eq!(submit(&site, scheduler, KNOWN_JOB, 1).0, 200);
    assert_eq!(submit(&site, scheduler, LARGE_JOB, 2_000).0, 200);
    // The backlog counts as due before a new job once its latest start, 6.6 s after its acceptance, is at most 6 s
    // away, the next bound of the snapshot's classes. Each entry VM gets a snapshot at least each 0.55 s.
    std::thread::sleep(Duration::from_millis(1_500));
    (site, scheduler)
}

/// Guards against rejections that aren't true: of a job that runs, or with a time at which it is rejected again.
#[test]
fn a_job_that_would_come_too_late_is_rejected_and_never_runs() {
    let (site, scheduler) = overloaded_site("admission");
    for node in 0..3 {
        let (status, answer) = submit(&site, node, NEW_JOB, 1);
        assert_eq!(status, 503, "entry VM {node}: {answer}");
        assert!(answer.contains("never runs"), "{answer}");
        let header = answer.lines().find_map(|line| {
            let (name, value) = line.split_once(": ")?;
            name.eq_ignore_ascii_case("retry-after").then_some(value)
        });
        let retry_after: u64 = header
            .and_then(|value| value.trim().parse().ok())
            .unwrap_or(0);
        assert!(retry_after >= 1, "{answer}");
    }
    let other = (scheduler + 1) % 3;
    let repeat = submit(&site, other, KNOWN_JOB, 1);
    assert_eq!(repeat.0, 200, "a stored job was rejected: {}", repeat.1);
    assert_eq!(site.store.get("progress", NEW_JOB), None);
    let mut started = site.started().into_iter();
    assert!(!started.any(|task| task.starts_with(NEW_JOB)));
    // Once the backlog is late, a new job is placed before it.
    eventually("accepted again", || {
        submit(&site, other, NEW_JOB, 1).0 == 200
    });
}

/// Guards against a rejection that says "never runs" while an earlier submission is still being stored, as
/// when its caller gave up early.
#[test]
fn a_repeat_of_a_submission_that_is_being_stored_is_not_rejected() {
    let (site, scheduler) = overloaded_site("admission-repeat");
    let rejecting = (scheduler + 1) % 3;
    let repeating = (scheduler + 2) % 3;
    assert_eq!(submit(&site, rejecting, NEW_JOB, 1).0, 503);
    site.store
        .set_times(Duration::ZERO, Duration::from_millis(400));
    let path = format!("/p/{REPEATED_JOB}");
    // A best-effort job is exempt, so that its submission is accepted under the overload.
    let step = Step {
        estimate_ms: 100,
        best_effort: true,
        ..Step::default()
    };
    let exempt = submission("100", &[step]);
    let callers = site.nodes[rejecting].callers;
    let body = exempt.to_string();
    let first = call_with_wait(callers, "POST", &path, "key", &body, 500);
    let repeat = submit(&site, repeating, REPEATED_JOB, 1);
    assert_eq!((first.0, repeat.0), (504, 200), "{} {}", first.1, repeat.1);
}

/// Guards against a rejection that says "never runs" of a job whose row a process of a later version has written.
#[test]
fn a_stored_job_whose_row_cannot_be_decoded_is_not_rejected() {
    let (site, scheduler) = overloaded_site("admission-row");
    let other = (scheduler + 1) % 3;
    assert_eq!(submit(&site, other, NEW_JOB, 1).0, 503);
    let row = json!("of a later version");
    site.store.put("progress", REPEATED_JOB, &row);
    let repeat = submit(&site, other, REPEATED_JOB, 1);
    assert_eq!(repeat.0, 200, "{}", repeat.1);
}
