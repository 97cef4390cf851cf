//! The result of `commit_resolved` matches what was applied, under any order of lost replies,
//! delayed commits, stale reads and writes by other processes.

#![allow(clippy::unwrap_used)]

use std::collections::{HashMap, VecDeque};

use parking_lot::Mutex;
use proptest::prelude::{Just, ProptestConfig, Strategy, prop_oneof, proptest};
use proptest::test_runner::RngSeed;
use serde_json::{Value, json};
use smol_str::{SmolStr, format_smolstr};
use snipevane_platform::{
    Check, CommitError, Committed, PlatformError, Row, Table, Transaction, Write, commit_resolved,
};

const OWN: &str = "own";

/// Outcome of the next call to the table.
#[derive(Clone, Copy, Debug)]
enum Outcome {
    Answered,
    /// A commit is refused; a read fails.
    Refused,
    /// The call has no effect and its reply is lost.
    LostBefore,
    /// A commit takes effect and its reply is lost; a read returns the previous row.
    LostAfter,
    /// A commit takes effect at some later call; a read returns the previous row.
    Delayed,
}

/// Event that occurs before the next call.
#[derive(Clone, Copy, Debug)]
enum ConcurrentEvent {
    Nothing,
    Overwrite(usize),
    Delete(usize),
    /// The oldest delayed commit is applied.
    ApplyDelayed,
}

#[derive(Clone, Debug, Default)]
struct Stored {
    version: u64,
    value: Option<Value>,
    previous: Option<(u64, Value)>,
}

#[derive(Default)]
struct Inner {
    rows: HashMap<SmolStr, Stored>,
    script: VecDeque<(ConcurrentEvent, Outcome)>,
    in_flight: VecDeque<Transaction>,
    own_applied: usize,
}

impl Inner {
    fn write(&mut self, key: &SmolStr, value: Option<Value>) -> u64 {
        let stored = self.rows.entry(key.clone()).or_default();
        stored.previous = stored.value.take().map(|value| (stored.version, value));
        stored.value = value;
        stored.version += 1;
        stored.version
    }

    fn version(&self, key: &str) -> Option<u64> {
        let stored = self.rows.get(key)?;
        stored.value.as_ref().map(|_| stored.version)
    }

    fn apply(&mut self, tx: &Transaction) -> Result<Committed, CommitError> {
        let holds = |check: &&Check| self.version(&check.key) != check.expected;
        let failed: Vec<_> = tx.checks.iter().filter(holds).collect();
        if !failed.is_empty() {
            let keys = failed.iter().map(|check| check.key.clone()).collect();
            return Err(CommitError::Conflict { keys });
        }
        self.own_applied += 1;
        let mut versions = Vec::new();
        for write in &tx.writes {
            let value = match write {
                Write::Put { value, .. } => Some(value.clone()),
                Write::Delete { .. } => None,
            };
            versions.push((write.key().clone(), self.write(write.key(), value)));
        }
        Ok(Committed { versions })
    }

    fn next_outcome(&mut self) -> Outcome {
        let (event, outcome) = self
            .script
            .pop_front()
            .unwrap_or((ConcurrentEvent::Nothing, Outcome::Answered));
        match event {
            ConcurrentEvent::Nothing => {}
            ConcurrentEvent::Overwrite(row) => {
                let version = self.script.len();
                self.write(&key(row), Some(json!({ "other": version })));
            }
            ConcurrentEvent::Delete(row) => {
                if self.version(&key(row)).is_some() {
                    self.write(&key(row), None);
                }
            }
            ConcurrentEvent::ApplyDelayed => self.apply_delayed(),
        }
        outcome
    }

    fn apply_delayed(&mut self) {
        if let Some(tx) = self.in_flight.pop_front() {
            // The caller never learns the result.
            let _ = self.apply(&tx);
        }
    }
}

/// In-memory table that follows a script of events and call outcomes.
#[derive(Default)]
struct ScriptedTable(Mutex<Inner>);

