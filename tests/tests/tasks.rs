//! Tasks run whole and once under the epoch of their claim, whatever fails.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use rstest::rstest;
use slotmap::SlotMap;
use smol_str::{SmolStr, format_smolstr};
use snipevane_core::ids::{TaskKey, TeamKey, WorkerKey};
use snipevane_core::placement::{Resources, Units};
use snipevane_core::pools::UnixMs;
use snipevane_core::tasks::{
    Report, Restored, Scheduler, SchedulerSettings, Start, StopReason, Submission, SubmitRefused,
    Submitted, TaskAction, TaskEpoch, TaskId, TaskState,
};
use snipevane_proto::manifest::Urgency;

const SECOND_MS: u64 = 1000;
const BATCH: usize = 10_000;

fn cores(cores: u64) -> Resources {
    Resources {
        cpu_millis: cores * 1000,
        memory_mib: cores * 1024,
        accelerators: 0,
    }
}

/// Units of each team, counted.
#[derive(Default)]
struct Counted {
    held: BTreeMap<TeamKey, u32>,
    limit: u32,
}

impl Units for Counted {
    fn take(&mut self, team: TeamKey) -> bool {
        let held = self.held.entry(team).or_default();
        let free = *held < self.limit;
        *held += u32::from(free);
        free
    }

    fn give_back(&mut self, team: TeamKey) {
        let held = self.held.entry(team).or_default();
        assert!(*held > 0, "a unit came back twice");
        *held -= 1;
    }
}

/// A scheduler whose claims are written at once.
struct Site {
    scheduler: Scheduler,
    units: Counted,
    teams: Vec<TeamKey>,
    workers: Vec<WorkerKey>,
    running: BTreeMap<TaskKey, Start>,
    now: UnixMs,
}

impl Site {
    fn new(workers: usize, limit: u32) -> Self {
        let mut team_keys = SlotMap::with_key();
        let mut worker_keys = SlotMap::with_key();
        let mut site = Self {
            scheduler: Scheduler::new(SchedulerSettings::default()),
            units: Counted {
                limit,
                ..Counted::default()
            },
            teams: (0..2).map(|_| team_keys.insert(())).collect(),
            workers: (0..workers).map(|_| worker_keys.insert(())).collect(),
            running: BTreeMap::new(),
            now: UnixMs(0),
        };
        for &worker in &site.workers {
            site.scheduler.add_worker(worker, cores(4));
        }
        site
    }

    fn submission(&self, team: usize, job: &str, id: usize) -> Submission {
        Submission {
            id: TaskId(format_smolstr!("{job}-{id}")),
            team: self.teams[team],
            job: SmolStr::new(job),
            size: cores(1),
            run_time: Duration::from_secs(10),
            deadline: None,
            urgency: Urgency::Normal,
        }
    }

    fn submit(&mut self, job: &str, id: usize) -> TaskKey {
        let submission = self.submission(0, job, id);
        match self.scheduler.submit(submission, self.now) {
            Ok(Submitted::New(task) | Submitted::Known(task)) => task,
            Err(refused) => panic!("{refused}"),
        }
    }

    fn claim(&mut self) {
        let claims = self.scheduler.claim(BATCH);
        self.scheduler.claims_written(&claims, true);
    }

    /// Lets a second pass; returns what started.
    fn second(&mut self) -> Vec<Start> {
        self.now = UnixMs(self.now.0 + SECOND_MS);
        self.claim();
        let actions = self.scheduler.round(self.now, &mut self.units);
        let started = actions.into_iter().filter_map(|action| match action {
            TaskAction::Start(start) => Some(start),
            _ => None,
        });
        let started: Vec<Start> = started.collect();
        self.running
            .extend(started.iter().map(|start| (start.task, *start)));
        started
    }

    fn finish(&mut self, start: &Start) -> Report {
        self.running.remove(&start.task);
        self.scheduler.usage(start.task, start.epoch, cores(1));
        self.scheduler
            .finished(start.task, start.epoch, self.now, &mut self.units)
    }

    fn fail(&mut self, start: &Start) -> Report {
        self.running.remove(&start.task);
        self.scheduler
            .failed(start.task, start.epoch, self.now, &mut self.units)
    }

