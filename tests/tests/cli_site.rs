//! Tests of the command line's output and exit codes against a site of separate processes.

use http::Method;
use serde_json::{Value, json};
use snipevane_core::timeline::Hlc;
use snipevane_proto::peer::{Heartbeat, PROTOCOL};
use snipevane_tests::operator::Operator;
use snipevane_tests::site::{Caller, Site, SiteOptions, manifest, until};
use uuid::Uuid;

const SITE: &str = env!("CARGO_BIN_EXE_site-process");
const CLI: &str = env!("CARGO_BIN_EXE_cli-process");
const PEER_KEY: &str = "peer-key-of-the-tests";

#[tokio::test(flavor = "multi_thread")]
async fn a_manifest_is_applied_once_and_races_have_one_winner() {
    let options = SiteOptions::default();
    let mut value = manifest(&options);
    let site = Site::start(SITE, options).await;
    let operator = Operator::of_site(CLI, "apply", &site);
    let first = operator.files.write("first.json", &value.to_string());
    let run = operator.run(&["apply", &first]);
    assert_eq!(
        (run.code, run.out.as_str()),
        (Some(0), "version 1: already in force\n")
    );

    value["teams"][0]["limit"] = json!(11);
    let second = operator.files.write("second.json", &value.to_string());
    let run = operator.run(&["apply", &second, "--based-on", "1", "--wait"]);
    assert_eq!(run.code, Some(0), "{}", run.err);
    assert!(run.out.starts_with("version 2: accepted\n"), "{}", run.out);
    for zone in ["a", "b"] {
        let line = format!("zone {zone}: version 2 in force at 2 of 2 entry VMs");
        assert!(run.out.contains(&line), "{}", run.out);
    }

    value["teams"][0]["limit"] = json!(10);
    let third = operator.files.write("third.json", &value.to_string());
    let run = operator.run(&["apply", &third, "--based-on", "1"]);
    assert_eq!(run.code, Some(1));
    assert!(run.err.contains("version 2 is in force"), "{}", run.err);
    // A return to the first manifest is a new version.
    let run = operator.run(&["apply", &first, "--wait", "--json"]);
    assert_eq!(run.code, Some(0), "{}", run.err);
    let outcome = run.json();
    assert_eq!(outcome["version"], 3);
    assert_eq!(outcome["zones"]["a"], json!({ "done": 2, "known": 2 }));

    value["teams"][0]["limit"] = json!(0);
    let wrong = operator.files.write("wrong.json", &value.to_string());
    let run = operator.run(&["apply", &wrong]);
    assert_eq!(run.code, Some(2));
    assert!(run.err.contains("/teams/0/limit"), "{}", run.err);

    site.platform_faults(json!({ "down": true })).await;
    let run = operator.run(&["apply", &third, "--based-on", "3"]);
    assert_eq!(run.code, Some(1));
    assert!(run.err.contains("try again after 5 s"), "{}", run.err);
}

/// If a write took effect but the table's response was lost, the operator still learns the version.
#[tokio::test(flavor = "multi_thread")]
async fn a_lost_answer_of_the_table_is_resolved() {
    let options = SiteOptions::default();
    let mut value = manifest(&options);
    let site = Site::start(SITE, options).await;
    let operator = Operator::of_site(CLI, "lost", &site);
    // Another write may consume the injected fault, so the platform's record is checked for an
    // apply whose response was lost.
    for version in 2..40 {
        value["teams"][0]["limit"] = json!(50 - version);
        let file = operator.files.write("next.json", &value.to_string());
        site.platform_faults(json!({ "lose_answers": 1 })).await;
        let run = operator.run(&["apply", &file, "--based-on", &(version - 1).to_string()]);
        assert_eq!(run.code, Some(0), "{}", run.err);
        assert_eq!(run.out, format!("version {version}: accepted\n"));
        let record = site.platform_client().get_json("/record").await;
        let commits = record["commits"].as_array().cloned().unwrap_or_default();
        let lost = |commit: &Value| {
            commit["answered"] == false
                && commit["keys"]
                    .as_array()
                    .is_some_and(|keys| keys.contains(&json!("config/head")))
        };
        if commits.iter().any(lost) {
            return;
        }
    }
    panic!("no apply lost its answer");
}

