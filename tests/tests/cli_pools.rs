//! Tests that the command line drains and moves VMs of a site of separate processes.

use serde_json::Value;
use snipevane_tests::operator::Operator;
use snipevane_tests::site::{Site, SiteOptions, until};

const SITE: &str = env!("CARGO_BIN_EXE_site-process");
const CLI: &str = env!("CARGO_BIN_EXE_cli-process");

/// Returns the pool and state of a VM, as listed by `pool show`.
fn listed(operator: &Operator, vm: &str) -> Option<(String, String)> {
    let pools = operator.run(&["pool", "show", "--json"]).json();
    let text = |value: &Value| value.as_str().unwrap_or_default().to_owned();
    pools.as_array()?.iter().find_map(|pool| {
        let vms = pool["vms"].as_array()?;
        let found = vms.iter().find(|other| other["vm"] == vm)?;
        Some((text(&pool["name"]), text(&found["state"])))
    })
}

#[tokio::test(flavor = "multi_thread")]
async fn a_vm_is_drained_put_back_and_moved() {
    let site = Site::start(SITE, SiteOptions::default()).await;
    let operator = Operator::of_site(CLI, "pools", &site);
    until("the VM has a row", async || {
        listed(&operator, "backend-a-0").is_some()
    })
    .await;

    let run = operator.run(&["drain", "backend-a-0", "--wait"]);
    assert_eq!(run.code, Some(0), "{}", run.err);
    let expected = "drain of backend-a-0 in pool checklists: accepted\nbackend-a-0: empty\n";
    assert_eq!(run.out, expected);
    let run = operator.run(&["pool", "show", "checklists"]);
    assert!(run.out.contains("backend-a-0 zone a empty"), "{}", run.out);
    assert!(!run.out.contains("pool spare"), "{}", run.out);

    let run = operator.run(&["drain", "backend-a-0", "--cancel"]);
    assert_eq!(run.code, Some(0), "{}", run.err);
    let back = ("checklists".to_owned(), "serving".to_owned());
    until("the VM serves", async || {
        listed(&operator, "backend-a-0") == Some(back.clone())
    })
    .await;

    let run = operator.run(&["pool", "move", "backend-b-1", "spare"]);
    assert_eq!(run.code, Some(0), "{}", run.err);
    until("the VM is in the spare pool", async || {
        listed(&operator, "backend-b-1").is_some_and(|(pool, _)| pool == "spare")
    })
    .await;

    assert_eq!(operator.run(&["drain", "nothing"]).code, Some(1));
    assert_eq!(operator.run(&["drain", "no/name"]).code, Some(2));
    assert_eq!(
        operator
            .run(&["pool", "move", "backend-a-0", "nowhere"])
            .code,
        Some(1)
    );
    assert_eq!(operator.run(&["pool", "show", "nowhere"]).code, Some(2));
}
