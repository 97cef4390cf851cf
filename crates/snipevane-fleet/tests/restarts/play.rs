//! A play of jobs on minions that restart.

use std::thread::sleep;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use snipevane_adapter_standin::{
    Conduct, HostVm, OddEntry, RecordedRun, Restart, RestartingMinion, RunOutcome, RunRecord, Step,
    submission,
};

use super::callers::Addresses;
use crate::site::{Site, call, eventually};

const POLL_INTERVAL: Duration = Duration::from_millis(1);

/// Time that a task runs, in milliseconds.
const RUN_MS: u64 = 1_500;

/// Time after which a refusal arrives.
const REFUSAL_DELAY: Duration = Duration::from_millis(250);

/// Time by which a minion's clock is set back further in each round.
const CLOCK_STEP: Duration = Duration::from_secs(60);

/// Longest time that a round waits for the moment at which it crashes a minion.
const MOMENT_TIMEOUT: Duration = Duration::from_secs(8);

/// Time after the end of the traffic at which all jobs have ended.
const FINISH_TIME: Duration = Duration::from_secs(14);

/// Longest time for which a minion that is back was down, in milliseconds.
const MAX_DOWN_MS: u64 = 600;

/// A job, and the state in which callers last saw it.
struct Job {
    id: String,
    state: Option<String>,
}

/// A site whose minions restart, and what happened there.
pub(crate) struct Play {
    pub(super) site: Site,
    record: RunRecord,
    pub(super) minions: Vec<RestartingMinion>,
    hosts: Vec<HostVm>,
    jobs: Vec<Job>,
    /// Index of the daemon that is suspended, if one is.
    pub(super) suspended: Option<usize>,
    pub(super) rng: StdRng,
    seed: u64,
    started_at: Instant,
}

impl Play {
    /// Starts daemons and minions.
    pub(crate) fn start(name: &str, seed: u64, nodes: usize, minions: usize) -> Self {
        println!("seed {seed}");
        let site = Site::start(name, nodes, 0);
        let mut play = Self {
            site,
            record: RunRecord::default(),
            minions: Vec::new(),
            hosts: Vec::new(),
            jobs: Vec::new(),
            suspended: None,
            rng: StdRng::seed_from_u64(seed),
            seed,
            started_at: Instant::now(),
        };
        for _ in 0..minions {
            play.add_minion();
        }
        let scheduler = play.site.scheduler().expect("a scheduler");
        eventually("senders", || {
            let senders = play.site.nodes[scheduler].metric("snipevane_senders", &[]);
            senders == (nodes - 1) as f64
        });
        play
    }

    /// Loses a minion under a task, and crashes the minion that the task's next start order is on its way to: after
    /// it has listed its runs, before it has begun the run.
    pub(crate) fn lose_an_order_with_its_minion(&mut self, round: u64) {
        let job = self.submit_apart(2);
        let task = format!("{job}.0.0.1");
        let is_begun = |play: &Self| play.runs_of(&job).len() == 2;
        self.wait_for("both tasks begun", is_begun);
        let lost = self.minion_of(&task);
        for (index, minion) in self.minions.iter().enumerate() {
            minion.set_conduct(Conduct {
                withholds_starts: index != lost,
                ..Conduct::default()
            });
        }
        self.lose(lost);
        let crashed = self.wait_for_order(&task);
        match crashed {
            Some(index) => self.crash_after_list(index, &task),
            None => println!("round {round}: no order came"),
        }
        self.calm();
        if let Some(index) = crashed {
            let restart = Restart {
                other_address: self.rng.random_bool(0.3),
                ..Restart::default()
            };
            let down_ms = self.rng.random_range(0..MAX_DOWN_MS);
            sleep(Duration::from_millis(down_ms));
            println!("round {round}: down for {down_ms} ms, {restart:?}");
            self.minions[index].come_back(restart);
        }
        self.wait_until_ended(&job);
        self.minions[lost].expire_entry();
        self.minions.remove(lost);
        self.add_minion();
    }

    /// Gives a minion with a run the address of another one, until the other one has refused a call for it and the
    /// refusal is on its way.
    pub(crate) fn confuse_addresses(&mut self, round: u64) {
        let job = self.submit_apart(2);
        self.wait_for("both tasks begun", |play| play.runs_of(&job).len() == 2);
        let confused = self.minion_of(&format!("{job}.0.0.1"));
        let runs = self.runs_of(&job);
        let is_idle = |minion: &RestartingMinion| runs.iter().all(|run| run.minion != minion.id());
        let other = self.minions.iter().position(is_idle).expect("a minion");
        self.minions[other].set_conduct(Conduct {
            answer_delay: REFUSAL_DELAY,
            ..Conduct::default()
        });
        let refused = self.minions[other].refused_count();
        let minion = &self.minions[confused];
        minion.publish_odd_entry(&OddEntry {
            id: minion.id().to_owned(),
            address: self.minions[other].address(),
            later: Duration::ZERO,
        });
        let end = Instant::now() + MOMENT_TIMEOUT;
        while self.minions[other].refused_count() == refused && Instant::now() < end {
            sleep(POLL_INTERVAL);
        }
        let refusals = self.minions[other].refused_count() - refused;
        self.note(&format!("round {round}: {refusals} refusals"));
        minion.register();
        self.wait_until_ended(&job);
        self.calm();
    }

