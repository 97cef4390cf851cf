//! Progress of a job, which the store keeps in addition to the submitted specification.

use serde::{Deserialize, Serialize};

use crate::jobs::ending::trial::Trial;

/// State of a job.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobState {
    /// No task has started.
    #[default]
    Queued,
    /// A task has started.
    Running,
    /// All tasks have completed.
    Completed,
    /// A task has failed as often as its queue allows.
    Failed,
    /// The caller has cancelled the job.
    Cancelled,
}

impl JobState {
    /// Returns the name of the state in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Queued => "queued",
            Self::Running => "running",
            Self::Completed => "completed",
            Self::Failed => "failed",
            Self::Cancelled => "cancelled",
        }
    }

    /// Returns whether the state is final, so that no more tasks of the job start.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }
}

/// Largest number of ranges, or of attempts, in one entry of the progress, so that no entry is larger than a
/// row of the store.
const MAX_ENTRY_ITEMS: usize = 500;

/// Largest number of records of crashes that are stored. Further ones, which matter least, are forgotten by the
/// next term.
const MAX_CRASH_RECORDS: usize = 1_000;

/// Completed tasks of one step, which are the same in several occurrences.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DoneTasks {
    /// Index of the first occurrence.
    pub occurrence: u32,
    /// Index of the step.
    pub step: u32,
    /// Contiguous ranges of task indices, as first and last index.
    pub ranges: Vec<(u32, u32)>,
    /// Further occurrences, as ranges with first and last index.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub further_occurrences: Vec<(u32, u32)>,
}

impl DoneTasks {
    /// Returns an entry for each occurrence.
    fn by_occurrence(&self) -> impl Iterator<Item = Self> + '_ {
        self.occurrences().map(|occurrence| Self {
            occurrence,
            further_occurrences: Vec::new(),
            ..self.clone()
        })
    }

    /// Returns the indices of all occurrences.
    pub(in crate::jobs) fn occurrences(&self) -> impl Iterator<Item = u32> + '_ {
        let ranges = self.occurrence_ranges();
        ranges.flat_map(|(first, last)| first..=last)
    }

    /// Returns the indices of all occurrences as ranges, with first and last index.
    pub(in crate::jobs) fn occurrence_ranges(&self) -> impl Iterator<Item = (u32, u32)> + '_ {
        let further = self.further_occurrences.iter().copied();
        std::iter::once((self.occurrence, self.occurrence)).chain(further)
    }

    /// Returns the number of occurrences.
    fn occurrence_count(&self) -> u64 {
        let ranges = self.occurrence_ranges();
        ranges
            .map(|(first, last)| u64::from(last.saturating_sub(first)) + 1)
            .sum()
    }

    /// Returns whether all of a step's tasks are completed, given their number.
    pub(in crate::jobs) fn is_whole(&self, tasks: u32) -> bool {
        self.ranges == [(0, tasks.saturating_sub(1))]
    }
}

/// Failed attempts, which are the same for several tasks of one step.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailedRuns {
    /// Index of the occurrence.
    pub occurrence: u32,
    /// Index of the step.
    pub step: u32,
    /// Index of the first task in its step.
    pub task: u32,
    /// Numbers of the attempts that failed.
    pub attempts: Vec<u32>,
    /// Further tasks, as ranges with first and last index.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub further_tasks: Vec<(u32, u32)>,
}

impl FailedRuns {
    /// Returns an entry for each task.
    fn by_task(&self) -> impl Iterator<Item = Self> + '_ {
        self.tasks().map(|task| Self {
            task,
            further_tasks: Vec::new(),
            ..self.clone()
        })
    }

    /// Returns the indices of all tasks.
    pub(in crate::jobs) fn tasks(&self) -> impl Iterator<Item = u32> + '_ {
        let further = self.further_tasks.iter();
        let further = further.flat_map(|&(first, last)| first..=last);
        std::iter::once(self.task).chain(further)
    }
}

