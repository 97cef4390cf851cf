//! Tests with real daemons and a store whose capacity is small compared with the number of entry VMs.
//!
//! The store's times and limits are those of 300 entry VMs, a transaction of 5 ms and 2,000 reads a second,
//! scaled to the number of daemons.

#![allow(clippy::expect_used, reason = "a failed step of a test ends it")]

#[allow(dead_code, reason = "the module is shared with other tests")]
mod site;

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use rstest::rstest;
use serde_json::json;
use site::{Site, call};
use snipevane_adapter_standin::StatedRates;

/// Number of entry VMs, and of those whose load on the store they stand for.
const ENTRY_VMS: usize = 14;
const MODELLED_VMS: usize = 300;

/// Times and limits of the store that the entry VMs model.
const MODELLED_TRANSACTION_MS: usize = 5;
const MODELLED_READS_PER_S: usize = 2_000;

/// Time for which transactions wait at most; the store refuses those that would wait longer.
const MAX_QUEUE_TIME: Duration = Duration::from_secs(1);

/// Time for which all entry VMs are down.
const DOWNTIME: Duration = Duration::from_millis(1_600);

/// Time from their return in which the entry VMs must serve again: a goal of the platform.
const MAX_RETURN_TIME: Duration = Duration::from_secs(2);

/// Time for which the first term must last afterwards.
const TERM_CHECK_TIME: Duration = Duration::from_secs(5);

/// Returns the rates of the store for [`ENTRY_VMS`].
fn rates() -> StatedRates {
    let transaction_ms = MODELLED_TRANSACTION_MS * MODELLED_VMS / ENTRY_VMS;
    let reads_per_s = MODELLED_READS_PER_S * ENTRY_VMS / MODELLED_VMS;
    StatedRates {
        reads_per_s: u32::try_from(reads_per_s).expect("a small number"),
        transaction_ms: transaction_ms as f64,
    }
}

