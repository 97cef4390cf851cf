//! Configuration, keys and planned stops, through outages, cuts and races.

#![allow(clippy::unwrap_used, reason = "a failed step of a test ends it")]

use std::time::Duration;

use http::{Method, StatusCode};
use serde_json::{Value, json};
use snipevane_proto::headers::Outcome;
use snipevane_tests::site::{Load, Site, SiteOptions, manifest, send_load, until};
use tokio::time::sleep;
use uuid::Uuid;

const PROGRAM: &str = env!("CARGO_BIN_EXE_site-process");
const SIGSTOP: i32 = 19;
const SIGCONT: i32 = 18;
const SIGTERM: i32 = 15;

async fn ms(ms: u64) {
    sleep(Duration::from_millis(ms)).await;
}

fn with_limit(options: &SiteOptions, limit: u32) -> Value {
    let mut manifest = manifest(options);
    manifest["teams"][0]["limit"] = limit.into();
    manifest
}

fn apply_body(based_on: u64, manifest: &Value) -> Value {
    json!({ "based_on": based_on, "write_id": Uuid::now_v7(), "manifest": manifest })
}

async fn version_at(site: &Site, entry: usize) -> u64 {
    let status = site.entries[entry].operator().get_json("/v1/status").await;
    status["version"].as_u64().unwrap()
}

async fn everywhere(site: &Site, version: u64) {
    for entry in 0..site.entries.len() {
        until("the version is in force", async || {
            version_at(site, entry).await >= version
        })
        .await;
    }
}

#[tokio::test]
async fn one_of_two_racing_manifests_wins_and_the_other_is_told() {
    let options = SiteOptions::default();
    let site = Site::start(PROGRAM, options.clone()).await;
    let (one, two) = (with_limit(&options, 16), with_limit(&options, 20));
    let (a, b) = (site.entries[0].operator(), site.entries[3].operator());
    let (one, two) = (apply_body(1, &one), apply_body(1, &two));
    let (one, two) = tokio::join!(
        a.post_json("/v1/config", &one),
        b.post_json("/v1/config", &two)
    );
    let mut statuses = [one.status, two.status];
    statuses.sort();
    assert_eq!(
        statuses,
        [StatusCode::OK, StatusCode::CONFLICT],
        "{one:?} {two:?}"
    );
    let lost = if one.status == StatusCode::CONFLICT {
        one
    } else {
        two
    };
    assert_eq!(lost.json()["in_force"], 2);
    everywhere(&site, 2).await;
}

#[tokio::test]
async fn a_manifest_whose_answer_is_lost_is_accepted_once() {
    let options = SiteOptions::default();
    let site = Site::start(PROGRAM, options.clone()).await;
    let next = with_limit(&options, 16);
    // Shards' rows are written meanwhile, so that some of the lost answers are theirs.
    site.platform_faults(json!({ "lose_answers": 4 })).await;
    let answer = site.entries[1]
        .operator()
        .post_json("/v1/config", &apply_body(1, &next))
        .await;
    assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
    assert_eq!(answer.json()["version"], 2);
    let again = site.entries[2]
        .operator()
        .post_json("/v1/config", &apply_body(1, &next))
        .await;
    assert_eq!(again.json()["version"], 2);
    assert_eq!(again.json()["already_in_force"], true);
    everywhere(&site, 2).await;
}

#[tokio::test]
async fn versions_never_fall_while_reads_are_stale_and_processes_restart() {
    let options = SiteOptions::default();
    let mut site = Site::start(PROGRAM, options.clone()).await;
    for version in 1..6u64 {
        let stale = version % 2 == 0;
        site.platform_faults(json!({})).await;
        let limit = u32::try_from(15 + version).unwrap();
        assert_eq!(
            site.apply(version, &with_limit(&options, limit)).await,
            version + 1
        );
        everywhere(&site, version + 1).await;
        site.platform_faults(json!({ "stale_reads": stale })).await;
        site.restart_entry(1);
        for _ in 0..10 {
            assert!(version_at(&site, 0).await > version);
            ms(20).await;
        }
        everywhere(&site, version + 1).await;
    }
}

