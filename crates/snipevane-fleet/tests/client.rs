//! Calls of the HTTP client that time out: a call that was given up has no later effect, a late
//! response is delivered where it is awaited, and one that keeps arriving is received whole.

#![allow(clippy::expect_used, reason = "a failed step of a test ends it")]

use std::cell::Cell;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::thread::JoinHandle;
use std::time::Duration;

use snipevane_adapter::rows;
use snipevane_fleet::client::{Arrivals, CallError, Client, Response};

/// Guards against requests that a network partition holds up and that are delivered after their
/// call has timed out.
///
/// On site kmr-tbilisi (day scale-1, seed 776070991653; ONE in docs/hunts.md), an order to a VM was
/// delivered when a partition had healed, after orders of the next term.
#[test]
fn a_call_that_is_given_up_resets_its_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
    let address = listener.local_addr().expect("an address");
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let local = tokio::task::LocalSet::new();
    let outcome = local.block_on(&runtime.expect("a runtime"), async {
        let client = Client::default();
        let call = client.call(
            address,
            rows::read_request("t", "", ""),
            Duration::from_millis(100),
        );
        let outcome = call.await;
        // Lets the connection's task end, which resets the connection.
        tokio::time::sleep(Duration::from_millis(50)).await;
        outcome
    });
    assert_eq!(outcome.err(), Some(CallError::NoAnswer));
    let (mut stream, _) = listener.accept().expect("the connection");
    // Data that arrived before the reset is read first.
    let read = stream.read_to_end(&mut Vec::new());
    assert_eq!(
        read.err().map(|error| error.kind()),
        Some(ErrorKind::ConnectionReset)
    );
}

/// A process may be suspended, or wait for a connection, after it has checked its permission.
#[test]
fn a_request_whose_permission_ends_before_it_is_connected_is_not_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
    let address = listener.local_addr().expect("an address");
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let local = tokio::task::LocalSet::new();
    let outcome = local.block_on(&runtime.expect("a runtime"), async {
        let client = Client::default();
        let request = rows::read_request("t", "", "");
        let limit = Duration::from_millis(200);
        let outcome = client.call_if(address, request, limit, || false).await;
        client.close_all_idle();
        // Lets the connection's task end, which resets the connection.
        tokio::time::sleep(Duration::from_millis(50)).await;
        outcome
    });
    assert_eq!(outcome.err(), Some(CallError::NotSent));
    let (mut stream, _) = listener.accept().expect("the connection");
    let mut received = Vec::new();
    let read = stream.read_to_end(&mut received);
    assert!(read.is_err(), "the connection is reset");
    assert!(received.is_empty(), "{received:?}");
}

#[test]
fn a_late_response_is_delivered_after_the_timeout_was_reported() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
    let address = listener.local_addr().expect("an address");
    let server = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("the connection");
        std::thread::sleep(Duration::from_millis(200));
        stream
            .write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}")
            .expect("a response");
        stream
    });
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let local = tokio::task::LocalSet::new();
    let timeouts = Cell::new(0);
    let outcome = local.block_on(&runtime.expect("a runtime"), async {
        let client = Client::default();
        let request = rows::read_request("t", "", "");
        let (limit, grace) = (Duration::from_millis(50), Duration::from_secs(5));
        let call = client.call_with_late_response(
            address,
            |_| request,
            limit,
            grace,
            || true,
            || {
                timeouts.set(timeouts.get() + 1);
            },
        );
        call.await
    });
    assert_eq!(timeouts.get(), 1);
    assert_eq!(outcome.ok().map(|response| response.status), Some(200));
    server.join().expect("the server");
}

/// Answers this many requests on one connection, and closes it.
fn answer_on_one_connection(listener: &TcpListener, requests: usize) {
    let (mut stream, _) = listener.accept().expect("a connection");
    for _ in 0..requests {
        let received = stream.read(&mut [0; 4_096]).expect("a request");
        assert!(received > 0, "the connection is open");
        stream
            .write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}")
            .expect("a response");
    }
}

