//! Tests of entries in the list of minions that others than the minions have written, or that tell of a new minion
//! at a known address.

#![allow(clippy::expect_used, reason = "a failed step of a test ends it")]

use std::time::Duration;

use rstest::rstest;
use smol_str::{SmolStr, format_smolstr};
use snipevane_core::jobs::{
    JobId, JobSpec, JobState, MinionEntry, Pool, SchedulerEvent, Site, StepSpec,
};
use snipevane_tests::jobs::{
    FakeMinion, JobSite, TICK, entry, job, long_running_step, site, site_spec, step,
};

const START: Duration = Duration::from_secs(10);

/// Number of tasks of the job.
const TASKS: usize = 6;

/// Longest time from the entry of a new minion until the runs of the former one at its address count as lost: a
/// call to the minion, and two decisions.
const MAX_NOTICE_TIME: Duration = Duration::from_millis(100);

fn job_site() -> JobSite {
    let minions = (0..4).map(|number| FakeMinion::new(entry(number, "p0"), START));
    let mut built = JobSite::new(site(1, 0), minions.collect(), 1);
    built.run(Duration::from_millis(100));
    built
}

/// An entry that another writer has put into the list.
#[derive(Clone, Copy, Debug)]
enum Foreign {
    /// Another identifier and the address of a minion, in a pool that no configuration names.
    UnknownPool,
    /// Another identifier and the address of a minion, in the same pool.
    SamePool,
    /// The minion's identifier and address, with a later start.
    LaterStart,
    /// The minion's identifier with the address of another one, and a later start.
    OtherAddress,
}

impl Foreign {
    /// Returns an entry about a minion; `number` tells several from each other.
    fn entry(self, of: &MinionEntry, number: u64) -> MinionEntry {
        let id = format_smolstr!("foreign-{number}");
        let started_unix_ms = u64::MAX / 2 + number;
        let base = MinionEntry {
            started_unix_ms,
            ..of.clone()
        };
        match self {
            Self::UnknownPool => MinionEntry {
                id,
                pool: "nowhere".into(),
                ..base
            },
            Self::SamePool => MinionEntry { id, ..base },
            Self::LaterStart => base,
            Self::OtherAddress => MinionEntry {
                address: "10.0.0.3:80".into(),
                ..base
            },
        }
    }
}

/// Guards against tasks that run twice at the same time, and are counted as causes of a crash, because an entry
/// that another writer has put into the list counts as a sign that their minion is gone.
#[rstest]
fn entries_of_other_writers_end_no_runs(
    #[values(
        Foreign::UnknownPool,
        Foreign::SamePool,
        Foreign::LaterStart,
        Foreign::OtherAddress
    )]
    foreign: Foreign,
    #[values(1, 40)] entries: u64,
    #[values(false, true)] after_takeover: bool,
) {
    let mut built = job_site();
    let id = built.submit(1, job("p0", vec![step(TASKS as u32, 1_000, 9_000, &[])]));
    built.run(Duration::from_secs(1));
    if after_takeover {
        built.take_over();
        built.run(Duration::from_secs(1));
    }
    let busy = busy_minion(&built, id);
    for number in 0..entries {
        let about = built.minions[&busy].entry.clone();
        built
            .scheduler
            .upsert_minion(foreign.entry(&about, number), built.now);
        built.run(Duration::from_millis(50));
    }
    // The minion writes its own entry again.
    built.list_minions();
    built.run(Duration::from_secs(20));
    assert_eq!(built.state(id), JobState::Completed);
    assert_eq!(built.records.len(), TASKS, "each task has run once");
}

/// Returns the identifier of a minion with runs of a job.
fn busy_minion(built: &JobSite, id: JobId) -> SmolStr {
    let mut runs = built.records.iter();
    let run = runs.find(|run| run.task.step.job == id && run.to.is_none());
    run.expect("a run").minion.clone()
}