/// Crashes of minions that had a run of one task.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashedRuns {
    /// Index of the occurrence.
    pub occurrence: u32,
    /// Index of the step.
    pub step: u32,
    /// Index of the task in its step.
    pub task: u32,
    /// Numbers of the attempts whose minions crashed.
    pub attempts: Vec<u32>,
    /// Number of these crashes that are attributed to the job.
    #[serde(default)]
    pub attributed: u32,
    /// Numbers of the attempts whose minions crashed and aren't known to have begun them.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub unconfirmed: Vec<u32>,
    /// Numbers of the attempts with whose start orders minions were lost that had been heard of right before.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub lost_starts: Vec<u32>,
    /// Numbers of the attempts under which minions crashed and that were passed over, with the times for which they
    /// had worked, in milliseconds.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub passed_over: Vec<(u32, u64)>,
    /// Times for which the attempts whose minions crashed had worked, in milliseconds.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub work_ms: Vec<u64>,
    /// Number of crashes of minions since the first of these that no task explains.
    #[serde(default, skip_serializing_if = "is_zero_count")]
    pub unexplained: u32,
    /// Run on trial.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub on_trial: Option<Trial>,
    /// Earlier runs on trial on minions that were silent after a takeover.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub undecided: Vec<Trial>,
}

/// Stored progress of a job, or a part of it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// State of the job.
    pub state: JobState,
    /// Completed tasks; empty once the state is final.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub done: Vec<DoneTasks>,
    /// Failed attempts; empty once the state is final.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub failed: Vec<FailedRuns>,
    /// Crashes of minions under tasks; empty once the state is final.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub crashed: Vec<CrashedRuns>,
    /// Time at which the state became final, in Unix milliseconds; 0 before.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub ended_unix_ms: u64,
    /// Number of further rows with parts of the progress.
    #[serde(default, skip_serializing_if = "is_zero_count")]
    pub parts: u32,
    /// Occurrences of which all steps are completed, as ranges with first and last index. Versions before this field
    /// have them among [`Self::done`], and so has a row in which that has room.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub finished: Vec<(u32, u32)>,
    /// Numbers of tasks of each step, if any occurrence is finished; not stored.
    #[serde(skip)]
    pub step_tasks: Vec<u32>,
    /// Whether the row is a tombstone: the job was cancelled before a submission of it was stored, so that none is
    /// stored any more. Versions that don't know the field take it for a job that was cancelled.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub tombstone: bool,
}

impl Progress {
    /// Returns the tombstone of a job that was cancelled at `unix_ms`, in Unix milliseconds.
    pub fn tombstone(unix_ms: u64) -> Self {
        Self {
            state: JobState::Cancelled,
            ended_unix_ms: unix_ms,
            tombstone: true,
            ..Self::default()
        }
    }

    /// Adds the tasks that are completed in each of these occurrences of a step, given in ascending order.
    pub(in crate::jobs) fn add_done(
        &mut self,
        step: u32,
        ranges: &[(u32, u32)],
        occurrences: &[u32],
    ) {
        for (first, further) in split_ranges(occurrences.iter().copied()) {
            for ranges in ranges.chunks(MAX_ENTRY_ITEMS) {
                self.done.push(DoneTasks {
                    occurrence: first,
                    step,
                    ranges: ranges.to_vec(),
                    further_occurrences: further.clone(),
                });
            }
        }
    }

    /// Adds the attempts that failed for each of these tasks of a step, given in ascending order.
    pub(in crate::jobs) fn add_failed(
        &mut self,
        (occurrence, step): (u32, u32),
        attempts: &[u32],
        tasks: &[u32],
    ) {
        for (first, further) in split_ranges(tasks.iter().copied()) {
            for attempts in attempts.chunks(MAX_ENTRY_ITEMS) {
                self.failed.push(FailedRuns {
                    occurrence,
                    step,
                    task: first,
                    attempts: attempts.to_vec(),
                    further_tasks: further.clone(),
                });
            }
        }
    }

