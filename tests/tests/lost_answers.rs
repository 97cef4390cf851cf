//! What `commit_resolved` reports is true in any order of lost answers, late landings, stale reads
//! and writes by others.

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

/// What becomes of the next call.
#[derive(Clone, Copy, Debug)]
enum Fate {
    Answered,
    /// A commit is refused, a read fails.
    Refused,
    /// Nothing happens, and the answer is lost.
    LostBefore,
    /// A commit takes effect and its answer is lost; a read is answered with the former row.
    LostAfter,
    /// A commit lands at some later call; a read is answered with the former row.
    Late,
}

/// What another process does before the next call.
#[derive(Clone, Copy, Debug)]
enum Other {
    Nothing,
    Overwrite(usize),
    Delete(usize),
    /// The oldest commit on its way arrives.
    Land,
}

#[derive(Clone, Debug, Default)]
struct Stored {
    version: u64,
    value: Option<Value>,
    former: Option<(u64, Value)>,
}

#[derive(Default)]
struct Inner {
    rows: HashMap<SmolStr, Stored>,
    script: VecDeque<(Other, Fate)>,
    on_the_way: VecDeque<Transaction>,
    own_applied: usize,
}

impl Inner {
    fn write(&mut self, key: &SmolStr, value: Option<Value>) -> u64 {
        let stored = self.rows.entry(key.clone()).or_default();
        stored.former = stored.value.take().map(|value| (stored.version, value));
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

    fn next_fate(&mut self) -> Fate {
        let (other, fate) = self
            .script
            .pop_front()
            .unwrap_or((Other::Nothing, Fate::Answered));
        match other {
            Other::Nothing => {}
            Other::Overwrite(row) => {
                let version = self.script.len();
                self.write(&key(row), Some(json!({ "other": version })));
            }
            Other::Delete(row) => {
                if self.version(&key(row)).is_some() {
                    self.write(&key(row), None);
                }
            }
            Other::Land => self.land(),
        }
        fate
    }

    fn land(&mut self) {
        if let Some(tx) = self.on_the_way.pop_front() {
            // Nobody hears of its end.
            let _ = self.apply(&tx);
        }
    }
}

/// A table in memory that follows a script.
#[derive(Default)]
struct ScriptedTable(Mutex<Inner>);

impl Table for ScriptedTable {
    async fn read(&self, key: &str) -> Result<Option<Row>, PlatformError> {
        let mut inner = self.0.lock();
        let fate = inner.next_fate();
        let Some(stored) = inner.rows.get(key) else {
            return Ok(None);
        };
        let latest = stored.value.clone().map(|value| (stored.version, value));
        let row = match fate {
            Fate::Refused | Fate::LostBefore => return Err(PlatformError::Refused(503)),
            Fate::Answered => latest,
            Fate::LostAfter | Fate::Late => stored.former.clone(),
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
        match inner.next_fate() {
            Fate::Answered => inner.apply(&tx),
            Fate::Refused => Err(CommitError::NotApplied(PlatformError::Refused(503))),
            Fate::LostBefore => unknown,
            Fate::LostAfter => {
                let _ = inner.apply(&tx);
                unknown
            }
            Fate::Late => {
                inner.on_the_way.push_back(tx);
                unknown
            }
        }
    }
}

fn key(row: usize) -> SmolStr {
    format_smolstr!("row/{row}")
}

fn step() -> impl Strategy<Value = (Other, Fate)> {
    let other = prop_oneof![
        6 => Just(Other::Nothing),
        2 => (0..2_usize).prop_map(Other::Overwrite),
        2 => (0..2_usize).prop_map(Other::Delete),
        2 => Just(Other::Land),
    ];
    let fate = prop_oneof![
        2 => Just(Fate::Answered),
        1 => Just(Fate::Refused),
        1 => Just(Fate::LostBefore),
        2 => Just(Fate::LostAfter),
        3 => Just(Fate::Late),
    ];
    (other, fate)
}

/// Creates a transaction on `rows` rows as the table has them.
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
    fn reports_are_true_whatever_lands_later(
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
                inner.next_fate();
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
            inner.next_fate();
        }
        while !inner.on_the_way.is_empty() {
            inner.land();
        }
        assert!(inner.own_applied <= 1, "applied {} times", inner.own_applied);
        match result {
            Ok(_) => assert_eq!(inner.own_applied, 1),
            Err(CommitError::Unknown(_)) => {}
            Err(error) => assert_eq!(inner.own_applied, 0, "{error}"),
        }
    }
}
