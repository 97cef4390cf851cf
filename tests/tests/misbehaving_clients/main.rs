//! Clients that don't behave, at each listener of an entry VM.
//!
//! A crowd must not end the process, nor take more memory or descriptors than a VM has, nor keep
//! ordinary callers from their answers.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod crowd;
mod usage;

use http::{Method, StatusCode};
use rstest::rstest;
use serde_json::json;
use snipevane_tests::site::{EntryVm, Site, SiteOptions, until};
use tokio::sync::Mutex;

use crowd::{Conduct, Crowd, Listener};
use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};
use usage::{Peak, Watch};

const PROGRAM: &str = env!("CARGO_BIN_EXE_site-process");
/// Maximum of the process's resident memory and the unread bytes of its sockets, in bytes.
const MAX_MEMORY_BYTES: u64 = 100_000_000;
/// Maximum number of the process's open descriptors.
const MAX_DESCRIPTORS: usize = 400;
/// Memory of the VM that the settings state, in bytes; what isn't for clients comes on top.
const VM_MEMORY_BYTES: u64 = 64_000_000;
/// Memory of a VM that doesn't bound the number of connections, in bytes.
const LARGE_VM_MEMORY_BYTES: u64 = 8_000_000_000;
/// Maximum number of descriptors of a process in a test in which they are short.
const FEW_DESCRIPTORS: usize = 400;
/// Default limit of a body, in bytes.
const LARGEST_BODY_BYTES: usize = 1024 * 1024;
/// Time for which an entry VM waits for a client, in milliseconds.
const PATIENCE_MS: u32 = 60_000;

/// Only one crowd at a time, as crowds share the machine.
static ONE_AT_A_TIME: Mutex<()> = Mutex::const_new(());

async fn start_site() -> Site {
    start_site_with_memory(VM_MEMORY_BYTES).await
}

async fn start_site_with_memory(memory_bytes: u64) -> Site {
    let mut options = SiteOptions {
        zones: vec!["a"],
        entries_per_zone: 1,
        backends_per_zone: 2,
        settings: json!({
            "memory_bytes": memory_bytes,
            "caller_limits": { "max_header_bytes": 8_192 }
        }),
        ..SiteOptions::default()
    };
    // Nothing ends by a timeout while the crowd is there.
    options.timings["caller_read_ms"] = PATIENCE_MS.into();
    options.timings["caller_write_ms"] = PATIENCE_MS.into();
    Site::start(PROGRAM, options).await
}

/// Sends ordinary requests until one is answered at the listener for callers and at the crowd's.
async fn expect_answers(entry: &EntryVm, key: &str, listener: Listener, when: &str) {
    let caller = entry.caller().with_key(key);
    until(&format!("a caller is answered {when}"), async || {
        let answer = caller.post("ticks", &[], "ordinary").await;
        answer.is_ok_and(|answer| answer.status == StatusCode::OK)
    })
    .await;
    let (client, path, expected) = match listener {
        Listener::Callers => (caller, "/healthz", StatusCode::OK),
        Listener::Peers => (entry.peer(), "/unknown", StatusCode::NOT_FOUND),
        Listener::Operators => (entry.operator(), "/v1/status", StatusCode::OK),
    };
    until(&format!("{listener:?} are answered {when}"), async || {
        let answer = client.send(Method::GET, path, &[], "").await;
        answer.is_ok_and(|answer| answer.status == expected)
    })
    .await;
}

async fn check_crowd(conduct: Conduct, listener: Listener, clients: usize) {
    let _alone = ONE_AT_A_TIME.lock().await;
    let mut site = start_site().await;
    let (peak, accepted_bytes) = play_crowd(&site, conduct, listener, clients).await;
    println!("{conduct:?} at {listener:?}: {peak:?}, at most {accepted_bytes} bytes of a client");
    assert!(site.entries[0].process.is_running(), "the process ended");
    assert!(peak.memory_bytes <= MAX_MEMORY_BYTES, "{peak:?}");
    assert!(peak.descriptors <= MAX_DESCRIPTORS, "{peak:?}");
    assert!(
        accepted_bytes <= conduct.max_accepted_bytes(),
        "{accepted_bytes} bytes"
    );
}

/// Plays a crowd while others are answered; returns what the process used at most, and the most
/// bytes that one client could send.
async fn play_crowd(
    site: &Site,
    conduct: Conduct,
    listener: Listener,
    clients: usize,
) -> (Peak, usize) {
    let (_, key) = site.give_key("registry").await;
    let entry = &site.entries[0];
    let watch = Watch::start(entry.process.id(), &entry.process.addresses);
    let crowd = Crowd::start(conduct, listener, &entry.process.addresses, clients);
    crowd.until_sent().await;
    watch.until_settled().await;
    expect_answers(entry, &key, listener, "while the crowd is there").await;
    let accepted_bytes = crowd.leave().await;
    expect_answers(entry, &key, listener, "after the crowd").await;
    (watch.stop().await, accepted_bytes)
}

