//! Tests that items of a manifest keep their keys in later versions, and that items with unknown
//! references are left out.

use snipevane_core::config::Site;
use snipevane_proto::manifest::Manifest;

const MANIFEST: &str = r#"{
    "site": "s",
    "zones": [{ "name": "a", "region": "r", "shards": 2 }],
    "teams": [{ "name": "ledger", "customer": "k", "share": 1, "limit": 4 }],
    "pools": [{ "name": "p" }],
    "services": [{ "name": "rollup", "pool": "p" }],
    "queues": [{ "name": "rollups", "service": "rollup", "idempotent": false }]
}"#;

#[test]
fn names_keep_their_keys_over_versions() {
    let manifest: Manifest = serde_json::from_str(MANIFEST).unwrap();
    let mut site = Site::default();
    site.load(1, &manifest);
    let team = site.team("ledger").unwrap();
    let mut next = manifest.clone();
    next.teams[0].limit = 9;
    next.pools[0].name = "q".to_owned();
    site.load(2, &next);
    assert_eq!(site.team("ledger"), Some(team));
    assert_eq!(site.teams[team].limit, 9);
    // The service refers to a pool that was removed, so the service and its queue are left out.
    assert_eq!(site.service("rollup"), None);
    assert_eq!(site.queue("rollups"), None);
}
