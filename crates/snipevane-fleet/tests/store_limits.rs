//! Tests with real daemons and a store that rejects transactions for good.
//!
//! The load: more changes than a transaction may contain, rows that outgrow the store's limit, and single
//! rows that the store never accepts. None of these may stop what else is to be written.

#![allow(clippy::expect_used, reason = "a failed step of a test ends it")]

#[allow(dead_code, reason = "the module is shared with other tests")]
mod site;

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde_json::Value;
use site::{Site, call, eventually};
use snipevane_adapter_standin::{Step, VmApi, repeated, submission};

/// Longest time until another entry VM takes over from a holder that can't write: the wait of observers, with
/// reads and heartbeats in between.
const MAX_TAKEOVER_TIME: Duration = Duration::from_secs(6);

/// Number of waves that the operator requests at one moment, whose progress takes two rows each.
const WAVES: u64 = 150;

/// Number of jobs beside one that is rejected.
const SOUND_JOBS: u32 = 20;

/// Largest number of transactions that may be rejected until the change at fault is given up, among those of
/// all jobs: a few splits, and those of the job's end.
const MAX_REJECTIONS: u64 = 30;

/// Longest time for an answer to a submission that is rejected, or that is sent beside such ones.
const MAX_ANSWER_TIME: Duration = Duration::from_secs(1);

/// Submits a job through an entry VM, without retries; returns the status and the response.
fn submit(site: &Site, node: usize, id: &str, body: &Value) -> (u16, String) {
    let callers = site.nodes[node].callers;
    call(
        callers,
        "POST",
        &format!("/p/{id}"),
        "key",
        &body.to_string(),
    )
}

/// Returns a job of one task that runs for 50 ms.
fn small_job() -> Value {
    submission("50", &[Step::default()])
}

/// Returns a job of two steps, one after the other, whose tasks run for this time.
fn two_steps(run_ms: u64) -> Value {
    let first = Step {
        tasks: 2,
        estimate_ms: run_ms,
        ..Step::default()
    };
    let second = Step {
        after: vec![0],
        ..first.clone()
    };
    submission(&run_ms.to_string(), &[first, second])
}

/// Returns a job of 1,000 small steps, whose images have names of this length.
fn job_of_many_steps(image_bytes: usize) -> Value {
    let step = Step {
        cpu_millis: 10,
        image: "i".repeat(image_bytes),
        ..Step::default()
    };
    submission("50", &vec![step; 1_000])
}

/// Makes the store reject every transaction with a row of the progress of a job for which `is_rejected` holds.
fn reject_progress(
    site: &Site,
    id: &'static str,
    is_rejected: impl Fn(&Value) -> bool + Send + Sync + 'static,
) {
    site.store.reject(move |writes| {
        let mut writes = writes.iter();
        writes.any(|(table, key, row)| table == "progress" && key == id && is_rejected(row))
    });
}

/// Requests waves of VMs that no longer exist, so that each is completed at once.
fn request_waves(site: &Site) {
    for number in 1..=WAVES {
        let wave = VmApi::wave_of(number, &format!("gone-{number}"));
        site.store.put("op", &format!("wave/{number}"), &wave);
    }
}

/// Waits until all waves but one are shown to the operator as completed.
fn wait_until_waves_completed(site: &Site, except: Option<u64>) {
    eventually("completed waves", || {
        let numbers = (1..=WAVES).filter(|&number| Some(number) != except);
        let statuses = numbers.map(|number| site.store.get("status", &format!("wave/{number}")));
        let mut statuses = statuses.map(|status| status.unwrap_or(Value::Null));
        statuses.all(|status| status["state"] == "completed")
    });
}

/// Guards against a scheduler that runs but can't write, and whose heartbeats keep the others from taking over.
#[test]
fn a_holder_whose_writes_are_rejected_is_replaced() {
    let site = Site::start("rejected-holder", 3, 1);
    // All entry VMs have heard the scheduler by then.
    std::thread::sleep(Duration::from_secs(2));
    let holder = site.scheduler().expect("a scheduler");
    let name = site.nodes[holder].name();
    site.store.reject(move |writes| {
        let mut writes = writes.iter();
        writes.any(|(_, key, row)| key == "all" && row["holder"] == name.as_str())
    });
    let rejected_at = Instant::now();
    eventually("another scheduler", || site.scheduler() != Some(holder));
    let elapsed = rejected_at.elapsed();
    assert!(elapsed < MAX_TAKEOVER_TIME, "{elapsed:?}");
    let other = site.scheduler().expect("a scheduler");
    site.submit(other, "00000000000000a1", 2, 100);
    site.wait_until_completed(other, "00000000000000a1");
}

