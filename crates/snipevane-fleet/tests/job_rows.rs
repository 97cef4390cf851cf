//! Tests of the rows of submitted jobs: none exceeds the store's limit, and each job is read as it was submitted.

use proptest::prelude::*;
use rstest::rstest;
use smol_str::SmolStr;
use snipevane_adapter::rows::Row;
use snipevane_core::jobs::{JobId, JobSpec, StepSpec};
use snipevane_fleet::job_rows::{ReadJob, decode_all, encode, key_range, removal};
use snipevane_fleet::rows::encode as encode_row;

/// Largest value of a row, in bytes.
const MAX_ROW_BYTES: usize = 65_536;

fn job(steps: usize, image: &str) -> JobSpec {
    let step = StepSpec {
        tasks: 1,
        cpu_millis: 100,
        image: image.into(),
        ..StepSpec::default()
    };
    JobSpec {
        queue: "q".into(),
        pool: "p".into(),
        payload: "50".to_owned(),
        steps: vec![step; steps],
        ..JobSpec::default()
    }
}

/// Returns the rows of a job, in the order of their keys.
fn rows_of(id: JobId, spec: &JobSpec) -> Vec<Row> {
    let rows = encode(id, spec, MAX_ROW_BYTES).writes.into_iter();
    let rows = rows.map(|(table, key, value)| Row {
        table,
        key,
        version: 1,
        value: Some(value),
    });
    let mut rows: Vec<Row> = rows.collect();
    rows.sort_by(|a, b| a.key.cmp(&b.key));
    rows
}

fn read_whole(rows: &[Row]) -> Option<JobSpec> {
    match decode_all(rows).pop()? {
        (_, ReadJob::Whole(spec, _)) => Some(*spec),
        (_, ReadJob::Incomplete) => None,
    }
}

/// Guards against a job that is larger than a row and is rejected, or isn't read whole.
#[rstest]
#[case::small(3, 20)]
#[case::just_a_row(450, 20)]
#[case::some_rows(1_000, 100)]
#[case::many_rows(1_000, 500)]
fn a_job_is_spread_over_rows_within_the_limit(#[case] steps: usize, #[case] image_bytes: usize) {
    let id = JobId::new(7);
    let spec = job(steps, &"i".repeat(image_bytes));
    let rows = rows_of(id, &spec);
    let bytes = encode_row(&spec).len();
    let chunks = bytes.div_ceil(MAX_ROW_BYTES * 2 / 3);
    let expected = if bytes <= MAX_ROW_BYTES {
        1
    } else {
        chunks + 1
    };
    assert_eq!(rows.len(), expected);
    let sizes = rows.iter().flat_map(|row| &row.value).map(Vec::len);
    assert!(sizes.clone().all(|bytes| bytes <= MAX_ROW_BYTES));
    assert_eq!(read_whole(&rows).as_ref(), Some(&spec));
    let (from, to) = key_range(id);
    assert!(rows.iter().all(|row| row.key >= from && row.key < to));
    let removed = removal(id, rows.len() as u32 - 1).removals;
    assert!(
        rows.iter()
            .all(|row| removed.iter().any(|(_, key)| *key == row.key))
    );
}

/// Guards against a job of which only some rows are read yet, and that runs without the rest.
#[test]
fn a_job_of_which_rows_are_missing_is_told() {
    let id = JobId::new(7);
    let mut rows = rows_of(id, &job(1_000, &"i".repeat(100)));
    rows.remove(2);
    let read = decode_all(&rows);
    assert!(matches!(read[..], [(_, ReadJob::Incomplete)]));
}

/// Guards against a row that earlier versions can't read after a roll back to them, or one of theirs that isn't read.
#[test]
fn a_job_that_fits_in_a_row_has_the_form_of_earlier_versions() {
    let earlier = br#"{"queue":"q","pool":"p","payload":"50","steps":[{"tasks":1,"cpu_millis":100,"memory_mib":0,"estimate_ms":0}],"accepted_unix_ms":0}"#;
    let spec = job(1, "");
    let id = JobId::new(7);
    let written = encode(id, &spec, MAX_ROW_BYTES);
    assert_eq!(written.chunks, 0);
    let written: Vec<(SmolStr, Vec<u8>)> = written
        .writes
        .into_iter()
        .map(|(_, key, value)| (key, value))
        .collect();
    assert_eq!(written, [("0000000000000007".into(), earlier.to_vec())]);
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(51), ..ProptestConfig::default() })]

    /// The same for jobs of any size, with text that takes several bytes a character.
    #[test]
    fn any_job_is_read_back(steps in 1..400_usize, image in "[a-zé€\"\\\\]{0,400}") {
        let spec = job(steps, &image);
        let rows = rows_of(JobId::new(7), &spec);
        prop_assert_eq!(read_whole(&rows), Some(spec));
    }
}
