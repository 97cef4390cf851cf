//! Tests of the terms on which a job was accepted, when its queue changes or goes.

use std::time::Duration;

use rstest::rstest;
use snipevane_core::jobs::{JobSpec, JobState, JobTerms, Site, SiteSpec};
use snipevane_tests::jobs::{FakeMinion, JobSite, entry, job, site, site_spec, step};

const START: Duration = Duration::from_secs(10);

/// Returns a configuration without the test's queue.
fn without_queue() -> SiteSpec {
    let mut spec = site_spec(1, 0);
    spec.queues.clear();
    spec
}

/// Returns a configuration in which a task of the test's queue may fail only once.
fn with_one_attempt() -> SiteSpec {
    let mut spec = site_spec(1, 0);
    for queue in &mut spec.queues {
        queue.max_attempts = 1;
    }
    spec
}

/// Guards against a job that fails after one attempt, or isn't started in time, because a configuration has removed or
/// changed its queue since it was accepted.
#[rstest]
#[case::removed(without_queue())]
#[case::changed(with_one_attempt())]
fn a_job_keeps_the_terms_on_which_it_was_accepted(
    #[case] later: SiteSpec,
    #[values(0, 1, 2)] takeovers: usize,
) {
    let minions = (0..4).map(|number| FakeMinion::new(entry(number, "p0"), START));
    let mut built = JobSite::new(site(1, 0), minions.collect(), 1);
    built.run(Duration::from_millis(100));
    let queue = &site_spec(1, 0).queues[0];
    let spec = JobSpec {
        terms: Some(JobTerms::from(queue)),
        ..job("p0", vec![step(4, 1_000, 1_000, &[])])
    };
    built.first_failure_every = Some(1);
    let id = built.submit(1, spec);
    built.run(Duration::from_millis(500));
    built.set_site(Site::new(later));
    for _ in 0..takeovers {
        built.take_over();
        built.run(Duration::from_millis(200));
    }
    built.run(Duration::from_secs(20));
    assert_eq!(built.state(id), JobState::Completed);
}
