//! Confirmations of a withdrawn key by entry VMs that a loaded machine holds up.

#![allow(clippy::unwrap_used, reason = "a failed step of a test ends it")]

use snipevane_tests::operator::{Operator, Run};
use snipevane_tests::site::{Site, SiteOptions};
use tokio::task::spawn_blocking;
use tokio::time::{Duration, Instant, sleep};

const SITE: &str = env!("CARGO_BIN_EXE_site-process");
const CLI: &str = env!("CARGO_BIN_EXE_cli-process");

/// Time for which an entry VM stands still: longer than it takes until it counts as silent and the first heartbeat of a
/// withdrawal has got no reply (500 ms each), and short enough for the 2 s for which the withdrawal waits.
const STANDSTILL: Duration = Duration::from_millis(1_700);

/// Starts a site of one entry VM in each of two zones; returns it with an operator and the identifier of a new key.
async fn site_with_key(test: &str) -> (Site, Operator, String) {
    let options = SiteOptions {
        entries_per_zone: 1,
        ..SiteOptions::default()
    };
    let site = Site::start(SITE, options).await;
    let entry = vec![site.entries[0].process.addresses[2]];
    let operator = Operator::new(CLI, test, entry);
    let given = operator.run(&["key", "give", "ledger", "--json"]).json();
    let id = given["id"].as_str().unwrap().to_owned();
    (site, operator, id)
}

fn assert_confirmed_by_both(run: &Run) {
    assert_eq!(run.code, Some(0), "{}", run.err);
    assert!(run.out.contains("confirmed by zones: a, b"), "{}", run.out);
}

/// Guards against a withdrawal that doesn't wait for an entry VM because a loaded machine has held it up for longer than
/// the time after which it counts as silent.
#[tokio::test(flavor = "multi_thread")]
async fn a_withdrawal_waits_for_an_entry_vm_that_has_just_fallen_silent() {
    let (site, operator, id) = site_with_key("standstill").await;
    let held_up = &site.entries[1].process;
    held_up.signal(libc::SIGSTOP);
    let stopped_at = Instant::now();
    sleep(Duration::from_millis(700)).await;
    let withdrawal = spawn_blocking(move || operator.run(&["key", "withdraw", &id]));
    sleep(STANDSTILL.saturating_sub(stopped_at.elapsed())).await;
    held_up.signal(libc::SIGCONT);
    assert_confirmed_by_both(&withdrawal.await.unwrap());
}