/// Guards against acknowledgements for the former process at an address that reach the next one.
#[test]
fn a_request_knows_when_its_connection_was_opened() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
    let address = listener.local_addr().expect("an address");
    let server = std::thread::spawn(move || {
        answer_on_one_connection(&listener, 2);
        answer_on_one_connection(&listener, 1);
    });
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let local = tokio::task::LocalSet::new();
    let opened_at = local.block_on(&runtime.expect("a runtime"), async {
        let client = Client::default();
        let limit = Duration::from_secs(5);
        let mut opened_at = Vec::new();
        for _ in 0..3 {
            let request = |opened| {
                opened_at.push(opened);
                rows::read_request("t", "", "")
            };
            let call =
                client.call_with_late_response(address, request, limit, limit, || true, || {});
            assert!(call.await.is_ok());
            // Lets the client notice that the server has closed the connection.
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        opened_at
    });
    server.join().expect("the server");
    assert_eq!(opened_at[0], opened_at[1]);
    assert!(opened_at[2] > opened_at[1]);
}

/// Time within which the head of a response must arrive in the tests below.
const HEAD_LIMIT: Duration = Duration::from_millis(300);

/// Number of parts of the body of the response in the tests below.
const PARTS: usize = 20;

/// Receives a request and sends a head that announces [`PARTS`] bytes after `head_delay`, then `parts` of them
/// one by one, and keeps the connection open until the client closes it. Returns the error of reading
/// from it then.
fn respond_slowly(
    listener: TcpListener,
    head_delay: Duration,
    parts: usize,
) -> JoinHandle<Option<ErrorKind>> {
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("the connection");
        let received = stream.read(&mut [0; 4_096]).expect("a request");
        assert!(received > 0, "the request is sent");
        std::thread::sleep(head_delay);
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {PARTS}\r\n\r\n");
        stream.write_all(head.as_bytes()).expect("the head");
        for _ in 0..parts {
            std::thread::sleep(Duration::from_millis(50));
            stream.write_all(b"x").expect("a part");
        }
        let closed = stream.read_to_end(&mut Vec::new());
        closed.err().map(|error| error.kind())
    })
}

/// Calls a server that responds slowly; returns the outcome and whether a response was seen arriving.
fn call_slow_server(address: SocketAddr) -> (Result<Response, CallError>, bool) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime.expect("a runtime"), async {
        let client = Client::default();
        let (arrivals, seen_arriving) = (Arrivals::default(), Cell::new(false));
        let request = rows::read_request("t", "", "");
        let in_flight = Duration::from_secs(5);
        let call = client.call_detached(address, request, HEAD_LIMIT, in_flight, || {}, &arrivals);
        let watch = async {
            loop {
                seen_arriving.set(seen_arriving.get() || arrivals.any());
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        };
        let outcome = tokio::select! {
            outcome = call => outcome,
            () = watch => unreachable!("it has no end"),
        };
        assert!(!arrivals.any(), "a response that has ended");
        // Lets a late response arrive.
        tokio::time::sleep(2 * HEAD_LIMIT).await;
        client.close_all_idle();
        tokio::time::sleep(Duration::from_millis(50)).await;
        (outcome, seen_arriving.get())
    })
}

#[test]
fn a_response_whose_body_keeps_arriving_is_received_after_the_timeout() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
    let address = listener.local_addr().expect("an address");
    let server = respond_slowly(listener, Duration::ZERO, PARTS);
    let (outcome, seen_arriving) = call_slow_server(address);
    assert_eq!(
        outcome.ok().map(|response| response.body.len()),
        Some(PARTS)
    );
    assert!(seen_arriving);
    server.join().expect("the server");
}

#[test]
fn a_response_whose_body_stops_arriving_is_given_up() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
    let address = listener.local_addr().expect("an address");
    let server = respond_slowly(listener, Duration::ZERO, 3);
    let (outcome, seen_arriving) = call_slow_server(address);
    assert_eq!(outcome.err(), Some(CallError::NoAnswer));
    assert!(seen_arriving);
    assert_eq!(
        server.join().expect("the server"),
        Some(ErrorKind::ConnectionReset)
    );
}

#[test]
fn the_body_of_a_response_that_begins_after_the_timeout_is_not_received() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
    let address = listener.local_addr().expect("an address");
    let server = respond_slowly(listener, HEAD_LIMIT + HEAD_LIMIT / 2, 0);
    let (outcome, seen_arriving) = call_slow_server(address);
    assert_eq!(outcome.err(), Some(CallError::NoAnswer));
    assert!(!seen_arriving);
    assert_eq!(
        server.join().expect("the server"),
        Some(ErrorKind::ConnectionReset)
    );
}
