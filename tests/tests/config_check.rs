//! Tests that the validation of a manifest reports all problems at once, each with its location,
//! and nothing else.

use rstest::rstest;
use serde_json::{Value, json};
use snipevane_core::config::{Findings, check};
use snipevane_proto::manifest::{Manifest, canonical_text};
use snipevane_tests::target_manifest::{
    POOLS, REGIONS, SEED, SHARDS, TEAMS, VMS, ZONES, target_manifest,
};

const KANDYAN: &str = include_str!("../../samples/kandyan.json");
const KARTVEL: &str = include_str!("../../samples/kartvel.json");
const TARGET: &str = include_str!("../../samples/target.json");

fn kandyan() -> Value {
    serde_json::from_str(KANDYAN).unwrap_or_default()
}

fn findings(manifest: &Value) -> Findings {
    match check(&manifest.to_string(), "manifest.json") {
        Ok(_) => Findings::new("manifest.json"),
        Err(findings) => findings,
    }
}

fn finding_pointers(manifest: &Value) -> Vec<String> {
    let list = findings(manifest).list;
    list.iter()
        .map(|finding| finding.pointer.to_string())
        .collect()
}

#[rstest]
#[case::kandyan(KANDYAN)]
#[case::kartvel(KARTVEL)]
#[case::target(TARGET)]
fn the_samples_have_no_findings(#[case] text: &str) {
    assert_eq!(check(text, "sample").map(|_| ()), Ok(()));
}

#[test]
fn the_sample_at_the_target_size_is_the_generators_output() {
    let manifest: Manifest = serde_json::from_str(TARGET).unwrap();
    assert_eq!(manifest, target_manifest(SEED));
    let vms: usize = manifest.pools.iter().map(|pool| pool.vms.len()).sum();
    let mut regions: Vec<_> = manifest.zones.iter().map(|zone| &zone.region).collect();
    regions.dedup();
    assert_eq!((manifest.zones.len(), regions.len()), (ZONES, REGIONS));
    assert_eq!(
        (manifest.teams.len(), manifest.pools.len(), vms),
        (TEAMS, POOLS, VMS)
    );
    assert_eq!(manifest.zones[0].shards, SHARDS);
}

#[test]
fn a_file_full_of_mistakes_is_reported_in_one_go() {
    let text = include_str!("../data/mistakes.json");
    let findings = check(text, "mistakes.json").unwrap_err();
    insta::assert_snapshot!("mistakes", findings);
}

#[rstest]
#[case::zone_without_shards("/zones/1/shards", json!(0), &["/zones/1/shards"])]
#[case::duplicate_zone("/zones/1/name", json!("colombo-a"), &["/zones/1/name"])]
#[case::slash_in_a_name("/zones/1/name", json!("a/b"), &["/zones/1/name"])]
#[case::no_zones("/zones", json!([]), &["/zones"])]
#[case::no_region("/zones/0/region", json!(""), &["/zones/0/region"])]
#[case::duplicate_team("/teams/3/name", json!("partners"), &["/teams/6/name"])]
#[case::share_0("/teams/3/share", json!(0), &["/teams/3/share"])]
#[case::limit_0("/teams/3/limit", json!(0), &["/teams/3/limit"])]
// The team has 35 of 100 shares of 400 slots, which is 140 slots.
#[case::limit_below_the_share("/teams/0/limit", json!(139), &["/teams/0/limit"])]
#[case::limit_at_the_share("/teams/0/limit", json!(140), &[])]
#[case::no_customer("/teams/0/customer", json!(""), &["/teams/0/customer"])]
#[case::short_of_vms("/pools/1/min_vms", json!(11), &["/pools/1/min_vms"])]
#[case::just_enough_vms("/pools/1/min_vms", json!(10), &[])]
#[case::vm_in_two_pools("/pools/1/vms/9", json!("kandyan-b-01"), &["/pools/1/vms/9"])]
#[case::vm_twice_in_a_pool("/pools/0/vms/9", json!("kandyan-b-01"), &["/pools/0/vms/9"])]
#[case::no_spare_pool("/pools/4/spare", json!(false), &["/pools"])]
#[case::two_spare_pools("/pools/1/spare", json!(true), &["/pools/1/jobs", "/pools/4/spare", "/services/2/pool"])]
#[case::spare_pool_with_jobs("/pools/4/jobs", json!(["x"]), &["/pools/4/jobs"])]
#[case::job_listed_twice("/pools/1/jobs", json!(["rollup", "rollup"]), &["/pools/1/jobs/1"])]
#[case::job_of_another_pool("/pools/1/jobs", json!(["rollup", "import"]), &["/pools/1/jobs/1"])]
#[case::job_left_out("/pools/0/jobs", json!(["ticks"]), &["/services/1/pool"])]
#[case::unknown_pool("/services/2/pool", json!("none"), &["/pools/1/jobs/0", "/services/2/pool"])]
#[case::pool_without_vms("/pools/1/vms", json!([]), &["/pools/1/min_vms", "/services/2/pool"])]
#[case::no_slots("/services/2/slots", json!(0), &["/services/2/slots"])]
#[case::few_connections("/services/2/connections", json!(7), &["/services/2/connections"])]
#[case::no_run_time("/services/2/longest_run_ms", json!(0), &["/services/2/longest_run_ms"])]
#[case::budget_of_no_vm("/services/2/unavailable_budget_percent", json!(9), &["/services/2/unavailable_budget_percent"])]
#[case::budget_of_one_vm("/services/2/unavailable_budget_percent", json!(10), &[])]
#[case::budget_above_all("/services/2/unavailable_budget_percent", json!(101), &["/services/2/unavailable_budget_percent"])]
#[case::unknown_service("/queues/2/service", json!("none"), &["/queues/2/service"])]
#[case::duplicate_queue("/queues/2/name", json!("ticks"), &["/queues/2/name"])]
#[case::no_deadline("/queues/2/deadline_ms", json!(0), &["/queues/2/deadline_ms"])]
#[case::deadline_with_time_to_wait("/queues/2/deadline_ms", json!(30001), &[])]
#[case::unknown_urgency("/queues/2/urgency", json!("later"), &["/queues/2/urgency"])]
#[case::above_the_type("/zones/1/shards", json!(70000), &["/zones/1/shards"])]
#[case::negative("/teams/0/share", json!(-1), &["/teams/0/share"])]
#[case::fraction("/teams/0/share", json!(1.5), &["/teams/0/share"])]
#[case::no_period("/maintenance/period_days", json!(0), &["/maintenance/period_days"])]
#[case::no_first_batch("/maintenance/first_batch", json!(0), &["/maintenance/first_batch"])]
#[case::no_failures_to_halt("/maintenance/failures_to_halt", json!(0), &["/maintenance/failures_to_halt"])]
fn a_mistake_is_found_at_its_place(
    #[case] pointer: &str,
    #[case] value: Value,
    #[case] expected: &[&str],
) {
    let mut manifest = kandyan();
    set(&mut manifest, pointer, value);
    assert_eq!(finding_pointers(&manifest), expected);
}

