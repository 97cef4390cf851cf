//! Tests the platform client against the platform stand-in: lost and slow responses, outages, stale
//! reads and concurrent commits.

#![allow(clippy::unwrap_used)]
use std::io::{Read, Write as _};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use rstest::rstest;
use serde_json::{Value, json};
use snipevane_core::clock::SystemClock;
use snipevane_platform::{
    Check, CommitError, ObjectStore, PlatformClient, PlatformError, PlatformSettings, RetryPolicy,
    Table, Transaction, VmList, Write, commit_resolved,
};
use snipevane_proto::platform::{CommitResult, PlatformFaults, Vm, VmRole, VmState};
use snipevane_standin::{Platform, PlatformStandinSettings, RunningPlatform};

async fn platform() -> RunningPlatform {
    Platform::start(PlatformStandinSettings::default())
        .await
        .unwrap()
}

fn client(address: SocketAddr) -> PlatformClient {
    let settings = PlatformSettings {
        address,
        client: "a/0".into(),
        request_timeout: Duration::from_millis(300),
        ..PlatformSettings::default()
    };
    PlatformClient::new(settings, SystemClock)
}

fn put(key: &str, expected: Option<u64>, value: Value) -> Transaction {
    let check = Check {
        key: key.into(),
        expected,
    };
    let write = Write::Put {
        key: key.into(),
        value,
    };
    Transaction::new(vec![check], vec![write])
}

fn applied_count(platform: &RunningPlatform) -> usize {
    let record = platform.record();
    let commits = record.commits.iter();
    commits
        .filter(|commit| commit.result == CommitResult::Applied)
        .count()
}

#[tokio::test]
async fn rows_objects_and_vms_come_back_as_written() {
    let platform = platform().await;
    let client = client(platform.address());
    let tx = put("k/1", None, json!({ "id": 1 }));
    let committed = client.commit(tx).await.unwrap();
    assert_eq!(committed.versions, [("k/1".into(), 1)]);
    assert_eq!(client.read("k/2").await, Ok(None));
    assert_eq!(client.scan("k/").await.unwrap().len(), 1);
    client.put("o", Bytes::from_static(b"body")).await.unwrap();
    assert_eq!(client.get("o").await.unwrap().unwrap(), "body");
    assert_eq!(client.get("p").await, Ok(None));
    platform.set_vms(vec![vm("e1", "127.0.0.1:1")]);
    assert_eq!(client.list().await.unwrap()[0].id, "e1");
    platform.set_vms(vec![vm("e1", "entry.example:1")]);
    let error = client.list().await.unwrap_err();
    assert!(matches!(error, PlatformError::Malformed(_)));
}

fn vm(id: &str, address: &str) -> Vm {
    Vm {
        id: id.into(),
        role: VmRole::Entry,
        address: address.into(),
        zone: "a".into(),
        rack: "r1".into(),
        state: VmState::Live,
    }
}

#[rstest]
#[case::new_row(None)]
#[case::known_row(Some(1))]
#[tokio::test]
async fn a_lost_answer_is_resolved_by_reading_back(#[case] expected: Option<u64>) {
    let platform = platform().await;
    let client = client(platform.address());
    if expected.is_some() {
        client.commit(put("k", None, json!("first"))).await.unwrap();
    }
    let lose = PlatformFaults {
        lose_answers: 1,
        ..PlatformFaults::default()
    };
    platform.set_faults(lose);
    let before = applied_count(&platform);
    let committed = commit_resolved(&client, put("k", expected, json!("own"))).await;
    let version = expected.unwrap_or_default() + 1;
    assert_eq!(committed.unwrap().versions, [("k".into(), version)]);
    assert_eq!(applied_count(&platform), before + 1);
}

/// All responses to commits are lost. Each transaction must take effect exactly once, with a known
/// outcome.
#[tokio::test]
async fn lost_answers_never_double_a_write() {
    let platform = platform().await;
    let client = client(platform.address());
    platform.set_faults(PlatformFaults {
        lose_answers: 100,
        ..PlatformFaults::default()
    });
    for version in 0..20 {
        let expected = (version > 0).then_some(version);
        let tx = put("k", expected, json!({ "write": version }));
        commit_resolved(&client, tx).await.unwrap();
    }
    assert_eq!(applied_count(&platform), 20);
}

