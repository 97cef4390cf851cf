//! The site that is measured: one entry VM and four backend servers of one zone.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::{Value, json};
use snipevane_proto::platform::VMS_PATH;
use uuid::Uuid;

use super::load::Target;
use super::process::Part;
use crate::error::MeasureError;

/// Backend servers of the site.
const BACKENDS: usize = 4;
/// Requests that one backend server runs at once.
const SLOTS: usize = 8;
/// Attempts to get an answer from a site that is starting.
const READY_ATTEMPTS: usize = 200;
/// Pause between two of these attempts.
const READY_PAUSE: Duration = Duration::from_millis(50);
/// Operators' key.
const OPERATOR_KEY: &str = "operator-key-of-the-measurement";
/// Key between entry VMs.
const PEER_KEY: &str = "peer-key-of-the-measurement";
/// Any free port.
const ANY_PORT: &str = "127.0.0.1:0";

/// The processes of the site.
pub(super) struct MeasuredSite {
    entry: Part,
    backends: Vec<Part>,
    key: String,
    _platform: Part,
}

impl MeasuredSite {
    /// Starts all processes and waits until the entry VM serves.
    pub(super) async fn start() -> Result<Self, MeasureError> {
        let platform = Part::start("platform", &json!({ "listen": ANY_PORT }))?;
        let mut backends = Vec::new();
        for number in 0..BACKENDS {
            let settings = json!({ "name": backend_name(number), "slots": SLOTS });
            backends.push(Part::start("backend", &settings)?);
        }
        let entry = Part::start("entry", &entry_settings(platform.addresses[0]))?;
        let http = Client::builder(TokioExecutor::new()).build_http();
        let mut site = Self {
            entry,
            backends,
            key: String::new(),
            _platform: platform,
        };
        let vms = site.vm_list();
        let platform = site._platform.addresses[0];
        call(&http, Method::POST, &format!("{platform}{VMS_PATH}"), &vms).await?;
        let operator = site.entry.addresses[2];
        let apply = json!({
            "based_on": 0, "write_id": Uuid::now_v7(), "manifest": manifest()
        });
        call(
            &http,
            Method::POST,
            &format!("{operator}/v1/config"),
            &apply,
        )
        .await?;
        let give = json!({ "team": "ledger" });
        let given = call(&http, Method::POST, &format!("{operator}/v1/keys"), &give).await?;
        site.key = given["key"].as_str().unwrap_or_default().to_owned();
        site.wait_until_ready().await?;
        Ok(site)
    }

    /// Returns the backend servers as a target.
    pub(super) fn direct(&self) -> Target {
        let addresses = self.backends.iter().map(|part| part.addresses[0]);
        Target {
            addresses: addresses.collect(),
            path: "/tick".into(),
            key: None,
            workers: BACKENDS * SLOTS,
        }
    }

    /// Returns the entry VM as a target.
    pub(super) fn through(&self) -> Target {
        Target {
            addresses: vec![self.entry.addresses[0]],
            path: "/v1/queues/ticks/tick".into(),
            key: Some(self.key.clone()),
            workers: BACKENDS * SLOTS,
        }
    }

