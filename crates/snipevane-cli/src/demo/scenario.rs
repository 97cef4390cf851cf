//! What the demo's site goes through.

use std::time::{Duration, Instant};

use indicatif::ProgressBar;
use serde_json::Value;
use snipevane_proto::operator::{
    Applied, ApplyRequest, GiveKey, GivenKey, KeyInfo, Status, Withdrawal,
};
use snipevane_proto::rows::KEY_PREFIX;
use tokio::time::sleep;
use uuid::Uuid;

use super::callers::{Callers, Tally, now_us};
use super::report::Report;
use super::site::{DemoSite, MANIFEST};
use crate::{CliError, Client};

/// Time for which the callers go on in each part.
const PART: Duration = Duration::from_millis(1_500);
/// Time between two looks at the entry VMs.
const POLL: Duration = Duration::from_millis(10);
/// Longest wait for something to hold everywhere.
const PATIENCE: Duration = Duration::from_secs(30);

/// Puts the site through its paces and returns what was seen.
pub(super) async fn run(site: &mut DemoSite, bar: &ProgressBar) -> Result<Report, CliError> {
    let operator = site.operator();
    let manifest: Value =
        serde_json::from_str(MANIFEST).map_err(|error| CliError::Usage(error.to_string()))?;
    apply(&operator, 0, &manifest).await?;
    until(&operator, |status| status.ready && status.shard.is_some()).await?;
    let ledger = give_key(&operator, "ledger").await?;
    let audit = give_key(&operator, "audit").await?;
    let entries = site.caller_addresses();
    let ledger_callers = Callers::start(&entries, &ledger.key);
    let audit_callers = Callers::start(&entries, &audit.key);

    bar.set_message("two teams send requests");
    sleep(PART).await;
    bar.set_message("a backend server leaves");
    let drained_us = now_us();
    let drained = site.drain_first_backend();
    sleep(PART).await;
    bar.set_message("a new configuration is applied");
    let mut changed = manifest.clone();
    changed["teams"][1]["limit"] = 8.into();
    let began = Instant::now();
    apply(&operator, 1, &changed).await?;
    until(&operator, |status| status.version >= 2).await?;
    let config_seconds = began.elapsed().as_secs_f64();
    bar.set_message("the platform is away");
    site.set_platform_down(true);
    sleep(PART).await;
    bar.set_message("a key is withdrawn while the platform is away");
    let withdrawn_us = now_us();
    let withdrawal: Withdrawal = operator
        .delete(&format!("/v1/keys/{}", audit.id))
        .await?
        .value;
    sleep(PART).await;
    let audit_tally = audit_callers.stop().await;
    bar.set_message("the platform is back");
    site.set_platform_down(false);
    sleep(PART).await;
    let ledger_tally = ledger_callers.stop().await;

    let withdrawn_seconds = seconds_between(withdrawn_us, audit_tally.last_answer_us);
    let stored = is_stored(site, &audit.id).await;
    let limits = [
        ("ledger", limit_of(&manifest, 0)),
        ("audit", limit_of(&manifest, 1)),
    ];
    Ok(Report::new(
        &site.records(),
        [ledger_tally, audit_tally],
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

async fn give_key(operator: &Client, team: &str) -> Result<GivenKey, CliError> {
    let req = GiveKey {
        team: team.to_owned(),
    };
    let given: GivenKey = operator.post_once("/v1/keys", &req).await?.value;
    let began = Instant::now();
    while began.elapsed() < PATIENCE {
        let lists = operator.get_all::<Vec<KeyInfo>>("/v1/keys").await;
        let has = |keys: &Vec<KeyInfo>| keys.iter().any(|key| key.id == given.id);
        if lists.iter().all(|(_, list)| list.as_ref().is_ok_and(has)) {
            return Ok(given);
        }
        sleep(POLL).await;
    }
    Err(CliError::Incomplete(format!(
        "the key of {team} didn't reach every entry VM"
    )))
}

/// Tells whether the platform recorded a second write of the key's row, after the one that gave it.
async fn is_stored(site: &DemoSite, id: &str) -> bool {
    let key = format!("{KEY_PREFIX}{id}");
    let began = Instant::now();
    while began.elapsed() < PATIENCE {
        if site.applied_writes(&key) > 1 {
            return true;
        }
        sleep(POLL).await;
    }
    false
}

/// Waits until something holds at every entry VM.
async fn until(operator: &Client, holds: impl Fn(&Status) -> bool) -> Result<(), CliError> {
    let began = Instant::now();
    while began.elapsed() < PATIENCE {
        let statuses = operator.get_all::<Status>("/v1/status").await;
        if statuses
            .iter()
            .all(|(_, status)| status.as_ref().is_ok_and(&holds))
        {
            return Ok(());
        }
        sleep(POLL).await;
    }
    Err(CliError::Incomplete(
        "the entry VMs didn't get ready in time".to_owned(),
    ))
}

/// Adds up what the teams' callers saw.
pub(super) fn total(tallies: &[Tally]) -> Tally {
    let mut sum = Tally::default();
    for tally in tallies {
        sum.add(tally.clone());
    }
    sum
}
