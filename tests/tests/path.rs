//! End-to-end requests through a site of separate processes.

use http::{Method, StatusCode};
use snipevane_proto::headers::Outcome;
use snipevane_tests::site::{Site, SiteOptions};
use uuid::Uuid;

const PROGRAM: &str = env!("CARGO_BIN_EXE_site-process");

#[tokio::test]
async fn a_request_is_served_from_end_to_end() {
    let site = Site::start(PROGRAM, SiteOptions::default()).await;
    let (_, key) = site.give_key("ledger").await;
    for entry in &site.entries {
        let caller = entry.caller().with_key(&key);
        let answer = caller.post("ticks", &[], "tick").await.unwrap();
        assert_eq!(answer.status, StatusCode::OK, "{:?}", answer.body);
        assert_eq!(answer.outcome(), Some(Outcome::Answered));
        let id = Uuid::now_v7().to_string();
        let headers = [("idempotency-key", id.as_str())];
        let first = caller.post("rollups", &headers, "pack").await.unwrap();
        assert_eq!(first.status, StatusCode::OK, "{:?}", first.body);
        // A retry at any entry VM returns the first response and runs nothing.
        for other in &site.entries {
            let again = caller.at(other.process.addresses[0]);
            let again = again.post("rollups", &headers, "pack").await.unwrap();
            assert_eq!(again.body, first.body);
        }
    }
    let runs = site.runs_by_id().await;
    assert_eq!(runs.len(), site.entries.len());
    assert!(runs.values().all(|&count| count == 1), "{runs:?}");
}

#[tokio::test]
async fn bad_requests_get_their_own_refusals() {
    let site = Site::start(PROGRAM, SiteOptions::default()).await;
    let (_, key) = site.give_key("ledger").await;
    let anyone = site.entries[0].caller();
    let caller = anyone.clone().with_key(&key);
    let other = anyone
        .clone()
        .with_key(&format!("sv1.{}.{}", "00", "00".repeat(32)));
    let id = [("idempotency-key", "no uuid")];
    let v4 = [("idempotency-key", "9f3c2a1e-1d7c-4b58-8a51-0d9f0a3f2b11")];
    let deadline = [("snipevane-deadline-ms", "soon")];
    let large = "x".repeat(2 << 20);
    let cases = [
        (
            anyone.post("ticks", &[], "").await,
            StatusCode::UNAUTHORIZED,
        ),
        (other.post("ticks", &[], "").await, StatusCode::UNAUTHORIZED),
        (caller.post("nothing", &[], "").await, StatusCode::NOT_FOUND),
        (
            caller.send(Method::GET, "/", &[], "").await,
            StatusCode::NOT_FOUND,
        ),
        (
            caller.post("rollups", &id, "").await,
            StatusCode::BAD_REQUEST,
        ),
        (
            caller.post("rollups", &v4, "").await,
            StatusCode::BAD_REQUEST,
        ),
        (
            caller.post("ticks", &deadline, "").await,
            StatusCode::BAD_REQUEST,
        ),
        (
            caller.post("ticks", &[], &large).await,
            StatusCode::PAYLOAD_TOO_LARGE,
        ),
    ];
    for (answer, status) in cases {
        let answer = answer.unwrap();
        assert_eq!(answer.status, status, "{:?}", answer.body);
        assert_eq!(answer.outcome(), Some(Outcome::NotRun));
        assert_eq!(answer.headers["content-type"], "application/problem+json");
    }
    assert_eq!(
        anyone.post("public", &[], "").await.unwrap().status,
        StatusCode::OK
    );
    let used = Uuid::now_v7().to_string();
    let used = [("idempotency-key", used.as_str())];
    assert_eq!(
        caller.post("rollups", &used, "one").await.unwrap().status,
        StatusCode::OK
    );
    let differs = caller.post("rollups", &used, "two").await.unwrap();
    assert_eq!(differs.status, StatusCode::UNPROCESSABLE_ENTITY);
}
