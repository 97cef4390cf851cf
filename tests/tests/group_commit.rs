//! Writes of rows are gathered, the important ones go first, and every outcome reported is true.

#![allow(clippy::unwrap_used)]

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use proptest::prelude::{Just, ProptestConfig, Strategy, any, prop_oneof, proptest};
use proptest::test_runner::RngSeed;
use rstest::rstest;
use serde_json::{Value, json};
use smol_str::{SmolStr, format_smolstr};
use snipevane_core::clock::SystemClock;
use snipevane_platform::{
    Batch, CommitError, Committed, Condition, Importance, NextBatch, PaceSettings, PlatformClient,
    PlatformError, PlatformSettings, RowWrite, Table, Transaction, Write, WriteError, WriteQueue,
    WriteQueueSettings, Writer,
};
use snipevane_proto::platform::PlatformFaults;
use snipevane_standin::{Platform, PlatformStandinSettings};

const FAST: PaceSettings = PaceSettings {
    max_per_second: 1000.0,
    min_per_second: 1000.0,
    increase_per_second: 0.0,
    decrease: 1.0,
};

fn row(key: impl Into<SmolStr>, importance: Importance, condition: Condition) -> RowWrite {
    RowWrite {
        key: key.into(),
        value: json!({ "id": uuid::Uuid::now_v7() }),
        condition,
        importance,
        expires: None,
    }
}

fn commit<T>(queue: &mut WriteQueue<T>, now: Instant) -> Batch<T> {
    match queue.next_batch(now) {
        NextBatch::Commit(batch) => batch,
        NextBatch::Wait(_) | NextBatch::Idle => panic!("no batch"),
    }
}

#[test]
fn limits_and_claims_go_before_bookkeeping() {
    let now = Instant::now();
    let settings = WriteQueueSettings {
        max_rows: 2,
        max_waiting: 3,
        ..WriteQueueSettings::default()
    };
    let mut queue = WriteQueue::new(settings, 1, now);
    for ticket in 0..3 {
        let key = format_smolstr!("stat/{ticket}");
        let write = row(key, Importance::Bookkeeping, Condition::Any);
        assert!(queue.submit(write, ticket, now).is_empty());
    }
    let limit = row("limit", Importance::Essential, Condition::Version(1));
    let shed = queue.submit(limit, 3, now);
    assert_eq!(shed, [(2, Err(WriteError::Shed))]);
    // The limit goes first, and one row of bookkeeping fills the batch.
    let batch = commit(&mut queue, now);
    let keys: Vec<_> = batch.transaction.writes.iter().map(Write::key).collect();
    assert_eq!(keys, ["limit", "stat/0"]);
}

#[test]
fn bookkeeping_leaves_one_commit_in_reserve() {
    let now = Instant::now();
    let mut queue = WriteQueue::new(WriteQueueSettings::default(), 1, now);
    let limit = |ticket| {
        row(
            format_smolstr!("limit/{ticket}"),
            Importance::Essential,
            Condition::Any,
        )
    };
    queue.submit(limit(0), 0, now);
    let batch = commit(&mut queue, now);
    queue.finish(batch, Ok(Committed::default()), now);
    let stat = row("stat", Importance::Bookkeeping, Condition::Any);
    queue.submit(stat, 1, now - Duration::from_secs(9));
    assert!(matches!(queue.next_batch(now), NextBatch::Wait(_)));
    queue.submit(limit(2), 2, now);
    assert_eq!(commit(&mut queue, now).transaction.writes.len(), 2);
}

#[test]
fn a_conflict_strikes_its_own_row_only() {
    let now = Instant::now();
    let settings = WriteQueueSettings {
        pace: FAST,
        ..WriteQueueSettings::default()
    };
    let mut queue = WriteQueue::new(settings, 1, now);
    for (ticket, key) in ["a", "b", "c"].into_iter().enumerate() {
        queue.submit(
            row(key, Importance::Essential, Condition::Absent),
            ticket,
            now,
        );
    }
    let batch = commit(&mut queue, now);
    let conflict = CommitError::Conflict {
        keys: vec!["b".into()],
    };
    let settled = queue.finish(batch, Err(conflict), now);
    assert_eq!(settled, [(1, Err(WriteError::Conflict))]);
    let later = now + Duration::from_secs(1);
    assert_eq!(commit(&mut queue, later).transaction.writes.len(), 2);
}

/// Only bookkeeping is sent again after an unknown end; a later expiry can't hide that end.
#[test]
fn an_unknown_end_is_told_and_stays_unknown() {
    let now = Instant::now();
    let mut queue = WriteQueue::new(WriteQueueSettings::default(), 1, now);
    queue.submit(row("limit", Importance::Essential, Condition::Any), 0, now);
    let stat = RowWrite {
        expires: Some(now + Duration::from_secs(5)),
        ..row("stat", Importance::Bookkeeping, Condition::Any)
    };
    queue.submit(stat, 1, now);
    let batch = commit(&mut queue, now);
    let unknown = CommitError::Unknown(PlatformError::Deadline);
    let settled = queue.finish(batch, Err(unknown), now);
    let unknown = Err(WriteError::Unknown(PlatformError::Deadline));
    assert_eq!(settled, [(0, unknown.clone())]);
    assert_eq!(queue.expire(now + Duration::from_secs(6)), [(1, unknown)]);
}

/// A table that applies transactions in memory and loses answers as told.
#[derive(Default)]
struct NaiveTable {
    rows: HashMap<SmolStr, (u64, Value)>,
}