/// A value of a wrong type, at whatever location, gives one finding at this location and none that
/// only follows from it.
#[test]
fn a_wrong_type_gives_one_finding_at_its_place() {
    let mut pointers = Vec::new();
    collect_pointers(&kandyan(), "", &mut pointers);
    assert!(pointers.len() > 200);
    for pointer in pointers {
        let mut manifest = kandyan();
        let wrong = match manifest.pointer(&pointer) {
            Some(Value::Number(_)) => json!("8"),
            _ => json!(8),
        };
        set(&mut manifest, &pointer, wrong);
        assert_eq!(finding_pointers(&manifest), [pointer]);
    }
}

#[rstest]
#[case::site("/site")]
#[case::list("/queues")]
#[case::zone("/zones/0/shards")]
#[case::team("/teams/0/limit")]
#[case::pool("/pools/1/name")]
#[case::service("/services/1/pool")]
#[case::queue("/queues/5/service")]
fn a_missing_member_gives_one_finding(#[case] pointer: &str) {
    let mut manifest = kandyan();
    let (parent, name) = pointer.rsplit_once('/').unwrap();
    let members = manifest.pointer_mut(parent).and_then(Value::as_object_mut);
    members.unwrap().remove(name);
    assert_eq!(finding_pointers(&manifest), [pointer]);
}

#[rstest]
#[case::top("", "/si~1te~0s")]
#[case::item("/teams/2", "/teams/2/si~1te~0s")]
#[case::settings("/keys", "/keys/si~1te~0s")]
fn an_unknown_member_is_found_at_its_place(#[case] parent: &str, #[case] expected: &str) {
    let mut manifest = kandyan();
    let members = manifest.pointer_mut(parent).and_then(Value::as_object_mut);
    members.unwrap().insert("si/te~s".to_owned(), json!(1));
    assert_eq!(finding_pointers(&manifest), [expected]);
}

#[rstest]
#[case::empty("")]
#[case::cut("{\"site\": ")]
#[case::member_twice(
    "{\"site\": \"a\", \"site\": \"b\", \"zones\": [], \"teams\": [], \"pools\": [], \"services\": [], \"queues\": []}"
)]
fn a_text_that_cant_be_read_gives_one_finding_for_the_whole(#[case] text: &str) {
    let findings = check(text, "manifest.json").unwrap_err();
    assert_eq!(findings.list.len(), 1);
    assert_eq!(findings.list[0].pointer, "");
}

#[test]
fn layout_order_and_stated_defaults_dont_change_the_canonical_text() {
    let mut value = kandyan();
    let first = check(KANDYAN, "a").unwrap();
    set(&mut value, "/queues/1/idempotent", json!(true));
    let second = check(&value.to_string(), "b").unwrap();
    assert_eq!(
        canonical_text(&first).unwrap(),
        canonical_text(&second).unwrap()
    );
    set(&mut value, "/queues/1/idempotent", json!(false));
    let third = check(&value.to_string(), "c").unwrap();
    assert_ne!(
        canonical_text(&first).unwrap(),
        canonical_text(&third).unwrap()
    );
}

/// Sets the value at a pointer, whether or not there was one before.
fn set(manifest: &mut Value, pointer: &str, value: Value) {
    if let Some(place) = manifest.pointer_mut(pointer) {
        *place = value;
        return;
    }
    let Some((parent, name)) = pointer.rsplit_once('/') else {
        return;
    };
    if let Some(Value::Object(members)) = manifest.pointer_mut(parent) {
        members.insert(name.to_owned(), value);
    }
}

/// Collects the pointers of all values except the root.
fn collect_pointers(value: &Value, pointer: &str, pointers: &mut Vec<String>) {
    if !pointer.is_empty() {
        pointers.push(pointer.to_owned());
    }
    match value {
        Value::Object(members) => {
            for (name, member) in members {
                collect_pointers(member, &format!("{pointer}/{name}"), pointers);
            }
        }
        Value::Array(items) => {
            for (i, item) in items.iter().enumerate() {
                collect_pointers(item, &format!("{pointer}/{i}"), pointers);
            }
        }
        _ => {}
    }
}
