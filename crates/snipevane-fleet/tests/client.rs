//! The HTTP client gives calls up for good.

#![allow(clippy::expect_used, reason = "a failed step of a test ends it")]

use std::io::{ErrorKind, Read};
use std::net::TcpListener;
use std::time::Duration;

use snipevane_adapter::rows;
use snipevane_fleet::client::{CallError, Client};

/// What a partition holds up must not arrive after the call was given up.
///
/// Seen as ONE on kmr-tbilisi scale-1, seed 776070991653: an order to a VM arrived when a cut had
/// healed, after orders of the next term.
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
        let call = client.call(address, rows::read("t", "", ""), Duration::from_millis(100));
        let outcome = call.await;
        // Lets the connection's task end.
        tokio::time::sleep(Duration::from_millis(50)).await;
        outcome
    });
    assert_eq!(outcome.err(), Some(CallError::NoAnswer));
    let (mut stream, _) = listener.accept().expect("the connection");
    // What had arrived before is read first.
    let read = stream.read_to_end(&mut Vec::new());
    assert_eq!(
        read.err().map(|error| error.kind()),
        Some(ErrorKind::ConnectionReset)
    );
}
