//! What must always hold, while processes are killed and frozen and the platform fails.
//!
//! Every check reads the record that the stand-ins kept.

#![allow(clippy::unwrap_used, reason = "a failed step of a test ends it")]

use std::time::Duration;

use rstest::rstest;
use serde_json::json;
use snipevane_tests::site::{Load, Outcomes, Site, SiteOptions, send_load};
use tokio::time::sleep;

const PROGRAM: &str = env!("CARGO_BIN_EXE_site-process");
const SIGSTOP: i32 = 19;
const SIGCONT: i32 = 18;

/// A failure that a site goes through while callers send requests.
#[derive(Clone, Copy, Debug)]
enum Fault {
    None,
    EntryRestarts,
    EntryFreezes,
    PlatformDown,
    PlatformSlow,
    AnswersLost,
    StaleReads,
    ZoneCutFromPlatform,
    BackendFreezes,
    BackendDies,
    BodiesCut,
    FastFailures,
    FrozenWhilePlatformDown,
}

async fn ms(ms: u64) {
    sleep(Duration::from_millis(ms)).await;
}

impl Fault {
    async fn happen(self, site: &mut Site) {
        ms(150).await;
        match self {
            Self::None => {}
            Self::EntryRestarts => {
                site.restart_entry(1);
                ms(300).await;
                site.restart_entry(2);
            }
            Self::EntryFreezes => freeze(site, 1, 1_200).await,
            Self::PlatformDown => platform(site, json!({ "down": true }), 1_500).await,
            Self::PlatformSlow => platform(site, json!({ "slow_ms": 400 }), 1_500).await,
            Self::AnswersLost => {
                site.platform_faults(json!({ "lose_answers": 20 })).await;
                site.restart_entry(0);
                ms(1_000).await;
                site.platform_faults(json!({})).await;
            }
            Self::StaleReads => {
                site.platform_faults(json!({ "stale_reads": true })).await;
                site.restart_entry(0);
                ms(1_000).await;
                site.platform_faults(json!({})).await;
            }
            Self::ZoneCutFromPlatform => {
                let cut = json!({ "cut": ["entry-a-0", "entry-a-1"] });
                platform(site, cut, 1_500).await;
            }
            Self::BackendFreezes => backend(site, json!({ "freeze": true }), 1_000).await,
            Self::BackendDies => site.backends[0].process.kill(),
            Self::BodiesCut => backend(site, json!({ "cut_bodies": true }), 500).await,
            Self::FastFailures => backend(site, json!({ "fail_all": true }), 1_000).await,
            Self::FrozenWhilePlatformDown => {
                site.platform_faults(json!({ "down": true })).await;
                freeze(site, 2, 1_000).await;
                site.restart_entry(1);
                ms(500).await;
                site.platform_faults(json!({})).await;
            }
        }
    }
}

async fn freeze(site: &Site, entry: usize, time_ms: u64) {
    site.entries[entry].process.signal(SIGSTOP);
    ms(time_ms).await;
    site.entries[entry].process.signal(SIGCONT);
}

async fn platform(site: &Site, faults: serde_json::Value, time_ms: u64) {
    site.platform_faults(faults).await;
    ms(time_ms).await;
    site.platform_faults(json!({})).await;
}

async fn backend(site: &Site, faults: serde_json::Value, time_ms: u64) {
    site.backends[0].faults(faults).await;
    ms(time_ms).await;
    site.backends[0].faults(json!({})).await;
}

/// Sends two teams' load while a fault happens.
async fn run(fault: Fault, site: &mut Site) -> [Outcomes; 2] {
    let (_, ledger) = site.give_key("ledger").await;
    let (_, audit) = site.give_key("audit").await;
    let snapshot = site.callers();
    let loads = tokio::spawn(async move {
        let many = Load {
            callers: 24,
            ..Load::default()
        };
        let few = Load {
            callers: 8,
            requests: 20,
            seed: 11,
            ..Load::default()
        };
        let (many, few) = match fault {
            Fault::None => (many.patient(), few.patient()),
            _ => (many, few),
        };
        tokio::join!(
            send_load(&snapshot, &ledger, &many),
            send_load(&snapshot, &audit, &few)
        )
    });
    fault.happen(site).await;
    let (ledger, audit) = loads.await.unwrap();
    [ledger, audit]
}

#[rstest]
#[case(Fault::None)]
#[case(Fault::EntryRestarts)]
#[case(Fault::EntryFreezes)]
#[case(Fault::PlatformDown)]
#[case(Fault::PlatformSlow)]
#[case(Fault::AnswersLost)]
#[case(Fault::StaleReads)]
#[case(Fault::ZoneCutFromPlatform)]
#[case(Fault::BackendFreezes)]
#[case(Fault::BackendDies)]
#[case(Fault::BodiesCut)]
#[case(Fault::FastFailures)]
#[case(Fault::FrozenWhilePlatformDown)]
#[tokio::test]
async fn limits_identifiers_and_outcomes_hold(#[case] fault: Fault) {
    let mut site = Site::start(PROGRAM, SiteOptions::default()).await;
    let outcomes = run(fault, &mut site).await;
    if matches!(fault, Fault::BackendDies) {
        // The record of a dead process is lost.
        site.backends.remove(0);
    }
    let records = site.records().await;
    for record in &records {
        assert!(
            record.most_running <= 8,
            "{} ran {}",
            record.server,
            record.most_running
        );
        assert!(record.most_connections <= 64, "{record:?}");
    }
    let (ledger, audit) = (
        site.most_running("ledger").await,
        site.most_running("audit").await,
    );
    assert!(ledger <= 12, "ledger ran {ledger} at once");
    assert!(audit <= 3, "audit ran {audit} at once");
    let runs = site.runs_by_id().await;
    let answered: usize = outcomes.iter().map(Outcomes::answered).sum();
    let sent: usize = outcomes.iter().map(|part| part.by_id.len()).sum();
    println!(
        "{fault:?}: sent {sent} answered {answered} ran {} ledger {ledger} audit {audit}",
        runs.len()
    );
    if !matches!(fault, Fault::BackendDies) {
        outcomes.iter().for_each(|part| part.check(&runs));
    } else {
        assert!(runs.values().all(|&count| count == 1));
    }
    if matches!(fault, Fault::None) {
        let unanswered: Vec<_> = outcomes.iter().flat_map(Outcomes::unanswered).collect();
        assert!(unanswered.is_empty(), "{unanswered:?}");
    }
}

#[tokio::test]
async fn a_successor_waits_for_the_requests_of_a_killed_entry_vm() {
    let mut site = Site::start(PROGRAM, SiteOptions::default()).await;
    let (_, key) = site.give_key("ledger").await;
    let callers = site.callers();
    let long = Load {
        callers: 12,
        requests: 1,
        run_ms: 1_900,
        deadline_ms: 1_950,
        ..Load::default()
    };
    let filled = {
        let key = key.clone();
        tokio::spawn(async move { send_load(&callers, &key, &long).await })
    };
    ms(300).await;
    // The killed VM's requests go on at the backend servers; its shard is taken and given on.
    site.remove_entry(1).await;
    ms(400).await;
    site.start_entry("entry-a-9", "a");
    site.publish_list().await;
    let callers = site.callers();
    let more = Load {
        callers: 24,
        requests: 20,
        run_ms: 30,
        seed: 3,
        ..Load::default()
    };
    send_load(&callers, &key, &more).await;
    filled.await.unwrap();
    let ledger = site.most_running("ledger").await;
    assert!(ledger <= 12, "ledger ran {ledger} at once");
}
