//! A crowd of clients that don't behave: the daemon lives, stays within its VM's memory and descriptors, and
//! answers others.

#![allow(clippy::expect_used, reason = "a failed step of a test ends it")]

mod crowd;
#[allow(dead_code, reason = "the module is shared with other tests")]
mod site;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
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

/// Largest head and body of a request by the tests' configuration, in bytes.
const MAX_HEAD_BYTES: usize = 16_384;
const MAX_BODY_BYTES: usize = 262_144;

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

/// Guards against limits that a legal client meets: each request is as large as the configuration allows.
#[rstest]
#[case::declared_body("calm-body", 0, MAX_BODY_BYTES, false)]
#[case::chunked_body("calm-chunks", 0, MAX_BODY_BYTES, true)]
#[case::head("calm-head", MAX_HEAD_BYTES, 200, false)]
fn a_single_request_at_the_limits_is_served_in_calm(
    #[case] name: &str,
    #[case] head_bytes: usize,
    #[case] body_bytes: usize,
    #[case] chunked: bool,
) {
    let _turn = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    let site = Site::start_with_limits(name, 1, 1, LIMITS);
    let request = legal_submission(head_bytes, body_bytes, chunked);
    let answer = exchange(site.nodes[0].callers, &request).expect("an answer");
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    site.wait_until_completed(0, JOB);
}

/// Returns a submission with a head of at least `head_bytes` and a body of `body_bytes`.
fn legal_submission(head_bytes: usize, body_bytes: usize, chunked: bool) -> String {
    let job = r#"{"spec":"100","phases":[{"replicas":1,"cpu":1000,"memMb":100,"estimateMs":100}]}"#;
    let body = format!("{job}{}", " ".repeat(body_bytes - job.len()));
    let (framing, body) = if chunked {
        let bytes = body.len();
        let body = format!("{bytes:x}\r\n{body}\r\n0\r\n\r\n");
        ("Transfer-Encoding: chunked".to_owned(), body)
    } else {
        (format!("Content-Length: {}", body.len()), body)
    };
    let head = format!(
        "POST {JOB_PATH} HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Api-Key: key\r\n{framing}\r\n\
         Connection: close\r\nX-Filler: "
    );
    let filler = head_bytes.saturating_sub(head.len() + "\r\n\r\n".len());
    format!("{head}{}\r\n\r\n{body}", "x".repeat(filler))
}

fn exchange(address: SocketAddr, request: &str) -> std::io::Result<String> {
    let mut stream = TcpStream::connect(address)?;
    stream.write_all(request.as_bytes())?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer)?;
    Ok(answer)
}

/// Guards against a connection that stays open for as long as its caller reads no answers, with no other caller there.
#[test]
fn a_caller_that_reads_no_answers_is_cut_off_in_calm() {
    let _turn = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    let site = Site::start_with_limits("cut-off", 1, 1, LIMITS);
    site.submit(0, JOB, 1, 100);
    site.wait_until_completed(0, JOB);
    let callers = site.nodes[0].callers;
    let mut stream = TcpStream::connect(callers).expect("a connection");
    stream
        .set_write_timeout(Some(Duration::from_secs(3)))
        .expect("a timeout");
    let requests = Script::new(Kind::AnswersNeverRead, JOB_PATH);
    let blocked = stream.write_all(&requests.bytes);
    assert!(blocked.is_err(), "the requests don't fit in the buffers");
    let closed = || stream.take_error().expect("its state").is_some();
    eventually("cut off", closed);
}