#[tokio::test]
async fn an_outage_stops_changes_and_no_work() {
    let options = SiteOptions::default();
    let mut site = Site::start(PROGRAM, options.clone()).await;
    let (id, key) = site.give_key("ledger").await;
    let (_, other) = site.give_key("audit").await;
    site.platform_faults(json!({ "down": true })).await;
    let refused = site.entries[0].operator();
    let refused = refused
        .post_json("/v1/config", &apply_body(1, &with_limit(&options, 20)))
        .await;
    assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(refused.headers.contains_key("retry-after"));
    // Longer than the written ceilings of identifiers last.
    ms(4_500).await;
    for entry in &site.entries {
        let caller = entry.caller().with_key(&key);
        let id = Uuid::now_v7().to_string();
        let answer = caller
            .post("rollups", &[("idempotency-key", &id)], "pack")
            .await
            .unwrap();
        assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
    }
    // A process that starts now gets configuration and keys from its peers.
    site.restart_entry(1);
    until("the restarted entry VM serves", async || {
        let caller = site.entries[1].caller().with_key(&other);
        caller
            .post("ticks", &[], "tick")
            .await
            .is_ok_and(|answer| answer.status.is_success())
    })
    .await;
    let withdrawn = site.entries[0].operator();
    let path = format!("/v1/keys/{id}");
    let withdrawn = withdrawn
        .send(Method::DELETE, &path, &[], "")
        .await
        .unwrap()
        .json();
    assert_eq!(withdrawn["stored"], false);
    assert_eq!(
        withdrawn["confirmed_zones"],
        json!(["a", "b"]),
        "{withdrawn}"
    );
    for entry in &site.entries {
        let answer = entry
            .caller()
            .with_key(&key)
            .post("ticks", &[], "")
            .await
            .unwrap();
        assert_eq!(answer.status, StatusCode::UNAUTHORIZED);
        assert_eq!(answer.outcome(), Some(Outcome::NotRun));
    }
    site.platform_faults(json!({})).await;
    until("the withdrawal is stored", async || {
        let row = json!({ "key": format!("key/{id}") });
        let row = site
            .platform_client()
            .post_json("/table/read", &row)
            .await
            .json();
        row["value"]["withdrawn"] == true
    })
    .await;
    let runs = site.runs_by_id().await;
    assert!(runs.values().all(|&count| count == 1), "{runs:?}");
}

#[tokio::test]
async fn an_entry_vm_without_platform_and_peers_is_not_ready_and_says_why() {
    let site = Site::start_bare(PROGRAM, SiteOptions::default()).await;
    let health = site.entries[0]
        .caller()
        .send(Method::GET, "/healthz", &[], "")
        .await
        .unwrap();
    assert_eq!(health.status, StatusCode::SERVICE_UNAVAILABLE);
    let detail = health.json()["detail"].as_str().unwrap().to_owned();
    assert!(detail.contains("no configuration"), "{detail}");
    let refused = site.entries[0]
        .caller()
        .post("ticks", &[], "")
        .await
        .unwrap();
    assert_eq!(refused.outcome(), Some(Outcome::NotRun));
}

