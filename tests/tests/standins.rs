//! Behavior of the stand-ins on which all other test suites rely.

#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use proptest::prelude::{ProptestConfig, Strategy, any, proptest};
use proptest::test_runner::RngSeed;
use rstest::rstest;
use snipevane_proto::headers::{DEADLINE_MS, EXCHANGE, OUTCOME, SERVER_STATE, TEAM};
use snipevane_proto::platform::{Answer, BackendFaults, BackendRecord, RunEntry};
use snipevane_standin::{
    Backend, BackendStandinSettings, RunningBackend, most_running, read_settings,
};

type HttpClient = Client<HttpConnector, Full<Bytes>>;

async fn backend(slots: u32, connections: u32) -> RunningBackend {
    let settings = BackendStandinSettings {
        slots,
        connections,
        ..BackendStandinSettings::default()
    };
    Backend::start(settings).await.unwrap()
}

fn client() -> HttpClient {
    Client::builder(TokioExecutor::new()).build_http()
}

fn request(address: SocketAddr, headers: &[(&str, &str)]) -> Request<Full<Bytes>> {
    let mut req = Request::post(format!("http://{address}/run"));
    for (name, value) in headers {
        req = req.header(*name, *value);
    }
    req.body(Full::new(Bytes::from_static(b"tick"))).unwrap()
}