#[tokio::test]
async fn an_outage_leaves_the_outcome_unknown_and_nothing_applied() {
    let platform = platform().await;
    let client = client(platform.address());
    platform.set_faults(PlatformFaults {
        down: true,
        ..PlatformFaults::default()
    });
    let error = commit_resolved(&client, put("k", None, json!(1))).await;
    assert!(matches!(error, Err(CommitError::Unknown(_))));
    platform.set_faults(PlatformFaults::default());
    assert_eq!(client.read("k").await, Ok(None));
}

#[tokio::test]
async fn a_refused_connection_or_call_is_known_to_have_no_effect() {
    let platform = platform().await;
    let address = platform.address();
    let client = client(address);
    platform.set_faults(PlatformFaults {
        unavailable: true,
        ..PlatformFaults::default()
    });
    let error = client.commit(put("k", None, json!(1))).await;
    let refused = CommitError::NotApplied(PlatformError::Refused(503));
    assert_eq!(error, Err(refused));
    platform.stop().await;
    let error = client.commit(put("k", None, json!(1))).await;
    assert!(matches!(
        error,
        Err(CommitError::NotApplied(PlatformError::Unreachable(_)))
    ));
}

/// The commit takes effect after the client has given up on it. It must not be reported as without
/// effect.
#[rstest]
#[case::new_row(None)]
#[case::known_row(Some(1))]
#[tokio::test]
async fn a_commit_that_lands_late_is_never_reported_as_not_applied(#[case] expected: Option<u64>) {
    let platform = platform().await;
    let client = client(platform.address());
    if expected.is_some() {
        client.commit(put("k", None, json!("first"))).await.unwrap();
    }
    platform.set_faults(PlatformFaults {
        slow_ms: 1200,
        ..PlatformFaults::default()
    });
    let before = applied_count(&platform);
    let result = commit_resolved(&client, put("k", expected, json!("own"))).await;
    assert!(matches!(result, Ok(_) | Err(CommitError::Unknown(_))));
    platform.set_faults(PlatformFaults::default());
    tokio::time::sleep(Duration::from_millis(1500)).await;
    assert_eq!(applied_count(&platform), before + 1);
    let row = client.read("k").await.unwrap().unwrap();
    assert_eq!(row.value, json!("own"));
}

/// A stale read must not count as evidence for or against a write whose response was lost.
#[tokio::test]
async fn stale_reads_never_turn_a_lost_answer_into_a_wrong_one() {
    let platform = platform().await;
    let client = client(platform.address());
    for (expected, value) in [(None, "one"), (Some(1), "two")] {
        client
            .commit(put("k", expected, json!(value)))
            .await
            .unwrap();
    }
    platform.set_faults(PlatformFaults {
        lose_answers: 1,
        stale_reads: true,
        ..PlatformFaults::default()
    });
    let result = commit_resolved(&client, put("k", Some(2), json!("own"))).await;
    assert!(matches!(result, Err(CommitError::Unknown(_))));
    platform.set_faults(PlatformFaults::default());
    assert_eq!(client.read("k").await.unwrap().unwrap().version, 3);
}

/// Another write gave the row the version that the lost transaction would have given it.
#[tokio::test]
async fn a_superseded_transaction_is_a_conflict() {
    let platform = platform().await;
    let client = client(platform.address());
    client.commit(put("k", None, json!("one"))).await.unwrap();
    platform.set_faults(PlatformFaults {
        cut: vec!["a/0".into()],
        ..PlatformFaults::default()
    });
    let lost = client.commit(put("k", Some(1), json!("own"))).await;
    assert!(matches!(lost, Err(CommitError::Unknown(_))));
    platform.set_faults(PlatformFaults::default());
    client
        .commit(put("k", Some(1), json!("two")))
        .await
        .unwrap();
    let result = commit_resolved(&client, put("k", Some(1), json!("own"))).await;
    assert!(matches!(result, Err(CommitError::Conflict { .. })));
}