/// Stale reads, which return the row before the latest write, don't make a replaced version count
/// as the one in force.
#[tokio::test(flavor = "multi_thread")]
async fn an_old_row_doesnt_make_a_replaced_manifest_the_one_in_force() {
    let options = SiteOptions::default();
    let mut value = manifest(&options);
    let site = Site::start(SITE, options).await;
    let operator = Operator::of_site(CLI, "stale", &site);
    let first = operator.files.write("first.json", &value.to_string());
    value["teams"][0]["limit"] = json!(11);
    let second = operator.files.write("second.json", &value.to_string());
    assert_eq!(operator.run(&["apply", &second, "--wait"]).code, Some(0));
    site.platform_faults(json!({ "stale_reads": true })).await;
    let run = operator.run(&["apply", &first, "--based-on", "1"]);
    assert_eq!(run.code, Some(1), "{}", run.out);
    for entry in &site.entries {
        assert_eq!(entry.operator().get_json("/v1/config").await["version"], 2);
    }
    site.platform_faults(json!({})).await;
    let run = operator.run(&["apply", &first, "--based-on", "2"]);
    assert_eq!(run.out, "version 3: accepted\n", "{}", run.err);
}

/// An entry VM that restarts while reads are stale doesn't put an older version in force.
#[tokio::test(flavor = "multi_thread")]
async fn a_restart_with_old_rows_brings_no_older_version_in_force() {
    let options = SiteOptions::default();
    let mut value = manifest(&options);
    let mut site = Site::start(SITE, options).await;
    let operator = Operator::of_site(CLI, "restart", &site);
    value["teams"][0]["limit"] = json!(11);
    let second = operator.files.write("second.json", &value.to_string());
    assert_eq!(operator.run(&["apply", &second, "--wait"]).code, Some(0));
    site.platform_faults(json!({ "stale_reads": true })).await;
    site.restart_entry(3);
    let restarted = site.entries[3].operator();
    until("the restarted VM has the version in force", async || {
        restarted.get_json("/v1/status").await["version"] == 2
    })
    .await;
    let events = restarted.get_json("/v1/events").await;
    let versions: Vec<_> = events["events"]
        .as_array()
        .into_iter()
        .flatten()
        .filter(|event| event["number"] == 1020)
        .map(|event| event["fields"]["version"].clone())
        .collect();
    assert_eq!(versions, [json!("2")]);
}

/// A peer whose clock is years ahead is reported once and doesn't advance the logical clocks of
/// others.
#[tokio::test(flavor = "multi_thread")]
async fn a_clock_far_ahead_is_reported_and_not_adopted() {
    let options = SiteOptions {
        entries_per_zone: 1,
        ..SiteOptions::default()
    };
    let site = Site::start(SITE, options).await;
    let operator = Operator::of_site(CLI, "clock", &site);
    let heartbeat = Heartbeat {
        protocol: PROTOCOL,
        vm: "entry-far".to_owned(),
        zone: "b".to_owned(),
        address: site.entries[1].peer_address().to_string(),
        incarnation: Uuid::nil(),
        logical_time: Hlc {
            wall_ms: 4_000_000_000_000,
            logical: 0,
        }
        .pack(),
        ceilings: vec![],
        drained: vec![],
        config_version: 0,
        free_slots: vec![],
        free_units: vec![],
        keys: vec![],
        keys_seen: 0,
        keys_seen_of: None,
        keys_sequence: 0,
        keys_since: 0,
        platform_age_ms: 0,
        settled_version: 0,
        shards: vec![],
        stopping: false,
    };
    let call = json!({
        "jsonrpc": "2.0", "id": 1, "method": "peer_heartbeat", "params": [heartbeat]
    });
    let peer = Caller::new(site.entries[0].peer_address()).with_key(PEER_KEY);
    let headers = [("content-type", "application/json")];
    for _ in 0..3 {
        let answer = peer
            .send(Method::POST, "/rpc", &headers, call.to_string())
            .await;
        assert!(answer.unwrap().json()["result"].is_object());
    }
    let run = operator.run(&["timeline", "--vm", "entry-far"]);
    assert_eq!(
        run.out.matches("SV1043 clock of a peer far ahead").count(),
        1,
        "{}",
        run.out
    );
    let all = operator.run(&["timeline", "--json"]).json();
    let events = all["events"].as_array().cloned().unwrap_or_default();
    assert!(
        events
            .iter()
            .all(|event| event["wall_ms"].as_u64() < Some(4_000_000_000_000))
    );
}

