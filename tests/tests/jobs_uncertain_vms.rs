//! Tests of VMs of which the list doesn't tell whether a confirmed order took them down.

#![allow(clippy::expect_used, reason = "a failed step of a test ends it")]

use std::time::Duration;

use rstest::rstest;
use smol_str::SmolStr;
use snipevane_core::jobs::{JobState, PendingShutdowns, Vm, VmState};
use snipevane_tests::jobs::{FakeMinion, JobSite, entry, job, site, step};

const START: Duration = Duration::from_secs(10);

fn vm(state: VmState, minion: Option<SmolStr>) -> Vm {
    Vm {
        name: "vm-0".into(),
        pool: "p0".into(),
        zone: "zone".into(),
        state,
        minion,
    }
}

/// Guards against a task that runs twice at the same time, because a list that doesn't tell what became of a VM ends the
/// runs on it. The order was carried out before these runs began.
#[rstest]
#[case::unknown_state(vec![vm(VmState::Unknown, Some("i-0".into()))])]
#[case::unknown_state_and_minion(vec![vm(VmState::Unknown, None)])]
#[case::up_without_a_minion(vec![vm(VmState::Up, None)])]
#[case::down_with_its_minion(vec![vm(VmState::Down, Some("i-0".into()))])]
#[case::empty_list(Vec::new())]
fn an_uncertain_list_ends_no_runs_of_a_confirmed_order(#[case] list: Vec<Vm>) {
    let minions = (0..2).map(|number| FakeMinion::new(entry(number, "p0"), START));
    let mut built = JobSite::new(site(1, 0), minions.collect(), 1);
    built.run(Duration::from_secs(1));
    let id = built.submit(1, job("p0", vec![step(1, 1_000, 3_000, &[])]));
    built.run(Duration::from_secs(1));
    let on = built.records.first().expect("a run").minion.clone();
    let hosting = |listed: &Vm| Vm {
        minion: listed.minion.as_ref().map(|_| on.clone()),
        ..listed.clone()
    };
    let list: Vec<Vm> = list.iter().map(hosting).collect();
    let mut pending = PendingShutdowns::default();
    let ordered = vm(VmState::Up, Some(on.clone()));
    pending.add(&mut built.scheduler, ordered, built.now);
    built.partitioned.insert(on);
    for _ in 0..3 {
        built.run(Duration::from_millis(200));
        let asked_at = built.now;
        pending.resolve(&mut built.scheduler, &list, asked_at);
    }
    built.partitioned.clear();
    built.run(Duration::from_secs(10));
    assert_eq!(built.state(id), JobState::Completed);
    assert_eq!(built.records.len(), 1, "the task has run once");
}