    fn state(&self, task: TaskKey) -> TaskState {
        let state = self.scheduler.ledger().state(task);
        state.unwrap_or_else(|| panic!("the task was forgotten"))
    }

    /// Runs for some seconds, where tasks fail on which this says so.
    fn run(&mut self, seconds: u32, fails: impl Fn(&Self, &Start) -> bool) {
        for _ in 0..seconds {
            let mut started = self.second();
            started.sort_by_key(|start| start.task);
            for start in started {
                if fails(self, &start) {
                    self.fail(&start);
                } else {
                    self.finish(&start);
                }
            }
        }
    }

    fn job_of(&self, start: &Start) -> SmolStr {
        let task = self.scheduler.ledger().get(start.task);
        task.map(|task| task.submission.job.clone())
            .unwrap_or_default()
    }
}

#[test]
fn a_late_report_of_an_earlier_claim_changes_nothing() {
    let mut site = Site::new(2, 10);
    let task = site.submit("roll-up", 0);
    let first = site.second()[0];
    // The worker is paused, and its lease lapses.
    site.scheduler
        .lapsed(first.worker, site.now, &mut site.units);
    assert_eq!(
        site.finish(&first),
        Report::Stale,
        "before the task is claimed again"
    );
    let second = site.second()[0];
    assert!(second.epoch > first.epoch && second.worker != first.worker);
    assert_eq!(site.finish(&first), Report::Stale);
    assert_eq!(site.fail(&first), Report::Stale);
    assert_eq!(site.state(task), TaskState::Running(second.worker));
    assert_eq!(site.finish(&second), Report::Accepted);
    assert_eq!(site.finish(&second), Report::Stale, "finished once");
    assert_eq!(site.units.held[&site.teams[0]], 0);
}

#[test]
fn a_successor_goes_on_with_what_runs_and_claims_the_rest_anew() {
    let mut former = Site::new(2, 10);
    let tasks: Vec<TaskKey> = (0..2).map(|id| former.submit("roll-up", id)).collect();
    let started = former.second();
    assert_eq!(started.len(), 2);
    // The successor learns from a worker that the first one runs; nobody reports the second one.
    let mut site = Site::new(2, 10);
    for (index, start) in started.iter().enumerate() {
        let submission = site.submission(0, "roll-up", index);
        let running_on = (index == 0).then_some(site.workers[0]);
        let Site {
            scheduler,
            units,
            now,
            ..
        } = &mut site;
        let asked = scheduler.restore(submission, start.epoch, running_on, *now, units);
        let runs = matches!(asked, Ok(Restored::Runs(_)));
        assert_eq!(runs, index == 0, "{asked:?}");
    }
    assert_eq!(site.units.held[&site.teams[0]], 1);
    let again = site.second();
    assert_eq!(again.len(), 1, "only the one that nobody reports");
    assert!(again[0].task == tasks[1] && again[0].epoch > started[1].epoch);
    assert_eq!(site.finish(&started[1]), Report::Stale);
    assert_eq!(site.finish(&started[0]), Report::Accepted);
    assert_eq!(site.finish(&again[0]), Report::Accepted);
    assert_eq!(site.units.held[&site.teams[0]], 0);
}

#[test]
fn a_task_for_which_a_successor_has_no_unit_is_stopped_before_it_waits() {
    let mut site = Site::new(2, 0);
    let worker = site.workers[0];
    let epoch = TaskEpoch(3);
    let mut restore = |running_on| {
        let submission = site.submission(0, "roll-up", 0);
        let Site {
            scheduler,
            units,
            now,
            ..
        } = &mut site;
        scheduler.restore(submission, epoch, running_on, *now, units)
    };
    assert_eq!(restore(Some(worker)), Ok(Restored::StopFirst));
    assert!(matches!(restore(None), Ok(Restored::Waits(_))));
    assert!(matches!(restore(None), Ok(Restored::Known(_))));
    site.units.limit = 1;
    assert!(site.second()[0].epoch > epoch);
}