/// Guards against a transaction with more entries than the store accepts, after which nothing is stored any more.
#[test]
fn many_waves_at_one_moment_stop_no_jobs() {
    let site = Site::start("many-waves", 3, 1);
    let fence = site.row()["fence"].clone();
    request_waves(&site);
    site.submit(0, "00000000000000b1", 4, 100);
    site.wait_until_completed(0, "00000000000000b1");
    wait_until_waves_completed(&site, None);
    assert_eq!(site.row()["fence"], fence, "the scheduler lost its term");
    assert_eq!(site.store.invalid_count(), 0);
}

/// Guards against a term whose first transaction contains all waves of the past, so that it can store nothing.
#[test]
fn many_completed_waves_stop_no_later_term() {
    let mut site = Site::start("old-waves", 3, 1);
    request_waves(&site);
    wait_until_waves_completed(&site, None);
    let holder = site.scheduler().expect("a scheduler");
    site.nodes[holder].kill();
    eventually("another scheduler", || site.scheduler() != Some(holder));
    let other = site.scheduler().expect("a scheduler");
    site.submit(other, "00000000000000b2", 4, 100);
    site.wait_until_completed(other, "00000000000000b2");
    assert_eq!(site.store.invalid_count(), 0);
}

/// Submits jobs beside one whose rows the store rejects, waits until they are completed, and checks that the
/// term went on and that the rejected transactions weren't sent again and again.
fn check_sound_jobs(site: &Site, rejected_id: &str) {
    let fence = site.row()["fence"].clone();
    assert_eq!(submit(site, 0, rejected_id, &two_steps(2_000)).0, 200);
    let ids = (0..SOUND_JOBS).map(|number| format!("{:016x}", 0xc000 + number));
    let ids: Vec<String> = ids.collect();
    for id in &ids {
        site.submit(0, id, 2, 200);
    }
    for id in &ids {
        site.wait_until_completed(0, id);
    }
    // Long enough for a change that is sent again and again to show.
    std::thread::sleep(Duration::from_secs(2));
    assert_eq!(site.row()["fence"], fence, "the scheduler lost its term");
    let rejected = site.store.rejected_count();
    assert!((1..=MAX_REJECTIONS).contains(&rejected), "{rejected}");
}

/// Guards against a transaction that is sent again for ever although the store will never accept it.
#[test]
fn a_job_whose_progress_is_rejected_fails_alone() {
    let site = Site::start("rejected-job", 2, 2);
    let id = "00000000000000d1";
    reject_progress(&site, id, |row| row["done"].is_array());
    check_sound_jobs(&site, id);
    eventually("failed", || site.state(0, id).contains("failed"));
    let progress = site.store.get("progress", id);
    assert_eq!(progress.expect("a row")["state"], "failed");
}

/// Guards against the end of a job that is written again for ever although the store will never accept it.
#[test]
fn a_job_whose_end_is_rejected_keeps_no_other_from_ending() {
    let site = Site::start("rejected-end", 2, 2);
    let id = "00000000000000d2";
    reject_progress(&site, id, |row| row["state"] != "queued");
    check_sound_jobs(&site, id);
}

/// Guards against a rejected change that counts as stored, and whose ends are acknowledged, because the submissions
/// that it shared a transaction with were stored without it.
#[test]
fn a_rejected_change_beside_submissions_does_not_count_as_stored() {
    let site = Site::start("rejected-beside", 2, 2);
    let id = "00000000000000d5";
    reject_progress(&site, id, |row| row["done"].is_array());
    assert_eq!(submit(&site, 0, id, &two_steps(3_000)).0, 200);
    let end = Instant::now() + Duration::from_secs(8);
    std::thread::scope(|scope| {
        for caller in 0..8 {
            let site = &site;
            scope.spawn(move || {
                let ids = (0..).map(|number| format!("{:08x}{number:08x}", 0xd500 + caller));
                for id in ids.take_while(|_| Instant::now() < end) {
                    submit(site, 0, &id, &small_job());
                }
            });
        }
    });
    let is_over = |state: &str| state.contains("failed") || state.contains("completed");
    eventually("an end", || is_over(&site.state(0, id)));
    let state = site.state(0, id);
    assert!(state.contains("failed"), "{state}");
}

/// Submits one job beside [`SOUND_JOBS`] small ones, all at the same time, and checks that the small ones are accepted.
/// Returns the status and response of the one, and the longest time of an answer.
fn submit_beside_others(site: &Site, id: &str, body: &Value) -> ((u16, String), Duration) {
    let timed = |id: &str, body: &Value| {
        let sent_at = Instant::now();
        let answer = submit(site, 0, id, body);
        (answer, sent_at.elapsed())
    };
    std::thread::scope(|scope| {
        let timed = &timed;
        let one = scope.spawn(move || timed(id, body));
        let others = (0..SOUND_JOBS).map(|number| {
            let id = format!("{:016x}", 0xe000 + number);
            scope.spawn(move || timed(&id, &small_job()))
        });
        let others: Vec<_> = others.collect();
        let (answer, mut longest) = one.join().expect("a caller");
        for other in others {
            let ((status, text), elapsed) = other.join().expect("a caller");
            assert_eq!(status, 200, "{text}");
            longest = longest.max(elapsed);
        }
        (answer, longest)
    })
}