impl Table for ScriptedTable {
    async fn read(&self, key: &str) -> Result<Option<Row>, PlatformError> {
        let mut inner = self.0.lock();
        let outcome = inner.next_outcome();
        let Some(stored) = inner.rows.get(key) else {
            return Ok(None);
        };
        let latest = stored.value.clone().map(|value| (stored.version, value));
        let row = match outcome {
            Outcome::Refused | Outcome::LostBefore => return Err(PlatformError::Refused(503)),
            Outcome::Answered => latest,
            Outcome::LostAfter | Outcome::Delayed => stored.previous.clone(),
        };
        Ok(row.map(|(version, value)| Row {
            key: key.into(),
            version,
            value,
        }))
    }

    async fn scan(&self, _prefix: &str) -> Result<Vec<Row>, PlatformError> {
        Err(PlatformError::Refused(404))
    }

    async fn commit(&self, tx: Transaction) -> Result<Committed, CommitError> {
        let mut inner = self.0.lock();
        let unknown = Err(CommitError::Unknown(PlatformError::DeadlineExceeded));
        match inner.next_outcome() {
            Outcome::Answered => inner.apply(&tx),
            Outcome::Refused => Err(CommitError::NotApplied(PlatformError::Refused(503))),
            Outcome::LostBefore => unknown,
            Outcome::LostAfter => {
                let _ = inner.apply(&tx);
                unknown
            }
            Outcome::Delayed => {
                inner.in_flight.push_back(tx);
                unknown
            }
        }
    }
}

fn key(row: usize) -> SmolStr {
    format_smolstr!("row/{row}")
}

fn step() -> impl Strategy<Value = (ConcurrentEvent, Outcome)> {
    let event = prop_oneof![
        6 => Just(ConcurrentEvent::Nothing),
        2 => (0..2_usize).prop_map(ConcurrentEvent::Overwrite),
        2 => (0..2_usize).prop_map(ConcurrentEvent::Delete),
        2 => Just(ConcurrentEvent::ApplyDelayed),
    ];
    let outcome = prop_oneof![
        2 => Just(Outcome::Answered),
        1 => Just(Outcome::Refused),
        1 => Just(Outcome::LostBefore),
        2 => Just(Outcome::LostAfter),
        3 => Just(Outcome::Delayed),
    ];
    (event, outcome)
}

/// Creates a transaction that overwrites the first `rows` rows, given their current versions.
fn transaction(inner: &Inner, rows: usize) -> Transaction {
    let checks = (0..rows).map(|row| Check {
        key: key(row),
        expected: inner.version(&key(row)),
    });
    let writes = (0..rows).map(|row| Write::Put {
        key: key(row),
        value: json!(OWN),
    });
    Transaction::new(checks.collect(), writes.collect())
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 5_000,
        rng_seed: RngSeed::Fixed(0x5eed_0007),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn reports_match_effects_despite_delayed_commits(
        before in proptest::collection::vec(step(), 0..4),
        script in proptest::collection::vec(step(), 0..14),
        after in proptest::collection::vec(step(), 0..6),
        rows in 1..=2_usize,
    ) {
        let table = ScriptedTable::default();
        let tx = {
            let mut inner = table.0.lock();
            inner.script.extend(before.iter().copied());
            for _ in 0..before.len() {
                inner.next_outcome();
            }
            inner.script = script.into();
            transaction(&inner, rows)
        };
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .unwrap();
        let result = runtime.block_on(commit_resolved(&table, tx));
        let mut inner = table.0.lock();
        inner.script = after.into();
        while !inner.script.is_empty() {
            inner.next_outcome();
        }
        while !inner.in_flight.is_empty() {
            inner.apply_delayed();
        }
        assert!(inner.own_applied <= 1, "applied {} times", inner.own_applied);
        match result {
            Ok(_) => assert_eq!(inner.own_applied, 1),
            Err(CommitError::Unknown(_)) => {}
            Err(error) => assert_eq!(inner.own_applied, 0, "{error}"),
        }
    }
}
