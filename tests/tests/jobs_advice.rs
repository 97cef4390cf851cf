//! Steps of queues with an advisor run only where it allows, and it is asked sparingly.

#![allow(clippy::expect_used, reason = "a failed step of a test ends it")]

use std::collections::BTreeSet;
use std::time::Duration;

use snipevane_core::jobs::{AdviceTerms, JobState, Site};
use snipevane_tests::jobs::{FakeMinion, JobSite, entry, job, long_running_step, site_spec, step};

const START: Duration = Duration::from_secs(10);

const TERMS: AdviceTerms = AdviceTerms {
    per_question: Duration::from_millis(100),
    per_minion: Duration::from_millis(5),
    valid: Duration::from_secs(4),
};

/// Returns a site with an advisor that allows only some minions.
fn advised_site(minions: usize, allowed: &[usize]) -> JobSite {
    let mut spec = site_spec(1, 0);
    for queue in &mut spec.queues {
        queue.advisor = Some(TERMS);
    }
    let minions = (0..minions).map(|number| FakeMinion::new(entry(number, "p0"), START));
    let mut built = JobSite::new(Site::new(spec), minions.collect(), 1);
    built.allowed = allowed
        .iter()
        .map(|&number| entry(number, "p0").id)
        .collect();
    built.run(Duration::from_millis(100));
    built
}

fn minions_used(built: &JobSite) -> BTreeSet<smol_str::SmolStr> {
    built.records.iter().map(|run| run.minion.clone()).collect()
}

#[test]
fn tasks_start_only_where_the_advisor_allows() {
    let mut built = advised_site(8, &[2, 5]);
    let id = built.submit(1, job("p0", vec![step(10, 4_000, 400, &[])]));
    built.run(Duration::from_secs(3));
    assert_eq!(built.state(id), JobState::Completed);
    assert_eq!(minions_used(&built), built.allowed);
    assert_eq!(built.records.len(), 10, "no start was refused or repeated");
    assert_eq!(
        built.asked.len(),
        1,
        "one question serves all tasks of the step"
    );
}

#[test]
fn a_question_names_few_minions_and_others_are_asked_for_after_a_refusal() {
    let mut built = advised_site(50, &[40]);
    let id = built.submit(1, job("p0", vec![step(3, 4_000, 400, &[])]));
    built.run(Duration::from_secs(3));
    assert_eq!(built.state(id), JobState::Completed);
    assert!(built.asked.iter().all(|minions| minions.len() <= 30));
    let named: usize = built.asked.iter().map(Vec::len).sum();
    assert!(named <= 50, "no minion is asked for twice: {named}");
}

#[test]
fn permits_that_run_out_are_asked_for_again() {
    let mut built = advised_site(4, &[1]);
    // The allowed minion runs four at a time, so the last start long after the first permit.
    let id = built.submit(1, job("p0", vec![step(16, 4_000, 2_000, &[])]));
    built.run(Duration::from_secs(12));
    assert_eq!(built.state(id), JobState::Completed);
    assert!(built.asked.len() >= 2);
    assert!(built.asked.len() <= 4, "{:?}", built.asked);
}

#[test]
fn a_minion_that_begins_anew_needs_another_permit() {
    let mut built = advised_site(3, &[1]);
    let id = built.submit(1, job("p0", vec![long_running_step(1)]));
    built.run(Duration::from_secs(2));
    assert_eq!(built.live_runs(id), 1);
    let now = built.now;
    let minion = built.minions.get_mut("i-1").expect("the minion");
    minion.crash(&mut built.records, now);
    built.run(Duration::from_millis(600));
    let now = built.now;
    built
        .minions
        .get_mut("i-1")
        .expect("the minion")
        .restart(now);
    built.list_minions();
    built.run(Duration::from_secs(9));
    assert_eq!(built.live_runs(id), 1);
    assert_eq!(minions_used(&built), built.allowed);
}
