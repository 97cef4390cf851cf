//! Tests with real daemons and a store that rejects transactions for good.
//!
//! The load: more changes than a transaction may contain, rows that outgrow the store's limit, and single
//! rows that the store never accepts. None of these may stop what else is to be written.

#![allow(clippy::expect_used, reason = "a failed step of a test ends it")]

#[allow(dead_code, reason = "the module is shared with other tests")]
mod site;

use std::time::{Duration, Instant};

use serde_json::json;
use site::{Site, call, eventually};

/// Longest time until another entry VM takes over from a holder that can't write: the wait of observers, with
/// reads and heartbeats in between.
const MAX_TAKEOVER_TIME: Duration = Duration::from_secs(6);

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

/// Number of waves that the operator requests at one moment, whose progress takes two rows each.
const WAVES: u64 = 150;

/// Requests waves of VMs that no longer exist, so that each is completed at once.
fn request_waves(site: &Site) {
    for number in 1..=WAVES {
        let wave = json!({
            "rolloutWave": number, "machines": [format!("gone-{number}")], "durationS": 60, "cap": 1,
        });
        site.store.put("op", &format!("wave/{number}"), &wave);
    }
}

/// Waits until all waves are shown to the operator as completed.
fn wait_until_waves_completed(site: &Site) {
    eventually("completed waves", || {
        (1..=WAVES).all(|number| {
            let status = site.store.get("status", &format!("wave/{number}"));
            status.is_some_and(|status| status["state"] == "completed")
        })
    });
}

/// Guards against a transaction with more entries than the store accepts, after which nothing is stored any more.
#[test]
fn many_waves_at_one_moment_stop_no_jobs() {
    let site = Site::start("many-waves", 3, 1);
    let fence = site.row()["fence"].clone();
    request_waves(&site);
    site.submit(0, "00000000000000b1", 4, 100);
    site.wait_until_completed(0, "00000000000000b1");
    wait_until_waves_completed(&site);
    assert_eq!(site.row()["fence"], fence, "the scheduler lost its term");
    assert_eq!(site.store.invalid_count(), 0);
}

/// Guards against a term whose first transaction contains all waves of the past, so that it can store nothing.
#[test]
fn many_completed_waves_stop_no_later_term() {
    let mut site = Site::start("old-waves", 3, 1);
    request_waves(&site);
    wait_until_waves_completed(&site);
    let holder = site.scheduler().expect("a scheduler");
    site.nodes[holder].kill();
    eventually("another scheduler", || site.scheduler() != Some(holder));
    let other = site.scheduler().expect("a scheduler");
    site.submit(other, "00000000000000b2", 4, 100);
    site.wait_until_completed(other, "00000000000000b2");
    assert_eq!(site.store.invalid_count(), 0);
}

/// Number of jobs beside the one whose rows the store rejects.
const SOUND_JOBS: u32 = 20;

/// Largest number of transactions that may be rejected until the change at fault is given up, among those of
/// all jobs: a few splits, and those of the job's end.
const MAX_REJECTIONS: u64 = 30;

/// Submits jobs beside one whose rows the store rejects, waits until they are completed, and checks that the
/// term went on and that the rejected transactions weren't sent again and again.
fn check_sound_jobs(site: &Site, rejected_id: &str) {
    let fence = site.row()["fence"].clone();
    let two_steps = json!({
        "spec": "2000",
        "phases": [
            { "replicas": 2, "cpu": 1_000, "memMb": 100, "estimateMs": 2_000 },
            { "replicas": 2, "cpu": 1_000, "memMb": 100, "estimateMs": 2_000, "after": [0] },
        ],
    });
    let path = format!("/p/{rejected_id}");
    let submitted = call(
        site.nodes[0].callers,
        "POST",
        &path,
        "key",
        &two_steps.to_string(),
    );
    assert_eq!(submitted.0, 200);
    let ids: Vec<String> = (0..SOUND_JOBS)
        .map(|n| format!("{:016x}", 0xc000 + n))
        .collect();
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
    site.store.reject(move |writes| {
        let mut writes = writes.iter();
        writes.any(|(table, key, row)| table == "progress" && key == id && row["done"].is_array())
    });
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
    site.store.reject(move |writes| {
        let mut writes = writes.iter();
        writes.any(|(table, key, row)| table == "progress" && key == id && row["state"] != "queued")
    });
    check_sound_jobs(&site, id);
}

