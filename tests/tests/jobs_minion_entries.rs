//! Tests of entries in the list of minions that others than the minions have written, or that tell of a new minion
//! at a known address.

#![allow(clippy::expect_used, reason = "a failed step of a test ends it")]

use std::time::Duration;

use rstest::rstest;
use smol_str::{SmolStr, format_smolstr};
use snipevane_core::jobs::{JobId, JobState, MinionEntry, SchedulerEvent, StepSpec};
use snipevane_tests::jobs::{FakeMinion, JobSite, entry, job, long_running_step, site, step};

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