#[test]
fn a_repeated_submission_is_known_and_a_reused_identifier_refused() {
    let mut site = Site::new(1, 10);
    let task = site.submit("roll-up", 0);
    let again = site.submission(0, "roll-up", 0);
    assert_eq!(
        site.scheduler.submit(again, site.now),
        Ok(Submitted::Known(task))
    );
    let mut other = site.submission(0, "roll-up", 0);
    other.size = cores(2);
    let refused = site.scheduler.submit(other, site.now);
    assert_eq!(refused, Err(SubmitRefused::IdReused(task)));
    let of_other_team = site.submission(1, "roll-up", 0);
    let submitted = site.scheduler.submit(of_other_team, site.now);
    assert!(matches!(submitted, Ok(Submitted::New(_))));
}

#[test]
fn a_task_larger_than_any_worker_is_refused_with_the_largest() {
    let mut site = Site::new(2, 10);
    let mut submission = site.submission(0, "archive", 0);
    submission.size = cores(5);
    let refused = site.scheduler.submit(submission, site.now);
    let largest = Some(cores(4));
    assert_eq!(refused, Err(SubmitRefused::LargerThanAnyWorker { largest }));
}

#[test]
fn a_task_that_became_larger_than_any_worker_is_stopped_with_the_reason() {
    let mut site = Site::new(1, 10);
    let mut worker_keys: SlotMap<WorkerKey, ()> = SlotMap::with_key();
    let large = (0..2).map(|_| worker_keys.insert(())).last().unwrap();
    site.scheduler.add_worker(large, cores(16));
    let mut submission = site.submission(0, "archive", 0);
    submission.size = cores(9);
    let Ok(Submitted::New(task)) = site.scheduler.submit(submission, site.now) else {
        panic!("refused");
    };
    site.scheduler.lapsed(large, site.now, &mut site.units);
    let largest = Some(cores(4));
    let reason = StopReason::LargerThanAnyWorker { largest };
    assert_eq!(site.state(task), TaskState::Stopped(reason));
}

#[rstest]
#[case::many_workers(10, 3)]
#[case::fewer_workers_than_attempts(2, 2)]
fn a_task_that_fails_everywhere_is_stopped(#[case] workers: usize, #[case] attempts: usize) {
    let mut site = Site::new(workers, 10);
    let task = site.submit("broken", 0);
    let mut tried = BTreeSet::new();
    for _ in 0..20 {
        for start in site.second() {
            tried.insert(start.worker);
            site.fail(&start);
        }
    }
    let reason = StopReason::FailsEverywhere { workers: attempts };
    assert_eq!(site.state(task), TaskState::Stopped(reason));
    assert_eq!(tried.len(), attempts, "on different workers");
}

#[test]
fn a_broken_job_sets_no_worker_aside() {
    let mut site = Site::new(10, 100);
    for id in 0..100 {
        site.submit("broken", id);
        site.submit("good", id);
    }
    site.run(60, |site, start| site.job_of(start) == "broken");
    assert_eq!(site.scheduler.health().aside(), 0);
    let ended = site
        .scheduler
        .ledger()
        .tasks()
        .all(|(_, task)| task.state.is_final());
    assert!(ended);
}

#[test]
fn a_worker_that_fails_everything_is_set_aside_and_tried_again() {
    let mut site = Site::new(4, 100);
    let broken = site.workers[0];
    for id in 0..400 {
        site.submit(if id % 2 == 0 { "one" } else { "two" }, id);
    }
    // The job works elsewhere before anything fails.
    site.scheduler.drain_worker(broken);
    site.run(2, |_, _| false);
    site.scheduler.add_worker(broken, cores(4));
    site.run(60, |_, start| start.worker == broken);
    assert!(site.scheduler.health().is_aside(broken));
    let all_done = site
        .scheduler
        .ledger()
        .tasks()
        .all(|(_, task)| task.state == TaskState::Done);
    assert!(all_done, "its tasks ran elsewhere and none was stopped");
    for id in 400..800 {
        site.submit("one", id);
    }
    site.run(60, |_, _| false);
    assert!(!site.scheduler.health().is_aside(broken));
    assert_eq!(site.scheduler.health().aside(), 0);
}

