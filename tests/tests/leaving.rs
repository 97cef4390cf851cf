//! A backend server that leaves gets nothing new, and one that only closes connections does.

#![allow(clippy::unwrap_used, reason = "a failed step of a test ends it")]

use std::time::{Duration, SystemTime};

use http::StatusCode;
use rstest::rstest;
use serde_json::{Value, json};
use snipevane_tests::site::{Answer, CallError, Caller, Site, SiteOptions, until};
use tokio::task::JoinSet;
use tokio::time::sleep;

const PROGRAM: &str = env!("CARGO_BIN_EXE_site-process");
/// Time after the first sign from which a leaving backend server gets nothing new.
const NOTHING_NEW_AFTER: Duration = Duration::from_secs(5);
/// Requests that each caller sends, one after the other.
const REQUESTS: usize = 360;
const CALLERS: usize = 8;

/// How a backend server shows that it leaves.
#[derive(Clone, Copy, Debug)]
enum Way {
    OwnHeader,
    PlatformsList,
    DeclinedHealthCheck,
}

impl Way {
    async fn begin(self, site: &Site) {
        match self {
            Self::OwnHeader => site.backends[0].faults(json!({ "leaving": true })).await,
            Self::DeclinedHealthCheck => {
                let faults = json!({ "decline_health": true });
                site.backends[0].faults(faults).await;
            }
            Self::PlatformsList => publish(site, "leaving").await,
        }
    }
}

/// Gives the platform a list in which the first backend server has a state.
async fn publish(site: &Site, state: &str) {
    let entries = site.entries.iter();
    let entries = entries.map(|entry| row(&entry.vm, "entry", entry.peer_address(), entry.zone));
    let backends = site.backends.iter().map(|backend| {
        let address = backend.process.addresses[0];
        row(&backend.vm, "backend", address, backend.zone)
    });
    let mut rows: Vec<Value> = entries.chain(backends).collect();
    let first = rows.iter_mut().find(|row| row["id"] == "backend-a-0");
    first.unwrap()["state"] = state.into();
    let list = json!({ "vms": rows });
    site.platform_client().post_json("/vms", &list).await;
}

fn row(id: &str, role: &str, address: std::net::SocketAddr, zone: &str) -> Value {
    json!({
        "id": id, "role": role, "address": address.to_string(), "zone": zone,
        "rack": "rack-0", "state": "live"
    })
}

async fn call_all(callers: Vec<Caller>, requests: usize) -> Vec<Result<Answer, CallError>> {
    let mut tasks = JoinSet::new();
    for number in 0..CALLERS {
        let caller = callers[number % callers.len()].clone();
        tasks.spawn(async move {
            let mut answers = Vec::new();
            for _ in 0..requests {
                answers.push(caller.post("ticks", &[("x-test-run-ms", "10")], "").await);
                sleep(Duration::from_millis(10)).await;
            }
            answers
        });
    }
    tasks.join_all().await.concat()
}

async fn with_key(site: &Site) -> Vec<Caller> {
    let (_, key) = site.give_key("registry").await;
    let callers = site.callers();
    callers
        .into_iter()
        .map(|caller| caller.with_key(&key))
        .collect()
}

fn failed(answers: &[Result<Answer, CallError>]) -> Vec<&Result<Answer, CallError>> {
    let ok = |answer: &&Result<Answer, CallError>| !matches!(answer, Ok(answer) if answer.status == StatusCode::OK);
    answers.iter().filter(ok).collect()
}

/// Returns the fields of an entry VM's events of one kind about the first backend server.
async fn events_of(site: &Site, entry: usize, number: u64) -> Vec<Value> {
    let events = site.entries[entry].operator().get_json("/v1/events").await;
    let events = events["events"].as_array().unwrap().clone();
    let of_kind = events.into_iter().filter(|event| {
        event["number"] == number && event["fields"].to_string().contains("backend-a-0")
    });
    of_kind.map(|event| event["fields"].clone()).collect()
}

#[rstest]
#[case(Way::OwnHeader)]
#[case(Way::PlatformsList)]
#[case(Way::DeclinedHealthCheck)]
#[tokio::test]
async fn a_leaving_backend_server_gets_nothing_new_and_no_caller_sees_it(#[case] way: Way) {
    let mut site = Site::start(PROGRAM, SiteOptions::default()).await;
    let callers = with_key(&site).await;
    let load = tokio::spawn(call_all(callers, REQUESTS));
    sleep(Duration::from_millis(200)).await;
    way.begin(&site).await;
    let begun = SystemTime::now();
    sleep(NOTHING_NEW_AFTER).await;
    let bound = begun + NOTHING_NEW_AFTER;
    let bound_us = bound
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap()
        .as_micros() as u64;
    let answers = load.await.unwrap();
    let ended_us = SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap()
        .as_micros() as u64;
    let runs = site.backends[0].record().await.runs;
    let late = runs.iter().filter(|run| run.start_us > bound_us).count();
    let last = runs.last().unwrap().start_us;
    println!(
        "{way:?}: {} answers, {} failed, {} runs there, {late} after {NOTHING_NEW_AFTER:?}, \
         load went on {} ms after it, last {} ms before it",
        answers.len(),
        failed(&answers).len(),
        runs.len(),
        (ended_us - bound_us) / 1000,
        (bound_us as i64 - last as i64) / 1000,
    );
    assert_eq!(late, 0);
    assert!(failed(&answers).is_empty(), "{:?}", failed(&answers));
    for entry in 0..2 {
        let events = events_of(&site, entry, 1060).await;
        assert_eq!(events.len(), 1, "{events:?}");
    }
    site.unlist("backend-a-0").await;
    for entry in 0..2 {
        until("the server is gone", async || {
            events_of(&site, entry, 1061).await.len() == 1
        })
        .await;
    }
    publish(&site, "live").await;
    for entry in 0..2 {
        until("the server is back", async || {
            events_of(&site, entry, 1062).await.len() == 1
        })
        .await;
    }
}

#[tokio::test]
async fn a_service_whose_servers_all_close_connections_once_goes_on() {
    let site = Site::start(PROGRAM, SiteOptions::default()).await;
    let callers = with_key(&site).await;
    let headers = [("x-test-close", "1"), ("x-test-run-ms", "100")];
    for caller in &callers {
        // More at once than one server has slots for, so that both close connections.
        let calls = (0..6).map(|_| {
            let caller = caller.clone();
            async move { caller.post("ticks", &headers, "").await }
        });
        for answer in calls.collect::<JoinSet<_>>().join_all().await {
            assert_eq!(answer.unwrap().status, StatusCode::OK);
        }
    }
    // The platform's list is read meanwhile.
    sleep(Duration::from_millis(300)).await;
    let answers = call_all(callers, 100).await;
    let failed = failed(&answers);
    println!("{} answers, {} failed", answers.len(), failed.len());
    assert!(failed.is_empty(), "{:?}", failed.first());
    for record in site.records().await {
        assert!(record.most_connections <= 64, "{record:?}");
    }
}