#[tokio::test]
async fn of_racing_commits_exactly_one_wins() {
    let platform = platform().await;
    let mut racers = Vec::new();
    for racer in 0..16 {
        let client = client(platform.address());
        racers.push(tokio::spawn(async move {
            commit_resolved(&client, put("k", None, json!(racer))).await
        }));
    }
    let mut winners = 0;
    for racer in racers {
        match racer.await.unwrap() {
            Ok(_) => winners += 1,
            Err(error) => assert!(matches!(error, CommitError::Conflict { .. })),
        }
    }
    assert_eq!(winners, 1);
    assert_eq!(applied_count(&platform), 1);
}

/// A call that exceeds the limit of calls in flight isn't sent, so it's known to have no effect.
#[rstest]
#[case::room(
    32,
    CommitError::Unknown(PlatformError::DeadlineExceeded),
    PlatformError::DeadlineExceeded
)]
#[case::no_room(
    0,
    CommitError::NotApplied(PlatformError::TooManyInFlight),
    PlatformError::TooManyInFlight
)]
#[tokio::test]
async fn a_slow_platform_ends_calls_at_their_deadline(
    #[case] max_in_flight: usize,
    #[case] commit_error: CommitError,
    #[case] read_error: PlatformError,
) {
    let platform = platform().await;
    platform.set_faults(PlatformFaults {
        slow_ms: 60_000,
        ..PlatformFaults::default()
    });
    let settings = PlatformSettings {
        address: platform.address(),
        request_timeout: Duration::from_millis(300),
        max_in_flight,
        ..PlatformSettings::default()
    };
    let client = PlatformClient::new(settings, SystemClock);
    let commit = client.commit(put("k", None, json!(1))).await;
    assert_eq!(commit, Err(commit_error));
    assert_eq!(client.read("k").await, Err(read_error));
}

#[tokio::test]
async fn reads_are_sent_again_within_their_budget_only() {
    let platform = platform().await;
    let settings = PlatformSettings {
        address: platform.address(),
        retry: RetryPolicy {
            max_attempts: 3,
            retries_per_call: 0.0,
            min_retries_per_second: 0.0,
            max_tokens: 5.0,
            base_delay: Duration::from_millis(1),
            ..RetryPolicy::default()
        },
        ..PlatformSettings::default()
    };
    let client = PlatformClient::new(settings, SystemClock);
    platform.set_faults(PlatformFaults {
        unavailable: true,
        ..PlatformFaults::default()
    });
    for _ in 0..20 {
        assert_eq!(client.read("k").await, Err(PlatformError::Refused(503)));
    }
    let refused: u64 = platform.record().seconds.iter().map(|s| s.refused).sum();
    assert_eq!(refused, 25);
}

/// Serves one connection, on which each response's body arrives byte by byte, 50 ms apart; returns the
/// number of requests so far.
fn serve_slowly(listener: TcpListener, body: &'static str) -> Arc<AtomicUsize> {
    let requests = Arc::new(AtomicUsize::new(0));
    let counter = requests.clone();
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut request = [0; 4_096];
        while stream.read(&mut request).is_ok_and(|length| length > 0) {
            counter.fetch_add(1, Ordering::SeqCst);
            let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
            stream.write_all(head.as_bytes()).unwrap();
            for byte in body.bytes() {
                std::thread::sleep(Duration::from_millis(50));
                stream.write_all(&[byte]).unwrap();
            }
        }
    });
    requests
}

#[tokio::test]
async fn an_object_that_keeps_arriving_is_received_after_the_timeout() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let settings = PlatformSettings {
        address: listener.local_addr().unwrap(),
        request_timeout: Duration::from_millis(500),
        attempt_timeout: Duration::from_millis(300),
        ..PlatformSettings::default()
    };
    let requests = serve_slowly(listener, "a manifest of many queues");
    let client = PlatformClient::new(settings, SystemClock);
    let object = client.get("manifest").await;
    assert_eq!(object, Ok(Some("a manifest of many queues".into())));
    assert_eq!(requests.load(Ordering::SeqCst), 1);
}