    /// Crashes the minion of a task; it is back with its clock set back further than in the rounds before. Returns
    /// whether the task's job has ended in time.
    pub(crate) fn set_clock_back(&mut self, round: u64) -> bool {
        let job = self.submit_apart(1);
        self.wait_for("the task begun", |play| play.runs_of(&job).len() == 1);
        let index = self.minion_of(&format!("{job}.0.0.0"));
        self.minions[index].kill();
        let down_ms = self.rng.random_range(0..MAX_DOWN_MS);
        sleep(Duration::from_millis(down_ms));
        let back = CLOCK_STEP * u32::try_from(round + 1).expect("a number");
        self.note(&format!(
            "round {round}: down for {down_ms} ms, clock {back:?} back"
        ));
        self.minions[index].come_back(Restart {
            clock_back: back,
            ..Restart::default()
        });
        self.wait_until_ended(&job);
        self.jobs.last().is_some_and(|job| job.state.is_some())
    }

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

    /// Submits a job of tasks that each run on a minion of their own.
    pub(super) fn submit_apart(&mut self, tasks: u32) -> String {
        let id = format!("{:016x}", self.rng.random::<u64>());
        let step = Step {
            tasks,
            cpu_millis: 1_000,
            estimate_ms: RUN_MS,
            max_per_minion: 1,
            ..Step::default()
        };
        let body = submission(&RUN_MS.to_string(), &[step]).to_string();
        let node = self.rng.random_range(0..self.site.nodes.len());
        let callers = self.site.nodes[node].callers;
        let path = format!("/p/{id}");
        eventually("accepted", || {
            call(callers, "POST", &path, "key", &body).0 == 200
        });
        self.add_job(id.clone());
        id
    }

    /// Adds a job that callers have submitted and that was accepted.
    pub(super) fn add_job(&mut self, id: String) {
        self.jobs.push(Job { id, state: None });
    }

    /// Tells callers the present addresses of the daemons.
    pub(super) fn share_addresses(&self, addresses: &Addresses) {
        let callers = self.site.nodes.iter().map(|node| node.callers).collect();
        *addresses.lock().expect("the addresses") = callers;
    }

    /// Prints what happens, with its time.
    pub(super) fn note(&self, text: &str) {
        println!("{} ms: {text}", self.started_at.elapsed().as_millis());
    }

    fn add_minion(&mut self) {
        let number = self.hosts.len() + 1;
        let id = format!("i-{number}");
        let minion = RestartingMinion::start(&self.site.store, &id, "p", &self.record);
        self.minions.push(minion);
        self.hosts.push(HostVm {
            name: format!("h-{number}"),
            minion: Some(id),
        });
        self.site.vm_api.set_hosts(self.hosts.clone());
    }

    /// Crashes a minion whose VM is down from then on.
    fn lose(&mut self, index: usize) {
        let minion = &self.minions[index];
        minion.kill();
        for host in &mut self.hosts {
            if host.minion.as_deref() == Some(minion.id()) {
                host.minion = None;
            }
        }
        self.site.vm_api.set_hosts(self.hosts.clone());
    }

    /// Lets all minions treat calls as usual.
    fn calm(&self) {
        for minion in &self.minions {
            minion.set_conduct(Conduct::default());
        }
    }

    fn runs_of(&self, job: &str) -> Vec<RecordedRun> {
        let runs = self.record.runs().into_iter();
        runs.filter(|run| run.task.starts_with(job)).collect()
    }

    /// Returns the index of the minion that last began a run of a task.
    fn minion_of(&self, task: &str) -> usize {
        let runs = self.record.runs();
        let run = runs.iter().rev().find(|run| run.task == task);
        let id = &run.expect("a run").minion;
        let found = self.minions.iter().position(|minion| minion.id() == id);
        found.expect("a minion")
    }

    /// Waits until a start order of a task has come to a minion; returns the minion's index.
    fn wait_for_order(&self, task: &str) -> Option<usize> {
        let end = Instant::now() + MOMENT_TIMEOUT;
        while Instant::now() < end {
            let found = self.minions.iter().position(|minion| {
                let waiting = minion.waiting_starts();
                waiting.iter().any(|start| start.task == task)
            });
            if found.is_some() {
                return found;
            }
            sleep(POLL_INTERVAL);
        }
        None
    }

    /// Crashes a minion shortly after it has listed its runs with a start order on its way.
    fn crash_after_list(&mut self, index: usize, task: &str) {
        let minion = &self.minions[index];
        let waiting = minion.waiting_starts();
        let order = waiting.iter().find(|start| start.task == task);
        let came_at = order.expect("an order").came_at;
        let end = Instant::now() + MOMENT_TIMEOUT;
        while minion.listed_at() < Some(came_at) && Instant::now() < end {
            sleep(POLL_INTERVAL);
        }
        // The list is on its way to the daemon for some time.
        sleep(Duration::from_millis(self.rng.random_range(1..10)));
        minion.kill();
    }

    fn wait_for(&self, what: &str, holds: impl Fn(&Self) -> bool) {
        eventually(what, || holds(self));
    }

    fn wait_until_ended(&mut self, id: &str) {
        let index = self.jobs.iter().position(|job| job.id == id);
        self.follow(index.expect("a job"), FINISH_TIME);
    }

    /// Asks for a job's state until it has ended, or `limit` is over.
    fn follow(&mut self, index: usize, limit: Duration) {
        let end = Instant::now() + limit;
        loop {
            let job = &self.jobs[index];
            if job.state.is_some() {
                return;
            }
            let node = self.rng.random_range(0..self.site.nodes.len());
            let answer = self.site.state(node, &job.id);
            let states = ["completed", "failed", "cancelled"];
            let state = states.iter().find(|state| answer.contains(*state));
            self.jobs[index].state = state.map(ToString::to_string);
            if Instant::now() >= end {
                return;
            }
            sleep(Duration::from_millis(20));
        }
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
