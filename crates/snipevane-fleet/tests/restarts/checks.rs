//! What must hold after a play, by the minions' record and what callers see.

use std::time::Instant;

use snipevane_adapter_standin::{RecordedRun, RunOutcome};

use super::play::{FINISH_TIME, Job, Play};

impl Play {
    /// Checks what must hold.
    pub(crate) fn check(&mut self) {
        let end = Instant::now() + FINISH_TIME;
        for index in 0..self.jobs.len() {
            let left = end.saturating_duration_since(Instant::now());
            self.follow(index, left);
        }
        for minion in &self.minions {
            minion.settle();
        }
        let mut broken = Vec::new();
        for job in &self.jobs {
            broken.extend(self.broken_end(job));
        }
        broken.extend(self.runs_at_once());
        broken.extend(self.starts_after_done());
        for line in &broken {
            println!("BROKEN: {line}");
        }
        println!(
            "seed {}: {} jobs, {} runs, {} breaks",
            self.seed,
            self.jobs.len(),
            self.record.runs().len(),
            broken.len()
        );
        assert!(broken.is_empty(), "seed {}: {broken:#?}", self.seed);
    }

    /// Tells why a job's end breaks a rule, if it does.
    fn broken_end(&self, job: &Job) -> Option<String> {
        let state = job.state.as_deref().unwrap_or("not ended");
        if state == "completed" || self.max_crashes(&job.id) >= 2 {
            return None;
        }
        let runs = self.runs_of(&job.id);
        let runs: Vec<String> = runs.iter().map(|run| self.describe(run)).collect();
        Some(format!("LOST: job {} is {state}: {runs:#?}", job.id))
    }

    /// Returns the highest number of crashes under a task of a job that had begun.
    fn max_crashes(&self, job: &str) -> usize {
        let runs = self.runs_of(job);
        let died = runs.iter().filter(|run| has_died(run));
        let crashes = died.map(|run| {
            let of_task = runs.iter().filter(|other| other.task == run.task);
            of_task.filter(|other| has_died(other)).count()
        });
        crashes.max().unwrap_or(0)
    }

    /// Tells which runs of one task were there at the same time.
    fn runs_at_once(&self) -> Vec<String> {
        self.pairs(|earlier, later| earlier.ended.is_none_or(|end| end.at > later.started_at))
            .into_iter()
            .map(|pair| format!("TWICE, two runs at once: {pair}"))
            .collect()
    }

    /// Tells which runs began after the task was done and that was acknowledged.
    fn starts_after_done(&self) -> Vec<String> {
        self.pairs(|earlier, later| {
            let is_noted = earlier.noted_at.is_some();
            let done = earlier.ended.filter(|end| end.outcome == RunOutcome::Done);
            is_noted && done.is_some_and(|end| end.at <= later.started_at)
        })
        .into_iter()
        .map(|pair| format!("TWICE, a start after the end: {pair}"))
        .collect()
    }

    /// Describes the pairs of runs of one task for which `holds`, given the earlier and the later run.
    fn pairs(&self, holds: impl Fn(&RecordedRun, &RecordedRun) -> bool) -> Vec<String> {
        let runs = self.record.runs();
        let mut pairs = Vec::new();
        for (index, earlier) in runs.iter().enumerate() {
            let later = runs[index + 1..].iter();
            let later = later.filter(|run| run.task == earlier.task && holds(earlier, run));
            pairs.extend(
                later.map(|run| format!("{} and {}", self.describe(earlier), self.describe(run))),
            );
        }
        pairs
    }

    fn describe(&self, run: &RecordedRun) -> String {
        let since = |at: Instant| at.saturating_duration_since(self.started_at).as_millis();
        let ended = run.ended.map(|end| (since(end.at), end.outcome));
        format!(
            "{} run {} on {} born {} fence {}: began {} ms, ended {ended:?}, noted {:?}",
            run.task,
            run.attempt,
            run.minion,
            run.born,
            run.fence,
            since(run.started_at),
            run.noted_at.map(since),
        )
    }
}

fn has_died(run: &RecordedRun) -> bool {
    run.ended.is_some_and(|end| end.outcome == RunOutcome::Died)
}
