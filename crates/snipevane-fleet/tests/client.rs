//! A call of the HTTP client that has timed out has no later effect.

#![allow(clippy::expect_used, reason = "a failed step of a test ends it")]

use std::io::{ErrorKind, Read};
use std::net::TcpListener;
use std::time::Duration;

use snipevane_adapter::rows;
use snipevane_fleet::client::{CallError, Client};

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
