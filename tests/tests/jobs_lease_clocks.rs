//! Tests of leases whose end was given on the clock of an earlier incarnation of the minion.

#![allow(clippy::expect_used, reason = "a failed step of a test ends it")]

use std::time::Duration;

use rstest::rstest;
use smol_str::SmolStr;
use snipevane_core::jobs::{
    HoldReply, JobId, JobState, OrderReply, Recipient, RunList, SchedulerSettings, StartOrder,
};
use snipevane_tests::jobs::{FakeMinion, JobSite, Restart, entry, job, site, step};

const START: Duration = Duration::from_secs(10);

/// Guards against a task that runs twice at the same time, because the lease of a run counts as expired although its
/// minion has measured it on a clock that started anew.
#[rstest]
fn a_lease_given_on_an_earlier_clock_lasts_as_long_as_the_minion_grants_it(
    #[values(10, 50, 300, 1_000)] silent_after_ms: u64,
) {
    let minions = (0..2).map(|number| FakeMinion::new(entry(number, "p0"), START));
    let settings = SchedulerSettings {
        lease: Duration::from_secs(5),
        ..SchedulerSettings::default()
    };
    let mut built = JobSite::with_settings(site(1, 0), minions.collect(), settings, 1);
    let (restarted, other) = (SmolStr::new_static("i-0"), SmolStr::new_static("i-1"));
    built.run(Duration::from_secs(15));
    built.partitioned.insert(other.clone());
    built.list_minions();
    built.restart_under_its_id(&restarted, Duration::from_millis(300));
    let id = built.submit(1, job("p0", vec![step(1, 1_000, 20_000, &[])]));
    built.run(Duration::from_millis(silent_after_ms));
    built.partitioned.insert(restarted);
    built.partitioned.remove(&other);
    built.list_minions();
    built.run(Duration::from_secs(50));
    assert_eq!(built.records.len(), 2);
    assert_eq!(built.state(id), JobState::Completed);
}

/// Guards against leases that are given on the clock of an earlier incarnation for as long as the next one lives,
/// because an answer of the earlier one arrives after the restart was noticed.
#[test]
fn a_late_answer_of_an_earlier_incarnation_sets_no_clock() {
    let minion = FakeMinion::new(entry(0, "p0"), START);
    let mut built = JobSite::new(site(1, 0), vec![minion], 1);
    let id = SmolStr::new_static("i-0");
    built.run(Duration::from_secs(15));
    built.partitioned.insert(id.clone());
    built.submit(1, job("p0", vec![step(1, 1_000, 20_000, &[])]));
    let task = built.task_id(1, 0, 0);
    built.tick();
    let (key, minion) = built.scheduler.minions().next().expect("a minion");
    let run = *minion.runs.iter().next().expect("a run");
    let to = Recipient {
        minion: key,
        id: id.clone(),
        address: minion.entry.address.clone(),
        fence: 1,
    };
    let sent_at = built.now;
    built.run(Duration::from_millis(100));
    let restarted_at = built.now;
    let list = RunList {
        started_unix_ms: built.minions[&id].incarnation + 100_000,
        clock_ms: 0,
        ..RunList::default()
    };
    let (now, unix_ms) = (built.now, built.unix_ms());
    let reply = HoldReply::Listed(list);
    built
        .scheduler
        .hold_replied(&to, reply, sent_at, now, unix_ms);
    let done = OrderReply::Done {
        clock_ms: Some(15_100),
    };
    let order = StartOrder {
        to,
        run,
        task,
        attempt: 1,
        payload: "".into(),
        lease_end_ms: 0,
        checkpoint: SmolStr::default(),
        permit: SmolStr::default(),
        transmission: 1,
    };
    built.scheduler.start_replied(&order, done, sent_at, now);
    let minion = built.scheduler.minion(key).expect("a minion");
    let clock = minion.clock_lower_bound(now).expect("a clock");
    let age = now - restarted_at;
    assert!(Duration::from_millis(clock) <= age, "{clock} ms");
}

/// Returns a site of two minions with this longest lease.
fn site_of_two(max_lease: Duration) -> JobSite {
    let minions = (0..2).map(|number| {
        let mut minion = FakeMinion::new(entry(number, "p0"), START);
        minion.max_lease = max_lease;
        minion
    });
    let settings = SchedulerSettings {
        lease: Duration::from_millis(5_500),
        max_lease,
        ..SchedulerSettings::default()
    };
    JobSite::with_settings(site(1, 0), minions.collect(), settings, 1)
}

/// A site of two minions. A call with a lease to one of them is delayed, it restarts, and a job is submitted.
struct RestartedMinion {
    built: JobSite,
    restarted: SmolStr,
    other: SmolStr,
    id: JobId,
    sent_at: Duration,
}