/// Guards against a rejected change that counts as stored, and whose ends are acknowledged, because the submissions that
/// it shared a transaction with were stored without it.
#[test]
fn a_rejected_change_beside_submissions_does_not_count_as_stored() {
    let site = Site::start("rejected-beside", 2, 2);
    let id = "00000000000000d5";
    site.store.reject(move |writes| {
        let mut writes = writes.iter();
        writes.any(|(table, key, row)| table == "progress" && key == id && row["done"].is_array())
    });
    let callers = site.nodes[0].callers;
    let submit = |id: &str, body: &serde_json::Value| {
        call(
            callers,
            "POST",
            &format!("/p/{id}"),
            "key",
            &body.to_string(),
        )
        .0
    };
    let step = json!({ "replicas": 2, "cpu": 100, "memMb": 10, "estimateMs": 3_000 });
    let mut second = step.clone();
    second["after"] = json!([0]);
    assert_eq!(
        submit(id, &json!({ "spec": "3000", "phases": [step, second] })),
        200
    );
    let sound = json!({ "spec": "50", "phases": [{ "replicas": 1, "cpu": 10, "memMb": 1, "estimateMs": 50 }] });
    std::thread::scope(|scope| {
        for caller in 0..8 {
            let (submit, sound) = (&submit, &sound);
            scope.spawn(move || {
                let end = Instant::now() + Duration::from_secs(8);
                let mut number = 0;
                while Instant::now() < end {
                    submit(&format!("{:08x}{number:08x}", 0xd500 + caller), sound);
                    number += 1;
                }
            });
        }
    });
    let is_over = |state: &str| state.contains("failed") || state.contains("completed");
    eventually("an end", || is_over(&site.state(0, id)));
    let state = site.state(0, id);
    assert!(state.contains("failed"), "{state}");
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
    let body = json!({
        "spec": "50", "phases": [{ "replicas": 1, "cpu": 100, "memMb": 10, "estimateMs": 50 }],
    });
    let body = body.to_string();
    let statuses: Vec<u16> = std::thread::scope(|scope| {
        let body = &body;
        let callers = site.nodes[0].callers;
        let ids = (0..SOUND_JOBS).map(|n| format!("{:016x}", 0xe000 + n));
        let ids = ids.chain([id.to_owned()]);
        let calls = ids.map(|id| {
            scope.spawn(move || call(callers, "POST", &format!("/p/{id}"), "key", body).0)
        });
        let calls: Vec<_> = calls.collect();
        calls
            .into_iter()
            .map(|status| status.join().expect("a caller"))
            .collect()
    });
    let (rejected, sound) = statuses.split_last().expect("statuses");
    assert_eq!(*rejected, 422);
    assert!(sound.iter().all(|&status| status == 200), "{sound:?}");
    assert!(site.store.rejected_count() <= MAX_REJECTIONS);
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
    eventually("completed waves", || {
        (1..=WAVES).filter(|&number| number != 7).all(|number| {
            let status = site.store.get("status", &format!("wave/{number}"));
            status.is_some_and(|status| status["state"] == "completed")
        })
    });
    site.submit(0, "00000000000000d4", 2, 100);
    site.wait_until_completed(0, "00000000000000d4");
    assert!(site.store.rejected_count() <= MAX_REJECTIONS);
}

/// Guards against a job that repeats and whose progress outgrows a row of the store, after which nothing is stored
/// any more, also by the next term.
#[test]
fn a_job_that_repeats_often_stops_no_other() {
    let mut site = Site::start("repeats", 3, 2);
    let phase = |after: &[u32]| json!({ "replicas": 1, "cpu": 10, "memMb": 1, "estimateMs": 20, "after": after });
    let now_ms = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .expect("a time after 1970");
    let body = json!({
        "spec": "20",
        "phases": [phase(&[]), phase(&[0]), phase(&[1]), phase(&[2])],
        "repeatCount": REPEATS, "intervalMs": 10, "startAtMs": now_ms.as_millis() as u64,
    });
    let id = "00000000000000f1";
    let path = format!("/p/{id}");
    let submitted = call(
        site.nodes[0].callers,
        "POST",
        &path,
        "key",
        &body.to_string(),
    );
    assert_eq!(submitted.0, 200);
    std::thread::sleep(Duration::from_secs(5));
    let holder = site.scheduler().expect("a scheduler");
    site.nodes[holder].kill();
    let other = (holder + 1) % 3;
    site.submit(other, "00000000000000f2", 4, 100);
    site.wait_until_completed(other, "00000000000000f2");
    site.wait_until_completed(other, id);
    assert_eq!(site.store.invalid_count(), 0);
    assert_eq!(site.store.keys("progress").len(), 2);
    let mut ended: Vec<String> = site.started();
    ended.dedup();
    assert_eq!(ended.len(), 4 * REPEATS + 4, "each task has started");
}

/// Number of occurrences of the job that repeats; without a bound, its progress had over 180,000 bytes.
const REPEATS: usize = 1_000;

/// Number of jobs larger than a row that are submitted at the same time as sound ones.
const LARGE_JOBS: u32 = 30;

/// Guards against a job that fits in no row of the store and that delays the submissions of other callers.
#[test]
fn a_job_larger_than_a_row_is_rejected_at_once_and_disturbs_no_other_caller() {
    let site = Site::start("large-jobs", 2, 1);
    let step =
        json!({ "replicas": 1, "cpu": 100, "memMb": 10, "estimateMs": 100, "image": "img-0001" });
    let large = json!({ "spec": "50", "phases": vec![step.clone(); 1_000] }).to_string();
    let small = json!({ "spec": "50", "phases": [step] }).to_string();
    let submit = |number: u32, body: &str| {
        let sent_at = Instant::now();
        let callers = site.nodes[number as usize % 2].callers;
        let answer = call(callers, "POST", &format!("/p/{number:016x}"), "key", body);
        (answer, sent_at.elapsed())
    };
    std::thread::scope(|scope| {
        let (submit, large, small) = (&submit, &large, &small);
        let large_jobs = (0..LARGE_JOBS).map(|n| scope.spawn(move || submit(0x1000 + n, large)));
        let large_jobs: Vec<_> = large_jobs.collect();
        let small_jobs = (0..SOUND_JOBS).map(|n| scope.spawn(move || submit(0x2000 + n, small)));
        let small_jobs: Vec<_> = small_jobs.collect();
        for answer in large_jobs {
            let ((status, text), elapsed) = answer.join().expect("a caller");
            assert_eq!(status, 413, "{text}");
            assert!(text.contains("65536 at most"), "{text}");
            assert!(elapsed < Duration::from_secs(1), "{elapsed:?}");
        }
        for answer in small_jobs {
            let ((status, text), elapsed) = answer.join().expect("a caller");
            assert_eq!(status, 200, "{text}");
            assert!(elapsed < Duration::from_secs(1), "{elapsed:?}");
        }
    });
    assert_eq!(site.store.invalid_count(), 0);
}
