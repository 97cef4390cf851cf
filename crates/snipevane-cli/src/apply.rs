//! The `snipevane apply` command: submits a manifest and optionally waits until it is in force.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Serialize;
use snipevane_core::config;
use snipevane_proto::operator::{Applied, ApplyRequest, Config, Status};
use tokio::time::{self, Instant};
use uuid::Uuid;

use crate::flags::Apply;
use crate::output::{print_json, spinner};
use crate::{CliError, Client, check};

/// Time limit of `--wait` if `--wait-limit` isn't given.
const DEFAULT_WAIT_LIMIT: Duration = Duration::from_secs(60);
/// Interval at which `--wait` polls the entry VMs.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Number of known entry VMs of an availability zone, and how many have the version in force.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
struct ZoneProgress {
    done: usize,
    known: usize,
}

/// Result of the command, printed with `--json`.
#[derive(Clone, Debug, Serialize)]
struct Outcome {
    #[serde(flatten)]
    applied: Applied,
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    zones: BTreeMap<String, ZoneProgress>,
}

/// Checks a manifest, submits it as a new version, and waits for it to be in force if requested.
pub(crate) async fn run(client: &Client, cmd: &Apply, json: bool) -> Result<(), CliError> {
    let (file, text) = check::read_file(&cmd.file)?;
    config::check(&text, &file).map_err(CliError::Findings)?;
    let manifest =
        serde_json::from_str(&text).map_err(|error| CliError::Usage(error.to_string()))?;
    let based_on = match cmd.based_on {
        Some(version) => version,
        None => client.get::<Config>("/v1/config").await?.value.version,
    };
    let req = ApplyRequest {
        based_on,
        write_id: Uuid::now_v7(),
        manifest,
    };
    let bar = spinner("applying");
    // `write_id` makes a retry through another entry VM safe.
    let applied: Applied = client.post_idempotent("/v1/config", &req).await?.value;
    bar.finish_and_clear();
    if !json {
        print_applied(&applied);
    }
    let mut zones = BTreeMap::new();
    if cmd.wait {
        let limit = cmd.wait_limit.map_or(DEFAULT_WAIT_LIMIT, Into::into);
        zones = wait_until_in_force(client, applied.version, limit, json).await?;
    }
    if json {
        return print_json(&Outcome { applied, zones });
    }
    Ok(())
}

fn print_applied(applied: &Applied) {
    if applied.already_in_force {
        println!("version {}: already in force", applied.version);
    } else {
        println!("version {}: accepted", applied.version);
    }
}

/// Waits until every known entry VM has a version in force.
///
/// Unless `json` is set, prints each zone once all of its known entry VMs have the version.
async fn wait_until_in_force(
    client: &Client,
    version: u64,
    limit: Duration,
    json: bool,
) -> Result<BTreeMap<String, ZoneProgress>, CliError> {
    let started = Instant::now();
    let bar = spinner(&format!("waiting for version {version}"));
    let mut printed = BTreeMap::new();
    loop {
        let versions = collect_versions(client).await;
        let zones = progress_by_zone(&versions, version);
        for (zone, progress) in &zones {
            if progress.done < progress.known || printed.contains_key(zone) {
                continue;
            }
            printed.insert(zone.clone(), *progress);
            if !json {
                let seconds = started.elapsed().as_secs_f64();
                let known = progress.known;
                bar.suspend(|| {
                    println!(
                        "zone {zone}: version {version} in force at {known} of {known} entry VMs after {seconds:.1} s"
                    );
                });
            }
        }
        if !zones.is_empty() && zones.values().all(|zone| zone.done == zone.known) {
            bar.finish_and_clear();
            return Ok(zones);
        }
        if started.elapsed() >= limit {
            bar.finish_and_clear();
            return Err(CliError::Incomplete(describe_outdated(&versions, version)));
        }
        time::sleep(POLL_INTERVAL).await;
    }
}

/// Zone of each entry VM and the version in force there, by the VM's name.
type VersionsByVm = BTreeMap<String, (String, u64)>;

/// Reads the versions in force from every entry VM given on the command line.
///
/// Entry VMs that weren't given or didn't answer are taken from the peers that the others report.
async fn collect_versions(client: &Client) -> VersionsByVm {
    let mut versions = VersionsByVm::new();
    for (_, status) in client.get_all::<Status>("/v1/status").await {
        let Ok(status) = status else {
            continue;
        };
        for peer in status.peers {
            let known = versions.entry(peer.vm).or_insert((peer.zone, 0));
            known.1 = known.1.max(peer.version);
        }
        let own = versions.entry(status.vm).or_insert((status.zone, 0));
        own.1 = own.1.max(status.version);
    }
    versions
}

fn progress_by_zone(versions: &VersionsByVm, version: u64) -> BTreeMap<String, ZoneProgress> {
    let mut zones: BTreeMap<String, ZoneProgress> = BTreeMap::new();
    for (zone, in_force) in versions.values() {
        let progress = zones.entry(zone.clone()).or_default();
        progress.known += 1;
        progress.done += usize::from(*in_force >= version);
    }
    zones
}

fn describe_outdated(versions: &VersionsByVm, version: u64) -> String {
    let missing: Vec<_> = versions
        .iter()
        .filter(|(_, (_, in_force))| *in_force < version)
        .map(|(vm, (zone, in_force))| format!("{vm} in {zone} has version {in_force}"))
        .collect();
    if missing.is_empty() {
        return "no entry VM responded".to_owned();
    }
    format!(
        "version {version} was accepted but isn't in force everywhere: {}",
        missing.join(", ")
    )
}
