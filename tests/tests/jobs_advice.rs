//! Steps of queues with an advisor run only on minions that it allows, and it gets few requests.

#![allow(clippy::expect_used, reason = "a failed step of a test ends it")]

use std::collections::BTreeSet;
use std::time::Duration;

use snipevane_core::jobs::{AdvisorSettings, JobState, Site};
use snipevane_tests::jobs::{FakeMinion, JobSite, entry, job, long_running_step, site_spec, step};

const START: Duration = Duration::from_secs(10);

const ADVISOR: AdvisorSettings = AdvisorSettings {
    base_latency: Duration::from_millis(100),
    latency_per_minion: Duration::from_millis(5),
    validity: Duration::from_secs(4),
};

/// Returns a site with an advisor that allows only some minions.
fn advised_site(minions: usize, allowed: &[usize]) -> JobSite {
    let mut spec = site_spec(1, 0);
    for queue in &mut spec.queues {
        queue.advisor = Some(ADVISOR);
    }
    let minions = (0..minions).map(|number| FakeMinion::new(entry(number, "p0"), START));
    let mut site = JobSite::new(Site::new(spec), minions.collect(), 1);
    site.allowed = allowed
        .iter()
        .map(|&number| entry(number, "p0").id)
        .collect();
    site.run(Duration::from_millis(100));
    site
}

fn minions_used(site: &JobSite) -> BTreeSet<smol_str::SmolStr> {
    site.records.iter().map(|run| run.minion.clone()).collect()
}

#[test]
fn tasks_start_only_where_the_advisor_allows() {
    let mut site = advised_site(8, &[2, 5]);
    let id = site.submit(1, job("p0", vec![step(10, 4_000, 400, &[])]));
    site.run(Duration::from_secs(3));
    assert_eq!(site.state(id), JobState::Completed);
    assert_eq!(minions_used(&site), site.allowed);
    assert_eq!(site.records.len(), 10, "no start was refused or repeated");
    assert_eq!(
        site.advice_requests.len(),
        1,
        "one request serves all tasks of the step"
    );
}

#[test]
fn a_request_names_few_minions_and_a_refusal_leads_to_others() {
    let mut site = advised_site(50, &[40]);
    let id = site.submit(1, job("p0", vec![step(3, 4_000, 400, &[])]));
    site.run(Duration::from_secs(3));
    assert_eq!(site.state(id), JobState::Completed);
    assert!(
        site.advice_requests
            .iter()
            .all(|minions| minions.len() <= 30)
    );
    let named: usize = site.advice_requests.iter().map(Vec::len).sum();
    assert!(
        named <= 50,
        "no minion is named in two requests: {named} names"
    );
}

#[test]
fn expired_permits_are_requested_again() {
    let mut site = advised_site(4, &[1]);
    // The allowed minion runs four tasks at a time, so the last ones start long after the first
    // permit has expired.
    let id = site.submit(1, job("p0", vec![step(16, 4_000, 2_000, &[])]));
    site.run(Duration::from_secs(12));
    assert_eq!(site.state(id), JobState::Completed);
    assert!(site.advice_requests.len() >= 2);
    assert!(
        site.advice_requests.len() <= 4,
        "{:?}",
        site.advice_requests
    );
}

#[test]
fn a_restarted_minion_needs_a_new_permit() {
    let mut site = advised_site(3, &[1]);
    let id = site.submit(1, job("p0", vec![long_running_step(1)]));
    site.run(Duration::from_secs(2));
    assert_eq!(site.live_runs(id), 1);
    let now = site.now;
    let minion = site.minions.get_mut("i-1").expect("the minion exists");
    minion.crash(&mut site.records, now);
    site.run(Duration::from_millis(600));
    let now = site.now;
    site.minions
        .get_mut("i-1")
        .expect("the minion exists")
        .restart(now);
    site.list_minions();
    site.run(Duration::from_secs(9));
    assert_eq!(site.live_runs(id), 1);
    assert_eq!(minions_used(&site), site.allowed);
}