impl RestartedMinion {
    fn new(max_lease: Duration) -> Self {
        let mut built = site_of_two(max_lease);
        let (restarted, other) = (SmolStr::new_static("i-0"), SmolStr::new_static("i-1"));
        built.run(Duration::from_secs(15));
        built.partitioned.insert(other.clone());
        built.list_minions();
        let first = built.submit(1, job("p0", vec![step(1, 1_000, 90_000, &[])]));
        built.run(Duration::from_secs(1));
        built.delay_next_lease(&restarted);
        while built.delayed_lease().is_none() {
            built.tick();
        }
        let sent_at = built.delayed_lease().expect("a delayed call");
        let restart = Restart {
            downtime: Duration::from_millis(300),
            born: built.unix_ms() + 300,
            address: None,
            entry_delay: Duration::from_millis(50),
        };
        built.restart_under_id(&restarted, restart);
        built.cancel(first);
        built.run(Duration::from_millis(300));
        let id = built.submit(2, job("p0", vec![step(1, 1_000, 90_000, &[])]));
        Self {
            built,
            restarted,
            other,
            id,
            sent_at,
        }
    }

    /// Returns the number of runs of the job.
    fn runs(&self) -> usize {
        let records = self.built.records.iter();
        records.filter(|run| run.task.step.job == self.id).count()
    }

    /// Runs until the next incarnation has listed a run of the job.
    fn run_until_listed(&mut self) {
        while self.runs() == 0 {
            self.built.tick();
        }
        self.built.run(Duration::from_millis(300));
    }

    fn carry_out_after(&mut self, delay: Duration) {
        while self.built.now < self.sent_at + delay {
            self.built.tick();
        }
        self.built.carry_out_delayed_lease();
    }

    /// Cuts the restarted minion off, and makes the other one available.
    fn cut_off(&mut self) {
        self.built.partitioned.insert(self.restarted.clone());
        self.built.partitioned.remove(&self.other);
        self.built.list_minions();
    }
}

/// Guards against a task that runs twice at the same time, because a call to the earlier incarnation of its minion, which
/// is carried out by the next one, gives it a lease on the wrong clock.
#[rstest]
fn a_late_call_to_an_earlier_incarnation_makes_no_task_run_twice(
    #[values(6, 10, 30)] max_lease_s: u64,
    #[values(700, 3_000, 11_900)] delay_ms: u64,
) {
    let mut play = RestartedMinion::new(Duration::from_secs(max_lease_s));
    play.run_until_listed();
    play.carry_out_after(Duration::from_millis(delay_ms));
    play.cut_off();
    play.built.run(Duration::from_secs(160));
    assert_eq!(play.runs(), 2);
    assert_eq!(play.built.state(play.id), JobState::Completed);
}

/// Guards against the same after a takeover, whose term has to learn of the restart from the entry or the list.
#[rstest]
fn a_late_call_of_the_term_before_makes_no_task_run_twice(
    #[values(6, 10, 30)] max_lease_s: u64,
    #[values(700, 3_000, 11_900)] delay_ms: u64,
    #[values(false, true)] lists_runs: bool,
) {
    let mut play = RestartedMinion::new(Duration::from_secs(max_lease_s));
    play.run_until_listed();
    if lists_runs {
        play.built.take_over();
        play.built.run(Duration::from_millis(40));
        play.carry_out_after(Duration::from_millis(delay_ms));
    } else {
        play.carry_out_after(Duration::from_millis(delay_ms));
        play.built.take_over();
    }
    play.built.partitioned.insert(play.restarted.clone());
    play.built.partitioned.remove(&play.other);
    let other = play.built.minions[&play.other].entry.clone();
    play.built.scheduler.upsert_minion(other, play.built.now);
    play.built.run(Duration::from_secs(160));
    assert_eq!(play.built.state(play.id), JobState::Completed);
}

/// Guards against the same if the minion is cut off before the restart is noticed, and its entry still tells of it.
#[rstest]
fn a_start_at_an_incarnation_that_has_listed_nothing_makes_no_task_run_twice(
    #[values(6, 10, 30)] max_lease_s: u64,
) {
    let mut play = RestartedMinion::new(Duration::from_secs(max_lease_s));
    play.built.faults.lost_reply_rate = 1.0;
    play.built.run(Duration::from_millis(140));
    play.built.faults.lost_reply_rate = 0.0;
    assert_eq!(play.runs(), 1);
    play.built.partitioned.insert(play.restarted.clone());
    play.built.partitioned.remove(&play.other);
    let other = play.built.minions[&play.other].entry.clone();
    play.built.scheduler.upsert_minion(other, play.built.now);
    play.built.run(Duration::from_secs(160));
    assert_eq!(play.built.state(play.id), JobState::Completed);
}

