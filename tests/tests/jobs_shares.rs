//! Rate shares of teams: a team that submits many times its share delays its own jobs, not those of
//! others.

#![allow(clippy::expect_used, reason = "a failed step of a test ends it")]

use std::time::Duration;

use smol_str::SmolStr;
use snipevane_core::jobs::{JobId, JobState, Site, Team};
use snipevane_tests::jobs::{FakeMinion, JobSite, TEAM, entry, job, site_spec, step};

const START: Duration = Duration::from_secs(10);
const MINIONS: usize = 4;
const OTHER: &str = "other";

/// Time from the acceptance of a job to its deadline: 1.6 times its critical path and 600 ms.
const TIME_ALLOWED: Duration = Duration::from_millis(800 * 16 / 10 + 600);

/// Returns a site with two teams, each with a share of `share_per_s` jobs per second.
fn shared_site(share_per_s: f64) -> JobSite {
    let mut spec = site_spec(1, 0);
    let teams = [TEAM, OTHER].map(|name| Team {
        name: name.into(),
        share_per_s,
        ..Team::default()
    });
    spec.teams = teams.to_vec();
    let minions = (0..MINIONS).map(|number| FakeMinion::new(entry(number, "p0"), START));
    let mut sim = JobSite::new(Site::new(spec), minions.collect(), 1);
    sim.run(Duration::from_millis(100));
    sim
}

/// Simulates ten seconds in which the first team submits twenty jobs per second, five times what
/// the minions can run, and the other team two. Returns the fraction of the other team's jobs that
/// met their deadline.
fn run_load(sim: &mut JobSite) -> f64 {
    let mut steady_jobs: Vec<(JobId, Duration)> = Vec::new();
    for round in 0..100_u64 {
        for extra in 0..2 {
            let spec = job("p0", vec![step(4, 4_000, 800, &[])]);
            sim.submit(1_000 + round * 2 + extra, spec);
        }
        if round % 5 == 0 {
            let mut spec = job("p0", vec![step(4, 4_000, 800, &[])]);
            spec.team = Some(SmolStr::new_static(OTHER));
            steady_jobs.push((sim.submit(round, spec), sim.now));
        }
        sim.run(Duration::from_millis(100));
    }
    sim.run(TIME_ALLOWED);
    let in_time = steady_jobs
        .iter()
        .filter(|(id, at)| sim.completed_by(*id, *at + TIME_ALLOWED));
    in_time.count() as f64 / steady_jobs.len() as f64
}

/// Each team has a share of two jobs per second, which together is what the minions can run.
#[test]
fn a_team_within_its_share_is_served_while_another_sends_ten_times_its_own() {
    let share = run_load(&mut shared_site(2.0));
    assert!(
        share >= 0.9,
        "{share} of the other team's jobs met their deadline"
    );
}

/// For comparison: if jobs are ordered by their latest start alone, the same load does delay the
/// other team.
#[test]
fn without_shares_the_same_load_delays_the_other_team() {
    let share = run_load(&mut shared_site(0.0));
    assert!(
        share < 0.5,
        "{share} of the other team's jobs met their deadline"
    );
}

#[test]
fn jobs_beyond_a_share_run_where_there_is_room() {
    let mut sim = shared_site(1.0);
    let ids: Vec<JobId> = (1..=12)
        .map(|number| sim.submit(number, job("p0", vec![step(2, 1_000, 400, &[])])))
        .collect();
    sim.run(Duration::from_millis(800));
    for id in ids {
        assert_eq!(sim.state(id), JobState::Completed);
    }
}