/// Entry VMs send each other the differences between versions, and all of them arrive at the
/// manifest that was applied.
#[tokio::test(flavor = "multi_thread")]
async fn a_change_reaches_all_as_a_difference() {
    let options = SiteOptions::default();
    let mut value = manifest(&options);
    let site = Site::start(SITE, options).await;
    let operator = Operator::of_site(CLI, "spread", &site);
    for version in 2..6 {
        value["teams"][0]["limit"] = json!(50 - version);
        let file = operator.files.write("next.json", &value.to_string());
        let run = operator.run(&["apply", &file, "--wait"]);
        assert_eq!(run.code, Some(0), "{}", run.err);
        for entry in &site.entries {
            let config = entry.operator().get_json("/v1/config").await;
            assert_eq!(config["version"], version);
            assert_eq!(config["manifest"]["teams"], sorted(&value["teams"]));
        }
    }
    let peer = Caller::new(site.entries[3].peer_address()).with_key(PEER_KEY);
    let call = async |have: u64| {
        let call = json!({ "jsonrpc": "2.0", "id": 1, "method": "peer_config", "params": [have] });
        let headers = [("content-type", "application/json")];
        let answer = peer
            .send(Method::POST, "/rpc", &headers, call.to_string())
            .await;
        answer.unwrap().json()["result"].clone()
    };
    let change = call(4).await;
    assert_eq!(change["version"], 5);
    assert_eq!(change["change"]["from"], 4);
    assert_eq!(
        change["change"]["difference"]["put"]["teams"][0]["limit"],
        45
    );
    assert!(change["manifest"].is_null());
    // The peer no longer has this version, so it sends the whole manifest.
    assert!(call(0).await["manifest"].is_string());
}

fn sorted(items: &Value) -> Value {
    let mut items = items.as_array().cloned().unwrap_or_default();
    items.sort_by_key(|item| item["name"].to_string());
    Value::Array(items)
}

#[tokio::test(flavor = "multi_thread")]
async fn keys_are_given_listed_and_withdrawn() {
    let site = Site::start(SITE, SiteOptions::default()).await;
    let operator = Operator::of_site(CLI, "keys", &site);
    let run = operator.run(&["key", "give", "nobody"]);
    assert_eq!(run.code, Some(1), "{}", run.out);
    let given = operator.run(&["key", "give", "ledger", "--json"]).json();
    let (id, key) = (
        given["id"].as_str().unwrap(),
        given["key"].as_str().unwrap(),
    );
    let listed = operator.run(&["key", "list"]);
    assert!(
        listed.out.contains(&format!("{id} ledger valid")),
        "{}",
        listed.out
    );
    assert!(!listed.out.contains(key));
    let caller = site.entries[0].caller().with_key(key);
    assert!(
        caller
            .post("ticks", &[], "")
            .await
            .unwrap()
            .status
            .is_success()
    );

    let run = operator.run(&["key", "withdraw", id]);
    assert_eq!(run.code, Some(0), "{}", run.err);
    assert!(run.out.contains("confirmed by zones: a, b"), "{}", run.out);
    for entry in &site.entries {
        let caller = entry.caller().with_key(key);
        assert_eq!(caller.post("ticks", &[], "").await.unwrap().status, 401);
    }
    let listed = operator.run(&["key", "list", "--json"]).json();
    assert_eq!(
        listed[0],
        json!({ "id": id, "team": "ledger", "withdrawn": true })
    );
    assert_eq!(operator.run(&["key", "withdraw", "no/key"]).code, Some(2));
    assert_eq!(operator.run(&["key", "withdraw", "nokey"]).code, Some(1));
}

