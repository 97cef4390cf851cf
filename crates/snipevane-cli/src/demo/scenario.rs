//! Sequence of steps that the demo runs against its site.

use std::time::{Duration, Instant};

use indicatif::ProgressBar;
use serde_json::Value;
use snipevane_proto::operator::{
    Applied, ApplyRequest, GiveKey, GivenKey, KeyInfo, Status, Withdrawal,
};
use snipevane_proto::rows::KEY_PREFIX;
use tokio::time::sleep;
use uuid::Uuid;

use super::callers::{CallerStats, Callers, now_us};
use super::report::Report;
use super::site::{DemoSite, MANIFEST};
use crate::{CliError, Client};

/// Time for which the callers keep sending requests in each phase.
const PHASE_DURATION: Duration = Duration::from_millis(1_500);
/// Interval at which the entry VMs and the platform's records are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Maximum time to wait for a condition to hold.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Runs all phases of the demo and returns the report.
pub(super) async fn run(site: &mut DemoSite, bar: &ProgressBar) -> Result<Report, CliError> {
    let operator = site.operator();
    let manifest: Value =
        serde_json::from_str(MANIFEST).map_err(|error| CliError::Usage(error.to_string()))?;
    apply(&operator, 0, &manifest).await?;
    wait_until(&operator, |status| status.ready && status.shard.is_some()).await?;
    let ledger = issue_key(&operator, "ledger").await?;
    let audit = issue_key(&operator, "audit").await?;
    let entries = site.caller_addresses();
    let ledger_callers = Callers::start(&entries, &ledger.key);
    let audit_callers = Callers::start(&entries, &audit.key);

    bar.set_message("two teams are sending requests");
    sleep(PHASE_DURATION).await;
    bar.set_message("draining a backend server");
    let drained_us = now_us();
    let drained = site.drain_first_backend();
    sleep(PHASE_DURATION).await;
    bar.set_message("applying a new configuration");
    let mut changed = manifest.clone();
    changed["teams"][1]["limit"] = 8.into();
    let started = Instant::now();
    apply(&operator, 1, &changed).await?;
    wait_until(&operator, |status| status.version >= 2).await?;
    let config_seconds = started.elapsed().as_secs_f64();
    bar.set_message("the platform is unreachable");
    site.set_platform_down(true);
    sleep(PHASE_DURATION).await;
    bar.set_message("withdrawing a key while the platform is unreachable");
    let withdrawn_us = now_us();
    let withdrawal: Withdrawal = operator
        .delete(&format!("/v1/keys/{}", audit.id))
        .await?
        .value;
    sleep(PHASE_DURATION).await;
    let audit_stats = audit_callers.stop().await;
    bar.set_message("the platform is reachable again");
    site.set_platform_down(false);
    sleep(PHASE_DURATION).await;
    let ledger_stats = ledger_callers.stop().await;

    let withdrawn_seconds = seconds_between(withdrawn_us, audit_stats.last_response_us);
    let stored = is_withdrawal_stored(site, &audit.id).await;
    let limits = [
        ("ledger", limit_of(&manifest, 0)),
        ("audit", limit_of(&manifest, 1)),
    ];
    Ok(Report::new(
        &site.records(),
        [ledger_stats, audit_stats],
        &limits,
        (&drained, drained_us),
        [config_seconds, withdrawn_seconds],
        stored && withdrawal.unconfirmed_zones.is_empty(),
    ))
}

fn limit_of(manifest: &Value, team: usize) -> usize {
    let limit = manifest["teams"][team]["limit"].as_u64().unwrap_or(0);
    usize::try_from(limit).unwrap_or(usize::MAX)
}

fn seconds_between(from_us: u64, to_us: u64) -> f64 {
    Duration::from_micros(to_us.saturating_sub(from_us)).as_secs_f64()
}

async fn apply(operator: &Client, based_on: u64, manifest: &Value) -> Result<(), CliError> {
    let req = ApplyRequest {
        based_on,
        write_id: Uuid::now_v7(),
        manifest: manifest.clone(),
    };
    operator
        .post_idempotent::<Applied>("/v1/config", &req)
        .await
        .map(|_| ())
}

/// Issues a key to a team and waits until every entry VM lists it.
async fn issue_key(operator: &Client, team: &str) -> Result<GivenKey, CliError> {
    let req = GiveKey {
        team: team.to_owned(),
    };
    let issued: GivenKey = operator.post_once("/v1/keys", &req).await?.value;
    let started = Instant::now();
    while started.elapsed() < WAIT_TIMEOUT {
        let lists = operator.get_all::<Vec<KeyInfo>>("/v1/keys").await;
        let has = |keys: &Vec<KeyInfo>| keys.iter().any(|key| key.id == issued.id);
        if lists.iter().all(|(_, list)| list.as_ref().is_ok_and(has)) {
            return Ok(issued);
        }
        sleep(POLL_INTERVAL).await;
    }
    Err(CliError::Incomplete(format!(
        "the key of {team} didn't reach every entry VM"
    )))
}

/// Waits for the platform to record a second write of the key's row, the first being the one that
/// issued the key.
///
/// Returns whether that happened in time.
async fn is_withdrawal_stored(site: &DemoSite, id: &str) -> bool {
    let key = format!("{KEY_PREFIX}{id}");
    let started = Instant::now();
    while started.elapsed() < WAIT_TIMEOUT {
        if site.applied_writes(&key) > 1 {
            return true;
        }
        sleep(POLL_INTERVAL).await;
    }
    false
}

/// Waits until a condition holds at every entry VM.
async fn wait_until(
    operator: &Client,
    condition: impl Fn(&Status) -> bool,
) -> Result<(), CliError> {
    let started = Instant::now();
    while started.elapsed() < WAIT_TIMEOUT {
        let statuses = operator.get_all::<Status>("/v1/status").await;
        if statuses
            .iter()
            .all(|(_, status)| status.as_ref().is_ok_and(&condition))
        {
            return Ok(());
        }
        sleep(POLL_INTERVAL).await;
    }
    Err(CliError::Incomplete(
        "the entry VMs didn't reach the expected state in time".to_owned(),
    ))
}

/// Adds up the statistics of the teams' callers.
pub(super) fn total(team_stats: &[CallerStats]) -> CallerStats {
    let mut sum = CallerStats::default();
    for stats in team_stats {
        sum.add(stats.clone());
    }
    sum
}