impl NaiveTable {
    fn commit(&mut self, tx: &Transaction, end: End) -> Result<Committed, CommitError> {
        let version = |key: &SmolStr| self.rows.get(key).map(|(version, _)| *version);
        let failed = tx
            .checks
            .iter()
            .filter(|check| version(&check.key) != check.expected);
        let failed: Vec<_> = failed.map(|check| check.key.clone()).collect();
        let refused = PlatformError::Refused(503);
        match end {
            End::Refused => return Err(CommitError::NotApplied(refused)),
            End::LostBefore => return Err(CommitError::Unknown(refused)),
            End::LostAfter | End::Answered => {}
        }
        if !failed.is_empty() {
            return Err(CommitError::Conflict { keys: failed });
        }
        let mut versions = Vec::new();
        for write in &tx.writes {
            let Write::Put { key, value } = write else {
                continue;
            };
            let row = self.rows.entry(key.clone()).or_insert((0, Value::Null));
            *row = (row.0 + 1, value.clone());
            versions.push((key.clone(), row.0));
        }
        if end == End::LostAfter {
            return Err(CommitError::Unknown(refused));
        }
        Ok(Committed { versions })
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Answered,
    Refused,
    LostBefore,
    LostAfter,
}

#[derive(Clone, Copy, Debug)]
struct Submission {
    row: u8,
    importance: Importance,
    conditional: bool,
}

fn submission() -> impl Strategy<Value = Submission> {
    let importance = prop_oneof![
        Just(Importance::Essential),
        Just(Importance::Normal),
        Just(Importance::Bookkeeping),
    ];
    (0..6_u8, importance, any::<bool>()).prop_map(|(row, importance, conditional)| Submission {
        row,
        importance,
        conditional,
    })
}

fn end() -> impl Strategy<Value = End> {
    prop_oneof![
        4 => Just(End::Answered),
        1 => Just(End::Refused),
        1 => Just(End::LostBefore),
        1 => Just(End::LostAfter),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        rng_seed: RngSeed::Fixed(0x5eed_0006),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Beside a naive record of every value that the table ever held: what is reported as written
    /// was written, what is reported as not written never was, and every ticket is answered once.
    #[test]
    fn outcomes_match_what_the_table_held(
        steps in proptest::collection::vec((submission(), end()), 1..80),
    ) {
        let mut now = Instant::now();
        let settings = WriteQueueSettings {
            max_rows: 3,
            max_waiting: 6,
            linger: Duration::ZERO,
            pace: FAST,
        };
        let mut queue = WriteQueue::new(settings, 7, now);
        let mut table = NaiveTable::default();
        let mut values = Vec::new();
        let mut held: Vec<Value> = Vec::new();
        let mut outcomes = HashMap::new();
        let mut settle = |settled: Vec<(usize, Result<Option<u64>, WriteError>)>| {
            for (ticket, outcome) in settled {
                assert!(outcomes.insert(ticket, outcome).is_none());
            }
        };
        for (submission, end) in &steps {
            now += Duration::from_millis(10);
            let key = format_smolstr!("row/{}", submission.row);
            let condition = match table.rows.get(&key) {
                Some((version, _)) if submission.conditional => Condition::Version(*version),
                None if submission.conditional => Condition::Absent,
                _ => Condition::Any,
            };
            let write = row(key, submission.importance, condition);
            values.push(write.value.clone());
            settle(queue.submit(write, values.len() - 1, now));
            if values.len() % 2 == 0 {
                continue;
            }
            if let NextBatch::Commit(batch) = queue.next_batch(now) {
                let result = table.commit(&batch.transaction, *end);
                held.extend(table.rows.values().map(|(_, value)| value.clone()));
                settle(queue.finish(batch, result, now));
            }
        }
        while !queue.is_empty() {
            now += Duration::from_secs(1);
            if let NextBatch::Commit(batch) = queue.next_batch(now) {
                let result = table.commit(&batch.transaction, End::Answered);
                held.extend(table.rows.values().map(|(_, value)| value.clone()));
                settle(queue.finish(batch, result, now));
            }
        }
        assert_eq!(outcomes.len(), values.len());
        for (ticket, outcome) in outcomes {
            let was_held = held.contains(&values[ticket]);
            match outcome {
                Ok(_) => assert!(was_held),
                Err(WriteError::Unknown(_)) => {}
                Err(_) => assert!(!was_held),
            }
        }
    }
}

#[rstest]
#[case::healthy(PlatformFaults::default())]
#[case::lost_answers(PlatformFaults { lose_answers: 2, ..PlatformFaults::default() })]
#[tokio::test]
async fn many_rows_share_few_commits(#[case] faults: PlatformFaults) {
    let platform = Platform::start(PlatformStandinSettings::default());
    let platform = platform.await.unwrap();
    platform.set_faults(faults);
    let settings = PlatformSettings {
        address: platform.address(),
        ..PlatformSettings::default()
    };
    let table = Arc::new(PlatformClient::new(settings, SystemClock));
    let settings = WriteQueueSettings {
        linger: Duration::from_millis(50),
        ..WriteQueueSettings::default()
    };
    let writer = Writer::new(Arc::clone(&table), SystemClock, settings, 1);
    let handle = writer.handle();
    let writes = (0..60).map(|number| {
        let handle = handle.clone();
        let key = format_smolstr!("row/{number}");
        let write = row(key, Importance::Bookkeeping, Condition::Any);
        tokio::spawn(async move { handle.write(write).await })
    });
    // All tasks run on this thread in the order of their spawns, so all rows wait by then.
    let writes: Vec<_> = writes.collect();
    let running = tokio::spawn(writer.run());
    for write in writes {
        assert_eq!(write.await.unwrap(), Ok(Some(1)));
    }
    running.abort();
    assert_eq!(table.scan("row/").await.unwrap().len(), 60);
    assert_eq!(platform.record().commits.len(), 3);
}
