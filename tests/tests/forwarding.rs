//! Forwarding of requests between entry VMs.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use http::{Method, StatusCode};
use serde_json::json;
use snipevane_tests::site::{Caller, Site, SiteOptions};
use tokio::task::JoinSet;
use uuid::Uuid;

const PROGRAM: &str = env!("CARGO_BIN_EXE_site-process");
/// Number of requests that are forwarded for each team.
const REQUESTS: usize = 40;
/// Number of slots of the entry VM that receives the requests.
const SLOTS: usize = 8;

/// Forwards a request for which the sender holds the unit, and returns the response's status.
async fn forward(peer: Caller, team: &'static str) -> StatusCode {
    let forward = json!({
        "purpose": "place", "queue": "ticks", "team": team, "method": "POST", "path": "/work",
        "deadline_ms": 30_000, "wait_ms": 30_000, "exchange": Uuid::now_v7(), "unit_held": true
    });
    let forward = forward.to_string();
    let headers = [
        ("snipevane-forward", forward.as_str()),
        ("x-test-run-ms", "300"),
    ];
    let answer = peer.send(Method::POST, "/forward", &headers, "").await;
    answer.unwrap().status
}

#[tokio::test]
async fn forwarded_requests_with_a_unit_share_the_slots_by_team() {
    let site = Site::start(PROGRAM, SiteOptions::default()).await;
    let mut calls = JoinSet::new();
    // The team with a share of 1 sends its requests first, the one with a share of 8 after it.
    for team in ["audit", "ledger"] {
        for _ in 0..REQUESTS {
            calls.spawn(forward(site.entries[0].peer(), team));
        }
        tokio::time::sleep(std::time::Duration::from_millis(50)).await;
    }
    assert!(
        calls
            .join_all()
            .await
            .iter()
            .all(|&status| status == StatusCode::OK)
    );
    let records = site.records().await;
    let mut starts: Vec<(u64, String)> = records
        .into_iter()
        .flat_map(|record| record.runs)
        .map(|run| (run.start_us, run.team))
        .collect();
    starts.sort();
    // The first slots go to the team that came first. Of the next 27 starts, 24 are ledger's by its
    // share; the use of the first slots counts against the other team.
    let later = starts.iter().skip(SLOTS).take(27);
    let ledger = later.filter(|(_, team)| team == "ledger").count();
    println!("ledger has {ledger} of 27 starts");
    assert!(ledger >= 24, "{starts:?}");
}