#[test]
fn failures_of_broken_workers_say_nothing_against_the_tasks() {
    let mut site = Site::new(4, 100);
    let broken = site.workers[..3].to_vec();
    // The job works before anything fails.
    site.submit("one", 9999);
    broken
        .iter()
        .for_each(|&worker| site.scheduler.drain_worker(worker));
    site.run(1, |_, _| false);
    for &worker in &broken {
        site.scheduler.add_worker(worker, cores(4));
    }
    // Each broken worker in turn gets all four, and is set aside after the third failure.
    let tasks: Vec<TaskKey> = (0..4).map(|id| site.submit("one", id)).collect();
    site.run(30, |_, start| broken.contains(&start.worker));
    assert!(
        tasks
            .iter()
            .all(|&task| site.state(task) == TaskState::Done)
    );
}

#[test]
fn a_worker_on_trial_takes_one_task_and_is_set_aside_for_longer_if_that_fails() {
    let mut site = Site::new(2, 100);
    let broken = site.workers[0];
    site.submit("one", 9999);
    site.scheduler.drain_worker(broken);
    site.run(1, |_, _| false);
    site.scheduler.add_worker(broken, cores(4));
    let mut failures_at = Vec::new();
    for second in 0..200 {
        for id in 0..8 {
            site.submit("one", second * 8 + id);
        }
        for start in site.second() {
            if start.worker == broken {
                failures_at.push(second);
                site.fail(&start);
            } else {
                site.finish(&start);
            }
        }
    }
    let trials: Vec<usize> = failures_at
        .into_iter()
        .filter(|&second| second > 2)
        .collect();
    assert!(
        trials.len() == 2 && trials[1] - trials[0] >= 120,
        "{trials:?}"
    );
}

#[test]
fn a_cancelled_job_stops_what_runs_and_drops_what_waits() {
    let mut site = Site::new(2, 100);
    let tasks: Vec<TaskKey> = (0..5000).map(|id| site.submit("archive", id)).collect();
    let kept = site.submit("roll-up", 0);
    let started = site.second();
    let job = SmolStr::new("archive");
    let actions = site.scheduler.cancel_job(site.teams[0], &job, site.now);
    assert_eq!(actions.len(), started.len(), "one for each on a worker");
    for start in &started {
        assert_eq!(site.state(start.task), TaskState::Stopping(start.worker));
        // Whatever the worker reports of it, the unit comes back once.
        site.fail(start);
    }
    assert_eq!(site.second()[0].task, kept);
    assert!(
        tasks
            .iter()
            .all(|&task| site.state(task) == TaskState::Cancelled)
    );
    let later = site.submit("archive", 5000);
    assert_eq!(site.second()[0].task, later, "a later task of the job runs");
}

#[test]
fn claims_that_were_not_written_are_made_again() {
    let mut site = Site::new(1, 10);
    let task = site.submit("roll-up", 0);
    let claims = site.scheduler.claim(BATCH);
    assert_eq!(claims, [task]);
    let actions = site.scheduler.round(site.now, &mut site.units);
    assert_eq!(actions, [], "nothing starts before its claim is written");
    site.scheduler.claims_written(&claims, false);
    assert_eq!(site.second().len(), 1);
}

#[test]
fn a_checkpointed_task_goes_on_under_a_later_epoch() {
    let mut site = Site::new(1, 10);
    let task = site.submit("archive", 0);
    let first = site.second()[0];
    let report = site
        .scheduler
        .checkpointed(task, first.epoch, 0.5, site.now, &mut site.units);
    assert_eq!(report, Report::Accepted);
    assert_eq!(site.finish(&first), Report::Stale);
    let second = site.second()[0];
    assert_eq!(site.scheduler.ledger().get(task).unwrap().progress, 0.5);
    assert_eq!(site.finish(&second), Report::Accepted);
}

#[test]
fn sizes_and_run_times_are_learned_where_declared_ones_are_wrong() {
    let mut site = Site::new(1, 100);
    // Declared as one core, uses a quarter: after some tasks, more of them fit on a worker.
    let used = Resources {
        cpu_millis: 250,
        memory_mib: 256,
        accelerators: 0,
    };
    let mut at_once = Vec::new();
    for second in 0..10 {
        for id in 0..20 {
            site.submit("roll-up", second * 20 + id);
        }
        let started = site.second();
        at_once.push(started.len());
        for start in started {
            site.scheduler.usage(start.task, start.epoch, used);
            let ended = UnixMs(site.now.0 + SECOND_MS / 2);
            site.scheduler
                .finished(start.task, start.epoch, ended, &mut site.units);
        }
        let job = SmolStr::new("roll-up");
        site.scheduler.cancel_job(site.teams[0], &job, site.now);
    }
    // 4 cores hold 16 tasks of a quarter.
    assert_eq!((at_once[0], at_once[9]), (4, 16), "{at_once:?}");
    let task = site.submit("roll-up", 999);
    let job = site.scheduler.ledger().get(task).unwrap().job;
    let job = site.scheduler.ledger().job(job).unwrap();
    let estimate = job.estimate(&cores(1), Duration::from_secs(10));
    assert!(estimate.run_time < Duration::from_secs(5), "{estimate:?}");
}

