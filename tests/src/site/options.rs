//! What a site consists of.

use serde_json::{Value, json};

/// Key of the operators of test sites.
pub(super) const OPERATOR_KEY: &str = "operator-key-of-tests";
/// Key between the entry VMs of test sites.
pub(super) const PEER_KEY: &str = "peer-key-of-the-tests";

/// Size and settings of a site.
#[derive(Clone, Debug)]
pub struct SiteOptions {
    /// Availability zones.
    pub zones: Vec<&'static str>,
    /// Entry VMs in each zone.
    pub entries_per_zone: usize,
    /// Backend servers in each zone.
    pub backends_per_zone: usize,
    /// Requests that one backend server runs at once.
    pub slots: u32,
    /// Longest time that a request runs, in milliseconds.
    pub longest_run_ms: u32,
    /// Teams with share and limit.
    pub teams: Vec<(&'static str, u32, u32)>,
    /// Changes to the timings of the entry VMs.
    pub timings: Value,
    /// Further settings of the entry VMs, by name; null adds none.
    pub settings: Value,
}

impl Default for SiteOptions {
    fn default() -> Self {
        Self {
            zones: vec!["a", "b"],
            entries_per_zone: 2,
            backends_per_zone: 2,
            slots: 8,
            longest_run_ms: 2_000,
            teams: vec![("ledger", 8, 12), ("audit", 1, 3), ("registry", 20, 40)],
            timings: json!({
                "heartbeat_ms": 50,
                "peer_silent_ms": 500,
                "platform_poll_ms": 100,
                "platform_timeout_ms": 500,
                "stop_notice_ms": 200
            }),
            settings: Value::Null,
        }
    }
}

/// Builds the manifest of a site: one service with a queue of each kind.
pub fn manifest(options: &SiteOptions) -> Value {
    let zones = options
        .zones
        .iter()
        .map(|zone| json!({ "name": zone, "region": "r", "shards": options.entries_per_zone }));
    let teams = options.teams.iter().map(|(name, share, limit)| {
        json!({ "name": name, "customer": "kandyan", "share": share, "limit": limit })
    });
    let vms = options.zones.iter().flat_map(|zone| {
        (0..options.backends_per_zone).map(move |index| format!("backend-{zone}-{index}"))
    });
    let spare = json!({ "name": "spare", "spare": true });
    json!({
        "site": "test",
        "zones": zones.collect::<Vec<_>>(),
        "teams": teams.collect::<Vec<_>>(),
        "pools": [{ "name": "checklists", "jobs": ["rollup"], "vms": vms.collect::<Vec<_>>() }, spare],
        "services": [{
            "name": "rollup", "pool": "checklists", "slots": options.slots,
            "longest_run_ms": options.longest_run_ms, "unavailable_budget_percent": 50
        }],
        "queues": [
            { "name": "ticks", "service": "rollup", "urgency": "urgent" },
            { "name": "rollups", "service": "rollup", "idempotent": false },
            { "name": "public", "service": "rollup", "open": true }
        ]
    })
}
