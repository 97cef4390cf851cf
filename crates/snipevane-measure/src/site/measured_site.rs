//! Site of separate processes that is measured: entry VMs and backend servers of one zone.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::{Value, json};
use snipevane_proto::platform::{
    FAULTS_PATH, PlatformFaults, PlatformRecord, RECORD_PATH, VMS_PATH,
};
use uuid::Uuid;

use super::process::SiteProcess;
use super::usage::{CpuTimes, cpu_time, resident_memory_kb};
use crate::error::MeasureError;

/// Maximum number of attempts to get a response from a site that is starting.
const READY_ATTEMPTS: usize = 200;
/// Delay between two attempts.
const READY_PAUSE: Duration = Duration::from_millis(50);
/// Key of the operators.
const OPERATOR_KEY: &str = "operator-key-of-the-measurement";
/// Key that entry VMs present to each other.
const PEER_KEY: &str = "peer-key-of-the-measurement";
/// Address with a port that the system chooses.
const ANY_PORT: &str = "127.0.0.1:0";

type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// Size of a site.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SiteSize {
    /// Number of entry VMs.
    pub(crate) entries: usize,
    /// Number of backend servers.
    pub(crate) backends: usize,
    /// Number of slots of each backend server.
    pub(crate) slots: usize,
}

/// A running site.
pub(crate) struct MeasuredSite {
    entries: Vec<SiteProcess>,
    backends: Vec<SiteProcess>,
    platform: SiteProcess,
    http: HttpClient,
    key: String,
}

impl MeasuredSite {
    /// Starts all processes, and waits until the first entry VM serves requests.
    pub(crate) async fn start(size: SiteSize) -> Result<Self, MeasureError> {
        let platform = SiteProcess::start("platform", &json!({ "listen": ANY_PORT }))?;
        let mut site = Self {
            entries: Vec::new(),
            backends: Vec::new(),
            http: Client::builder(TokioExecutor::new()).build_http(),
            key: String::new(),
            platform,
        };
        for number in 0..size.backends {
            let settings = json!({ "name": backend_name(number), "slots": size.slots });
            site.backends
                .push(SiteProcess::start("backend", &settings)?);
        }
        for number in 0..size.entries {
            let settings = entry_settings(number, site.platform.addresses[0]);
            site.entries.push(SiteProcess::start("entry", &settings)?);
        }
        site.post_platform(VMS_PATH, &site.vm_list()).await?;
        let apply = json!({
            "based_on": 0, "write_id": Uuid::now_v7(), "manifest": manifest(size)
        });
        site.post_operator("/v1/config", &apply).await?;
        let request = json!({ "team": "ledger" });
        let issued = site.post_operator("/v1/keys", &request).await?;
        site.key = issued["key"].as_str().unwrap_or_default().to_owned();
        site.wait_until_ready().await?;
        Ok(site)
    }

    /// Sets the fault switches of the platform.
    pub(crate) async fn set_faults(&self, faults: &PlatformFaults) -> Result<(), MeasureError> {
        let faults = serde_json::to_value(faults)?;
        self.post_platform(FAULTS_PATH, &faults).await?;
        Ok(())
    }

    /// Fetches the record of the platform's load.
    pub(crate) async fn platform_record(&self) -> Result<PlatformRecord, MeasureError> {
        let endpoint = format!("{}{RECORD_PATH}", self.platform.addresses[0]);
        let record = call(&self.http, Method::GET, &endpoint, &Value::Null).await?;
        Ok(serde_json::from_value(record)?)
    }

    /// Returns the addresses of the backend servers.
    pub(crate) fn backend_addresses(&self) -> Vec<SocketAddr> {
        self.backends
            .iter()
            .map(|process| process.addresses[0])
            .collect()
    }

    /// Returns the address at which the first entry VM accepts callers' requests.
    pub(crate) fn caller_address(&self) -> SocketAddr {
        self.entries[0].addresses[0]
    }

    /// Returns the key of the team.
    pub(crate) fn key(&self) -> &str {
        &self.key
    }

    /// Returns the resident memory of the first entry VM, in kilobytes.
    pub(crate) fn entry_rss_kb(&self) -> io::Result<u64> {
        resident_memory_kb(self.entries[0].id())
    }

