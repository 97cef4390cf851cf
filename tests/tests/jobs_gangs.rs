//! Tests of gangs, whose members run together and resume together.

#![allow(clippy::expect_used, reason = "a failed step of a test ends it")]

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rstest::rstest;
use smol_str::SmolStr;
use snipevane_core::jobs::{JobState, StepSpec};
use snipevane_tests::jobs::{FakeMinion, JobSite, entry, job, site, step};

const START: Duration = Duration::from_secs(10);

/// Number of members of the gang.
const MEMBERS: u32 = 4;

/// Guards against members of a gang that resume from different checkpoints, each from its own last one, because the
/// minion of one is lost before the next list of the others.
#[rstest]
fn all_members_of_a_gang_resume_from_the_same_checkpoint(
    #[values(3_990, 4_020, 4_100, 5_500, 6_010)] crash_after_ms: u64,
    #[values(false, true)] takeover: bool,
) {
    let minions = (0..8).map(|number| FakeMinion::new(entry(number, "p0"), START));
    let mut built = JobSite::new(site(1, 0), minions.collect(), crash_after_ms);
    built.run(Duration::from_millis(100));
    let gang = StepSpec {
        gang: true,
        checkpoints: true,
        max_per_minion: Some(1),
        ..step(MEMBERS, 1_000, 12_000, &[])
    };
    let id = built.submit(1, job("p0", vec![gang]));
    built.run(Duration::from_millis(crash_after_ms));
    let lost = built.records[0].minion.clone();
    built.crash_minion(&lost);
    if takeover {
        built.take_over();
    }
    built.run(Duration::from_secs(40));
    assert_eq!(built.state(id), JobState::Completed);
    let mut by_attempt: BTreeMap<u32, BTreeSet<SmolStr>> = BTreeMap::new();
    for run in &built.records {
        let checkpoints = by_attempt.entry(run.attempt).or_default();
        checkpoints.insert(run.checkpoint.clone());
    }
    assert!(by_attempt.len() > 1, "the gang starts again");
    for (attempt, checkpoints) in by_attempt {
        assert_eq!(checkpoints.len(), 1, "attempt {attempt}: {checkpoints:?}");
    }
}