#[test]
fn a_task_that_uses_more_than_fits_is_throttled() {
    let mut site = Site::new(1, 10);
    for id in 0..4 {
        site.submit("roll-up", id);
    }
    let started = site.second();
    let action = site
        .scheduler
        .usage(started[0].task, started[0].epoch, cores(2));
    assert_eq!(action, Some(TaskAction::Throttle(started[0])));
    site.finish(&started[1]);
    let action = site
        .scheduler
        .usage(started[0].task, started[0].epoch, cores(2));
    assert_eq!(action, None, "there is room now");
}

#[derive(Clone, Debug)]
enum Event {
    Submit {
        job: usize,
        urgency: u8,
        cores: u64,
    },
    Second,
    Report {
        nth: usize,
        kind: u8,
    },
    /// Repeats a report of any claim that ever was.
    Late {
        nth: usize,
        kind: u8,
    },
    Lapse {
        worker: usize,
    },
    Return {
        worker: usize,
    },
    Cancel {
        nth: usize,
    },
    CancelJob {
        job: usize,
    },
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        6 => (0..3_usize, 0..3_u8, 1..5_u64)
            .prop_map(|(job, urgency, cores)| Event::Submit { job, urgency, cores }),
        4 => Just(Event::Second),
        6 => (0..20_usize, 0..6_u8).prop_map(|(nth, kind)| Event::Report { nth, kind }),
        2 => (0..200_usize, 0..6_u8).prop_map(|(nth, kind)| Event::Late { nth, kind }),
        1 => (0..4_usize).prop_map(|worker| Event::Lapse { worker }),
        1 => (0..4_usize).prop_map(|worker| Event::Return { worker }),
        1 => (0..200_usize).prop_map(|nth| Event::Cancel { nth }),
        1 => (0..3_usize).prop_map(|job| Event::CancelJob { job }),
    ]
}

const JOBS: [&str; 3] = ["a", "b", "c"];

/// What a naive ledger knows: every claim, and which tasks ended, by scans.
#[derive(Default)]
struct Naive {
    claims: Vec<Start>,
    open: Vec<Start>,
    done: BTreeSet<TaskKey>,
    cancelled: BTreeSet<TaskKey>,
    submitted: Vec<(TaskKey, usize)>,
}

impl Naive {
    /// Takes in a report; only a claim that is still open counts.
    fn report(&mut self, start: &Start, done: bool) -> bool {
        let before = self.open.len();
        self.open.retain(|other| other != start);
        let accepted = self.open.len() < before;
        if accepted && done {
            assert!(self.done.insert(start.task), "done twice");
        }
        accepted
    }

    fn cancel(&mut self, matches: impl Fn(TaskKey, usize) -> bool) {
        for &(task, job) in &self.submitted {
            if matches(task, job) && !self.done.contains(&task) {
                self.cancelled.insert(task);
            }
        }
    }
}

struct Chaos {
    site: Site,
    naive: Naive,
    next_id: usize,
}

