//! Tests of the size of the progress that is stored for jobs with many occurrences, tasks and failures.

use std::time::Duration;

use rstest::rstest;
use snipevane_core::jobs::{JobId, JobSpec, JobState, Schedule};
use snipevane_tests::jobs::{FakeMinion, JobSite, entry, job, site, step};

const START: Duration = Duration::from_secs(10);

/// Size of a job's stored progress that leaves a row half empty, in bytes.
const MAX_BYTES: usize = 32_768;

fn job_site(minions: usize) -> JobSite {
    let minions = (0..minions).map(|number| FakeMinion::new(entry(number, "p0"), START));
    JobSite::new(site(1, 0), minions.collect(), 1)
}

fn stored_bytes(built: &JobSite, id: JobId) -> usize {
    let progress = built.stored_progress(id);
    serde_json::to_vec(progress).map_or(usize::MAX, |value| value.len())
}

/// Runs until a job has ended, with a takeover from time to time; returns the largest size of its progress.
fn run_to_end(built: &mut JobSite, id: JobId, takeovers: usize) -> usize {
    let mut largest = 0;
    for round in 0..600 {
        built.run(Duration::from_millis(200));
        largest = largest.max(stored_bytes(built, id));
        if built.state(id).is_final() {
            break;
        }
        if round % 40 == 39 && round / 40 < takeovers {
            built.take_over();
        }
    }
    largest
}

/// Guards against progress that grows with each occurrence that was ever done.
#[rstest]
fn the_progress_of_a_job_that_repeats_does_not_grow_with_its_occurrences(
    #[values(0, 2)] takeovers: usize,
) {
    let mut built = job_site(8);
    let steps = (0..4_u32).map(|number| {
        let after: Vec<u32> = number.checked_sub(1).into_iter().collect();
        step(1, 100, 200, &after)
    });
    let spec = JobSpec {
        schedule: Some(Schedule {
            first_unix_ms: built.unix_ms(),
            interval_ms: 20,
            occurrences: 1_000,
        }),
        ..job("p0", steps.collect())
    };
    let id = built.submit(1, spec);
    let largest = run_to_end(&mut built, id, takeovers);
    assert_eq!(built.state(id), JobState::Completed);
    assert!(largest < MAX_BYTES, "{largest} bytes");
    assert_eq!(built.starts_after_listed_end().len(), 0);
}

/// Guards against progress that grows with each failed task of a wide step.
#[test]
fn the_progress_of_a_wide_step_stays_small_while_a_tenth_of_its_tasks_fails() {
    let mut built = job_site(20);
    let id = built.submit(1, job("p0", vec![step(4_000, 100, 200, &[])]));
    built.first_failure_every = Some(10);
    let largest = run_to_end(&mut built, id, 1);
    assert_eq!(built.state(id), JobState::Completed);
    assert!(largest < MAX_BYTES, "{largest} bytes");
}