#[tokio::test(flavor = "multi_thread")]
async fn the_time_line_is_merged_and_names_who_wasnt_reached() {
    let mut site = Site::start(SITE, SiteOptions::default()).await;
    let operator = Operator::of_site(CLI, "timeline", &site);
    let given = operator.run(&["key", "give", "ledger", "--json"]).json();
    let id = given["id"].as_str().unwrap();
    operator.run(&["key", "withdraw", id]);
    let run = operator.run(&["timeline", "--team", "ledger"]);
    assert_eq!(run.code, Some(0), "{}", run.err);
    let given_at = run.out.find("SV1050 key given");
    let withdrawn_at = run.out.find("SV1051 key withdrawn");
    assert!(given_at.is_some() && given_at < withdrawn_at, "{}", run.out);
    let all = operator
        .run(&["timeline", "--since", "1h", "--json"])
        .json();
    assert_eq!(all["unreachable"], json!([]));
    let events = all["events"].as_array().unwrap();
    let times: Vec<_> = events
        .iter()
        .map(|event| (event["wall_ms"].as_u64(), event["logical"].as_u64()))
        .collect();
    assert!(times.is_sorted());
    for entry in &site.entries {
        assert!(
            events
                .iter()
                .any(|event| event["process"]["vm"] == entry.vm.as_str())
        );
    }

    let one = Operator::new(CLI, "timeline-one", vec![operator.entries[0]]);
    let run = one.run(&["timeline"]);
    assert!(run.out.contains("not reached: entry-b-1"), "{}", run.out);
    let vm = site.entries[3].vm.clone();
    site.remove_entry(3).await;
    until("the peers miss the VM", async || {
        let run = operator.run(&["timeline"]);
        run.code == Some(0) && run.out.contains(&format!("not reached: {vm}"))
    })
    .await;
}

/// A frozen entry VM delays neither the output for the others nor the timeline, and is listed as
/// not reached.
#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_entry_vm_is_named_and_holds_up_nothing() {
    let options = SiteOptions::default();
    let mut value = manifest(&options);
    let site = Site::start(SITE, options).await;
    let operator = Operator::of_site(CLI, "frozen", &site);
    let frozen = &site.entries[3];
    frozen.process.signal(libc::SIGSTOP);
    let run = operator.run(&["timeline"]);
    assert_eq!(run.code, Some(0), "{}", run.err);
    let address = format!("not reached: {}", operator.entries[3]);
    assert!(run.out.contains(&address), "{}", run.out);
    value["teams"][0]["limit"] = json!(11);
    let file = operator.files.write("next.json", &value.to_string());
    let args = [
        "apply",
        &file,
        "--based-on",
        "1",
        "--wait",
        "--wait-limit",
        "5s",
    ];
    let run = operator.run(&args);
    assert_eq!(run.code, Some(1), "{}", run.out);
    assert!(
        run.out.contains("zone a: version 2 in force at 2 of 2"),
        "{}",
        run.out
    );
    assert!(!run.out.contains("zone b:"), "{}", run.out);
    let missing = format!("{} in b has version 1", frozen.vm);
    assert!(run.err.contains(&missing), "{}", run.err);
    frozen.process.signal(libc::SIGCONT);
    let run = operator.run(&["apply", &file, "--based-on", "1", "--wait"]);
    assert_eq!(run.code, Some(0), "{}", run.err);
    assert!(
        run.out.contains("zone b: version 2 in force at 2 of 2"),
        "{}",
        run.out
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stranger_is_refused_and_status_shows_the_site() {
    let site = Site::start(SITE, SiteOptions::default()).await;
    let mut operator = Operator::of_site(CLI, "status", &site);
    let run = operator.run(&["status"]);
    assert_eq!(run.code, Some(0), "{}", run.err);
    for line in [
        "entry VM entry-a-0 zone a",
        "ready yes",
        "version in force 1, lowest confirmed 1",
    ] {
        assert!(run.out.contains(line), "{}", run.out);
    }
    assert!(
        run.out.contains("team ledger limit 12 allowance "),
        "{}",
        run.out
    );
    let status = operator.run(&["status", "--json"]).json();
    assert_eq!(status["peers"].as_array().map(Vec::len), Some(3));
    operator.key_file = operator
        .files
        .write("strange-key", "not the operators' key");
    for args in [&["status"][..], &["key", "list"], &["timeline"]] {
        let run = operator.run(args);
        assert_eq!(run.code, Some(1), "{args:?} {}", run.out);
        assert!(run.err.contains("refused (401)"), "{}", run.err);
    }
}