/// Waits until the record meets a condition; the calling test fails through its own timeout.
async fn wait_for(backend: &RunningBackend, seen: impl Fn(&BackendRecord) -> bool) {
    while !seen(&backend.record()) {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}

#[tokio::test]
async fn a_request_beyond_the_slots_is_declined_and_not_recorded() {
    let backend = backend(2, 64).await;
    let client = client();
    let headers = [("x-test-run-ms", "300"), (TEAM, "ledger")];
    for _ in 0..2 {
        tokio::spawn(client.request(request(backend.address(), &headers)));
    }
    wait_for(&backend, |record| record.running == 2).await;
    let response = client.request(request(backend.address(), &headers)).await;
    let response = response.unwrap();
    assert_eq!(response.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(response.headers()[OUTCOME], "not-run");
    wait_for(&backend, |record| record.running == 0).await;
    let record = backend.record();
    assert_eq!((record.runs.len(), record.refused), (2, 1));
    assert_eq!(most_running(&[record], "ledger"), 2);
}

/// A run keeps its slot until it ends, even if its caller disconnects.
#[tokio::test]
async fn a_run_goes_on_after_its_caller_hung_up() {
    let backend = backend(1, 64).await;
    let client = client();
    let running = client.request(request(backend.address(), &[("x-test-run-ms", "300")]));
    let running = tokio::spawn(running);
    wait_for(&backend, |record| record.running == 1).await;
    running.abort();
    wait_for(&backend, |record| record.open_connections == 0).await;
    assert_eq!(backend.record().running, 1);
    wait_for(&backend, |record| record.running == 0).await;
    let run = &backend.record().runs[0];
    assert!(run.end_us - run.start_us >= 300_000);
}

#[rstest]
#[case::plain(&[], true, Some(true))]
#[case::large(&[("x-test-answer-bytes", "300000")], true, Some(true))]
#[case::no_time_left(&[(DEADLINE_MS, "0")], false, Some(false))]
#[case::cut(&[("x-test-cut-body", "1")], true, None)]
#[case::wrong_length(&[("x-test-wrong-length", "5")], true, Some(false))]
#[case::two_answers(&[("x-test-two-answers", "1")], true, Some(true))]
#[tokio::test]
async fn an_answer_is_whole_unless_asked_otherwise(
    #[case] headers: &[(&str, &str)],
    #[case] runs: bool,
    #[case] own_complete_response: Option<bool>,
) {
    let backend = backend(8, 64).await;
    let mut headers = headers.to_vec();
    headers.push((EXCHANGE, "e-7"));
    let response = client().request(request(backend.address(), &headers)).await;
    let body = response.unwrap().into_body().collect().await;
    let whole = body.ok().map(|body| {
        let answer: Result<Answer, _> = serde_json::from_slice(&body.to_bytes());
        answer.is_ok_and(|answer| answer.exchange == "e-7")
    });
    assert_eq!(whole, own_complete_response);
    assert_eq!(backend.record().runs.len(), usize::from(runs));
}

#[tokio::test]
async fn a_closed_port_refuses_connections_and_opens_again() {
    let backend = backend(8, 64).await;
    let refuse = BackendFaults {
        refuse_connections: true,
        ..BackendFaults::default()
    };
    backend.set_faults(refuse);
    let client = client();
    let refused = loop {
        let Err(error) = client.request(request(backend.address(), &[])).await else {
            // The port closes shortly after the fault is set.
            tokio::time::sleep(Duration::from_millis(2)).await;
            continue;
        };
        break error.is_connect();
    };
    assert!(refused);
    backend.set_faults(BackendFaults::default());
    while client
        .request(request(backend.address(), &[]))
        .await
        .is_err()
    {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}

#[tokio::test]
async fn a_frozen_server_runs_nothing_whose_deadline_passed() {
    let backend = backend(8, 64).await;
    backend.set_faults(BackendFaults {
        freeze: true,
        ..BackendFaults::default()
    });
    let headers = [(DEADLINE_MS, "50")];
    let waiting = client().request(request(backend.address(), &headers));
    let waiting = tokio::spawn(waiting);
    let started = Instant::now();
    while started.elapsed() < Duration::from_millis(100) {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    backend.set_faults(BackendFaults::default());
    let response = waiting.await.unwrap().unwrap();
    assert_eq!(response.headers()[OUTCOME], "not-run");
    assert!(backend.record().runs.is_empty());
}

#[tokio::test]
async fn a_leaving_server_says_so_and_closes() {
    let backend = backend(8, 64).await;
    backend.set_faults(BackendFaults {
        leaving: true,
        ..BackendFaults::default()
    });
    let response = client().request(request(backend.address(), &[])).await;
    let response = response.unwrap();
    assert_eq!(response.status(), StatusCode::OK);
    assert_eq!(response.headers()[SERVER_STATE], "leaving");
    assert_eq!(response.headers()["connection"], "close");
}

#[tokio::test]
async fn connections_beyond_the_bound_are_closed() {
    let backend = backend(8, 1).await;
    let first = client();
    first
        .request(request(backend.address(), &[]))
        .await
        .unwrap();
    assert!(
        client()
            .request(request(backend.address(), &[]))
            .await
            .is_err()
    );
    assert_eq!(backend.record().most_connections, 1);
}

#[test]
fn settings_are_refused_with_every_finding() {
    let path = std::env::temp_dir().join(format!("standin-{}.json", std::process::id()));
    std::fs::write(&path, r#"{"listen":"localhost:1","slot":3,"slots":-1}"#).unwrap();
    let findings = read_settings::<BackendStandinSettings>(&path).unwrap_err();
    std::fs::remove_file(&path).unwrap();
    let places = findings.list.iter().map(|finding| finding.pointer.as_str());
    assert_eq!(places.collect::<Vec<_>>(), ["/listen", "/slot", "/slots"]);
}

/// Reference implementation that counts, for each start, the runs whose interval contains it.
fn most_running_naive(runs: &[RunEntry]) -> usize {
    let at = |time: u64| {
        let holds = |run: &&RunEntry| {
            run.start_us <= time && (run.end_us == 0 || time < run.end_us.max(run.start_us + 1))
        };
        runs.iter().filter(holds).count()
    };
    runs.iter().map(|run| at(run.start_us)).max().unwrap_or(0)
}

fn run_entry() -> impl Strategy<Value = RunEntry> {
    (1..60_u64, 0..20_u64, any::<bool>()).prop_map(|(start_us, time, ended)| RunEntry {
        server: "b".into(),
        exchange: String::new(),
        idempotency_key: String::new(),
        team: "ledger".into(),
        queue: String::new(),
        body_hash: String::new(),
        start_us,
        end_us: if ended { start_us + time } else { 0 },
        running_server: 0,
        running_team: 0,
    })
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 500,
        rng_seed: RngSeed::Fixed(0x5eed_0005),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn most_running_matches_the_naive_count(
        runs in proptest::collection::vec(run_entry(), 0..40),
    ) {
        let expected = most_running_naive(&runs);
        let records: Vec<_> = runs.chunks(7).map(|runs| BackendRecord {
            server: "b".into(),
            runs: runs.to_vec(),
            refused: 0,
            running: 0,
            most_running: 0,
            open_connections: 0,
            most_connections: 0,
        }).collect();
        assert_eq!(most_running(&records, "ledger"), expected);
        assert_eq!(most_running(&records, "other"), 0);
    }
}
