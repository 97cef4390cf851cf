//! The command line against separate processes: what it prints and its exit codes.

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Command, Output};

use rstest::rstest;
use serde_json::{Value, json};
use snipevane_tests::site::{Site, SiteOptions, manifest, until};

const SITE: &str = env!("CARGO_BIN_EXE_site-process");
const CLI: &str = env!("CARGO_BIN_EXE_cli-process");
const OPERATOR_KEY: &str = "operator-key-of-tests";

/// What a command printed, and how it ended.
struct Run {
    code: Option<i32>,
    out: String,
    err: String,
}

impl Run {
    fn json(&self) -> Value {
        serde_json::from_str(&self.out).unwrap_or_default()
    }
}

impl From<Output> for Run {
    fn from(output: Output) -> Self {
        Self {
            code: output.status.code(),
            out: String::from_utf8_lossy(&output.stdout).into_owned(),
            err: String::from_utf8_lossy(&output.stderr).into_owned(),
        }
    }
}

/// Files of one test, removed at its end.
struct Files {
    folder: PathBuf,
}

impl Files {
    fn new(test: &str) -> Self {
        let name = format!("snipevane-{}-{test}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        assert!(fs::create_dir_all(&folder).is_ok());
        Self { folder }
    }

    fn write(&self, name: &str, text: &str) -> String {
        let path = self.folder.join(name);
        assert!(fs::write(&path, text).is_ok());
        path.display().to_string()
    }
}

impl Drop for Files {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// An operator's terminal: the entry VMs that are named, and the files.
struct Operator {
    entries: Vec<SocketAddr>,
    key_file: String,
    files: Files,
}

impl Operator {
    fn new(test: &str, entries: Vec<SocketAddr>) -> Self {
        let files = Files::new(test);
        let key_file = files.write("operator-key", OPERATOR_KEY);
        Self {
            entries,
            key_file,
            files,
        }
    }

    fn of_site(test: &str, site: &Site) -> Self {
        let entries = site.entries.iter();
        Self::new(
            test,
            entries.map(|entry| entry.process.addresses[2]).collect(),
        )
    }

    fn run(&self, args: &[&str]) -> Run {
        let mut command = Command::new(CLI);
        command
            .args(args)
            .arg("--operator-key-file")
            .arg(&self.key_file);
        for entry in &self.entries {
            command.arg("--entry").arg(entry.to_string());
        }
        command
            .output()
            .unwrap_or_else(|error| panic!("{error}"))
            .into()
    }
}

fn bare(args: &[&str]) -> Run {
    let output = Command::new(CLI).args(args).output();
    output.unwrap_or_else(|error| panic!("{error}")).into()
}

#[rstest]
#[case::help(&["--help"], 0)]
#[case::unknown_command(&["frobnicate"], 2)]
#[case::no_command(&[], 2)]
#[case::team_missing(&["key", "give"], 2)]
#[case::no_entry(&["status", "--operator-key-file", "x"], 2)]
#[case::no_key_file(&["status", "--entry", "127.0.0.1:9"], 2)]
#[case::key_file_absent(&["status", "--entry", "127.0.0.1:9", "--operator-key-file", "/nonexistent"], 2)]
#[case::host_name(&["status", "--entry", "localhost:9"], 2)]
#[case::version_is_no_number(&["apply", "x.json", "--based-on", "one"], 2)]
#[case::file_absent(&["check", "/nonexistent.json"], 2)]
fn usage_has_its_exit_codes(#[case] args: &[&str], #[case] code: i32) {
    let run = bare(args);
    assert_eq!(run.code, Some(code), "{} {}", run.out, run.err);
    assert_ne!(run.out.is_empty(), run.err.is_empty());
}

#[test]
fn check_needs_no_entry_vm_and_names_file_and_place() {
    let files = Files::new("check");
    let good = files.write("good.json", include_str!("../../samples/kandyan.json"));
    assert_eq!(bare(&["check", &good]).code, Some(0));
    let bad = files.write("bad.json", include_str!("../data/mistakes.json"));
    let run = bare(&["check", &bad]);
    assert_eq!(run.code, Some(2));
    assert!(
        run.err
            .contains("bad.json: 30 findings\n  /maintenance/first_batch: 0")
    );
    let run = bare(&["check", &bad, "--json"]);
    assert_eq!(run.code, Some(2));
    let findings = run.json()["findings"]
        .as_array()
        .cloned()
        .unwrap_or_default();
    assert_eq!(findings.len(), 30);
    assert_eq!(findings[0]["pointer"], "/maintenance/first_batch");
}

#[test]
fn an_entry_vm_that_isnt_there_is_unreachable() {
    // Bound and dropped, so that nothing listens there.
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let operator = Operator::new("unreachable", vec![listener.local_addr().unwrap()]);
    drop(listener);
    let manifest = operator
        .files
        .write("m.json", include_str!("../../samples/kandyan.json"));
    for args in [
        &["status"][..],
        &["key", "list"],
        &["key", "give", "ledger"],
        &["key", "withdraw", "k1"],
        &["apply", &manifest, "--based-on", "0"],
        &["timeline"],
    ] {
        let run = operator.run(args);
        assert_eq!(run.code, Some(3), "{args:?}: {}", run.err);
        assert!(run.err.contains("no entry VM was reached"), "{}", run.err);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_manifest_is_applied_once_and_races_have_one_winner() {
    let options = SiteOptions::default();
    let mut value = manifest(&options);
    let site = Site::start(SITE, options).await;
    let operator = Operator::of_site("apply", &site);
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

/// The write took effect, its answer was lost: the operator is told of the version all the same.
#[tokio::test(flavor = "multi_thread")]
async fn a_lost_answer_of_the_table_is_resolved() {
    let options = SiteOptions::default();
    let mut value = manifest(&options);
    let site = Site::start(SITE, options).await;
    let operator = Operator::of_site("lost", &site);
    // Another write may take the fault, so the record tells when the apply had it.
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

/// Reads that return the row before the latest write don't hide what is in force.
#[tokio::test(flavor = "multi_thread")]
async fn an_old_row_doesnt_make_a_replaced_manifest_the_one_in_force() {
    let options = SiteOptions::default();
    let mut value = manifest(&options);
    let site = Site::start(SITE, options).await;
    let operator = Operator::of_site("stale", &site);
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

/// An entry VM that restarts while reads return old rows doesn't go back to an older version.
#[tokio::test(flavor = "multi_thread")]
async fn a_restart_with_old_rows_brings_no_older_version_in_force() {
    let options = SiteOptions::default();
    let mut value = manifest(&options);
    let mut site = Site::start(SITE, options).await;
    let operator = Operator::of_site("restart", &site);
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

#[tokio::test(flavor = "multi_thread")]
async fn keys_are_given_listed_and_withdrawn() {
    let site = Site::start(SITE, SiteOptions::default()).await;
    let operator = Operator::of_site("keys", &site);
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
    let operator = Operator::of_site("timeline", &site);
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

    let one = Operator::new("timeline-one", vec![operator.entries[0]]);
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

/// A frozen entry VM holds up neither the others' lines nor the time line, and is named.
#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_entry_vm_is_named_and_holds_up_nothing() {
    let options = SiteOptions::default();
    let mut value = manifest(&options);
    let site = Site::start(SITE, options).await;
    let operator = Operator::of_site("frozen", &site);
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
    let mut operator = Operator::of_site("status", &site);
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
