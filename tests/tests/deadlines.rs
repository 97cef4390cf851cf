//! A response that arrives after the deadline isn't delivered, however late the deadline's timer
//! fires.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant, SystemTime};

use http::StatusCode;
use rstest::rstest;
use serde_json::{Value, json};
use snipevane_core::clock::{Clock, SystemClock};
use snipevane_entry::process::platform_client;
use snipevane_entry::settings::Settings;
use snipevane_entry::{Listeners, RunningEntry};
use snipevane_platform::PlatformClient;
use snipevane_proto::headers::Outcome;
use snipevane_proto::platform::{Vm, VmRole, VmState};
use snipevane_standin::{
    Backend, BackendStandinSettings, Platform, PlatformStandinSettings, RunningBackend,
    RunningPlatform,
};
use snipevane_tests::site::{Caller, SiteOptions, manifest, until};
use uuid::Uuid;

const ZONE: &str = "a";
const ENTRY_VM: &str = "entry-a-0";
const BACKEND_VM: &str = "backend-a-0";
const OPERATOR_KEY: &str = "operator-key-of-tests";
/// Deadline of the request; the runtime's timers don't reach it during the test.
const DEADLINE: Duration = Duration::from_secs(20);

/// Clock that can be moved ahead of the operating system's, and so of the runtime's timers.
#[derive(Clone, Default)]
struct SteppedClock {
    ahead_ms: Arc<AtomicU64>,
}

impl SteppedClock {
    fn advance(&self, step: Duration) {
        let step_ms = u64::try_from(step.as_millis()).unwrap();
        self.ahead_ms.fetch_add(step_ms, Ordering::SeqCst);
    }

    fn ahead(&self) -> Duration {
        Duration::from_millis(self.ahead_ms.load(Ordering::SeqCst))
    }
}

impl Clock for SteppedClock {
    fn now(&self) -> Instant {
        SystemClock.now() + self.ahead()
    }

    fn wall(&self) -> SystemTime {
        SystemClock.wall() + self.ahead()
    }
}

/// A site of one entry VM and one backend server that runs inside the test's process.
struct LocalSite {
    clock: SteppedClock,
    entry: RunningEntry<PlatformClient, SteppedClock>,
    backend: RunningBackend,
    platform: RunningPlatform,
}

impl LocalSite {
    async fn start() -> Self {
        let platform = Platform::start(PlatformStandinSettings::default())
            .await
            .unwrap();
        let backend_settings = BackendStandinSettings {
            name: BACKEND_VM.into(),
            ..BackendStandinSettings::default()
        };
        let backend = Backend::start(backend_settings).await.unwrap();
        let settings = Settings {
            vm: ENTRY_VM.into(),
            zone: ZONE.into(),
            platform_address: platform.address(),
            peer_key: "peer-key-of-the-tests".into(),
            operator_key: OPERATOR_KEY.into(),
            ..Settings::default()
        };
        let listeners = Listeners::bind("test", &settings).await.unwrap();
        let clock = SteppedClock::default();
        let client = platform_client(&settings);
        let entry = RunningEntry::start(settings, listeners, client, clock.clone()).unwrap();
        platform.set_vms(vec![
            vm(ENTRY_VM, VmRole::Entry, entry.peer_address().to_string()),
            vm(BACKEND_VM, VmRole::Backend, backend.address().to_string()),
        ]);
        let site = Self {
            clock,
            entry,
            backend,
            platform,
        };
        site.apply_manifest().await;
        site
    }

    fn operator(&self) -> Caller {
        Caller::new(self.entry.operator_address()).with_key(OPERATOR_KEY)
    }

    async fn apply_manifest(&self) {
        let options = SiteOptions {
            zones: vec![ZONE],
            entries_per_zone: 1,
            backends_per_zone: 1,
            longest_run_ms: 20_000,
            ..SiteOptions::default()
        };
        let mut manifest = manifest(&options);
        // Maintenance must be able to take the only backend server.
        manifest["services"][0]["unavailable_budget_percent"] = 100.into();
        let body = json!({
            "based_on": 0, "write_id": Uuid::now_v7(), "manifest": manifest
        });
        let answer = self.operator().post_json("/v1/config", &body).await;
        assert!(answer.status.is_success(), "{answer:?}");
        until("the entry VM is ready", async || {
            let status = self.operator().get_json("/v1/status").await;
            let servers = status["servers"].as_array().map_or(0, Vec::len);
            status["shard"].is_string() && servers == 1
        })
        .await;
    }

    async fn caller(&self) -> Caller {
        let body = json!({ "team": "registry" });
        let answer: Value = self.operator().post_json("/v1/keys", &body).await.json();
        Caller::new(self.entry.caller_address()).with_key(answer["key"].as_str().unwrap())
    }

    async fn stop(self) {
        self.entry.abort();
        self.backend.stop().await;
        self.platform.stop().await;
    }
}

fn vm(id: &str, role: VmRole, address: String) -> Vm {
    Vm {
        id: id.to_owned(),
        role,
        address,
        zone: ZONE.to_owned(),
        rack: "rack-0".to_owned(),
        state: VmState::Live,
    }
}

/// The clock passes the deadline while the request runs and the timer hasn't fired, as on a machine
/// on which the response and the timer become ready before the waiting task runs again.
#[rstest]
#[case::idempotent("ticks")]
#[case::claimed("rollups")]
#[tokio::test]
async fn a_response_that_overtakes_the_deadline_timer_is_not_delivered(#[case] queue: &str) {
    let site = LocalSite::start().await;
    let caller = site.caller().await;
    let id = Uuid::now_v7().to_string();
    let deadline_ms = DEADLINE.as_millis().to_string();
    let headers = [
        ("snipevane-deadline-ms", deadline_ms.as_str()),
        ("x-test-run-ms", "300"),
        ("idempotency-key", &id),
    ];
    let request = caller.post(queue, &headers, "late");
    let pass_deadline = async {
        until("the request runs", async || {
            site.backend.record().running == 1
        })
        .await;
        site.clock.advance(DEADLINE);
    };
    let (answer, ()) = tokio::join!(request, pass_deadline);
    let answer = answer.unwrap();
    assert_eq!(answer.status, StatusCode::GATEWAY_TIMEOUT, "{answer:?}");
    assert_eq!(answer.outcome(), Some(Outcome::Unknown), "{answer:?}");
    site.stop().await;
}
