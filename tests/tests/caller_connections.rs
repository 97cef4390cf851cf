//! How long an entry VM keeps a caller's connection: an idle one far longer than one on which the
//! caller is slow with a request.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::thread;
use std::time::Duration;

use http::StatusCode;
use rstest::rstest;
use snipevane_tests::site::{Site, SiteOptions};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

const PROGRAM: &str = env!("CARGO_BIN_EXE_site-process");
/// Time for a caller to send a request's head.
const READ_TIMEOUT: Duration = Duration::from_millis(400);
/// Time for which an idle connection is kept in tests that wait for its end.
const SHORT_IDLE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Maximum wait for a connection to be closed, far below the default idle timeout.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(30);
/// A request that the entry VM answers itself.
const HEALTH_REQUEST: &[u8] = b"GET /healthz HTTP/1.1\r\nhost: x\r\n\r\n";

async fn start_site(idle_timeout: Option<Duration>) -> Site {
    let mut options = SiteOptions::default();
    options.timings["caller_read_ms"] = milliseconds(READ_TIMEOUT).into();
    if let Some(idle_timeout) = idle_timeout {
        options.timings["caller_idle_ms"] = milliseconds(idle_timeout).into();
    }
    Site::start(PROGRAM, options).await
}

fn milliseconds(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap()
}

async fn connect(site: &Site) -> TcpStream {
    TcpStream::connect(site.entries[0].process.addresses[0])
        .await
        .unwrap()
}

/// Sends a request and reads until its response's body has ended.
async fn exchange(stream: &mut TcpStream) {
    stream.write_all(HEALTH_REQUEST).await.unwrap();
    let mut received = Vec::new();
    while !received.ends_with(b"ready\n") {
        let read = stream.read_buf(&mut received).await.unwrap();
        assert_ne!(read, 0, "the connection was closed");
    }
}

/// Waits until the connection is closed without another byte of a response.
async fn expect_close(stream: &mut TcpStream) {
    let mut received = Vec::new();
    let closed = timeout(CLOSE_TIMEOUT, stream.read_to_end(&mut received)).await;
    assert!(closed.is_ok(), "the connection wasn't closed in time");
    assert!(received.is_empty(), "{received:?}");
}

/// A caller's next request may be on its way when its idle connection is closed, and then fails.
#[tokio::test]
async fn an_idle_connection_outlives_the_read_timeout() {
    let site = start_site(None).await;
    let (_, key) = site.give_key("registry").await;
    let caller = site.entries[0].caller().with_key(&key);
    let answer = caller.post("ticks", &[], "first").await.unwrap();
    assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
    // Blocks the runtime, so that the client can't notice a close before it sends the next request.
    thread::sleep(3 * READ_TIMEOUT);
    let answer = caller.post("ticks", &[], "second").await.unwrap();
    assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
}

#[tokio::test]
async fn an_idle_connection_is_closed_after_the_idle_timeout() {
    let site = start_site(Some(SHORT_IDLE_TIMEOUT)).await;
    let mut stream = connect(&site).await;
    exchange(&mut stream).await;
    expect_close(&mut stream).await;
}

/// How much of a head a caller sends before it stops.
#[rstest]
#[case::nothing(false, b"")]
#[case::half_a_head(false, b"GET /healthz HTTP/1.1\r\nhost:")]
#[case::half_a_second_head(true, b"GET /healthz HTTP/1.1\r\nhost:")]
#[tokio::test]
async fn an_unfinished_head_is_closed_after_the_read_timeout(
    #[case] exchange_first: bool,
    #[case] sent: &[u8],
) {
    let site = start_site(None).await;
    let mut stream = connect(&site).await;
    if exchange_first {
        exchange(&mut stream).await;
    }
    stream.write_all(sent).await.unwrap();
    expect_close(&mut stream).await;
}
