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
use usage::Watch;

const PROGRAM: &str = env!("CARGO_BIN_EXE_site-process");
/// Maximum of the process's resident memory and the unread bytes of its sockets, in bytes.
const MAX_MEMORY_BYTES: u64 = 100_000_000;
/// Maximum number of the process's open descriptors.
const MAX_DESCRIPTORS: usize = 400;
/// Memory of the VM that the settings state, in bytes; what isn't for clients comes on top.
const VM_MEMORY_BYTES: u64 = 64_000_000;
/// Time for which an entry VM waits for a client, in milliseconds.
const PATIENCE_MS: u32 = 60_000;

/// Only one crowd at a time, as crowds share the machine.
static ONE_AT_A_TIME: Mutex<()> = Mutex::const_new(());

async fn start_site() -> Site {
    let mut options = SiteOptions {
        zones: vec!["a"],
        entries_per_zone: 1,
        backends_per_zone: 2,
        settings: json!({
            "memory_bytes": VM_MEMORY_BYTES,
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
    let (_, key) = site.give_key("registry").await;
    let entry = &site.entries[0];
    let watch = Watch::start(entry.process.id(), &entry.process.addresses);
    let crowd = Crowd::start(conduct, listener, &entry.process.addresses, clients);
    crowd.until_sent().await;
    watch.until_settled().await;
    expect_answers(entry, &key, listener, "while the crowd is there").await;
    let accepted_bytes = crowd.leave().await;
    expect_answers(entry, &key, listener, "after the crowd").await;
    let peak = watch.stop().await;
    println!("{conduct:?} at {listener:?}: {peak:?}, at most {accepted_bytes} bytes of a client");
    assert!(site.entries[0].process.is_running(), "the process ended");
    assert!(peak.memory_bytes <= MAX_MEMORY_BYTES, "{peak:?}");
    assert!(peak.descriptors <= MAX_DESCRIPTORS, "{peak:?}");
    assert!(
        accepted_bytes <= conduct.max_accepted_bytes(),
        "{accepted_bytes} bytes"
    );
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
async fn clients_of_the_peer_listener_take_no_more_than_a_vm_has(#[case] conduct: Conduct) {
    check_crowd(conduct, Listener::Peers, 400).await;
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
async fn clients_of_the_operator_listener_take_no_more_than_a_vm_has(#[case] conduct: Conduct) {
    check_crowd(conduct, Listener::Operators, 400).await;
}
