//! Tests of the command line without a site: usage errors, files and unreachable entry VMs.

use rstest::rstest;
use snipevane_tests::operator::{Files, Operator, bare};

const CLI: &str = env!("CARGO_BIN_EXE_cli-process");

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
    let run = bare(CLI, args);
    assert_eq!(run.code, Some(code), "{} {}", run.out, run.err);
    assert_ne!(run.out.is_empty(), run.err.is_empty());
}

#[test]
fn check_needs_no_entry_vm_and_names_file_and_place() {
    let files = Files::new("check");
    let good = files.write("good.json", include_str!("../../samples/kandyan.json"));
    assert_eq!(bare(CLI, &["check", &good]).code, Some(0));
    let bad = files.write("bad.json", include_str!("../data/mistakes.json"));
    let run = bare(CLI, &["check", &bad]);
    assert_eq!(run.code, Some(2));
    assert!(
        run.err
            .contains("bad.json: 30 findings\n  /maintenance/first_batch: 0")
    );
    let run = bare(CLI, &["check", &bad, "--json"]);
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
    // The listener is dropped before the commands run, so that nothing listens on its port.
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let operator = Operator::new(CLI, "unreachable", vec![listener.local_addr().unwrap()]);
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
