//! Tests with real daemons and a store that rejects transactions for good.
//!
//! The load: more changes than a transaction may contain, rows that outgrow the store's limit, and single
//! rows that the store never accepts. None of these may stop what else is to be written.

#![allow(clippy::expect_used, reason = "a failed step of a test ends it")]

#[allow(dead_code, reason = "the module is shared with other tests")]
mod site;

use std::time::{Duration, Instant};

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
