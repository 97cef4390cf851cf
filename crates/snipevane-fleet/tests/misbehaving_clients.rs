//! A crowd of clients that don't behave: the daemon lives, stays within its VM's memory and descriptors, and
//! answers others.

#![allow(clippy::expect_used, reason = "a failed step of a test ends it")]

mod crowd;
#[allow(dead_code, reason = "the module is shared with other tests")]
mod site;

use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use crowd::clients::Clients;
use crowd::script::{Kind, Script};
use crowd::usage::UsageReader;
use rstest::rstest;
use site::{Node, Site, call, eventually};
use snipevane_adapter_standin::StatedLimits;

/// Number of clients in the crowd.
const CLIENTS: usize = 300;

/// Memory and descriptors of the VM, such that the crowd needs more of each than there is.
const LIMITS: StatedLimits = StatedLimits {
    memory_mb: 64,
    max_fds: 450,
};

/// Descriptors of a process that aren't for sockets.
const FILE_FDS: u32 = 200;

const BYTES_PER_MB: u64 = 1_000_000;

/// Time for which the crowd sends before others call.
const CROWD_TIME: Duration = Duration::from_secs(4);

const JOB: &str = "00000000000000aa";
const JOB_PATH: &str = "/p/00000000000000aa";
const JOB_NUMBER: u64 = 0xaa;

/// The tests' crowds run one at a time.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// Plays a crowd at an address while the memory and the sockets of the daemon are read, and checks them; `answers`
/// tells whether an ordinary request to the same address is answered.
fn check_crowd(
    name: &str,
    kind: Kind,
    path: &str,
    address: fn(&Node) -> SocketAddr,
    answers: fn(SocketAddr) -> bool,
) {
    let _turn = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    let mut site = Site::start_with_limits(name, 1, 1, LIMITS);
    site.submit(0, JOB, 1, 100);
    site.wait_until_completed(0, JOB);
    let node = &site.nodes[0];
    let (callers, address) = (node.callers, address(node));
    let listeners = vec![callers, node.readiness, node.peers, node.metrics];
    let readings = UsageReader::start(node.pid(), listeners);
    let crowd = Clients::start(address, CLIENTS, &Script::new(kind, path));
    std::thread::sleep(CROWD_TIME);
    eventually("a caller is answered beside the crowd", || {
        knows_the_job(callers)
    });
    eventually("an answer at the crowd's address", || answers(address));
    crowd.leave();
    eventually("a caller is answered after the crowd", || {
        knows_the_job(callers)
    });
    eventually("an answer where the crowd was", || answers(address));
    let most = readings.end();
    eprintln!(
        "{name}: {:.1} MB resident, {:.1} MB with unread bytes, {} sockets",
        most.resident_bytes as f64 / BYTES_PER_MB as f64,
        most.memory_bytes as f64 / BYTES_PER_MB as f64,
        most.sockets
    );
    assert!(site.nodes[0].is_running());
    let max_bytes = u64::from(LIMITS.memory_mb) * BYTES_PER_MB;
    assert!(most.memory_bytes <= max_bytes, "memory: {most:?}");
    let max_sockets = (LIMITS.max_fds - FILE_FDS) as usize;
    assert!(most.sockets <= max_sockets, "descriptors: {most:?}");
}

/// Returns whether a caller is told that the job is completed.
fn knows_the_job(address: SocketAddr) -> bool {
    let (status, answer) = call(address, "GET", JOB_PATH, "key", "");
    status == 200 && answer.contains("completed")
}

/// Guards against a process that ends, out of memory or descriptors, as many callers send what no legal one does.
#[rstest]
#[case::heads_over_the_limit("heads", Kind::HeadOverTheLimit)]
#[case::heads_without_end("endless", Kind::HeadWithoutEnd)]
#[case::empty_lines("lines", Kind::EmptyLinesWithoutEnd)]
#[case::whole_bodies("bodies", Kind::BodyWhole)]
#[case::bodies_short_of_their_end("short", Kind::BodyShortOfItsEnd)]
#[case::pieces_short_of_their_end("pieces", Kind::BodyInPiecesShortOfItsEnd)]
#[case::whole_chunks("chunk", Kind::LargeChunkWhole)]
#[case::large_chunks_without_end("large", Kind::LargeChunkWithoutEnd)]
#[case::small_chunks_without_end("small", Kind::SmallChunksWithoutEnd)]
#[case::many_requests("many", Kind::ManyRequests)]
#[case::answers_never_read("unread", Kind::AnswersNeverRead)]
#[case::open_and_silent("silent", Kind::OpenAndSilent)]
fn callers_that_misbehave_take_neither_memory_nor_descriptors(
    #[case] name: &str,
    #[case] kind: Kind,
) {
    check_crowd(name, kind, JOB_PATH, |node| node.callers, knows_the_job);
}

/// Guards against the same at the address of the other entry VMs.
#[rstest]
#[case::heads_without_end("p-endless", Kind::HeadWithoutEnd)]
#[case::empty_lines("p-lines", Kind::EmptyLinesWithoutEnd)]
#[case::pieces_short_of_their_end("p-pieces", Kind::BodyInPiecesShortOfItsEnd)]
#[case::small_chunks_without_end("p-small", Kind::SmallChunksWithoutEnd)]
#[case::answers_never_read("p-unread", Kind::AnswersNeverRead)]
#[case::open_and_silent("p-silent", Kind::OpenAndSilent)]
fn strangers_at_the_peers_address_take_neither_memory_nor_descriptors(
    #[case] name: &str,
    #[case] kind: Kind,
) {
    let answers = |address| {
        let body = format!(r#"{{"id":{JOB_NUMBER}}}"#);
        call(address, "POST", "/scheduler/state", "", &body).0 == 200
    };
    check_crowd(name, kind, "/scheduler/state", |node| node.peers, answers);
}

/// Guards against the same at the address of the readiness probes.
#[rstest]
#[case::heads_without_end("r-endless", Kind::HeadWithoutEnd)]
#[case::empty_lines("r-lines", Kind::EmptyLinesWithoutEnd)]
#[case::answers_never_read("r-unread", Kind::AnswersNeverRead)]
#[case::open_and_silent("r-silent", Kind::OpenAndSilent)]
fn strangers_at_the_readiness_address_take_neither_memory_nor_descriptors(
    #[case] name: &str,
    #[case] kind: Kind,
) {
    let answers = |address| call(address, "GET", "/readyz", "", "").0 == 200;
    check_crowd(name, kind, "/readyz", |node| node.readiness, answers);
}

/// Guards against the same at the address of the metrics.
#[rstest]
#[case::heads_without_end("m-endless", Kind::HeadWithoutEnd)]
#[case::empty_lines("m-lines", Kind::EmptyLinesWithoutEnd)]
#[case::answers_never_read("m-unread", Kind::AnswersNeverRead)]
#[case::open_and_silent("m-silent", Kind::OpenAndSilent)]
fn strangers_at_the_metrics_address_take_neither_memory_nor_descriptors(
    #[case] name: &str,
    #[case] kind: Kind,
) {
    let answers = |address| call(address, "GET", "/metrics", "", "").0 == 200;
    check_crowd(name, kind, "/metrics", |node| node.metrics, answers);
}
