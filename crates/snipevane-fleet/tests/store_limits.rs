//! Tests with real daemons and a store that rejects transactions for good.
//!
//! The load: more changes than a transaction may contain, rows that outgrow the store's limit, and single
//! rows that the store never accepts. None of these may stop what else is to be written.

#![allow(clippy::expect_used, reason = "a failed step of a test ends it")]

#[allow(dead_code, reason = "the module is shared with other tests")]
mod site;

use std::time::{Duration, Instant};

use serde_json::json;
use site::{Site, eventually};

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