/// Guards against a rejected submission that takes the submissions of other callers with it.
#[test]
fn a_submission_that_is_rejected_disturbs_no_other_caller() {
    let site = Site::start("rejected-submission", 2, 1);
    let id = "00000000000000d3";
    site.store.reject(move |writes| {
        let mut writes = writes.iter();
        writes.any(|(table, key, _)| table == "jobs" && key == id)
    });
    // The store carries few transactions, so that submissions share them.
    site.store
        .set_times(Duration::ZERO, Duration::from_millis(50));
    let ((status, text), _) = submit_beside_others(&site, id, &small_job());
    assert_eq!(status, 422, "{text}");
    assert!(site.store.rejected_count() <= MAX_REJECTIONS);
}

/// Guards against a job that fits in no transaction of the store and that delays the submissions of other callers.
#[test]
fn a_job_larger_than_a_transaction_is_rejected_at_once_and_disturbs_no_other_caller() {
    let site = Site::start("too-large", 2, 1);
    site.set_max_body_bytes(4 << 20);
    let body = job_of_many_steps(900);
    let ((status, text), longest) = submit_beside_others(&site, "00000000000000d6", &body);
    assert_eq!(status, 413, "{text}");
    assert!(text.contains("never runs"), "{text}");
    assert!(longest < MAX_ANSWER_TIME, "{longest:?}");
    assert_eq!(site.store.invalid_count(), 0);
}

/// Guards against a job that is rejected, or delays other callers, because it is larger than a row of the store; and
/// against rows of it that the next term doesn't read, or that are left over.
#[test]
fn a_job_larger_than_a_row_runs_also_under_the_next_scheduler() {
    let mut site = Site::start("several-rows", 3, 2);
    let id = "00000000000000d7";
    let ((status, text), longest) = submit_beside_others(&site, id, &job_of_many_steps(100));
    assert_eq!(status, 200, "{text}");
    assert!(longest < MAX_ANSWER_TIME, "{longest:?}");
    let holder = site.scheduler().expect("a scheduler");
    site.nodes[holder].kill();
    let other = (holder + 1) % 3;
    site.wait_until_completed(other, id);
    let mut started = site.started();
    started.retain(|task| task.starts_with(id));
    started.dedup();
    assert_eq!(started.len(), 1_000, "each task has started");
    eventually("removed rows", || site.store.keys("jobs").is_empty());
    assert_eq!(site.store.invalid_count(), 0);
}

/// Guards against a wave whose progress is rejected and that keeps jobs and other waves from being stored.
#[test]
fn a_wave_whose_progress_is_rejected_stops_no_other() {
    let site = Site::start("rejected-wave", 2, 1);
    site.store.reject(|writes| {
        let mut writes = writes.iter();
        writes.any(|(table, key, _)| table == "waves" && key == "7")
    });
    request_waves(&site);
    wait_until_waves_completed(&site, Some(7));
    site.submit(0, "00000000000000d4", 2, 100);
    site.wait_until_completed(0, "00000000000000d4");
    assert!(site.store.rejected_count() <= MAX_REJECTIONS);
}

/// Number of occurrences of the job that repeats; without a bound, its progress had over 180,000 bytes.
const REPEATS: u32 = 1_000;

/// Guards against a job that repeats and whose progress outgrows a row of the store, after which nothing is stored
/// any more, also by the next term.
#[test]
fn a_job_that_repeats_often_stops_no_other() {
    let mut site = Site::start("repeats", 3, 2);
    let steps = (0..4_u32).map(|number| Step {
        cpu_millis: 10,
        estimate_ms: 20,
        after: number.checked_sub(1).into_iter().collect(),
        ..Step::default()
    });
    let steps: Vec<Step> = steps.collect();
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let unix_ms = now.expect("a time after 1970").as_millis() as u64;
    let body = repeated(submission("20", &steps), unix_ms, 10, REPEATS);
    let id = "00000000000000f1";
    assert_eq!(submit(&site, 0, id, &body).0, 200);
    std::thread::sleep(Duration::from_secs(5));
    let holder = site.scheduler().expect("a scheduler");
    site.nodes[holder].kill();
    let other = (holder + 1) % 3;
    site.submit(other, "00000000000000f2", 4, 100);
    site.wait_until_completed(other, "00000000000000f2");
    site.wait_until_completed(other, id);
    assert_eq!(site.store.invalid_count(), 0);
    assert_eq!(site.store.keys("progress").len(), 2);
    let mut started: Vec<String> = site.started();
    started.dedup();
    assert_eq!(
        started.len(),
        4 * REPEATS as usize + 4,
        "each task has started"
    );
}