/// Guards against tasks that wait longer than the lease of their minion, as it hasn't restarted.
#[rstest]
fn a_task_on_a_minion_that_has_not_restarted_waits_for_its_lease_only(
    #[values(6, 10, 30)] max_lease_s: u64,
) {
    let max_lease = Duration::from_secs(max_lease_s);
    let mut built = site_of_two(max_lease);
    let (cut, other) = (SmolStr::new_static("i-0"), SmolStr::new_static("i-1"));
    built.run(Duration::from_secs(15));
    built.partitioned.insert(other.clone());
    built.list_minions();
    built.submit(1, job("p0", vec![step(1, 1_000, 60_000, &[])]));
    built.run(Duration::from_secs(4));
    let cut_at = built.now;
    built.partitioned.insert(cut);
    built.partitioned.remove(&other);
    built.list_minions();
    built.run(Duration::from_secs(8));
    assert_eq!(built.records.len(), 2);
    assert!(built.records[1].from < cut_at + Duration::from_millis(6_000));
}

/// Guards against a task that runs twice at the same time, because a minion leaves the list right after its restart was
/// noticed, and the leases on its former clock are forgotten with it.
#[rstest]
fn a_minion_that_leaves_the_list_after_a_restart_keeps_its_leases(
    #[values(6, 10, 30)] max_lease_s: u64,
    #[values(2_000, 3_000, 11_900)] delay_ms: u64,
) {
    let mut built = site_of_two(Duration::from_secs(max_lease_s));
    let (restarted, other) = (SmolStr::new_static("i-0"), SmolStr::new_static("i-1"));
    built.run(Duration::from_secs(15));
    built.partitioned.insert(other.clone());
    built.list_minions();
    let id = built.submit(1, job("p0", vec![step(1, 1_000, 90_000, &[])]));
    built.run(Duration::from_secs(1));
    built.delay_next_lease(&restarted);
    while built.delayed_lease().is_none() {
        built.tick();
    }
    let sent_at = built.delayed_lease().expect("a delayed call");
    let restart = Restart {
        downtime: Duration::from_millis(300),
        born: built.unix_ms() + 300,
        address: None,
        entry_delay: Duration::from_millis(1_000),
    };
    built.restart_under_id(&restarted, restart);
    built.scheduler.unlist_minion(&restarted);
    built.run(Duration::from_millis(1_700));
    assert_eq!(built.records.len(), 2);
    while built.now < sent_at + Duration::from_millis(delay_ms) {
        built.tick();
    }
    built.carry_out_delayed_lease();
    built.partitioned.insert(restarted);
    built.partitioned.remove(&other);
    built.list_minions();
    built.run(Duration::from_secs(160));
    assert_eq!(built.records.len(), 3);
    assert_eq!(built.state(id), JobState::Completed);
}

/// Guards against the same if the row names the restarted minion as silent before its entry is read.
#[rstest]
fn a_silent_minion_whose_entry_tells_of_a_restart_later_makes_no_task_run_twice(
    #[values(6, 10, 30)] max_lease_s: u64,
) {
    let mut play = RestartedMinion::new(Duration::from_secs(max_lease_s));
    play.run_until_listed();
    play.carry_out_after(Duration::from_millis(1_500));
    play.built.partitioned.insert(play.restarted.clone());
    play.built.partitioned.remove(&play.other);
    let own = play.built.minions[&play.restarted].entry.clone();
    let other = play.built.minions[&play.other].entry.clone();
    play.built.take_over();
    play.built
        .scheduler
        .upsert_minion(other.clone(), play.built.now);
    play.built.run(Duration::from_millis(1_500));
    play.built.take_over();
    play.built.scheduler.upsert_minion(other, play.built.now);
    play.built.scheduler.upsert_minion(own, play.built.now);
    play.built.run(Duration::from_secs(160));
    assert_eq!(play.built.state(play.id), JobState::Completed);
}

/// Guards against the same within a term if no entry tells of the restart.
#[rstest]
fn a_start_at_an_incarnation_that_nothing_tells_of_makes_no_task_run_twice(
    #[values(6, 10, 30)] max_lease_s: u64,
) {
    let mut built = site_of_two(Duration::from_secs(max_lease_s));
    let (restarted, other) = (SmolStr::new_static("i-0"), SmolStr::new_static("i-1"));
    built.run(Duration::from_secs(15));
    built.partitioned.insert(other.clone());
    built.list_minions();
    built.run(Duration::from_secs(1));
    let restart = Restart {
        downtime: Duration::from_millis(50),
        born: built.unix_ms() + 50,
        address: None,
        entry_delay: Duration::from_secs(200),
    };
    built.restart_under_id(&restarted, restart);
    built.run(Duration::from_millis(60));
    built.faults.lost_reply_rate = 1.0;
    let id = built.submit(2, job("p0", vec![step(1, 1_000, 90_000, &[])]));
    built.run(Duration::from_millis(140));
    built.faults.lost_reply_rate = 0.0;
    assert_eq!(built.records.len(), 1);
    built.partitioned.insert(restarted);
    built.partitioned.remove(&other);
    let entry = built.minions[&other].entry.clone();
    built.scheduler.upsert_minion(entry, built.now);
    built.run(Duration::from_secs(160));
    assert_eq!(built.state(id), JobState::Completed);
}