    /// Keeps only as many records of crashes as are stored: those of the most crashes.
    pub(in crate::jobs) fn limit_crashes(&mut self) {
        if self.crashed.len() > MAX_CRASH_RECORDS {
            let weight = |record: &CrashedRuns| {
                let crashes = record.attempts.len() + record.lost_starts.len();
                (record.attributed, crashes)
            };
            self.crashed
                .sort_by_key(|record| std::cmp::Reverse(weight(record)));
            self.crashed.truncate(MAX_CRASH_RECORDS);
        }
    }

    /// Returns the progress with an entry for each occurrence and each task, as versions before the ranges stored
    /// it; `None` if that takes more than `max_entries` entries.
    pub fn without_ranges(&self, max_entries: usize) -> Option<Self> {
        let whole = self.with_finished_steps();
        let done = whole.done.iter().map(DoneTasks::occurrence_count);
        let failed = whole
            .failed
            .iter()
            .map(|entry| entry.tasks().count() as u64);
        if done.chain(failed).sum::<u64>() > max_entries as u64 {
            return None;
        }
        let mut done: Vec<DoneTasks> = whole
            .done
            .iter()
            .flat_map(DoneTasks::by_occurrence)
            .collect();
        done.sort_by_key(|entry| (entry.occurrence, entry.step));
        Some(Self {
            done,
            failed: whole.failed.iter().flat_map(FailedRuns::by_task).collect(),
            ..whole
        })
    }

    /// Returns the progress with an entry for each step of the finished occurrences, as versions before
    /// [`Self::finished`] stored it.
    pub fn with_finished_steps(&self) -> Self {
        let mut whole = self.clone();
        let ranges = std::mem::take(&mut whole.finished);
        for (step, &tasks) in (0..).zip(&self.step_tasks) {
            let all = [(0, tasks.saturating_sub(1))];
            for (first, further) in split_range_list(&ranges) {
                whole.done.push(DoneTasks {
                    occurrence: first,
                    step,
                    ranges: all.to_vec(),
                    further_occurrences: further,
                });
            }
        }
        whole
    }

    /// Forgets the failures that matter least, those of the tasks with the fewest failed attempts, and then records of
    /// crashes, until `max_entries` of both are left.
    pub fn keep_most_failures(&mut self, max_entries: usize) {
        self.failed
            .sort_by_key(|entry| std::cmp::Reverse(entry.attempts.len()));
        self.failed.truncate(max_entries);
        self.crashed
            .truncate(max_entries.saturating_sub(self.failed.len()));
    }

    /// Adds a part of the progress that was stored in a row of its own.
    pub fn merge(&mut self, part: Self) {
        self.done.extend(part.done);
        self.failed.extend(part.failed);
        self.crashed.extend(part.crashed);
        self.finished.extend(part.finished);
    }
}

fn is_zero(value: &u64) -> bool {
    *value == 0
}

fn is_zero_count(value: &u32) -> bool {
    *value == 0
}

/// Collapses ascending numbers into contiguous ranges, given as first and last number.
pub(in crate::jobs) fn collapse_ranges(numbers: impl Iterator<Item = u32>) -> Vec<(u32, u32)> {
    let mut ranges: Vec<(u32, u32)> = Vec::new();
    for number in numbers {
        match ranges.last_mut() {
            Some((_, last)) if *last + 1 == number => *last = number,
            _ => ranges.push((number, number)),
        }
    }
    ranges
}

/// Splits ascending numbers into entries, each with the first number and the further ones as ranges.
fn split_ranges(numbers: impl Iterator<Item = u32>) -> Vec<(u32, Vec<(u32, u32)>)> {
    split_range_list(&collapse_ranges(numbers))
}

/// Splits ascending ranges into entries, each with the first number and the further ones as ranges.
fn split_range_list(ranges: &[(u32, u32)]) -> Vec<(u32, Vec<(u32, u32)>)> {
    let entries = ranges.chunks(MAX_ENTRY_ITEMS).filter_map(|chunk| {
        let (&(first, last), rest) = chunk.split_first()?;
        let mut further = rest.to_vec();
        if first < last {
            further.insert(0, (first + 1, last));
        }
        Some((first, further))
    });
    entries.collect()
}