    /// Returns the processor time that the entry VMs and the backend servers have used.
    pub(crate) fn cpu_times(&self) -> io::Result<CpuTimes> {
        let sum = |processes: &[SiteProcess]| -> io::Result<Duration> {
            processes.iter().map(|process| cpu_time(process.id())).sum()
        };
        Ok(CpuTimes {
            entries: sum(&self.entries)?,
            backends: sum(&self.backends)?,
        })
    }

    /// Waits until the first entry VM holds its shard and all slots are usable.
    async fn wait_until_ready(&self) -> Result<(), MeasureError> {
        let mut successes = 0;
        for _ in 0..READY_ATTEMPTS {
            successes += usize::from(self.serves().await);
            // An increased allocation becomes usable some polls after the first response.
            if successes > READY_ATTEMPTS / 4 {
                return Ok(());
            }
            tokio::time::sleep(READY_PAUSE).await;
        }
        Err(io::Error::other("the entry VM doesn't serve requests").into())
    }

    async fn serves(&self) -> bool {
        let endpoint = format!("{}/v1/queues/ticks/probe", self.caller_address());
        let authorization = format!("Bearer {}", self.key);
        let answer = send(
            &self.http,
            Method::POST,
            &endpoint,
            &authorization,
            &Value::Null,
        )
        .await;
        answer.is_ok_and(|(status, _)| status == StatusCode::OK)
    }

    async fn post_platform(&self, path: &str, body: &Value) -> Result<Value, MeasureError> {
        let endpoint = format!("{}{path}", self.platform.addresses[0]);
        call(&self.http, Method::POST, &endpoint, body).await
    }

    async fn post_operator(&self, path: &str, body: &Value) -> Result<Value, MeasureError> {
        let endpoint = format!("{}{path}", self.entries[0].addresses[2]);
        call(&self.http, Method::POST, &endpoint, body).await
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
            .map(|(number, process)| vm(&backend_name(number), "backend", process.addresses[0]))
            .collect();
        let entries = self.entries.iter().enumerate();
        vms.extend(
            entries.map(|(number, process)| vm(&entry_name(number), "entry", process.addresses[1])),
        );
        json!({ "vms": vms })
    }
}

fn backend_name(number: usize) -> String {
    format!("backend-{number}")
}

fn entry_name(number: usize) -> String {
    format!("entry-{number}")
}

fn entry_settings(number: usize, platform: SocketAddr) -> Value {
    json!({
        "vm": entry_name(number), "zone": "a",
        "caller_address": ANY_PORT, "peer_address": ANY_PORT, "operator_address": ANY_PORT,
        "platform_address": platform.to_string(),
        "peer_key": PEER_KEY, "operator_key": OPERATOR_KEY, "log_level": "error"
    })
}

fn manifest(size: SiteSize) -> Value {
    let vms: Vec<_> = (0..size.backends).map(backend_name).collect();
    json!({
        "site": "measured",
        "zones": [{ "name": "a", "region": "r", "shards": size.entries }],
        "teams": [{ "name": "ledger", "customer": "kandyan", "share": 1, "limit": 1000 }],
        "pools": [
            { "name": "checklists", "jobs": ["rollup"], "vms": vms },
            { "name": "spare", "spare": true }
        ],
        "services": [{
            "name": "rollup", "pool": "checklists", "slots": size.slots,
            "unavailable_budget_percent": 50
        }],
        "queues": [{ "name": "ticks", "service": "rollup" }]
    })
}

async fn call(
    http: &HttpClient,
    method: Method,
    endpoint: &str,
    body: &Value,
) -> Result<Value, MeasureError> {
    let authorization = format!("Bearer {OPERATOR_KEY}");
    let (status, body) = send(http, method, endpoint, &authorization, body).await?;
    if !status.is_success() {
        let text = String::from_utf8_lossy(&body);
        return Err(io::Error::other(format!("{endpoint} responded with {status}: {text}")).into());
    }
    Ok(serde_json::from_slice(&body).unwrap_or_default())
}

async fn send(
    http: &HttpClient,
    method: Method,
    endpoint: &str,
    authorization: &str,
    body: &Value,
) -> io::Result<(StatusCode, Bytes)> {
    let req = Request::builder()
        .method(method)
        .uri(format!("http://{endpoint}"))
        .header(header::AUTHORIZATION, authorization)
        .body(Full::new(Bytes::from(body.to_string())))
        .map_err(io::Error::other)?;
    let response = http.request(req).await.map_err(io::Error::other)?;
    let status = response.status();
    let body = response.into_body().collect().await;
    Ok((status, body.map_err(io::Error::other)?.to_bytes()))
}