impl Chaos {
    fn run(&mut self, event: Event) -> Result<(), TestCaseError> {
        match event {
            Event::Submit {
                job,
                urgency,
                cores: size,
            } => self.submit(job, urgency, size),
            Event::Second => {
                for start in self.site.second() {
                    let task = start.task;
                    prop_assert!(
                        !self.naive.cancelled.contains(&task),
                        "runs after its cancellation"
                    );
                    prop_assert!(!self.naive.done.contains(&task), "runs after its end");
                    prop_assert!(self.naive.open.iter().all(|other| other.task != task));
                    self.naive.claims.push(start);
                    self.naive.open.push(start);
                }
            }
            Event::Report { nth, kind } => {
                if let Some(&start) = self.naive.open.get(nth) {
                    self.report(start, kind)?;
                }
            }
            Event::Late { nth, kind } => {
                if let Some(&start) = self.naive.claims.get(nth) {
                    self.report(start, kind)?;
                }
            }
            Event::Lapse { worker } => {
                let worker = self.site.workers[worker];
                let now = self.site.now;
                self.site
                    .scheduler
                    .lapsed(worker, now, &mut self.site.units);
                self.naive.open.retain(|start| start.worker != worker);
            }
            Event::Return { worker } => {
                let worker = self.site.workers[worker];
                self.site.scheduler.add_worker(worker, cores(4));
            }
            Event::Cancel { nth } => {
                if let Some(&(task, _)) = self.naive.submitted.get(nth) {
                    self.site.scheduler.cancel(task, self.site.now);
                    self.naive.cancel(|other, _| other == task);
                }
            }
            Event::CancelJob { job } => {
                let name = SmolStr::new(JOBS[job]);
                let team = self.site.teams[0];
                self.site.scheduler.cancel_job(team, &name, self.site.now);
                self.naive.cancel(|_, other| other == job);
            }
        }
        self.check()
    }

    fn submit(&mut self, job: usize, urgency: u8, size: u64) {
        let mut submission = self.site.submission(0, JOBS[job], self.next_id);
        self.next_id += 1;
        submission.size = cores(size);
        submission.urgency =
            [Urgency::Urgent, Urgency::Normal, Urgency::Overnight][usize::from(urgency)];
        if let Ok(Submitted::New(task)) = self.site.scheduler.submit(submission, self.site.now) {
            self.naive.submitted.push((task, job));
        }
    }

    fn report(&mut self, start: Start, kind: u8) -> Result<(), TestCaseError> {
        let Site {
            scheduler,
            units,
            now,
            ..
        } = &mut self.site;
        let report = match kind {
            0 => scheduler.failed(start.task, start.epoch, *now, units),
            1 => scheduler.checkpointed(start.task, start.epoch, 0.5, *now, units),
            _ => scheduler.finished(start.task, start.epoch, *now, units),
        };
        let accepted = self.naive.report(&start, kind > 1);
        prop_assert_eq!(report == Report::Accepted, accepted);
        Ok(())
    }

    /// Compares units, capacities and ends with the naive ledger.
    fn check(&self) -> Result<(), TestCaseError> {
        let held = self.site.units.held.values().sum::<u32>();
        prop_assert_eq!(held as usize, self.naive.open.len());
        prop_assert!(held <= self.site.units.limit);
        for (_, worker) in self.site.scheduler.placer().workers().iter() {
            prop_assert!(worker.reserved.fits_in(&worker.capacity));
        }
        for (task, found) in self.site.scheduler.ledger().tasks() {
            let done = found.state == TaskState::Done;
            prop_assert_eq!(done, self.naive.done.contains(&task));
        }
        Ok(())
    }
}

proptest! {
    #![proptest_config(Config {
        cases: 300,
        rng_seed: RngSeed::Fixed(6),
        failure_persistence: None,
        ..Config::default()
    })]

    /// Compares reports, units and ends with a naive ledger that scans everything.
    #[test]
    fn no_order_of_events_runs_a_task_twice_or_loses_a_unit(
        events in proptest::collection::vec(event(), 1..200),
    ) {
        let mut chaos = Chaos { site: Site::new(4, 6), naive: Naive::default(), next_id: 0 };
        for event in events {
            chaos.run(event)?;
        }
        // Whatever happened, what isn't cancelled ends once workers are back.
        for worker in 0..4 {
            chaos.run(Event::Return { worker })?;
        }
        for _ in 0..400 {
            chaos.run(Event::Second)?;
            for start in chaos.naive.open.clone() {
                chaos.report(start, 2)?;
            }
        }
        prop_assert!(chaos.naive.open.is_empty());
        let ledger = chaos.site.scheduler.ledger();
        for (task, _) in &chaos.naive.submitted {
            prop_assert!(ledger.state(*task).is_some_and(TaskState::is_final), "a task was lost");
        }
    }
}