/// Submits one job again and again until it is accepted; returns the time that this takes.
fn accepted_after(site: &Site, id: &str, end: Instant) -> Option<Duration> {
    let body = json!({
        "spec": "50",
        "phases": [{ "replicas": 1, "cpu": 100, "memMb": 10, "estimateMs": 50 }],
    });
    let start = Instant::now();
    let mut number = 0;
    while Instant::now() < end {
        let callers = site.nodes[number % site.nodes.len()].callers;
        number += 1;
        let path = format!("/p/{id}");
        if call(callers, "POST", &path, "key", &body.to_string()).0 == 200 {
            return Some(start.elapsed());
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    None
}

/// Prints the attempts of all entry VMs at calls to the store by purpose, and those that it refused.
fn print_attempts(site: &Site) {
    const ATTEMPTS: &str = "snipevane_store_attempts_total";
    let purposes = [
        "registration",
        "discovery",
        "term_poll",
        "term_claim",
        "term_write",
        "scheduler_read",
        "callers_write",
        "callers_read",
        "configuration",
        "reach_report",
        "route_probe",
        "relay",
    ];
    for purpose in purposes {
        let purpose = format!("purpose=\"{purpose}\"");
        let sum = |labels: &[&str]| -> u64 {
            let counts = site.nodes.iter().map(|node| node.metric(ATTEMPTS, labels));
            counts.map(|count| count as u64).sum()
        };
        let refused = sum(&[&purpose, "outcome=\"too_many\""]);
        println!(
            "{purpose}: {} attempts, {refused} refused",
            sum(&[&purpose])
        );
    }
}

/// Guards against claims, registrations and polls that fill the store as all entry VMs return at once: renewals of
/// the first term waited longer than the term lasts, so that term followed term and nothing ran.
///
/// A process on the former holder's VM may claim its term at once; if that VM isn't back, all others compete.
#[rstest]
fn a_term_is_won_and_kept_after_the_loss_of_all_entry_vms(
    #[values(true, false)] holder_returns: bool,
) {
    let rates = rates();
    let name = format!("capacity-{holder_returns}");
    let mut site = Site::start_with_rates(&name, ENTRY_VMS, 2, rates);
    // All entry VMs are registered and watch the scheduler.
    std::thread::sleep(Duration::from_secs(2));
    let transaction_time = Duration::from_secs_f64(rates.transaction_ms / 1_000.0);
    site.store.set_times(Duration::ZERO, transaction_time);
    site.store.set_max_queue_time(Some(MAX_QUEUE_TIME));
    site.store.set_max_reads_per_s(Some(rates.reads_per_s));
    let fence = site.row()["fence"].as_u64().expect("a term");
    let holder = site.scheduler().filter(|_| !holder_returns);
    site.restart_all(DOWNTIME, holder);
    let transactions = site.store.transaction_count();
    let started_at = Instant::now();
    let accepted = accepted_after(&site, "00000000000000aa", started_at + MAX_RETURN_TIME * 5);
    std::thread::sleep(TERM_CHECK_TIME);
    let terms = site.row()["fence"].as_u64().expect("a term") - fence;
    let refused_reads = site.store.refused_read_count("schedulers");
    let transactions = site.store.transaction_count() - transactions;
    println!(
        "accepted after {accepted:?}; {terms} terms, {refused_reads} polls refused, {transactions} transactions"
    );
    print_attempts(&site);
    assert_eq!(terms, 1, "the first term was lost");
    assert!(
        accepted.is_some_and(|after| after < MAX_RETURN_TIME),
        "{accepted:?}"
    );
    let state = site.state(0, "00000000000000aa");
    assert!(state.contains("completed"), "{state}");
}

/// Guards against a write of each entry VM at every start, which filled the store as all of them returned.
#[test]
fn an_entry_vm_that_starts_again_does_not_store_its_address_again() {
    let mut site = Site::start("capacity-address", 3, 1);
    let writes = Arc::new(AtomicU32::new(0));
    let counted = writes.clone();
    site.store.reject(move |rows| {
        let registers = rows.iter().any(|(table, _, _)| table == "entry_vms");
        counted.fetch_add(u32::from(registers), Ordering::SeqCst);
        false
    });
    for node in &mut site.nodes {
        node.restart();
    }
    for node in &site.nodes {
        site::eventually("ready", || {
            call(node.readiness, "GET", "/readyz", "", "").0 == 200
        });
    }
    // An address is written within a second of its read.
    std::thread::sleep(Duration::from_secs(2));
    assert_eq!(writes.load(Ordering::SeqCst), 0, "addresses were written");
}

/// Guards against reads for callers that are repeated while the store refuses them for want of capacity.
#[test]
fn a_caller_is_told_at_once_that_the_store_refuses_to_read_a_job() {
    const CALLS: u64 = 10;
    /// Fewer than two for each call.
    const MAX_ATTEMPTS: u64 = CALLS * 2 - 1;
    let site = Site::start("capacity-state", 3, 1);
    std::thread::sleep(Duration::from_secs(1));
    site.store.refuse_reads(Some("progress"));
    for number in 0..CALLS {
        // Other calls show meanwhile that the store is in reach.
        std::thread::sleep(Duration::from_millis(700));
        let sent_at = Instant::now();
        let path = format!("/p/{number:016x}");
        let (status, answer) = call(site.nodes[0].callers, "GET", &path, "key", "");
        assert_eq!(status, 503, "{answer}");
        assert!(answer.to_lowercase().contains("retry-after: "), "{answer}");
        assert!(sent_at.elapsed() < Duration::from_millis(500));
    }
    let refused = site.store.refused_read_count("progress");
    println!("{refused} reads refused for {CALLS} calls");
    assert!(refused >= CALLS / 2, "{refused} reads were refused");
    assert!(refused <= MAX_ATTEMPTS, "{refused} reads were refused");
}

/// Guards against polls at full rate for as long as the store refuses them: three entry VMs polled the
/// configuration 218 times in 8 s.
#[test]
fn polls_back_off_while_the_store_refuses_reads_and_the_site_is_back_soon_after() {
    /// Time for which reads are refused.
    const REFUSED: Duration = Duration::from_secs(8);
    /// Most polls of the configuration of an entry VM in that time: two loops, each about twice a second, and a few
    /// polls in quick succession at first.
    const MAX_POLLS: u64 = 50;
    let site = Site::start("capacity-polls", 3, 1);
    std::thread::sleep(Duration::from_secs(1));
    site.store.set_max_reads_per_s(Some(0));
    std::thread::sleep(REFUSED);
    let polls = site.store.refused_read_count("op");
    site.store.set_max_reads_per_s(None);
    let returned_at = Instant::now();
    for node in &site.nodes {
        site::eventually("ready", || {
            call(node.readiness, "GET", "/readyz", "", "").0 == 200
        });
    }
    let ready_after = returned_at.elapsed();
    println!("{polls} polls of the configuration; ready after {ready_after:?}");
    assert!(polls <= 3 * MAX_POLLS, "{polls} polls of the configuration");
    assert!(
        ready_after < Duration::from_millis(1_500),
        "{ready_after:?}"
    );
}

/// Guards against entry VMs that have no configuration yet and read the scheduler's row without a pause once it is
/// their turn to claim the term: these reads kept the store from serving the configuration.
#[test]
fn entry_vms_without_a_configuration_poll_at_the_usual_interval() {
    const NODES: usize = 3;
    const PERIOD: Duration = Duration::from_secs(3);
    /// Shortest interval between two polls of an entry VM.
    const MIN_INTERVAL: Duration = Duration::from_millis(72);
    let mut site = Site::start("capacity-unconfigured", NODES, 1);
    site.store.refuse_reads(Some("op"));
    site.restart_all(DOWNTIME, None);
    std::thread::sleep(DOWNTIME);
    let before = site.store.read_count("schedulers");
    std::thread::sleep(PERIOD);
    let reads = site.store.read_count("schedulers") - before;
    let max_reads = NODES as f64 * PERIOD.div_duration_f64(MIN_INTERVAL);
    println!("{reads} reads in {PERIOD:?}");
    assert!(reads as f64 <= max_reads, "{reads} reads in {PERIOD:?}");
}