/// Guards against a check of the former minion that makes a true reuse of its address known later.
#[rstest]
#[case::short_tasks(step(TASKS as u32, 1_000, 20_000, &[]))]
#[case::long_running_tasks(long_running_step(TASKS as u32))]
fn a_new_minion_at_a_known_address_is_noticed_at_once(#[case] step: StepSpec) {
    let mut built = job_site();
    let id = built.submit(1, job("p0", vec![step]));
    built.run(Duration::from_secs(2));
    let gone = busy_minion(&built, id);
    let on_gone = built.records.iter().filter(|run| run.minion == gone);
    let runs = on_gone.count();
    let minions = built.minions.len();
    built.crash_minion(&gone);
    while built.minions.len() == minions {
        built.tick();
    }
    built.run(MAX_NOTICE_TIME);
    let events = built.scheduler.take_events();
    let is_lost = |event: &&SchedulerEvent| matches!(event, SchedulerEvent::RunLost { minion, .. } if *minion == gone);
    assert_eq!(events.iter().filter(is_lost).count(), runs);
}

/// Returns a configuration that also names a pool.
fn site_with_pool(name: &str) -> Site {
    let mut spec = site_spec(1, 0);
    spec.pools.push(Pool {
        name: name.into(),
        enforces_capacity: true,
        standby: false,
    });
    spec.queues[0].pool = name.into();
    Site::new(spec)
}

/// Guards against entries of unknown pools that change what is recorded, counted or asked, although they name no minion
/// to use.
#[test]
fn entries_of_unknown_pools_change_nothing() {
    let mut built = job_site();
    let (minions, pools) = (
        built.scheduler.minions_in_use(built.now),
        built.scheduler.pool_stats(built.now).len(),
    );
    let about = built
        .minions
        .values()
        .next()
        .expect("a minion")
        .entry
        .clone();
    for number in 0..40 {
        let entry = Foreign::UnknownPool.entry(&about, number);
        built.scheduler.upsert_minion(entry, built.now);
        built.run(Duration::from_millis(50));
    }
    assert_eq!(built.scheduler.minions_in_use(built.now), minions);
    assert_eq!(built.scheduler.pool_stats(built.now).len(), pools);
    assert_eq!(built.scheduler.minions().count(), minions.len());
    let events = built.scheduler.take_events();
    let is_report = |event: &&SchedulerEvent| matches!(event, SchedulerEvent::MinionLeftOut { .. });
    assert_eq!(
        events.iter().filter(is_report).count(),
        40,
        "one report for each"
    );
}

/// Guards against a minion that is never used because its entry came before the configuration that names its pool.
#[test]
fn a_minion_of_a_new_pool_is_used_once_the_pool_is_known() {
    let mut built = job_site();
    let mut joined = FakeMinion::new(entry(9, "later"), built.now);
    joined.entry.started_unix_ms = joined.incarnation;
    let joined_id = joined.entry.id.clone();
    built.minions.insert(joined_id.clone(), joined);
    built.list_minions();
    built.run(Duration::from_secs(1));
    built.set_site(site_with_pool("later"));
    built.run(Duration::from_millis(200));
    let spec = JobSpec {
        queue: "q-p0".into(),
        ..job("later", vec![step(2, 1_000, 500, &[])])
    };
    let id = built.submit(1, spec);
    built.run(Duration::from_secs(2));
    assert_eq!(built.state(id), JobState::Completed);
    assert!(built.records.iter().all(|run| run.minion == joined_id));
}

/// Guards against tasks that run twice because a refusal from a wrong address comes after the entry is right again.
#[rstest]
fn refusals_from_an_earlier_address_end_no_runs(
    #[values(1, 2, 3, 4)] seed: u64,
    #[values(0, 1, 2)] ticks_until_right: u32,
) {
    let minions = (0..4).map(|number| FakeMinion::new(entry(number, "p0"), START));
    let mut built = JobSite::new(site(1, 0), minions.collect(), seed);
    let id = built.submit(1, job("p0", vec![step(TASKS as u32, 1_000, 9_000, &[])]));
    built.run(Duration::from_secs(1));
    let busy = busy_minion(&built, id);
    let about = built.minions[&busy].entry.clone();
    for number in 0..10 {
        let odd = Foreign::OtherAddress.entry(&about, number);
        built.scheduler.upsert_minion(odd, built.now);
        built.run(TICK * (1 + ticks_until_right));
        built.scheduler.upsert_minion(about.clone(), built.now);
        built.run(Duration::from_millis(300));
    }
    built.run(Duration::from_secs(20));
    assert_eq!(built.state(id), JobState::Completed);
    assert_eq!(built.records.len(), TASKS, "each task has run once");
}