#[rstest::rstest]
#[case::refuse_soon(0, StatusCode::SERVICE_UNAVAILABLE)]
#[case::go_on(3_600_000, StatusCode::OK)]
#[tokio::test]
async fn a_cut_off_zone_accepts_keys_as_set(#[case] serve_ms: u64, #[case] expected: StatusCode) {
    let options = SiteOptions::default();
    let site = Site::start(PROGRAM, options.clone()).await;
    let (_, key) = site.give_key("ledger").await;
    let mut next = manifest(&options);
    next["keys"] = json!({ "cut_off_serve_ms": serve_ms });
    site.apply(1, &next).await;
    everywhere(&site, 2).await;
    // Zone a loses the platform and everything of zone b.
    site.platform_faults(json!({ "cut": ["entry-a-0", "entry-a-1"] }))
        .await;
    for entry in site.entries.iter().filter(|entry| entry.zone == "b") {
        entry.process.signal(SIGSTOP);
    }
    ms(3_500).await;
    let caller = site.entries[0].caller().with_key(&key);
    assert_eq!(
        caller.post("ticks", &[], "").await.unwrap().status,
        expected
    );
    let open = site.entries[0]
        .caller()
        .post("public", &[], "")
        .await
        .unwrap();
    assert_eq!(open.status, StatusCode::OK);
    for entry in site.entries.iter().filter(|entry| entry.zone == "b") {
        entry.process.signal(SIGCONT);
    }
    site.platform_faults(json!({})).await;
    until("keys are accepted again", async || {
        caller
            .post("ticks", &[], "")
            .await
            .is_ok_and(|answer| answer.status.is_success())
    })
    .await;
}

#[tokio::test]
async fn a_planned_stop_cuts_off_nothing() {
    let mut site = Site::start(PROGRAM, SiteOptions::default()).await;
    let (_, key) = site.give_key("ledger").await;
    let stopping = site.entries[0].caller().with_key(&key);
    let load = Load {
        callers: 12,
        requests: 40,
        run_ms: 30,
        // While the shard changes hands, refusals as not run are allowed.
        attempts: 500,
        ..Load::default()
    }
    .patient();
    // Callers of the stopping VM; the balancer takes it out when its health check fails.
    let in_flight = tokio::spawn(async move {
        let mut answers = Vec::new();
        for _ in 0..4 {
            let calls = (0..8).map(|_| stopping.post("ticks", &[("x-test-run-ms", "120")], ""));
            let mut calls: Vec<_> = calls.collect();
            while let Some(call) = calls.pop() {
                answers.push(call.await);
            }
        }
        answers
    });
    let others: Vec<_> = site.callers().split_off(1);
    let others = tokio::spawn(async move { send_load(&others, &key, &load).await });
    ms(200).await;
    site.entries[0].process.signal(SIGTERM);
    let caller = site.entries[0].caller();
    until("the balancer's health check fails", async || {
        let health = caller.send(Method::GET, "/healthz", &[], "").await;
        health.is_ok_and(|answer| answer.status == StatusCode::SERVICE_UNAVAILABLE)
    })
    .await;
    assert_eq!(site.entries[0].process.wait(), Some(0));
    let outcomes = others.await.unwrap();
    assert_eq!(
        outcomes.answered(),
        outcomes.by_id.len(),
        "{:?}",
        outcomes.unanswered()
    );
    outcomes.check(&site.runs_by_id().await);
    // Requests end well until the listener closes; after that the connection is refused.
    let answers = in_flight.await.unwrap();
    let cut: Vec<_> = answers
        .iter()
        .filter_map(|answer| answer.as_ref().err())
        .filter(|error| !error.0.contains("client error (Connect)"))
        .collect();
    assert!(cut.is_empty(), "{cut:?}");
    assert!(
        answers
            .iter()
            .flatten()
            .all(|answer| answer.status.is_success()),
        "{answers:?}"
    );
}

#[tokio::test]
async fn identifiers_are_accepted_again_after_writes_that_landed_late() {
    let site = Site::start(PROGRAM, SiteOptions::default()).await;
    let (_, key) = site.give_key("ledger").await;
    // Writes take effect, their answers are lost, and reads don't show them.
    site.platform_faults(json!({ "stale_reads": true, "lose_answers": 200 }))
        .await;
    ms(2_500).await;
    site.platform_faults(json!({})).await;
    // Longer than the ceilings that were written last hold.
    ms(4_500).await;
    for _ in 0..24 {
        let caller = site.entries[0].caller().with_key(&key);
        let id = Uuid::now_v7().to_string();
        let answer = caller
            .post("rollups", &[("idempotency-key", &id)], "pack")
            .await
            .unwrap();
        assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
        ms(5).await;
    }
}
