//! Tests of what the log tells of a crash with a suspect aboard.

use std::time::Duration;

use snipevane_core::jobs::{CrashFinding, FindingInputs, SchedulerEvent};

use crate::set_up::{Sign, job_site, one, submit_crashing, submit_sound};

/// Guards against a log that doesn't tell why a task was started again after three crashes: which of them counted,
/// and why the others didn't.
#[test]
fn each_crash_with_a_suspect_aboard_is_reported_with_its_inputs() {
    for seed in 0..6 {
        let mut built = job_site(8, Sign::ResetAndRestart, seed);
        submit_sound(&mut built, 1_000, 8);
        let (_, tasks) = submit_crashing(&mut built, 1, &one());
        let (mut weighed, mut placed) = (Vec::new(), Vec::new());
        for _ in 0..400 {
            built.run(Duration::from_millis(100));
            for event in built.scheduler.take_events() {
                match event {
                    SchedulerEvent::CrashWeighed {
                        task,
                        finding,
                        inputs,
                        ..
                    } if task == tasks[0] => weighed.push((finding, inputs)),
                    SchedulerEvent::PlacedAfterCrashes { task, evidence, .. }
                        if task == tasks[0] =>
                    {
                        placed.push(evidence);
                    }
                    _ => {}
                }
            }
        }
        let crashes = built.crashes_under(tasks[0]).len();
        assert_eq!(weighed.len(), crashes, "seed {seed}: {weighed:?}");
        let starts = built.starts_after_third_crash(tasks[0]);
        assert_eq!(placed.len(), starts, "seed {seed}: {placed:?}");
        let lost_starts = weighed
            .iter()
            .filter(|(finding, _)| *finding == CrashFinding::LostStart);
        for (_, FindingInputs { doubt, .. }) in lost_starts {
            let doubt = doubt.expect("a judged start order");
            assert!(doubt.chance <= 0.03 && !doubt.silent_for.is_zero());
        }
    }
}
