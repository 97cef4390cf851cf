//! Record of the transactions and request rates of the platform stand-in.

use std::collections::{BTreeMap, VecDeque};

use snipevane_proto::platform::{CommitEntry, PlatformRecord, SecondEntry};

/// Maximum number of recorded transactions; the oldest are dropped.
const MAX_COMMITS: usize = 200_000;
/// Maximum number of recorded seconds; the oldest are dropped.
const MAX_SECONDS: usize = 7_200;

/// Recorded transactions, and counts of calls for each second.
#[derive(Debug, Default)]
pub(crate) struct Record {
    commits: VecDeque<CommitEntry>,
    seconds: BTreeMap<u64, SecondEntry>,
}

impl Record {
    /// Records a transaction.
    pub(crate) fn add_commit(&mut self, entry: CommitEntry) {
        if self.commits.len() == MAX_COMMITS {
            self.commits.pop_front();
        }
        self.commits.push_back(entry);
    }

    /// Returns the counts of a second, given in seconds since the Unix epoch.
    pub(crate) fn second(&mut self, second: u64) -> &mut SecondEntry {
        if self.seconds.len() >= MAX_SECONDS && !self.seconds.contains_key(&second) {
            self.seconds.pop_first();
        }
        self.seconds.entry(second).or_insert(SecondEntry {
            second,
            reads: 0,
            writes: 0,
            rows: 0,
            refused: 0,
        })
    }

    /// Returns a copy of the record, without task runs and reboots.
    pub(crate) fn snapshot(&self) -> PlatformRecord {
        PlatformRecord {
            commits: self.commits.iter().cloned().collect(),
            seconds: self.seconds.values().cloned().collect(),
            task_runs: Vec::new(),
            reboots: Vec::new(),
        }
    }
}
