//! A play of jobs on minions that restart.

use std::thread::sleep;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use snipevane_adapter_standin::{
    Conduct, HostVm, RecordedRun, RestartingMinion, RunRecord, Step, submission,
};

use super::callers::Addresses;
use crate::site::{Site, call, eventually};

/// Time that a task runs, in milliseconds.
const RUN_MS: u64 = 1_500;

/// Time after the end of the traffic at which all jobs have ended.
pub(super) const FINISH_TIME: Duration = Duration::from_secs(14);

/// A job, and the state in which callers last saw it.
pub(super) struct Job {
    pub(super) id: String,
    pub(super) state: Option<String>,
}

/// A site whose minions restart, and what happened there.
pub(crate) struct Play {
    pub(super) site: Site,
    pub(super) record: RunRecord,
    pub(super) minions: Vec<RestartingMinion>,
    pub(super) hosts: Vec<HostVm>,
    pub(super) jobs: Vec<Job>,
    /// Index of the daemon that is suspended, if one is.
    pub(super) suspended: Option<usize>,
    pub(super) rng: StdRng,
    pub(super) seed: u64,
    pub(super) started_at: Instant,
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

    /// Adds a minion on a VM of its own.
    pub(super) fn add_minion(&mut self) {
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
    pub(super) fn lose(&mut self, index: usize) {
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
    pub(super) fn calm(&self) {
        for minion in &self.minions {
            minion.set_conduct(Conduct::default());
        }
    }

    /// Returns the runs of a job's tasks so far.
    pub(super) fn runs_of(&self, job: &str) -> Vec<RecordedRun> {
        let runs = self.record.runs().into_iter();
        runs.filter(|run| run.task.starts_with(job)).collect()
    }

    /// Returns the index of the minion that last began a run of a task.
    pub(super) fn minion_of(&self, task: &str) -> usize {
        let runs = self.record.runs();
        let run = runs.iter().rev().find(|run| run.task == task);
        let id = &run.expect("a run").minion;
        let found = self.minions.iter().position(|minion| minion.id() == id);
        found.expect("a minion")
    }

    /// Waits until a condition holds.
    pub(super) fn wait_for(&self, what: &str, holds: impl Fn(&Self) -> bool) {
        eventually(what, || holds(self));
    }

    /// Waits until a job has ended, or its time is over.
    pub(super) fn wait_until_ended(&mut self, id: &str) {
        let index = self.jobs.iter().position(|job| job.id == id);
        self.follow(index.expect("a job"), FINISH_TIME);
    }

    /// Asks for a job's state until it has ended, or `limit` is over.
    pub(super) fn follow(&mut self, index: usize, limit: Duration) {
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
}