    /// Returns the resident memory of the entry VM, in kilobytes.
    pub(super) fn entry_rss_kb(&self) -> io::Result<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.entry.id()))?;
        let line = status.lines().find(|line| line.starts_with("VmRSS:"));
        let number = line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok());
        number.ok_or_else(|| io::Error::other("no resident memory in the process's status"))
    }

    /// Returns the processor time that the entry VM and the backend servers have used.
    pub(super) fn cpu_times(&self) -> io::Result<CpuTimes> {
        let backends = self.backends.iter().map(|part| cpu_time(part.id()));
        Ok(CpuTimes {
            entry: cpu_time(self.entry.id())?,
            backends: backends.sum::<io::Result<Duration>>()?,
        })
    }

    /// Waits until the entry VM has taken its shard and all slots are usable.
    async fn wait_until_ready(&self) -> Result<(), MeasureError> {
        let mut served = 0;
        for _ in 0..READY_ATTEMPTS {
            if self
                .through()
                .probe()
                .await
                .is_ok_and(|status| status == StatusCode::OK)
            {
                served += 1;
            }
            // Raised deals become usable a poll or two after the first answer.
            if served > READY_ATTEMPTS / 4 {
                return Ok(());
            }
            tokio::time::sleep(READY_PAUSE).await;
        }
        Err(io::Error::other("the entry VM doesn't serve").into())
    }

    fn vm_list(&self) -> Value {
        let vm = |id: &str, role: &str, address: SocketAddr| {
            json!({
                "id": id, "role": role, "address": address.to_string(),
                "zone": "a", "rack": "r1", "state": "live"
            })
        };
        let backends = self.backends.iter().enumerate();
        let mut vms: Vec<_> = backends
            .map(|(number, part)| vm(&backend_name(number), "backend", part.addresses[0]))
            .collect();
        vms.push(vm("entry-0", "entry", self.entry.addresses[1]));
        json!({ "vms": vms })
    }
}

/// Processor time used since the start of the processes.
#[derive(Clone, Copy, Debug)]
pub(super) struct CpuTimes {
    /// By the entry VM.
    pub(super) entry: Duration,
    /// By all backend servers.
    pub(super) backends: Duration,
}

/// Returns the processor time that a process's threads have used.
fn cpu_time(process: u32) -> io::Result<Duration> {
    let mut total = Duration::ZERO;
    for thread in std::fs::read_dir(format!("/proc/{process}/task"))? {
        let text = std::fs::read_to_string(thread?.path().join("schedstat"))?;
        let nanos = text.split_whitespace().next().and_then(|n| n.parse().ok());
        total += Duration::from_nanos(nanos.unwrap_or_default());
    }
    Ok(total)
}

/// Returns the machine's load average over a minute, as the system prints it.
pub(super) fn load_average() -> String {
    let text = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    let first = text.split_whitespace().next();
    first.unwrap_or("unknown").to_owned()
}

fn backend_name(number: usize) -> String {
    format!("backend-{number}")
}

fn entry_settings(platform: SocketAddr) -> Value {
    json!({
        "vm": "entry-0", "zone": "a",
        "caller_address": ANY_PORT, "peer_address": ANY_PORT, "operator_address": ANY_PORT,
        "platform_address": platform.to_string(),
        "peer_key": PEER_KEY, "operator_key": OPERATOR_KEY, "log_level": "error"
    })
}

fn manifest() -> Value {
    let vms: Vec<_> = (0..BACKENDS).map(backend_name).collect();
    json!({
        "site": "measured",
        "zones": [{ "name": "a", "region": "r", "shards": 1 }],
        "teams": [{ "name": "ledger", "customer": "kandyan", "share": 1, "limit": 1000 }],
        "pools": [
            { "name": "checklists", "jobs": ["rollup"], "vms": vms },
            { "name": "spare", "spare": true }
        ],
        "services": [{
            "name": "rollup", "pool": "checklists", "slots": SLOTS,
            "unavailable_budget_percent": 50
        }],
        "queues": [{ "name": "ticks", "service": "rollup" }]
    })
}

async fn call(
    http: &Client<HttpConnector, Full<Bytes>>,
    method: Method,
    place: &str,
    body: &Value,
) -> Result<Value, MeasureError> {
    let req = Request::builder()
        .method(method)
        .uri(format!("http://{place}"))
        .header("authorization", format!("Bearer {OPERATOR_KEY}"))
        .body(Full::new(Bytes::from(body.to_string())))
        .map_err(io::Error::other)?;
    let response = http.request(req).await.map_err(io::Error::other)?;
    let status = response.status();
    let body = response.into_body().collect().await;
    let body = body.map_err(io::Error::other)?.to_bytes();
    if !status.is_success() {
        let text = String::from_utf8_lossy(&body);
        return Err(io::Error::other(format!("{place} answered {status}: {text}")).into());
    }
    Ok(serde_json::from_slice(&body).unwrap_or_default())
}
