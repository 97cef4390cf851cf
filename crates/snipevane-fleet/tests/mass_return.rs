//! Tests with real daemons that all return at the same time, while callers submit jobs through all of them.
//!
//! The store carries out one transaction after another. Its transactions are as much slower here as a large site
//! has more entry VMs, so that a transaction of each entry VM fills most of the store's queue.

#![allow(clippy::expect_used, reason = "a failed step of a test ends it")]

#[allow(dead_code, reason = "the module is shared with other tests")]
mod site;

use std::time::{Duration, Instant};

use serde_json::json;
use site::{Site, call};
use snipevane_adapter_standin::StatedRates;

const NODES: usize = 14;

/// Times of an answer and of a transaction: [`NODES`] transactions take as long as 140 that take 6 ms each.
const ANSWER_TIME: Duration = Duration::from_millis(3);
const TRANSACTION_TIME: Duration = Duration::from_millis(60);

/// Time for which transactions may be queued.
const MAX_QUEUE_TIME: Duration = Duration::from_secs(1);

/// Time for which no daemon runs.
const DOWNTIME: Duration = Duration::from_millis(1_600);

/// Time after the return from which submissions must be served.
const RETURN_BOUND: Duration = Duration::from_secs(2);

/// Time after the return until which submissions are sent.
const LOAD_PERIOD: Duration = Duration::from_secs(10);

/// Number of callers of each daemon, and the pause of a caller between an answer and its next submission.
const CALLERS: usize = 3;
const CALLER_PAUSE: Duration = Duration::from_millis(200);

/// A submission: the time after the return at which it was sent, and the status of the answer.
type Submitted = (Duration, u16);

/// Submits jobs through all daemons at once until [`LOAD_PERIOD`] after `returned_at`.
fn submit_through_all(site: &Site, returned_at: Instant) -> Vec<Submitted> {
    let body = json!({
        "spec": "50",
        "phases": [{ "replicas": 1, "cpu": 100, "memMb": 10, "estimateMs": 50 }],
    });
    let body = body.to_string();
    std::thread::scope(|scope| {
        let callers = (0..CALLERS * NODES).map(|caller| {
            let body = &body;
            let address = site.nodes[caller % NODES].callers;
            scope.spawn(move || {
                let mut answers = Vec::new();
                while returned_at.elapsed() < LOAD_PERIOD {
                    let sent_at = returned_at.elapsed();
                    let path = format!("/p/{caller:08x}{:08x}", answers.len());
                    let status = call(address, "POST", &path, "key", body).0;
                    answers.push((sent_at, status));
                    std::thread::sleep(CALLER_PAUSE);
                }
                answers
            })
        });
        let callers: Vec<_> = callers.collect();
        let answers = callers
            .into_iter()
            .flat_map(|caller| caller.join().expect("a caller"));
        answers.collect()
    })
}

/// Returns the fences of the terms that were held after [`RETURN_BOUND`], without repeats.
fn watch_fences(site: &Site, returned_at: Instant) -> Vec<u64> {
    let mut fences = Vec::new();
    std::thread::sleep(RETURN_BOUND.saturating_sub(returned_at.elapsed()));
    while returned_at.elapsed() < LOAD_PERIOD {
        let fence = site.row()["fence"].as_u64().unwrap_or_default();
        if fences.last() != Some(&fence) {
            fences.push(fence);
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    fences
}

/// Prints how many submissions of each second were accepted.
fn print_by_second(submitted: &[Submitted]) {
    for second in 0..LOAD_PERIOD.as_secs() {
        let sent = submitted
            .iter()
            .filter(|(sent_at, _)| sent_at.as_secs() == second);
        let (accepted, others): (Vec<&Submitted>, Vec<&Submitted>) =
            sent.partition(|(_, status)| *status == 200);
        println!(
            "second {second}: {} accepted, {} not",
            accepted.len(),
            others.len()
        );
    }
}

/// Guards against writes of callers' changes by every entry VM that keep the term from being won and renewed, so
/// that the site stays without a scheduler for as long as callers come.
#[test]
fn callers_are_served_soon_after_the_return_of_all_entry_vms() {
    let rates = StatedRates {
        transaction_ms: TRANSACTION_TIME.as_secs_f64() * 1_000.0,
        ..StatedRates::default()
    };
    check_return(Site::start_with_rates("return-stated", NODES, 2, rates));
}

/// Guards against the same at a store that is slower than the platform states.
#[test]
fn a_site_serves_soon_after_all_entry_vms_return() {
    check_return(Site::start("mass-return", NODES, 2));
}

/// Checks that one term is won and callers are served after the loss and the return of all entry VMs.
fn check_return(mut site: Site) {
    site.store.set_times(ANSWER_TIME, TRANSACTION_TIME);
    site.store.set_max_queue_time(Some(MAX_QUEUE_TIME));
    std::thread::sleep(Duration::from_secs(2));
    for node in &mut site.nodes {
        node.kill();
    }
    std::thread::sleep(DOWNTIME);
    for index in 0..NODES {
        site.restart_node(index, 1.0);
    }
    let returned_at = Instant::now();
    let (submitted, fences) = std::thread::scope(|scope| {
        let fences = scope.spawn(|| watch_fences(&site, returned_at));
        let submitted = submit_through_all(&site, returned_at);
        (submitted, fences.join().expect("the fences"))
    });
    print_by_second(&submitted);
    println!(
        "fences {fences:?}, {} times 429",
        site.store.refused_count()
    );
    let late: Vec<u16> = submitted
        .iter()
        .filter(|(sent_at, _)| *sent_at >= RETURN_BOUND)
        .map(|(_, status)| *status)
        .collect();
    let accepted = late.iter().filter(|status| **status == 200).count();
    assert_eq!(fences.len(), 1, "terms follow each other: {fences:?}");
    assert!(
        accepted * 10 >= late.len() * 9,
        "{accepted} of {} jobs were accepted",
        late.len()
    );
}