#[rstest]
#[case::heads_over_the_limit(Conduct::LargeHead)]
#[case::heads_without_end(Conduct::EndlessHead)]
#[case::empty_lines_without_end(Conduct::EmptyLines)]
#[case::whole_bodies(Conduct::WholeBody)]
#[case::bodies_that_stop_short(Conduct::UnendedBody)]
#[case::bodies_in_pieces_that_stop_short(Conduct::UnendedBodyInPieces)]
#[case::large_chunks_that_stop_short(Conduct::UnendedLargeChunk)]
#[case::small_chunks_that_stop_short(Conduct::UnendedSmallChunks)]
#[case::bodies_of_refused_requests(Conduct::RefusedBody)]
#[case::answers_never_read(Conduct::UnreadAnswer)]
#[case::silence(Conduct::Silence)]
#[tokio::test]
async fn callers_take_no_more_than_a_vm_has(#[case] conduct: Conduct) {
    check_crowd(conduct, Listener::Callers, 300).await;
}

#[rstest]
#[case::heads_over_the_limit(Conduct::LargeHead)]
#[case::heads_without_end(Conduct::EndlessHead)]
#[case::empty_lines_without_end(Conduct::EmptyLines)]
#[case::bodies_that_stop_short(Conduct::UnendedBody)]
#[case::small_chunks_that_stop_short(Conduct::UnendedSmallChunks)]
#[case::answers_never_read(Conduct::UnreadAnswer)]
#[case::silence(Conduct::Silence)]
#[tokio::test]
async fn clients_of_other_listeners_take_no_more_than_a_vm_has(
    #[case] conduct: Conduct,
    #[values(Listener::Peers, Listener::Operators)] listener: Listener,
) {
    check_crowd(conduct, listener, 400).await;
}

/// The platform and the backend servers need descriptors while callers take all that they get.
#[tokio::test]
async fn callers_leave_descriptors_for_the_platform_and_backend_servers() {
    let _alone = ONE_AT_A_TIME.lock().await;
    let mut site = start_site_with_descriptors(FEW_DESCRIPTORS).await;
    let clients = FEW_DESCRIPTORS + 50;
    let (peak, _) = play_crowd(&site, Conduct::Silence, Listener::Callers, clients).await;
    println!("{peak:?}");
    assert!(site.entries[0].process.is_running(), "the process ended");
    assert!(
        peak.descriptors <= FEW_DESCRIPTORS - FEW_DESCRIPTORS / 8,
        "{peak:?}"
    );
}

/// Starts a site of processes that may open few descriptors and have much memory.
async fn start_site_with_descriptors(descriptors: usize) -> Site {
    let own = getrlimit(Resource::Nofile);
    let few = Rlimit {
        current: Some(descriptors as u64),
        ..own
    };
    setrlimit(Resource::Nofile, few).unwrap();
    let site = start_site_with_memory(LARGE_VM_MEMORY_BYTES).await;
    setrlimit(Resource::Nofile, own).unwrap();
    site
}

#[tokio::test]
async fn a_body_of_the_largest_legal_size_is_served_in_calm() {
    let _alone = ONE_AT_A_TIME.lock().await;
    let site = start_site().await;
    let (_, key) = site.give_key("registry").await;
    let caller = site.entries[0].caller().with_key(&key);
    let body = "[".repeat(LARGEST_BODY_BYTES);
    let answer = caller.post("ticks", &[], &body).await.unwrap();
    assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
}

#[tokio::test]
async fn a_limit_that_is_reached_shows_in_metrics_and_events() {
    let _alone = ONE_AT_A_TIME.lock().await;
    let site = start_site().await;
    let entry = &site.entries[0];
    let addresses = &entry.process.addresses;
    let crowd = Crowd::start(Conduct::Silence, Listener::Operators, addresses, 100);
    crowd.until_sent().await;
    let operator = entry.operator();
    let shows = async |path: &str, text: &str| {
        let answer = operator.send(Method::GET, path, &[], "").await;
        answer.is_ok_and(|answer| String::from_utf8_lossy(&answer.body).contains(text))
    };
    let metric = "snipevane_listener_incidents_total{listener=\"operators\",incident=\"connection_displaced\"}";
    until("the metric counts displaced connections", async || {
        shows("/metrics", metric).await
    })
    .await;
    until("the time line tells it", async || {
        shows("/v1/events", "limit of a listener reached").await
    })
    .await;
    crowd.leave().await;
}
